// Package sched schedules the tasks of submitted jobs on workers. It decides which task
// starts on which worker, which jobs it refuses, which tasks it retries, and when a job has
// failed or is complete.
//
// A Scheduler is the state machine of one entry. It does no I/O, starts no goroutine and
// reads no clock. The embedder passes in events together with the time, a duration on
// the entry's monotonic clock, and Ready returns the commands for the embedder to
// execute. The embedder keeps payloads and results; the scheduler identifies a job by
// its key and a task by its index.
//
//	s := sched.New(sched.DefaultConfig())
//	s.SetWorkers(now, workers)
//	if refusal := s.Submit(now, job); refusal != nil { ... }
//	for _, start := range s.Ready().Starts {
//		// call the worker, then:
//		s.HandleOutcome(now, start, outcome)
//	}
//
// Entries lend slots to each other. The embedder passes in the live peers (SetPeers) and
// the slots that they can lend (SetPeerFree). It sends the Borrow and ReturnSlots
// commands to the peers and passes each answer to HandleLendReply. It answers the
// requests of peers with Lend and HandleReturn.
//
// The embedder calls Ready after every event, and Tick every few milliseconds. A
// Scheduler is not safe for concurrent use.
package sched
