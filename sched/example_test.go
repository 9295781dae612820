package sched_test

import (
	"fmt"
	"time"

	"github.com/lavendercleat/lavendercleat/sched"
	"github.com/lavendercleat/lavendercleat/slot"
	"github.com/lavendercleat/lavendercleat/verdict"
)

// A job of two tasks runs on one worker with one slot: the second task starts when the
// first has ended. A job that cannot complete in time is refused with a Retry-After.
func ExampleScheduler() {
	s := sched.New(sched.DefaultConfig())
	s.SetWorkers(0, []sched.Worker{{Address: "10.0.0.1:80", Slots: 1}})
	job := sched.Job{Key: 1, Kind: "quote", Urgency: sched.Normal, Tasks: 2, Deadline: 5 * time.Second, RunTime: 400 * time.Millisecond}
	fmt.Println(s.Submit(0, job))
	late := sched.Job{Key: 2, Kind: "quote", Urgency: sched.Normal, Tasks: 1, Deadline: time.Second, RunTime: 400 * time.Millisecond}
	if refusal := s.Submit(0, late); refusal.Verdict == verdict.NotRun {
		fmt.Println(refusal.Reason, refusal.RetryAfter)
	}
	for now := 400 * time.Millisecond; now <= 800*time.Millisecond; now += 400 * time.Millisecond {
		for _, start := range s.Ready().Starts {
			fmt.Println("start", start.Task, "on", start.Worker)
			s.HandleOutcome(now, start, sched.Outcome{})
		}
	}
	fmt.Println("complete:", s.Ready().Ended[0].Failure == nil)
	// Output:
	// <nil>
	// overloaded 500ms
	// start 0 on 10.0.0.1:80
	// start 1 on 10.0.0.1:80
	// complete: true
}

// One loan from the point of view of the lender and of the borrower.
func ExampleScheduler_Lend() {
	lender, borrower := sched.New(sched.DefaultConfig()), sched.New(sched.DefaultConfig())
	lender.SetWorkers(0, []sched.Worker{{Address: "10.0.0.1:80", Slots: 4}})
	borrower.SetWorkers(0, []sched.Worker{{Address: "10.0.0.1:80"}})
	peer := sched.Peer{Address: "10.0.1.1:7403", Incarnation: 1}
	borrower.SetPeers(0, []sched.Peer{peer})
	borrower.SetPeerFree(0, peer, lender.Load(0).Lendable, 0)
	borrower.Submit(0, sched.Job{Key: 1, Kind: "quote", Tasks: 3, Deadline: time.Second})
	for _, b := range borrower.Ready().Borrows {
		answer := lender.Lend(time.Millisecond, sched.LendRequest{
			Borrower: slot.Borrower{Address: "10.0.1.2:7403"}, Slots: b.Slots, Term: b.Term, Needs: b.Needs,
		})
		borrower.HandleLendReply(2*time.Millisecond, b, &answer)
	}
	fmt.Println(len(borrower.Ready().Starts), "started,", lender.Load(0).Lent, "lent")
	// Output:
	// 3 started, 3 lent
}
