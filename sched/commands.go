package sched

import (
	"time"

	"github.com/lavendercleat/lavendercleat/slot"
	"github.com/lavendercleat/lavendercleat/verdict"
)

// Start tells the embedder to send a task to a worker. The embedder must answer each
// Start with one call of HandleOutcome.
type Start struct {
	Job    JobKey
	Task   int
	Worker string
	// Attempt is the number of this start of the task, from 1.
	Attempt int
}

// Abort tells the embedder to stop waiting for a started task. The embedder still has to
// call HandleOutcome.
type Abort struct {
	Job  JobKey
	Task int
}

// EndedJob tells the embedder that a job has ended. The job is complete if Failure is nil.
type EndedJob struct {
	Job     JobKey
	Failure *verdict.Failure
}

// Borrow tells the embedder to ask a peer for slots, for the extension of loans, or for
// both. The embedder must answer each Borrow with one call of HandleLendReply.
type Borrow struct {
	Peer  Peer
	Slots int
	// Term counts from Sent, the time of the decision to ask. The embedder sends the
	// message at that time or later, so the peer's term does not end before this one.
	Term   time.Duration
	Sent   time.Duration
	Needs  Resources
	Extend []slot.LoanID
	kind   *kind
}

// ReturnSlots tells the embedder to return borrowed slots to a peer.
type ReturnSlots struct {
	Peer Peer
	// Loans say how many slots of each worker the borrower keeps. It keeps all slots of a
	// worker that is left out.
	Loans []slot.Loan
}

// FreeSlotsHint tells the embedder to send a heartbeat to a peer that lacks slots at
// once, so that the peer learns that this entry has free slots now.
type FreeSlotsHint struct {
	Peer Peer
}

// Ejection tells the embedder that a worker gets no tasks for some time.
type Ejection struct {
	Worker string
	For    time.Duration
}

// Ready holds commands for the embedder to execute. The commands of each kind are in the
// order in which the scheduler decided them.
type Ready struct {
	Starts    []Start
	Aborts    []Abort
	Ended     []EndedJob
	Borrows   []Borrow
	Returns   []ReturnSlots
	Hints     []FreeSlotsHint
	Ejections []Ejection
}

// Outcome is the result of a started task: success if Failure is nil.
type Outcome struct {
	Failure *verdict.Failure
	// Leaving is set if the worker's answer said that the worker is leaving.
	Leaving bool
}
