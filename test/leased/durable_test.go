// The tests of durable jobs without faults, under faults of daemons and the store, and with cancels.

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

// durableEndTimeout is how long it may take under faults until a daemon shows a durable job as ended.
const durableEndTimeout = 25 * time.Second

// durableLoad sends durable jobs and records what callers were told.
type durableLoad struct {
	system   *testSystem
	mu       sync.Mutex
	accepted []string
	// refused holds the jobs whose first attempt was refused. None of their tasks may run.
	refused []string
	// unclear counts the jobs without a clear answer.
	unclear  int
	canceled map[string]bool
	// pause is the time between two jobs of a caller, estimate the declared run time of their tasks.
	pause, estimate time.Duration
}

func newDurableLoad(s *testSystem) *durableLoad {
	return &durableLoad{system: s, canceled: make(map[string]bool), pause: 30 * time.Millisecond, estimate: 100 * time.Millisecond}
}

// callForState makes one request for a durable job. It returns the status and the job's state, or the
// whole answer if that holds no state.
func (s *testSystem) callForState(method string, d *daemon, id, body string) (int, string) {
	const timeout = 4 * time.Second
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	status, answer := s.call(ctx, method, d, prefix+id, "req-"+id, body, timeout)
	if state := parseState(answer); state != "" {
		return status, state
	}
	return status, answer
}

// durableJobBody returns the body of a durable job: one that is not best-effort.
func durableJobBody(tasks int) string { return estimatedJobBody(tasks, 100*time.Millisecond) }

// estimatedJobBody returns the body of a durable job with an estimate of its tasks' run time.
func estimatedJobBody(tasks int, estimate time.Duration) string {
	return fmt.Sprintf(`{"spec":"kept","steps":[{"count":%d,"cpu":%d,"mem-mb":64,"estimate-ms":%d}]}`, tasks, taskCPU, estimate.Milliseconds())
}

// submit sends a job to one daemon after the other until the answer is clear.
func (k *durableLoad) submit(id string, firstDaemon, tasks int) {
	for attempt := range 6 {
		status, _ := k.system.callForState(http.MethodPost, k.system.daemons[(firstDaemon+attempt)%len(k.system.daemons)], id, estimatedJobBody(tasks, k.estimate))
		k.mu.Lock()
		switch {
		case status == http.StatusOK:
			k.accepted = append(k.accepted, id)
		case status == http.StatusServiceUnavailable && attempt == 0:
			k.refused = append(k.refused, id)
		}
		k.mu.Unlock()
		if status == http.StatusOK || status == http.StatusServiceUnavailable {
			return
		}
		time.Sleep(resendAfter)
	}
	k.mu.Lock()
	k.unclear++
	k.mu.Unlock()
}

// fillWorkers submits durable jobs that occupy all workers for a time, and waits until they run.
func (k *durableLoad) fillWorkers(runTime time.Duration) {
	s := k.system
	s.t.Helper()
	s.waitUntilWorkersHeld()
	s.setBehaviour(platformtest.WorkerBehaviour{RunTime: runTime})
	const perWorker = workerCPU / taskCPU
	for i := range s.workers {
		k.submit(fmt.Sprintf("block%d", i), i+1, perWorker)
	}
	for until := time.Now().Add(readyTimeout); s.recorder.RunningCount() < perWorker*len(s.workers); time.Sleep(pollInterval) {
		assert.Assert(s.t, time.Now().Before(until), "the workers are not full")
	}
}

// sendJobs sends jobs from a number of callers for d.
func (k *durableLoad) sendJobs(d time.Duration, callers, tasks int) {
	var wg sync.WaitGroup
	until := time.Now().Add(d)
	for c := range callers {
		wg.Go(func() {
			for n := 0; time.Now().Before(until); n++ {
				k.submit(fmt.Sprintf("k%dn%d", c, n), c+n, tasks)
				time.Sleep(k.pause)
			}
		})
	}
	wg.Wait()
}

