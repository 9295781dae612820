package executor

import (
	"time"

	"github.com/lavendercleat/lavendercleat/capacity"
	"github.com/lavendercleat/lavendercleat/member"
	"github.com/lavendercleat/lavendercleat/task"
)

// WorkerInfo is the registry's data of a worker.
type WorkerInfo struct {
	// ID names the worker. A worker that has crashed may restart under another ID or under the same
	// one.
	ID string
	// Incarnation is the start time of this incarnation of the worker, in ms since the Unix epoch by
	// the worker's own clock; 0: not known.
	Incarnation int64
	Address     string
	Service     string
	Domain      string
	Capacity    capacity.Vector
	Labels      []string
	// Draining workers get no new runs.
	Draining bool
}

// CallKind is the kind of an order to a worker.
type CallKind uint8

// Kinds of calls.
const (
	CallStart CallKind = iota + 1
	CallStop
	// CallPoll extends the lease, acknowledges completions and reads the worker's lists.
	CallPoll
)

// Call is an order that the embedder sends to a worker. The embedder answers each Call by exactly
// one call of HandleAnswer.
type Call struct {
	Kind    CallKind
	Worker  string
	Address string
	Token   uint64
	// Task and Run are set for starts and stops; a stop has only the task's ID.
	Task *task.Task
	ID   task.ID
	Run  uint32
	// Deadline is the lease's end in ms on the worker's clock; 0 in a poll that does not extend it.
	Deadline int64
	// Acknowledge is the number of the last completion that was read.
	Acknowledge uint64
	// Wait is how long the worker may hold a poll until a run ends.
	Wait time.Duration
	// Timeout is how long the embedder waits for the answer to a start or a stop.
	Timeout time.Duration
	// extra marks a poll beside the standing one.
	extra bool
	// withoutToken marks a poll without a fencing token, which does not take the worker.
	withoutToken bool
	// sentAt is when the call was emitted, and workerClock the latest reading of the worker's clock
	// then.
	sentAt      time.Duration
	workerClock int64
}

// Verdict is what an answer, or its absence, proves about an order.
type Verdict uint8

// Verdicts.
const (
	// OK: the worker carried it out.
	OK Verdict = iota + 1
	// Unknown: no answer. The worker may have carried it out, or may do so later.
	Unknown
	// Unsent: the embedder sent nothing.
	Unsent
	// Unhealthy: the worker did nothing and answers that it is unhealthy.
	Unhealthy
	// Replaced: another incarnation of the worker answered, or none listens at the address.
	Replaced
	// Fenced: the worker obeys a higher token.
	Fenced
	// Outdated: a run with this number or a higher one has ended on the worker.
	Outdated
	// Late: the deadline has passed on the worker's clock.
	Late
	// Full: the worker has no capacity for the task.
	Full
	// Invalid: the worker does not accept such an order at all.
	Invalid
)

var verdictNames = [...]string{"none", "ok", "unknown", "unsent", "unhealthy", "replaced", "fenced", "outdated", "late", "full", "invalid"}

// String returns the verdict's name in logs and counters.
func (v Verdict) String() string {
	if int(v) < len(verdictNames) {
		return verdictNames[v]
	}
	return verdictNames[0]
}

// Completion is one entry of a worker's list of ended runs.
type Completion struct {
	Number uint64
	task.RunningTask
	// Result is how the run ended in the worker's own terms, for logs.
	Result string
}

// ListedRun is one run in a worker's list of running tasks.
type ListedRun struct {
	task.RunningTask
	// Percent is the progress.
	Percent int
}

// Answer is a worker's answer to a Call.
type Answer struct {
	Verdict Verdict
	// Clock is the worker's clock in ms; 0 if the answer does not state it.
	Clock int64
	// Incarnation is the start time of the incarnation that answers; 0 if the answer does not state
	// it.
	Incarnation int64
	Running     []ListedRun
	Completions []Completion
}

// OwnedReport is a report with the coordinator that it is for.
type OwnedReport struct {
	Owner member.Process
	task.Report
}

// Takeover asks coordinators which runs of a worker are theirs.
type Takeover struct {
	// To is the coordinator that called Reconcile; the zero value stands for all coordinators.
	To        member.Process
	Worker    string
	Running   []task.RunningTask
	Completed []task.RunningTask
	// Epoch is the number of this executor's holding epoch of the worker, and Token the fencing token
	// that the worker obeys in it; 0: not known.
	Epoch, Token uint64
	// Reconciliation: the message answers Reconcile. Its lists show the present state, and not that
	// at the start of the epoch.
	Reconciliation bool
	// Incomplete: the worker listed as many completions as fit into one list, so a run that the lists
	// don't show may have completed. Another message follows when the rest is known.
	Incomplete bool
}

// Claims is a coordinator's reply to a Takeover: those of its tasks that may run on the worker.
type Claims struct {
	Owner  member.Process
	Worker string
	Tasks  []task.Task
}

// Output is what the embedder has to carry out, in order.
type Output struct {
	Calls     []Call
	Reports   []OwnedReport
	Takeovers []Takeover
	Events    []Event
	// DroppedWorkers are workers that have left. The executor sends them no more orders.
	DroppedWorkers []string
	// JobsToLookUp lists jobs with unacknowledged completions. The embedder reads their states from
	// the store and passes them to ApplyJobStates.
	JobsToLookUp []string
}

// Event is a decision or a change of the executor's view, for the log.
type Event struct {
	Name   string
	ID     task.ID
	Run    uint32
	Worker string
	Detail string
	// Age is the age of the decisive input.
	Age time.Duration
}

// Names of events. docs/OPERATIONS.md lists them all.
const (
	EventStarted          = "run_started"
	EventEnded            = "run_ended"
	EventRequeued         = "task_requeued"
	EventTaskReturned     = "task_given_back"
	EventCapacityReserved = "room_held"
	// EventDiscarded: the executor stops a run, as its coordinator is lost or no longer wants it.
	EventDiscarded = "run_discarded"
)

// WorkerCapacity is the free and total capacity of one worker, as reported to coordinators.
type WorkerCapacity struct {
	Worker  string
	Service string
	// Domain is the worker's failure domain.
	Domain string
	Free   capacity.Vector
	Total  capacity.Vector
	// Open is false while the worker gets no new runs. Usable tells that it accepts them now or soon.
	Open, Usable bool
	// Slowdown is how many times the declared time runs take on the worker; 0: not known.
	Slowdown float64
	// Epoch is the number of this executor's holding epoch of the worker, and Token the fencing token
	// that the worker obeys in it; 0: not known.
	Epoch, Token uint64
}
