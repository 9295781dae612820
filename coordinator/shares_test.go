package coordinator

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lavendercleat/lavendercleat/executor"
	"github.com/lavendercleat/lavendercleat/task"
)

// shareRig drives a coordinator with one worker for four tasks and jobs of two queues.
type shareRig struct {
	*rig
	submitted int
}

func newShareRig(t *testing.T) *shareRig {
	c := &shareRig{rig: newRig(t)}
	c.setCapacity(4, executor.Backlog{})
	return c
}

// setCapacity reports how many of 4 cores are free and what is queued.
func (c *shareRig) setCapacity(free int64, backlog executor.Backlog, peers ...ExecutorState) {
	c.c.UpdateExecutor(ExecutorState{Process: self, Domain: "a", Workers: []executor.WorkerCapacity{workerWith("w1", free)}, Backlog: map[string]executor.Backlog{"quotes": backlog}, ReportedAt: c.now})
	for _, p := range peers {
		p.ReportedAt = c.now
		c.c.UpdateExecutor(p)
	}
}

// submit submits a job of one task of 1 core and 100 ms.
func (c *shareRig) submit(queue string) *job {
	c.submitted++
	j := testJob(fmt.Sprint(queue, c.submitted), 1)
	j.Queue, j.Deadline = queue, c.now+4*time.Second
	c.c.Submit(c.now, j)
	return c.c.jobs[j.ID]
}

// learnUsualDemand submits 16 jobs a second to each queue for some seconds: 3.2 of 4 cores for two queues.
func (c *shareRig) learnUsualDemand(queues ...string) {
	for range 128 {
		c.now += 62500 * time.Microsecond
		c.setCapacity(4, executor.Backlog{})
		for _, q := range queues {
			c.submit(q)
		}
	}
	c.answers = nil
}

// flood submits a job to the queue busy every 5 ms for a second, without free capacity. It returns the
// parts of the jobs of each queue that are within their share.
func (c *shareRig) flood(peers ...ExecutorState) map[string]float64 {
	within := map[string]float64{}
	for i := range 200 {
		c.now += 5 * time.Millisecond
		c.setCapacity(0, executor.Backlog{}, peers...)
		count := func(queue string, part float64) {
			if j := c.submit(queue); j != nil && !j.overShare {
				within[queue] += part
			}
		}
		count("busy", 1.0/200)
		if i%16 == 0 {
			count("calm", 1.0/13)
		}
	}
	return within
}

// One queue is flooded. Jobs of another queue with its usual demand must not be refused.
func TestQueueWithinItsShareDuringAFlood(t *testing.T) {
	c := newShareRig(t)
	c.learnUsualDemand("busy", "calm")
	within := c.flood()
	assert.Assert(t, within["calm"] > 0.9, "%v", within)
	assert.Assert(t, within["busy"] < 0.25, "%v", within)

	// Queued work over the shares delays only other jobs over the shares.
	var overShareWork executor.Backlog
	overShareWork.OverShare()[0] = 40_000
	c.setCapacity(0, overShareWork)
	c.drain()
	c.answers = nil
	assert.Assert(t, c.submit("calm") != nil)
	for range 5 {
		c.submit("busy")
	}
	c.drain()
	assert.Assert(t, len(c.answers) > 0)
	for _, a := range c.answers {
		assert.Equal(t, a.Status, Refused)
		assert.Equal(t, a.Reason, ReasonOverShare)
	}
	busy := c.c.ShareStates(c.now)[0]
	assert.Assert(t, busy.OverShare >= busy.Refused && busy.Refused > 0, "%+v", busy)
	assert.Assert(t, busy.Demand > 5*busy.Share, "%+v", busy)
}

