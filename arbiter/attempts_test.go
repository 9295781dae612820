package arbiter

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lavendercleat/lavendercleat/member"
)

// A holder reports that nothing of a job runs there, and is then granted the job again. Without the
// attempt's number the earlier report would displace the later attempt.
func TestStaleNotRunningDoesNotDisplaceLaterAttempt(t *testing.T) {
	f := newFleet(t, 5)
	first, second := f.daemons[0], f.daemons[1]
	first.requestStart("j")
	f.deliverAll()
	second.requestStart("j")
	f.deliverAll()
	first.client.Abandon("j")
	first.stop("j") // sends Release to 4, 3, 2 and NotRunning to 1
	for _, a := range []int{4, 3, 2} {
		for f.deliver(0, a) {
		}
	}
	for f.deliver(0, 1) {
	} // the second daemon requests the job now; its requests are in flight
	first.requestStart("j") // the caller submits to the first daemon again
	for _, a := range []int{4, 3, 2} {
		f.deliver(0, a)
		f.deliver(a, 0)
	}
	assert.DeepEqual(t, f.runs("j"), []int{0})
	for _, a := range []int{4, 3, 2} {
		f.deliver(1, a)
		for f.deliver(a, 1) {
		}
	}
	assert.DeepEqual(t, f.runs("j"), []int{0})
}

// fixedView is a view with the same arbiters throughout. They stay arbiters when they are unreachable,
// as during the grace period.
type fixedView struct {
	list        []member.Process
	unreachable map[member.Process]bool
}

func (v *fixedView) Arbiters(string, int) []member.Process { return v.list }
func (v *fixedView) Reachable(p member.Process) bool       { return !v.unreachable[p] }

func newFixedView() (*fixedView, *Client) {
	v := &fixedView{list: []member.Process{process(1), process(2), process(3)}, unreachable: make(map[member.Process]bool)}
	return v, NewClient(process(0), v)
}

// A daemon pauses with two of three grants. When it resumes, the job may have been granted to another
// daemon, so the grants from before the pause must not start it.
func TestGrantsFromBeforePauseStartNothing(t *testing.T) {
	_, c := newFixedView()
	c.RequestStart(0, "j", 9*time.Second)
	c.HandleVerdict(0, process(1), "j", Verdict{Granted: true})
	c.HandleVerdict(0, process(2), "j", Verdict{Granted: true})
	c.Drain()
	now := 4 * time.Second
	for n := 1; n <= 3; n++ {
		c.HandleUnreachable(now, process(n)) // as the node does when it resumes
	}
	assert.Equal(t, len(c.Drain().Start), 0)
}

// A request was lost because its arbiter was unreachable or the link broke. Unless the client requests
// again when the arbiter is reachable, the job waits until its caller's deadline.
func TestReconnectedArbiterIsAskedAgain(t *testing.T) {
	_, c := newFixedView()
	c.RequestStart(0, "j", 9*time.Second)
	c.Drain()
	for n := 1; n <= 3; n++ {
		c.HandleUnreachable(10*time.Millisecond, process(n)) // within the grace period: it stays an arbiter
		c.HandleReachable(50*time.Millisecond, process(n))
	}
	asked := 0
	for now := 50 * time.Millisecond; now < 8*time.Second; now += 25 * time.Millisecond {
		c.Tick(now)
		asked += len(c.Drain().Messages)
	}
	assert.Assert(t, asked > 0, "the job waits until its caller's deadline")
}

// An arbiter grants the job, becomes unreachable, grants the job to another daemon, and is reachable
// again. Its first grant must not count.
func TestGrantOfUnreachableArbiterDoesNotCount(t *testing.T) {
	v, c := newFixedView()
	c.RequestStart(0, "j", 9*time.Second)
	c.HandleVerdict(0, process(1), "j", Verdict{Granted: true}) // 2 and 3 do not answer
	v.list = []member.Process{process(2), process(3), process(4)}
	c.HandleUnreachable(time.Second, process(1))
	// On the other side of the partition the quiescence check of this daemon succeeds. 1 and 3 grant the
	// job to another daemon, which starts it. 2 is frozen.
	v.list = []member.Process{process(1), process(2), process(3)}
	c.HandleReachable(5*time.Second, process(1))
	c.Tick(5 * time.Second)
	c.HandleVerdict(5*time.Second, process(2), "j", Verdict{Granted: true})
	assert.Equal(t, len(c.Drain().Start), 0)
}

// The quiescence check of a holder succeeds while one arbiter does not answer. If each repetition of the
// check restarted the requests, the grants of the other arbiters would never suffice after grantTimeout.
func TestQuiescenceIsUsedOnce(t *testing.T) {
	v, c := newFixedView()
	c.RequestStart(0, "j", 9*time.Second)
	v.unreachable[process(7)] = true
	c.HandleVerdict(0, process(1), "j", Verdict{Holder: Attempt{process(7), 1}})
	c.Drain()
	requests, started := 0, false
	for now := time.Second; now < 1500*time.Millisecond; now += 25 * time.Millisecond {
		c.Tick(now)
		c.HandleQuiescence(now, process(7)) // each time, as if the check were repeated
		o := c.Drain()
		for _, m := range o.Messages {
			if m.Request != nil {
				requests++
				if m.To != process(3) {
					c.HandleVerdict(now, m.To, "j", Verdict{Granted: true})
				}
			}
		}
		o2 := c.Drain()
		started = started || len(o.Start)+len(o2.Start) > 0
	}
	assert.Assert(t, started, "requests sent: %d", requests)
	assert.Assert(t, requests <= 6, "requests sent: %d", requests)
}

