package coordinator

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lavendercleat/lavendercleat/member"
	"github.com/lavendercleat/lavendercleat/task"
)

// stoppedWithin ticks for a duration and returns the jobs that Output.Stopped listed.
func (r *rig) stoppedWithin(d time.Duration) (list []string) {
	for end := r.now + d; r.now < end; r.now += 25 * time.Millisecond {
		r.c.Tick(r.now)
		o := r.c.Drain()
		r.messages = append(r.messages, o.Messages...)
		list = append(list, o.Stopped...)
	}
	return list
}

// canceledRig returns a rig with a canceled job of two tasks, one at each of two executors.
func canceledRig(t *testing.T) *rig {
	r := newRig(t)
	r.setExecutor(peerB, 1, "w1", 1)
	r.setExecutor(peerC, 1, "w2", 1)
	r.c.Submit(r.now, testJob("j", 2))
	assert.Equal(t, len(r.offers(peerB))+len(r.offers(peerC)), 2)
	r.c.Cancel(r.now, "j")
	r.drain()
	for _, m := range r.messages {
		assert.Assert(t, m.Withdraw == nil || m.Confirm)
	}
	return r
}

func (r *rig) reportStopped(index uint32, o task.Outcome) {
	id := task.ID{Job: "j", Index: index}
	r.c.HandleReport(r.now, r.holderOf(id), task.Report{ID: id, Run: 1, Outcome: o})
}

// A caller that disconnected submits its job again at another daemon. The job must not count as
// stopped here while an executor still runs one of its tasks.
func TestCanceledJobIsStoppedWithItsLastRun(t *testing.T) {
	r := canceledRig(t)
	assert.Assert(t, r.c.IsStopping("j"))
	r.reportStopped(0, task.NotRun)
	r.reportStopped(1, task.Started)
	assert.Equal(t, len(r.stoppedWithin(time.Second)), 0)
	r.reportStopped(1, task.Terminated)
	assert.DeepEqual(t, r.stoppedWithin(25*time.Millisecond), []string{"j"})
	assert.Assert(t, !r.c.IsStopping("j"))
}

// An executor cannot report on the runs of a canceled job. The job would count as stopped too early,
// or never.
func TestCanceledJobAtLostExecutor(t *testing.T) {
	for name, lose := range map[string]func(r *rig){
		"executor lost": func(r *rig) { r.c.HandleExecutorLost(r.now, r.holderOf(task.ID{Job: "j", Index: 1})) },
		"worker taken":  func(r *rig) { r.reportStopped(1, task.Moved) },
	} {
		t.Run(name, func(t *testing.T) {
			r := canceledRig(t)
			r.reportStopped(0, task.Terminated)
			lose(r)
			r.reportStopped(1, task.NotRun) // the report proves nothing by now
			assert.Equal(t, len(r.stoppedWithin(maxStopTime-50*time.Millisecond)), 0)
			assert.DeepEqual(t, r.stoppedWithin(100*time.Millisecond), []string{"j"})
		})
	}
}

// holderOf returns the executor from which a task of an ended job was withdrawn.
func (r *rig) holderOf(id task.ID) member.Process { return r.c.stopping[id.Job][id].holder }

// An executor has a task again under a later run number when its late report on the earlier run
// arrives. The report must not count for the later run, which may still run.
func TestLateReportOnEarlierRunDoesNotStopLaterRun(t *testing.T) {
	r := newRig(t)
	r.setExecutor(peerB, 1, "w1", 1)
	first := r.offerOfJob(peerB, "j")
	r.report(peerB, first, task.Terminated, "", "x")
	r.setExecutor(peerB, 1, "w1", 1)
	r.drain()
	var again task.Task
	for _, x := range r.offers(peerB) {
		again = x
	}
	assert.Equal(t, again.Run, first.Run+1)
	r.c.Cancel(r.now, "j")
	r.drain()
	r.c.HandleReport(r.now, peerB, task.Report{ID: first.ID, Run: first.Run, Outcome: task.Terminated})
	assert.Equal(t, len(r.stoppedWithin(100*time.Millisecond)), 0)
}