// A job over its share has started some of its tasks. Its other tasks must not queue behind all other
// work any more: the finished part is of no use without them.
func TestOverShareJobThatHasStartedIsFinished(t *testing.T) {
	c := newShareRig(t)
	c.setCapacity(2, executor.Backlog{})
	j := testJob("job", 2)
	c.c.Submit(c.now, j)
	job := c.c.jobs["job"]
	job.overShare = true
	for _, t := range job.tasks {
		t.OverShare = true
	}
	first := c.offers(self)
	assert.Equal(t, len(first), 2)
	c.c.HandleReport(c.now, self, task.Report{ID: first[0].ID, Run: first[0].Run, Outcome: task.NotRun, Reason: executor.ReasonCapacityTaken})
	assert.Assert(t, c.offers(self)[0].OverShare)
	c.c.HandleReport(c.now, self, task.Report{ID: first[1].ID, Run: first[1].Run, Outcome: task.Started, Worker: "w1"})
	c.c.HandleReport(c.now, self, task.Report{ID: first[0].ID, Run: first[0].Run + 1, Outcome: task.NotRun, Reason: executor.ReasonReclaimed})
	assert.Assert(t, !c.offers(self)[0].OverShare)
}

// Jobs must not count as over their share while there is capacity for all.
func TestNothingIsOverShareWithFreeCapacity(t *testing.T) {
	c := newShareRig(t)
	c.learnUsualDemand("busy", "calm")
	for _, s := range c.c.ShareStates(c.now) {
		assert.Equal(t, s.OverShare, uint64(0))
	}
}

// A peer that reports an absurd demand must not take all capacity from the others, nor any once it is
// lost.
func TestAbsurdDemandOfAPeer(t *testing.T) {
	for _, c := range []struct {
		name, domain, queue string
		reported            int64
		minimum             float64
	}{
		{"huge, of another failure domain", "b", "calm", math.MaxInt64, 0.9},
		{"huge, of the same claimant", "a", "calm", math.MaxInt64, 0.4},
		{"negative", "a", "calm", math.MinInt64, 0.9},
		{"huge, of a queue that nobody else knows", "b", "nonsense", math.MaxInt64, 0.9},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newShareRig(t)
			r.learnUsualDemand("calm")
			peer := ExecutorState{Process: peerB, Distance: 1, Domain: c.domain, Demands: []Demand{{Service: "quotes", Queue: c.queue, MilliCPU: c.reported}}}
			within := r.flood(peer)
			assert.Assert(t, within["calm"] > c.minimum, "%v", within)
			r.c.HandleExecutorLost(r.now, peerB)
			d := r.c.divide(r.now+divisionMaxAge, "quotes")
			for _, n := range d.claimants {
				assert.Assert(t, d.demands[n] < d.capacity*10 && n.domain == "a" && n.queue != "nonsense")
			}
		})
	}
}

// The demand that a peer reported must not count once the peer is overdue.
func TestDemandOfSilentPeerIsIgnored(t *testing.T) {
	c := newShareRig(t)
	c.setCapacity(4, executor.Backlog{}, ExecutorState{Process: peerB, Distance: 1, Domain: "b", Demands: []Demand{{Service: "quotes", Queue: "q", MilliCPU: 3000}}})
	assert.Equal(t, len(c.c.divide(c.now, "quotes").claimants), 1)
	c.now += time.Second
	c.setCapacity(4, executor.Backlog{})
	assert.Equal(t, len(c.c.divide(c.now, "quotes").claimants), 0)
}

// Queues that no job is submitted to any more, and the divisions of their services, must be forgotten. Otherwise
// every name that a configuration ever had would stay as long as the process.
func TestUnusedQueuesAreForgotten(t *testing.T) {
	c := newShareRig(t)
	c.submit("old")
	c.now += queueRetention
	c.submit("new")
	assert.Equal(t, len(c.c.ShareStates(c.now)), 2)
	c.now++
	list := c.c.ShareStates(c.now)
	assert.Assert(t, len(list) == 1 && list[0].Queue == "new", "%+v", list)
	assert.Equal(t, len(c.c.shares.divisions), 1)
	c.now += queueRetention
	assert.Equal(t, len(c.c.ShareStates(c.now)), 0)
	assert.Equal(t, len(c.c.shares.divisions), 0)
}