// waitForEnd waits until a daemon shows the job as ended, and returns the last state that it saw.
func (k *durableLoad) waitForEnd(id string, firstDaemon int) string {
	lastSeen := ""
	for until := time.Now().Add(durableEndTimeout); time.Now().Before(until); firstDaemon++ {
		status, state := k.system.callForState(http.MethodGet, k.system.daemons[firstDaemon%len(k.system.daemons)], id, "")
		if state == "completed" || state == "failed" || state == "cancelled" {
			return state
		}
		if lastSeen = fmt.Sprintf("%d %s", status, state); status == http.StatusGone {
			return lastSeen
		}
		time.Sleep(50 * time.Millisecond)
	}
	return lastSeen
}

// checkInvariants checks what must hold under any fault. An accepted job is completed with all its
// tasks done, or canceled, or failed because a task has failed in all its attempts. No task of an
// accepted job starts after it was done, no task runs twice at once, and no refused job runs.
func (k *durableLoad) checkInvariants(tasks int) {
	t := k.system.t
	t.Helper()
	accepted := make(map[string]bool)
	for i, id := range k.accepted {
		accepted[id] = true
		want := "completed"
		if k.canceled[id] {
			want = "cancelled"
		}
		if k.failedFinally(id, tasks) {
			want = "failed"
		}
		assert.Equal(t, k.waitForEnd(id, i), want, "job %s", id)
		for n := range tasks {
			assert.Assert(t, want != "completed" || k.system.recorder.IsDone(fmt.Sprintf("%s.0.0.%d", id, n)), "job %s is shown as completed, but its task %d is not done", id, n)
		}
	}
	assert.Equal(t, strings.Join(k.system.recorder.RanConcurrently(), " "), "", "a task ran twice at the same time")
	for _, name := range k.system.recorder.RanAfterDone() {
		id, _, _ := strings.Cut(name, ".")
		assert.Assert(t, !accepted[id], "%s was started again after it was done", name)
	}
	for name := range k.system.recorder.Starts() {
		for _, id := range k.refused {
			assert.Assert(t, !strings.HasPrefix(name, id+"."), "%s ran although its job was refused", name)
		}
	}
	t.Logf("accepted=%d refused=%d unclear=%d", len(k.accepted), len(k.refused), k.unclear)
}

// failedFinally reports whether a task of the job has failed in all its attempts.
func (k *durableLoad) failedFinally(id string, tasks int) bool {
	for n := range tasks {
		if k.system.recorder.FailedRuns(fmt.Sprintf("%s.0.0.%d", id, n)) >= taskAttempts {
			return true
		}
	}
	return false
}

// Without faults every job is accepted, each task runs once, and every daemon shows the same state.
// All daemons answer 410 for a job that no caller sent.
func TestDurableJobsWithoutFaults(t *testing.T) {
	t.Parallel()
	s := startSystem(t, 3, 6, shortTasks)
	k := newDurableLoad(s)
	k.sendJobs(2*time.Second, 3, 2)
	assert.Assert(t, len(k.accepted) > 30)
	assert.Equal(t, len(k.refused)+k.unclear, 0)
	k.checkInvariants(2)
	for name, n := range s.recorder.Starts() {
		if !strings.HasPrefix(name, "settle") { // jobs of the system's start run while workers change their holders
			assert.Equal(t, n, 1, name)
		}
	}
	for _, d := range s.daemons {
		_, state := s.callForState(http.MethodGet, d, k.accepted[0], "")
		assert.Equal(t, state, "completed")
		status, _ := s.callForState(http.MethodGet, d, "nobody", "")
		assert.Equal(t, status, http.StatusGone)
		status, _ = s.callForState(http.MethodPost, d, k.accepted[0], durableJobBody(2)) // a late second attempt
		assert.Equal(t, status, http.StatusOK)
	}
	time.Sleep(300 * time.Millisecond)
	assert.Equal(t, s.recorder.Starts()[k.accepted[0]+".0.0.0"], 1)
}

// All daemons are killed right after they accepted jobs, some of which run. The new processes do not
// know the jobs. They must take over all of them and complete them without a second run of a task
// that was done.
func TestDurableJobsAfterAllDaemonsKilled(t *testing.T) {
	t.Parallel()
	s := startSystem(t, 3, 6, platformtest.WorkerBehaviour{RunTime: 150 * time.Millisecond})
	k := newDurableLoad(s)
	k.sendJobs(700*time.Millisecond, 6, 2)
	for _, d := range s.daemons {
		d.Kill()
	}
	for _, d := range s.daemons {
		d.startProcess()
	}
	for _, d := range s.daemons {
		d.waitUntilReady()
	}
	assert.Assert(t, len(k.accepted) > 10)
	k.checkInvariants(2)
}

