package executor

import (
	"time"

	"github.com/lavendercleat/lavendercleat/capacity"
	"github.com/lavendercleat/lavendercleat/member"
	"github.com/lavendercleat/lavendercleat/task"
)

// WorkerInfo is what the registry tells of a worker.
type WorkerInfo struct {
	// ID names the worker. A worker that has crashed may come back under another ID or under
	// the same one.
	ID string
	// Incarnation is when this life of the worker began, in ms since the Unix epoch by the worker's
	// own clock; 0: not told.
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
	// CallPoll extends the lease, acknowledges ends and reads what runs.
	CallPoll
)

// Call is an order that the embedder sends to a worker. Each is answered by exactly one
// call of HandleAnswer.
type Call struct {
	Kind    CallKind
	Worker  string
	Address string
	Token   uint64
	// Task and Run are set for starts and stops; of a stop's task only the ID.
	Task *task.Task
	ID   task.ID
	Run  uint32
	// Deadline is the lease's end in ms on the worker's clock; 0 in a poll that doesn't extend it.
	Deadline int64
	// Acknowledge is the number of the last end that was read.
	Acknowledge uint64
	// Wait is how long the worker may hold a poll until something ends.
	Wait time.Duration
	// Timeout is how long the answer to a start or a stop is waited for.
	Timeout time.Duration
	// look marks a poll beside the standing one.
	extra bool
	// probe marks a poll without a token, which the worker doesn't obey.
	probe bool
	// sent is when the call was emitted, and clock the latest reading of the worker's clock then.
	sentAt      time.Duration
	workerClock int64
}

// Verdict is what an answer, or its absence, proves about an order.
type Verdict uint8

// Verdicts.
const (
	// OK: carried out.
	OK Verdict = iota + 1
	// Unknown: no answer; it may have been carried out, or may be later.
	Unknown
	// Unsent: nothing was sent.
	Unsent
	// Unhealthy: the worker did nothing and says it is not well.
	Unhealthy
	// Replaced: another incarnation of the worker answered, or none listens there.
	Replaced
	// Fenced: the worker obeys a higher token.
	Fenced
	// Outdated: a run of this number or a higher one has ended on the worker.
	Outdated
	// Late: the deadline has passed on the worker's clock.
	Late
	// Full: the worker has no room.
	Full
	// Invalid: the worker doesn't take the order at all.
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

// Completion is one entry of a worker's list of ends.
type Completion struct {
	Number uint64
	task.RunningTask
	// Result is the worker's word, for logs.
	Result string
}

// ListedRun is one run in a worker's list.
type ListedRun struct {
	task.RunningTask
	// Percent is the progress.
	Percent int
}

// Answer is a worker's answer to a Call.
type Answer struct {
	Verdict Verdict
	// Clock is the worker's clock in ms; 0 when it wasn't told.
	Clock int64
	// Incarnation is when the life that answers began; 0 when it wasn't told.
	Incarnation int64
	Running     []ListedRun
	Completions []Completion
}

// OwnedReport is a report with the coordinator it is for.
type OwnedReport struct {
	Owner member.Process
	task.Report
}

// Takeover asks all coordinators which runs of a worker are theirs.
type Takeover struct {
	// To is the coordinator that has asked by Reconcile; the zero value is for all.
	To        member.Process
	Worker    string
	Running   []task.RunningTask
	Completed []task.RunningTask
	// Epoch is the number of this executor's tenure of the worker, Token the fencing token that the
	// worker obeys in it; 0: not told.
	Epoch, Token uint64
	// Reconciliation: it answers Reconcile, and its lists are of now, not of when the tenure began.
	Reconciliation bool
}

// Claims is a coordinator's reply to a Takeover: those of its tasks that may run there.
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
	// DroppedWorkers are workers that have left; nothing is ordered of them any more.
	DroppedWorkers []string
	// JobsToLookUp lists jobs whose ends are held and whose state is asked for, by ApplyJobStates.
	JobsToLookUp []string
}

// Event is a decision or a changed belief, for the log.
type Event struct {
	Name   string
	ID     task.ID
	Run    uint32
	Worker string
	Detail string
	// Age is how old the decisive input is.
	Age time.Duration
}

// Names of events; all are in docs/OPERATIONS.md.
const (
	EventStarted          = "run_started"
	EventEnded            = "run_ended"
	EventRequeued         = "task_requeued"
	EventTaskReturned     = "task_given_back"
	EventCapacityReserved = "room_held"
	// EventDiscarded: a run is stopped, as its coordinator doesn't want it any more or is lost.
	EventDiscarded = "run_discarded"
)

// WorkerCapacity is what a worker has left.
type WorkerCapacity struct {
	Worker  string
	Service string
	// Domain is the worker's failure domain.
	Domain string
	Free   capacity.Vector
	Total  capacity.Vector
	// Open is false while the worker gets no new runs; Usable tells that it will soon.
	Open, Usable bool
	// Slowdown is how many times as long as declared runs take on the worker; 0: not known.
	Slowdown float64
	// Epoch is the number of this executor's tenure of the worker, Token the fencing token that the
	// worker obeys in it; 0: not told.
	Epoch, Token uint64
}
