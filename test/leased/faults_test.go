// The tests of single faults of daemons, workers and the store while callers send jobs.

package leased

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lavendercleat/lavendercleat/platform/platformtest"
)

// shortTasks is a worker without faults whose tasks are short.
var shortTasks = platformtest.WorkerBehaviour{RunTime: 60 * time.Millisecond}

// Without faults every caller gets a complete answer, and each task runs exactly once.
func TestJobsWithoutFaults(t *testing.T) {
	t.Parallel()
	s := startSystem(t, 3, 6, shortTasks)
	out := s.runUnderLoad(2*time.Second, 4, func() {})
	assert.Equal(t, out.refused+out.unclear, 0)
	assert.Assert(t, out.completed > 20)
	for name, n := range s.recorder.Starts() {
		assert.Equal(t, n, 1, name)
	}
}

// A daemon with jobs is killed. Its callers lose their connections and send the jobs to other daemons
// 1.3 s later; no run of the first attempt may be left by then. The successors claim the runs that
// other daemons' jobs had on the killed daemon's workers.
func TestKilledDaemon(t *testing.T) {
	t.Parallel()
	s := startSystem(t, 3, 6, shortTasks)
	s.setBehaviour(platformtest.WorkerBehaviour{RunTime: 2500 * time.Millisecond}) // longer than resendAfter
	out := s.runUnderLoad(7*time.Second, 4, func() {
		time.Sleep(300 * time.Millisecond)
		s.daemons[1].Kill()
		time.Sleep(1500 * time.Millisecond)
		s.daemons[1].startProcess()
	})
	assert.Assert(t, out.completed >= 2)
	assert.Equal(t, out.abandoned, 0)
}

// A daemon is frozen for three seconds and does not notice it. Meanwhile other daemons take over its
// workers, and its callers send their jobs elsewhere. After the freeze it must not give orders to those
// workers, nor start its jobs a second time.
func TestFrozenDaemon(t *testing.T) {
	t.Parallel()
	s := startSystem(t, 3, 6, platformtest.WorkerBehaviour{RunTime: 250 * time.Millisecond})
	out := s.runUnderLoad(7*time.Second, 5, func() {
		time.Sleep(time.Second)
		s.daemons[0].Freeze()
		time.Sleep(3 * time.Second)
		s.daemons[0].Thaw()
	})
	assert.Assert(t, out.completed > 30)
}

// All daemons are killed at once. Their tasks run on until their leases end. The new processes do not
// know these runs and must stop them before the callers' second attempts start.
func TestAllDaemonsKilled(t *testing.T) {
	t.Parallel()
	s := startSystem(t, 3, 6, shortTasks)
	s.setBehaviour(platformtest.WorkerBehaviour{RunTime: 2500 * time.Millisecond})
	out := s.runUnderLoad(7*time.Second, 5, func() {
		time.Sleep(300 * time.Millisecond)
		for _, d := range s.daemons {
			d.Kill()
		}
		for _, d := range s.daemons {
			d.startProcess()
		}
	})
	assert.Assert(t, out.completed >= 2)
	assert.Equal(t, out.abandoned, 0)
}

// A daemon gets SIGTERM. It answers its callers, hands its workers and their runs over to its peers,
// and ends within the grace time.
func TestPlannedStop(t *testing.T) {
	t.Parallel()
	s := startSystem(t, 3, 6, platformtest.WorkerBehaviour{RunTime: 250 * time.Millisecond})
	var callers sync.WaitGroup
	ctx, cancel := context.WithCancel(context.Background())
	// One caller has jobs in progress when the signal comes.
	var mu sync.Mutex
	unanswered := 0
	callers.Go(func() {
		for n := 0; ctx.Err() == nil; n++ {
			status, text := s.postJob(context.Background(), s.daemons[2], prefix, fmt.Sprintf("stop%d", n), 2, 4*time.Second)
			mu.Lock()
			if status != http.StatusOK {
				unanswered++
				t.Logf("job %d: status %d, state %q", n, status, text)
			}
			mu.Unlock()
		}
	})
	time.Sleep(600 * time.Millisecond)
	s.daemons[2].Terminate()
	time.Sleep(200 * time.Millisecond) // by now the balancer sends callers elsewhere
	assert.Assert(t, !s.daemons[2].isReady())
	cancel()
	callers.Wait()
	assert.NilError(t, s.daemons[2].Wait(6*time.Second))
	assert.Equal(t, unanswered, 0)
	assert.Equal(t, len(s.recorder.RanConcurrently()), 0)
}

