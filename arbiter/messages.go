package arbiter

import (
	"time"

	"github.com/lavendercleat/lavendercleat/member"
)

// Message is for another daemon, or this one: one of Request, Release, Query, CancelQuery and NotRunning is set.
type Message struct {
	To member.Process
	// Request is for an arbiter, which answers with a Verdict; Release tells it that nothing of
	// the job runs for the sender any more, of this try or an earlier one.
	Request *GrantRequest
	Release string
	// Query asks a job's holder for its answer, or for the word that nothing of it runs there;
	// CancelQuery takes that back.
	Query       string
	CancelQuery string
	// NotRunning answers an inquiry: nothing of the job runs at the sender, of this try or an earlier one.
	NotRunning string
	// Attempt is the number of the sender's try, for Release and NotRunning.
	Attempt uint64
}

// Output is what the user has to carry out.
type Output struct {
	Messages []Message
	// Start lists jobs that may be started now.
	Start []string
	// Revoked lists started jobs that were granted to another meanwhile: they are to be stopped.
	Revoked []string
	// Expired lists jobs whose callers don't wait any longer for the right to start them.
	Expired []Expiry
	// WaiterUnreachable lists jobs that a daemon waited for here which is lost.
	WaiterUnreachable []string
	// HeldElsewhere lists jobs that another daemon was found to have, for the log.
	HeldElsewhere []HeldJob
	// QuiescenceChecks lists holders that can't be asked: HandleQuiescence is to tell when no executor has anything of
	// theirs any more.
	QuiescenceChecks []member.Process
}

// Expiry is the end of the wait for the right to start a job; MayHaveRun, that another daemon may
// have run it.
type Expiry struct {
	Job        string
	MayHaveRun bool
}

// HeldJob tells that a job waits for another daemon.
type HeldJob struct {
	Job    string
	Holder member.Process
	// Reachable: the holder can be asked.
	Reachable bool
}

// View is what the user sees of the fleet.
type View interface {
	// Arbiters returns a job's first n arbiters among the daemons in sight, this one included, and
	// those that have been out of sight for a moment only; none while it is to wait for links.
	Arbiters(job string, n int) []member.Process
	// Reachable reports whether messages reach a daemon.
	Reachable(p member.Process) bool
}

// state is what a client does about a job.
type state uint8

const (
	// asking: arbiters are asked.
	requesting state = iota
	// waiting: another daemon has the job.
	waiting
	// started: it was granted.
	started
	// ending: it is over here, but tasks of it may still run.
	stopping
)

// reply is what is known of an arbiter's opinion on a job.
type reply uint8

const (
	// pending: it was asked.
	pending reply = iota
	granted
	// unsure: it was lost with its link after it was asked. The question may not have come there, and
	// what it had granted may have gone to another. It is asked again when it is back.
	unknown
)

// application is a job for which the right to start is asked for, or held.
type acquisition struct {
	job                   string
	attempt               uint64
	state                 state
	requestedAt, deadline time.Duration
	arbiters              []member.Process
	// asked are all that were asked since the job was last asked for, with their replies.
	asked   []member.Process
	replies map[member.Process]reply
	// askAt is when the answers of most arbiters suffice, or all of them are asked again.
	timeoutAt time.Duration
	// holder has the job, as was last heard. over is the last try of another of which nothing runs any
	// more; it is told until the job is granted or another holder named.
	holder, notRunning Attempt
	// inquirers wait for the job's end here.
	waiters []member.Process
	// again: it has come again while it was ending.
	restart bool
}