// One daemon is killed while callers send jobs. The other daemons must take over its jobs and not stop
// the runs that they execute for them.
func TestDurableJobsAfterOneDaemonKilled(t *testing.T) {
	t.Parallel()
	s := startSystem(t, 3, 6, platformtest.WorkerBehaviour{RunTime: 150 * time.Millisecond})
	k := newDurableLoad(s)
	time.AfterFunc(800*time.Millisecond, func() { s.daemons[1].Kill() })
	k.sendJobs(2*time.Second, 4, 2)
	s.daemons[1].startProcess()
	s.daemons[1].waitUntilReady()
	k.checkInvariants(2)
}

// A daemon accepts its first jobs and is killed for good before the others have read the ownership
// records again. They must find its jobs all the same.
func TestDurableJobsOfDaemonNotRestarted(t *testing.T) {
	t.Parallel()
	s := startSystem(t, 3, 6, shortTasks)
	s.setBehaviour(platformtest.WorkerBehaviour{RunTime: 400 * time.Millisecond})
	k := newDurableLoad(s)
	for i := range 6 {
		k.submit(fmt.Sprintf("gone%d", i), 0, 2)
	}
	s.daemons[0].Kill()
	s.daemons = s.daemons[1:]
	k.checkInvariants(2)
}

// A daemon with jobs is frozen for four seconds. Other daemons remove its ownership record and take
// over its jobs. After the freeze it must start none of them.
func TestDurableJobsOfFrozenDaemon(t *testing.T) {
	t.Parallel()
	s := startSystem(t, 3, 6, platformtest.WorkerBehaviour{RunTime: 200 * time.Millisecond})
	k := newDurableLoad(s)
	time.AfterFunc(700*time.Millisecond, s.daemons[0].Freeze)
	time.AfterFunc(4700*time.Millisecond, s.daemons[0].Thaw)
	k.sendJobs(6*time.Second, 4, 2)
	k.checkInvariants(2)
}

// A daemon is cut off from its peers, which take its jobs over, and from the store for longer: linked again,
// it still takes itself for the owner and claims the successors' runs. All jobs must be completed.
func TestDurableJobsOfOwnerThatLearnsLateOfItsLoss(t *testing.T) {
	t.Parallel()
	s := startSystemWithProxies(t, 3, 6, shortTasks, true)
	s.waitUntilWorkersHeld()
	s.setBehaviour(platformtest.WorkerBehaviour{RunTime: 5 * time.Second})
	k := newDurableLoad(s)
	for i := range 5 { // with room to spare
		id := fmt.Sprintf("late%d", i)
		status, answer := s.callForState(http.MethodPost, s.daemons[0], id, durableJobBody(2))
		assert.Equal(t, status, http.StatusOK, answer)
		k.accepted = append(k.accepted, id)
	}
	s.daemons[0].peerProxy.MuteExisting()
	s.daemons[0].peerProxy.Block()
	s.daemons[0].storeProxy.MuteExisting()
	s.daemons[0].storeProxy.Block()
	time.Sleep(3 * time.Second)
	s.daemons[0].peerProxy.Unblock()
	time.Sleep(6 * time.Second)
	s.daemons[0].storeProxy.Unblock()
	k.checkInvariants(2)
}

// The store is unavailable, then loses replies, then does not answer, then works again. Daemons refuse
// jobs that it cannot store, or give no clear answer. Jobs accepted before go on, and daemons show them
// as ended when the store works again.
func TestDurableJobsDuringStoreOutage(t *testing.T) {
	t.Parallel()
	s := startSystem(t, 3, 6, platformtest.WorkerBehaviour{RunTime: 200 * time.Millisecond})
	k := newDurableLoad(s)
	time.AfterFunc(time.Second, func() { s.store.SetFault(platformtest.Unavailable) })
	time.AfterFunc(2500*time.Millisecond, func() { s.store.SetFault(platformtest.DropReplies) })
	time.AfterFunc(4500*time.Millisecond, func() { s.store.SetFault(platformtest.Unresponsive) })
	time.AfterFunc(5500*time.Millisecond, func() { s.store.SetFault(platformtest.NoFault) })
	k.sendJobs(7*time.Second, 4, 2)
	assert.Assert(t, len(k.accepted) > 10)
	assert.Assert(t, len(k.refused) > 0)
	k.checkInvariants(2)
}

