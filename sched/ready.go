package sched

import (
	"time"

	"github.com/lavendercleat/lavendercleat/slot"
	"github.com/lavendercleat/lavendercleat/verdict"
)

// Start tells the embedder to send a task to a worker. Each Start must be answered
// by one call of HandleOutcome.
type Start struct {
	Job    JobKey
	Task   int
	Worker string
	// Attempt counts the starts of the task from 1.
	Attempt int
}

// Abort tells the embedder to stop waiting for a started task; HandleOutcome still has to
// be called.
type Abort struct {
	Job  JobKey
	Task int
}

// EndedJob tells that a job has ended: complete when Failure is nil.
type EndedJob struct {
	Job     JobKey
	Failure *verdict.Failure
}

// Borrow tells the embedder to ask a peer for slots, for the extension of loans, or
// for both. Each Borrow must be answered by one call of HandleLendReply.
type Borrow struct {
	Peer  Peer
	Slots int
	// Term is counted from Sent, the time of the decision, which is not after the
	// message was sent and thus not after the peer received it.
	Term   time.Duration
	Sent   time.Duration
	Needs  Resources
	Extend []slot.LoanID
	kind   *kind
}

// ReturnSlots tells the embedder to return borrowed slots to a peer.
type ReturnSlots struct {
	Peer Peer
	// Loans say how many slots of each worker are kept; workers that are left out
	// keep all.
	Loans []slot.Loan
}

// FreeSlotsHint tells the embedder to let a peer that lacks slots know at once, by a heartbeat,
// that this entry has some now.
type FreeSlotsHint struct {
	Peer Peer
}

// Ejection tells that a worker gets no task for some time.
type Ejection struct {
	Worker string
	For    time.Duration
}

// Ready holds the commands to carry out, in the order they were decided.
type Ready struct {
	Starts    []Start
	Aborts    []Abort
	Ended     []EndedJob
	Borrows   []Borrow
	Returns   []ReturnSlots
	Hints     []FreeSlotsHint
	Ejections []Ejection
}

// Outcome is how a started task ended: well when Failure is nil.
type Outcome struct {
	Failure *verdict.Failure
	// Leaving is set when the worker's answer said that it is leaving.
	Leaving bool
}