// One worker executes starts but its replies are lost, another executes starts seconds late. Neither
// may run a task at the same time as the task's second start.
func TestLostAndLateStarts(t *testing.T) {
	t.Parallel()
	s := startSystem(t, 2, 6, shortTasks)
	out := s.runUnderLoad(6*time.Second, 4, func() {
		time.Sleep(500 * time.Millisecond)
		s.workers[0].SetBehaviour(platformtest.WorkerBehaviour{RunTime: 250 * time.Millisecond, DropStartReplies: true})
		s.workers[1].SetBehaviour(platformtest.WorkerBehaviour{RunTime: 250 * time.Millisecond, StartDelay: 2 * time.Second})
		time.Sleep(3 * time.Second)
		s.workers[0].SetBehaviour(shortTasks)
		s.workers[1].SetBehaviour(shortTasks)
	})
	assert.Assert(t, out.completed > 40)
	assert.Equal(t, out.abandoned, 0)
}

// A worker with tasks becomes unresponsive, and its tasks run on unobserved. They are started
// elsewhere only after their leases have certainly ended.
func TestUnresponsiveWorker(t *testing.T) {
	t.Parallel()
	s := startSystem(t, 2, 6, shortTasks)
	behaviour := platformtest.WorkerBehaviour{RunTime: 1500 * time.Millisecond}
	s.setBehaviour(behaviour)
	behaviour.Unresponsive = true
	out := s.runUnderLoad(7*time.Second, 4, func() {
		time.Sleep(500 * time.Millisecond)
		s.workers[0].SetBehaviour(behaviour)
		s.workers[1].SetBehaviour(behaviour)
		time.Sleep(3 * time.Second)
	})
	assert.Assert(t, out.completed >= 4)
	assert.Equal(t, out.abandoned, 0)
}

// One worker fails all its tasks, one makes no progress, and one is unhealthy. The other workers
// serve the callers.
func TestFailingAndStalledWorkers(t *testing.T) {
	t.Parallel()
	s := startSystem(t, 2, 8, shortTasks)
	s.workers[0].SetBehaviour(platformtest.WorkerBehaviour{RunTime: 10 * time.Millisecond, FailTasks: true})
	s.workers[1].SetBehaviour(platformtest.WorkerBehaviour{NoProgress: true})
	s.workers[2].SetBehaviour(platformtest.WorkerBehaviour{Unhealthy: true})
	out := s.runUnderLoad(5*time.Second, 3, func() {})
	assert.Assert(t, out.completed > 30)
	assert.Equal(t, out.abandoned, 0)
}

// The store does not answer for longer than its leases last. The daemons keep serving, and a change
// of the configuration arrives after the outage.
func TestStoreOutage(t *testing.T) {
	t.Parallel()
	s := startSystem(t, 2, 4, shortTasks)
	out := s.runUnderLoad(5*time.Second, 2, func() {
		s.store.SetFault(platformtest.Unresponsive)
		time.Sleep(3 * time.Second)
		s.store.SetFault(platformtest.NoFault)
	})
	assert.Equal(t, out.refused+out.unclear, 0)
	s.configure(2, prefix, "/more/")
	s.waitForStatus("/more/", http.StatusOK, 2*time.Second)
}