// A daemon gets SIGTERM with jobs that run for longer than its grace time. It gives up its ownership,
// and the other daemons continue the jobs without a second start of a running task.
func TestDurableJobsAtPlannedStop(t *testing.T) {
	t.Parallel()
	s := startSystem(t, 3, 6, shortTasks)
	s.setBehaviour(platformtest.WorkerBehaviour{RunTime: 5 * time.Second})
	k := newDurableLoad(s)
	for i := range 3 {
		k.submit(fmt.Sprintf("long%d", i), i, 2)
	}
	s.daemons[0].Terminate()
	assert.NilError(t, s.daemons[0].Wait(6*time.Second))
	time.Sleep(time.Second) // the platform waits that long before it restarts a process
	s.daemons[0].startProcess()
	s.daemons[0].waitUntilReady()
	k.checkInvariants(2)
	for name, n := range s.recorder.Starts() {
		assert.Assert(t, n == 1 || !strings.HasPrefix(name, "long"), "%s was started %d times", name, n)
	}
}

// Callers cancel jobs at daemons that do not own them. After the acknowledgement all daemons show the
// job as canceled, and soon none of its tasks runs.
func TestCancelledDurableJobs(t *testing.T) {
	t.Parallel()
	s := startSystem(t, 3, 6, platformtest.WorkerBehaviour{RunTime: 2 * time.Second})
	k := newDurableLoad(s)
	for i := range 9 {
		id := fmt.Sprintf("c%d", i)
		k.submit(id, i, 3)
		k.canceled[id] = true
	}
	for i, id := range k.accepted {
		status, _ := s.callForState(http.MethodDelete, s.daemons[(i+1)%3], id, "")
		assert.Equal(t, status, http.StatusOK)
	}
	acknowledged := time.Now()
	time.Sleep(600 * time.Millisecond)
	assert.Equal(t, s.recorder.RunningCount(), 0)
	k.checkInvariants(3)
	for name, at := range s.recorder.LastStarts() {
		if strings.HasPrefix(name, "c") {
			assert.Assert(t, at.Before(acknowledged.Add(300*time.Millisecond)), name)
		}
	}
	status, _ := s.callForState(http.MethodDelete, s.daemons[0], "nobody", "")
	assert.Equal(t, status, http.StatusGone)
}

// All daemons get the same job at once. All of them accept it, and it runs once.
func TestDurableJobSentToAllDaemons(t *testing.T) {
	t.Parallel()
	s := startSystem(t, 3, 6, shortTasks)
	k := newDurableLoad(s)
	for n := range 10 {
		var wg sync.WaitGroup
		for i := range s.daemons {
			wg.Go(func() { k.submit(fmt.Sprintf("same%d", n), i, 2) })
		}
		wg.Wait()
	}
	assert.Equal(t, len(k.accepted), 30)
	k.checkInvariants(2)
	for name, n := range s.recorder.Starts() {
		if !strings.HasPrefix(name, "settle") { // jobs of the system's start run while workers change their holders
			assert.Equal(t, n, 1, name)
		}
	}
}

// The daemons accept more jobs than fit on the workers. Each daemon shows the count of the jobs that
// wait.
func TestPendingJobCount(t *testing.T) {
	t.Parallel()
	s := startSystem(t, 3, 2, shortTasks)
	s.setBehaviour(platformtest.WorkerBehaviour{RunTime: 3 * time.Second})
	k := newDurableLoad(s)
	for i := range 8 { // four tasks fit on the workers
		k.submit(fmt.Sprintf("p%d", i), i, 1)
	}
	time.Sleep(400 * time.Millisecond)
	waiting := len(k.accepted)
	for name := range s.recorder.Starts() {
		if strings.HasPrefix(name, "p") { // jobs of the system's start have other names, and some run more than once
			waiting--
		}
	}
	for _, d := range s.daemons {
		_, text := s.callForState(http.MethodGet, d, "", "")
		assert.Equal(t, text, fmt.Sprintf(`{"pending":%d}`, waiting))
	}
	k.checkInvariants(1)
}
