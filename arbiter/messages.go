package arbiter

import (
	"time"

	"github.com/lavendercleat/lavendercleat/member"
)

// Message is a message to another daemon, or to this one. Exactly one of Request, Release, Query,
// CancelQuery and NotRunning is set.
type Message struct {
	To member.Process
	// Request is sent to an arbiter, which replies with a Verdict. Release tells an arbiter that the
	// sender has nothing of the job running any more, of this attempt or an earlier one.
	Request *GrantRequest
	Release string
	// Query asks a job's holder for the answer, or for the report that nothing of the job runs there.
	// CancelQuery withdraws the query.
	Query       string
	CancelQuery string
	// NotRunning replies to a query: the sender has nothing of the job running, of this attempt or an
	// earlier one.
	NotRunning string
	// Attempt is the number of the sender's attempt, for Release and NotRunning.
	Attempt uint64
}

// Output holds the actions that the caller of Drain must carry out.
type Output struct {
	Messages []Message
	// Start lists jobs that may be started now.
	Start []string
	// Revoked lists started jobs that were granted to another daemon meanwhile. They must be stopped.
	Revoked []string
	// Expired lists jobs whose callers no longer wait for the right to start them.
	Expired []Expiry
	// WaiterUnreachable lists jobs for which a daemon waited here that has become unreachable.
	WaiterUnreachable []string
	// HeldElsewhere lists jobs that another daemon turned out to hold, for the log.
	HeldElsewhere []HeldJob
	// QuiescenceChecks lists holders that are unreachable. The caller must call HandleQuiescence when
	// no executor runs anything of their jobs any more.
	QuiescenceChecks []member.Process
}

// Expiry is a job whose caller's deadline has passed before the job was granted.
type Expiry struct {
	Job string
	// MayHaveRun reports that another daemon may have run the job.
	MayHaveRun bool
}

// HeldJob is a job that waits for another daemon.
type HeldJob struct {
	Job    string
	Holder member.Process
	// Reachable reports whether the holder can be queried.
	Reachable bool
}

// View is this daemon's view of the fleet.
type View interface {
	// Arbiters returns a job's first n arbiters. It considers this daemon, the reachable ones, and
	// those that became unreachable only a moment ago. It returns none while the caller must wait for
	// links to be established.
	Arbiters(job string, n int) []member.Process
	// Reachable reports whether messages reach a daemon.
	Reachable(p member.Process) bool
}

// state is the state of a job at a client.
type state uint8

const (
	// requesting: the client waits for verdicts of arbiters.
	requesting state = iota
	// waiting: another daemon holds the job.
	waiting
	// started: the job was granted to this daemon.
	started
	// stopping: this daemon has ended the job, but tasks of it may still run.
	stopping
)

// reply is the last known reply of an arbiter to a request.
type reply uint8

const (
	// pending: the request was sent.
	pending reply = iota
	granted
	// unknown: the arbiter became unreachable after the request. The request may not have arrived, or
	// the arbiter may have granted the job to another daemon since. The client requests again when the
	// arbiter is reachable.
	unknown
)

// acquisition is a job for which the client requests, or holds, the right to start.
type acquisition struct {
	job                   string
	attempt               uint64
	state                 state
	requestedAt, deadline time.Duration
	arbiters              []member.Process
	// asked lists the arbiters that were asked since requestGrants, with their replies.
	asked   []member.Process
	replies map[member.Process]reply
	// timeoutAt is when the grants of a majority suffice, or when all arbiters are asked again.
	timeoutAt time.Duration
	// holder is the last known holder of the job. notRunning is the last attempt of another daemon that
	// is known to have nothing running. Requests carry it until the job is granted or an arbiter names
	// another holder.
	holder, notRunning Attempt
	// waiters are the daemons that wait here for the end of the job.
	waiters []member.Process
	// restart: the job was requested again while it was stopping.
	restart bool
}
