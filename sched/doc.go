// Package sched decides which task starts on which worker, and when a job is
// refused, retried, failed or complete.
//
// A Scheduler is one entry's state machine. It does no I/O, starts no goroutine and
// reads no clock: events go in with the time (a duration on the owner's monotonic
// clock), and Ready returns the commands to carry out. Payloads and results stay
// with the embedder; the scheduler knows a job by its key and a task by its index.
//
//	s := sched.New(sched.DefaultConfig())
//	s.SetWorkers(now, workers)
//	if refusal := s.Submit(now, job); refusal != nil { ... }
//	for _, start := range s.Ready().Starts {
//		// call the worker, then:
//		s.HandleOutcome(now, start, outcome)
//	}
//
// Entries lend each other slots. Tell the scheduler its peers (SetPeers) and what they
// have free (SetPeerFree), carry its Borrow and ReturnSlots commands to them, answer theirs
// with Lend and HandleReturn, and hand each answer to HandleLendReply.
//
// Call Ready after every event and Tick every few milliseconds. A Scheduler is not
// safe for concurrent use.
package sched
