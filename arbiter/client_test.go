package arbiter

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A caller submits its job to a second daemon while the first runs it. The job must not start twice.
func TestSecondDaemonWaitsForHolder(t *testing.T) {
	f := newFleet(t, 5)
	f.daemons[0].requestStart("j")
	f.deliverAll()
	assert.DeepEqual(t, f.runs("j"), []int{0})
	f.daemons[1].requestStart("j")
	f.deliverAll()
	assert.DeepEqual(t, f.runs("j"), []int{0})
	assert.Assert(t, f.daemons[0].client.HasWaiters("j"))
	f.daemons[0].complete("j")
	f.deliverAll()
	assert.DeepEqual(t, f.daemons[1].answered, []string{"j"})
}

// A caller submits its job to a second daemon while the first is stopping it. The job must not start
// before the first has stopped.
func TestSecondDaemonWaitsUntilHolderHasStopped(t *testing.T) {
	f := newFleet(t, 5)
	f.daemons[0].requestStart("j")
	f.deliverAll()
	f.daemons[0].client.Abandon("j")
	f.daemons[1].requestStart("j")
	f.deliverAll()
	assert.DeepEqual(t, f.runs("j"), []int{0})
	f.daemons[0].stop("j")
	f.deliverAll()
	assert.DeepEqual(t, f.runs("j"), []int{1})
}

// A job that completed long ago is submitted to another daemon. The first daemon no longer knows the job.
func TestCompletedJobStartsElsewhere(t *testing.T) {
	f := newFleet(t, 5)
	f.daemons[0].requestStart("j")
	f.deliverAll()
	f.daemons[0].complete("j")
	f.daemons[1].requestStart("j")
	f.deliverAll()
	assert.DeepEqual(t, f.runs("j"), []int{1})
}

// A caller submits its job again to the daemon that is still stopping the first attempt.
func TestJobIsRequestedAgainWhileStopping(t *testing.T) {
	f := newFleet(t, 3)
	f.daemons[0].requestStart("j")
	f.deliverAll()
	f.daemons[0].client.Abandon("j")
	f.daemons[0].requestStart("j")
	f.deliverAll()
	assert.Equal(t, len(f.daemons[0].client.Drain().Start), 0)
	f.daemons[0].stop("j")
	f.deliverAll()
	assert.DeepEqual(t, f.runs("j"), []int{0})
}

// disconnect makes daemon 0 and the others unreachable for each other.
func (f *fleet) disconnect(others ...*daemon) {
	for _, d := range others {
		d.unreachable[0] = true
		d.client.HandleUnreachable(f.now, process(0))
		f.daemons[0].client.HandleUnreachable(f.now, process(d.number))
	}
}

// The holder is unreachable. Its job must not start elsewhere before the quiescence check succeeds, and
// must start after it.
func TestUnreachableHolder(t *testing.T) {
	f := newFleet(t, 5)
	f.daemons[0].requestStart("j")
	f.deliverAll()
	f.disconnect(f.daemons[1:]...)
	f.daemons[1].requestStart("j")
	f.deliverAll()
	assert.Assert(t, slices.Contains(f.daemons[1].quiescenceChecks, process(0)))
	f.advance(time.Second)
	assert.DeepEqual(t, f.runs("j"), []int{0})
	f.daemons[1].client.HandleQuiescence(f.now, process(0))
	f.daemons[1].carryOut()
	f.deliverAll()
	assert.DeepEqual(t, f.runs("j"), []int{0, 1})
}

// An arbiter that grants the job to another daemon reaches the holder. Unless it notifies the holder,
// the holder continues to start tasks.
func TestDisplacedHolderIsNotified(t *testing.T) {
	f := newFleet(t, 5)
	f.daemons[0].requestStart("j")
	f.deliverAll()
	f.disconnect(f.daemons[1])
	f.daemons[1].requestStart("j")
	f.deliverAll()
	f.daemons[1].client.HandleQuiescence(f.now, process(0))
	f.daemons[1].carryOut()
	f.deliverAll()
	assert.DeepEqual(t, f.runs("j"), []int{1})
}