// The workers' entries vanish after a store outage and are back 1.5 s later, while the workers run
// all the time. The daemons must not drop workers whose entries are missing for so short a time.
func TestWorkerEntriesMissingAfterStoreOutage(t *testing.T) {
	t.Parallel()
	s := startSystem(t, 2, 4, shortTasks)
	out := s.runUnderLoad(5*time.Second, 2, func() {
		s.store.SetFault(platformtest.Unavailable)
		time.Sleep(1500 * time.Millisecond)
		for _, w := range s.workers {
			s.store.Remove("servers/" + w.ID)
		}
		s.store.SetFault(platformtest.NoFault)
		time.Sleep(1500 * time.Millisecond)
		for _, w := range s.workers {
			s.store.Put("servers/"+w.ID, w.Entry(false))
		}
	})
	assert.Equal(t, out.refused+out.unclear, 0)
}

// A worker's entry says that it is draining. After two seconds the worker must get no new tasks.
func TestDrainingWorker(t *testing.T) {
	t.Parallel()
	s := startSystem(t, 2, 4, shortTasks)
	w := s.workers[0]
	s.runUnderLoad(4*time.Second, 2, func() {
		s.store.Put("servers/"+w.ID, w.Entry(true))
		time.Sleep(2 * time.Second)
		// From here on the worker must get no task. A failed task would eject it, which the log shows.
		w.SetBehaviour(platformtest.WorkerBehaviour{FailTasks: true, RunTime: time.Millisecond})
	})
	for _, d := range s.daemons {
		assert.Assert(t, !strings.Contains(d.Log(), "worker_ejected"), "a leaving worker got tasks")
	}
}

// The configuration changes while the store compacts its history. Each daemon adds and removes
// routes within two seconds.
func TestConfigurationUpdates(t *testing.T) {
	t.Parallel()
	s := startSystem(t, 2, 4, shortTasks)
	s.configure(5, prefix, "/added/")
	s.store.Compact()
	s.waitForStatus("/added/", http.StatusOK, 2*time.Second)
	s.configure(9, prefix)
	s.waitForStatus("/added/", http.StatusNotFound, 2*time.Second)
	s.configure(7, prefix, "/added/") // an older version must not come into force
	time.Sleep(1500 * time.Millisecond)
	s.waitForStatus("/added/", http.StatusNotFound, time.Second)
}

// SIGHUP makes a daemon reload its settings and does not end the process.
func TestReloadOnSIGHUP(t *testing.T) {
	t.Parallel()
	s := startSystem(t, 1, 2, shortTasks)
	s.daemons[0].SendSIGHUP()
	time.Sleep(300 * time.Millisecond)
	assert.Assert(t, s.daemons[0].isReady())
	assert.Assert(t, strings.Contains(s.daemons[0].Log(), "settings_reloaded"))
}

// setBehaviour changes the behaviour of all workers.
func (s *testSystem) setBehaviour(m platformtest.WorkerBehaviour) {
	for _, w := range s.workers {
		w.SetBehaviour(m)
	}
}

// waitForStatus waits until all daemons answer jobs at a path with a status.
func (s *testSystem) waitForStatus(path string, want int, timeout time.Duration) {
	s.t.Helper()
	until := time.Now().Add(timeout)
	for i, d := range s.daemons {
		for n := 0; ; n++ {
			status, _ := s.postJob(context.Background(), d, path, fmt.Sprintf("f%d%d%d", i, n, time.Now().UnixNano()), 1, 3*time.Second)
			if status == want {
				break
			}
			if time.Now().After(until) {
				s.t.Fatalf("%s answers %s with status %d after %s, want %d", d.name, path, status, timeout, want)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// A caller hangs up. The workers must stop its tasks, which would otherwise use capacity
// without a caller and overlap the caller's second attempt.
func TestTasksStopWhenCallerHangsUp(t *testing.T) {
	t.Parallel()
	s := startSystem(t, 2, 4, shortTasks)
	s.setBehaviour(platformtest.WorkerBehaviour{RunTime: 20 * time.Second})
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	status, _ := s.postJob(ctx, s.daemons[0], prefix, "leaving", 4, time.Minute)
	assert.Equal(t, status, 0)
	for until := time.Now().Add(time.Second); s.recorder.RunningCount() > 0; {
		assert.Assert(t, time.Now().Before(until), "tasks still run 1 s after their caller hung up")
		time.Sleep(10 * time.Millisecond)
	}
}