// A started job is revoked while a daemon that precedes this one waits here. That daemon may be the
// holder, so without a NotRunning reply the daemons would wait for each other in a cycle.
func TestRevokedJobDoesNotDeadlockWaiters(t *testing.T) {
	f := newFleet(t, 8)
	// c (5) has started the job; i (0) waits for it; arbiters for which c is unreachable grant it to e (3).
	c, e, i := f.daemons[5].client, f.daemons[3].client, f.daemons[0].client
	c.RequestStart(0, "j", 9*time.Second)
	for _, a := range []int{7, 6, 4} {
		c.jobs["j"].replies[process(a)] = pending
	}
	c.jobs["j"].state = started
	i.RequestStart(0, "j", 9*time.Second)
	i.HandleVerdict(0, process(7), "j", Verdict{Holder: Attempt{process(5), 1}})
	c.HandleQuery(process(0), "j")
	e.RequestStart(0, "j", 9*time.Second)
	e.HandleVerdict(0, process(6), "j", Verdict{Holder: Attempt{process(0), 1}}) // i was first at that arbiter
	i.HandleQuery(process(3), "j")                                               // i precedes e: e waits
	c.jobs["j"].replies[process(7)] = unknown
	c.HandleVerdict(0, process(7), "j", Verdict{Holder: Attempt{process(3), 1}})
	assert.Equal(t, len(c.Drain().Revoked), 1)
	c.Revoke("j")
	c.ConfirmStopped(0, "j")
	c.HandleVerdict(0, process(7), "j", Verdict{Holder: Attempt{process(3), 1}})
	e.HandleQuery(process(5), "j") // e precedes c: c waits
	cycle := c.WaitsFor(process(3), "j") && e.WaitsFor(process(0), "j") && i.WaitsFor(process(5), "j")
	notified := slices.ContainsFunc(c.Drain().Messages, func(m Message) bool { return m.NotRunning == "j" && m.To == process(0) })
	assert.Assert(t, !cycle || notified, "5 waits for 3, 3 for 0 and 0 for 5 until the callers leave")
}

// Three daemons join between two attempts and become all of a job's arbiters. Unless the holder tells
// them of the job, they grant it to a second daemon.
func TestNewArbitersLearnOfStartedJob(t *testing.T) {
	f := newFleet(t, 8)
	for _, d := range f.daemons {
		d.unreachable[7], d.unreachable[6], d.unreachable[5] = true, true, true
	}
	f.daemons[0].requestStart("j")
	f.deliverAll()
	assert.DeepEqual(t, f.runs("j"), []int{0})
	for _, d := range f.daemons {
		d.unreachable = make(map[int]bool)
	}
	for n := 5; n <= 7; n++ {
		f.daemons[0].client.HandleReachable(f.now, process(n))
	}
	f.daemons[0].carryOut()
	f.deliverAll()
	f.daemons[1].requestStart("j")
	f.deliverAll()
	assert.DeepEqual(t, f.runs("j"), []int{0})
}

// At maxGrants the arbiter drops the grant that expires first. Dropping any other one would lose grants
// of jobs that run longer.
func TestFullArbiterDropsGrantThatExpiresNext(t *testing.T) {
	a := New()
	for n := range maxGrants / 2 {
		a.HandleRequest(0, GrantRequest{Job: fmt.Sprint("late", n), From: Attempt{process(0), 1}, GrantDuration: time.Minute})
		a.HandleRequest(0, GrantRequest{Job: fmt.Sprint("soon", n), From: Attempt{process(0), 1}, GrantDuration: time.Second})
	}
	for n := range 100 {
		a.HandleRequest(0, GrantRequest{Job: fmt.Sprint("new", n), From: Attempt{process(1), 1}, GrantDuration: time.Minute})
	}
	late := 0
	for n := range maxGrants / 2 {
		if _, ok := a.grants[fmt.Sprint("late", n)]; ok {
			late++
		}
	}
	assert.Equal(t, late, maxGrants/2)
}

// A job of a long-waiting caller must not be granted to another daemon while it is running.
func TestGrantLastsUntilCallerDeadline(t *testing.T) {
	a := New()
	a.HandleRequest(0, GrantRequest{Job: "j", From: Attempt{process(0), 1}, GrantDuration: 20 * time.Minute})
	v, _ := a.HandleRequest(11*time.Minute, GrantRequest{Job: "j", From: Attempt{process(1), 1}, GrantDuration: time.Minute})
	assert.Assert(t, !v.Granted)
}

// A displaced holder is reachable again. An earlier report that nothing runs at the current holder must
// not give the job back to the displaced one.
func TestFormerHolderDoesNotDisplaceWithStaleNotRunning(t *testing.T) {
	f := newFleet(t, 5)
	former, current := f.daemons[0], f.daemons[1]
	current.requestStart("j")
	f.deliverAll()
	former.requestStart("j")
	f.deliverAll()
	current.client.Abandon("j")
	current.stop("j")
	f.deliverAll()
	assert.DeepEqual(t, f.runs("j"), []int{0})
	f.disconnect(f.daemons[1:]...)
	current.requestStart("j")
	f.deliverAll()
	current.client.HandleQuiescence(f.now, process(0))
	current.carryOut()
	f.deliverAll()
	assert.DeepEqual(t, f.runs("j"), []int{0, 1}) // the former holder has not been notified yet
	for _, d := range f.daemons[1:] {
		delete(d.unreachable, 0)
		d.client.HandleReachable(f.now, process(0))
		former.client.HandleReachable(f.now, process(d.number))
	}
	former.carryOut()
	f.deliverAll()
	assert.DeepEqual(t, f.runs("j"), []int{1})
}