// The job was granted to another daemon while its holder was unreachable. When the holder is reachable
// again, it must not continue to run the job.
func TestDisplacedHolderIsReachableAgain(t *testing.T) {
	f := newFleet(t, 5)
	f.daemons[0].requestStart("j")
	f.deliverAll()
	f.disconnect(f.daemons[1:]...)
	f.daemons[1].requestStart("j")
	f.deliverAll()
	f.daemons[1].client.HandleQuiescence(f.now, process(0))
	f.daemons[1].carryOut()
	f.deliverAll()
	assert.DeepEqual(t, f.runs("j"), []int{0, 1})
	for _, d := range f.daemons[1:] {
		d.unreachable[0] = false
		d.client.HandleReachable(f.now, process(0))
		f.daemons[0].client.HandleReachable(f.now, process(d.number))
	}
	f.daemons[0].carryOut()
	f.deliverAll()
	assert.DeepEqual(t, f.runs("j"), []int{1})
	f.daemons[1].complete("j")
	f.deliverAll()
	assert.DeepEqual(t, f.daemons[0].answered, []string{"j"})
}

// Arbiters do not answer. One such arbiter must not block all jobs; two must not let a daemon start a job
// that another daemon may hold.
func TestArbitersThatDoNotAnswer(t *testing.T) {
	f := newFleet(t, 5)
	f.daemons[0].requestStart("j")
	f.links[[2]int{0, 3}] = nil
	f.deliverAll()
	assert.Equal(t, len(f.runs("j")), 0)
	f.advance(grantTimeout + 50*time.Millisecond)
	assert.DeepEqual(t, f.runs("j"), []int{0})

	f.daemons[0].requestStart("k")
	f.links[[2]int{0, 3}], f.links[[2]int{0, 2}] = nil, nil
	f.advance(time.Second)
	assert.Equal(t, len(f.runs("k")), 0)
	for _, lost := range []int{2, 3} {
		f.daemons[0].unreachable[lost] = true
		f.daemons[0].client.HandleUnreachable(f.now, process(lost))
	}
	f.daemons[0].carryOut()
	f.deliverAll()
	assert.DeepEqual(t, f.runs("k"), []int{0})
}

// A caller's deadline passes while its job waits for another daemon. The daemon must report that the job
// may have run.
func TestCallerLeavesBeforeGrant(t *testing.T) {
	f := newFleet(t, 5)
	f.daemons[0].requestStart("j")
	f.deliverAll()
	d := f.daemons[1]
	d.requestStart("j")
	f.deliverAll()
	f.now += 6 * time.Second
	d.client.Tick(f.now)
	assert.DeepEqual(t, d.client.Drain().Expired, []Expiry{{"j", true}})
	d.client.Abandon("j")
	d.carryOut()
	f.deliverAll()
	assert.Assert(t, !f.daemons[0].client.HasWaiters("j"))
}

// The same job is submitted to several daemons at once, and messages arrive in any order. Exactly one
// daemon must start it.
func TestOnlyOneDaemonStartsJob(t *testing.T) {
	const orders = 4000
	for seed := range uint64(orders) {
		r := rand.New(rand.NewPCG(seed, 1))
		f := newFleet(t, 5)
		// Daemons 0 and 4 cannot reach each other, so not all daemons have the same arbiters.
		f.daemons[0].unreachable[4], f.daemons[4].unreachable[0] = true, true
		callers := 2 + r.IntN(2)
		for i := range callers {
			for range r.IntN(4) {
				f.deliver(r.IntN(5), r.IntN(5))
			}
			f.daemons[i].requestStart("j")
		}
		for range 200 {
			f.deliver(r.IntN(5), r.IntN(5))
			assert.Assert(t, len(f.runs("j")) <= 1, "seed %d: started at %v", seed, f.runs("j"))
		}
		for range callers {
			f.advance(400 * time.Millisecond)
			at := f.runs("j")
			assert.Assert(t, len(at) <= 1, "seed %d: started at %v", seed, at)
			if len(at) == 1 {
				f.daemons[at[0]].answered = append(f.daemons[at[0]].answered, "j")
				f.daemons[at[0]].complete("j")
				f.deliverAll()
			}
		}
		for i := range callers {
			assert.Equal(t, fmt.Sprint(f.daemons[i].answered), "[j]", "seed %d: daemon %d of %d", seed, i, callers)
		}
	}
}

// A burst of jobs must not make an arbiter's memory grow without bound.
func TestGrantsAreBounded(t *testing.T) {
	a := New()
	for i := range maxGrants + 10 {
		a.HandleRequest(0, GrantRequest{Job: fmt.Sprint(i), From: Attempt{process(0), 1}, GrantDuration: time.Duration(i) * time.Millisecond})
		if i > maxGrants {
			assert.Equal(t, a.GrantCount(), maxGrants)
		}
	}
	a.RemoveExpired(time.Hour)
	assert.Equal(t, a.GrantCount(), 0)
}
