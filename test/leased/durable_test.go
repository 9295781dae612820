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

// keptWithin is how long a kept job may take to be shown as ended, whatever happens.
const durableEndTimeout = 25 * time.Second

// keeper hands in jobs that are to be kept and remembers what callers were told.
type durableLoad struct {
	system   *testSystem
	mu       sync.Mutex
	accepted []string
	refused  []string
	unclear  int
	canceled map[string]bool
	// pause is the time between two jobs of a caller.
	pause time.Duration
}

func newDurableLoad(s *testSystem) *durableLoad {
	return &durableLoad{system: s, canceled: make(map[string]bool), pause: 30 * time.Millisecond}
}

// ask makes one call for a kept job and returns its state, or what else was answered.
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

func durableJobBody(tasks int) string {
	return fmt.Sprintf(`{"spec":"kept","steps":[{"count":%d,"cpu":%d,"mem-mb":64,"estimate-ms":100}]}`, tasks, taskCPU)
}

// submit hands one job in, again at other daemons until the answer is clear.
func (k *durableLoad) submit(id string, firstDaemon, tasks int) {
	for attempt := range 6 {
		status, _ := k.system.callForState(http.MethodPost, k.system.daemons[(firstDaemon+attempt)%len(k.system.daemons)], id, durableJobBody(tasks))
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

// load hands jobs in for d.
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

// await waits until a daemon shows the job's end.
func (k *durableLoad) waitForEnd(id string, firstDaemon int) string {
	last := ""
	for until := time.Now().Add(durableEndTimeout); time.Now().Before(until); firstDaemon++ {
		status, state := k.system.callForState(http.MethodGet, k.system.daemons[firstDaemon%len(k.system.daemons)], id, "")
		if state == "completed" || state == "failed" || state == "cancelled" {
			return state
		}
		if last = fmt.Sprintf("%d %s", status, state); status == http.StatusGone {
			return last
		}
		time.Sleep(50 * time.Millisecond)
	}
	return last
}

// check verifies what must hold whatever happens: each accepted job is completed, with all
// its tasks done and none of them started again after that, or a task of it has failed as
// often as it may; what was refused never ran.
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
			assert.Assert(t, want != "completed" || k.system.recorder.IsDone(fmt.Sprintf("%s.0.0.%d", id, n)), "job %s is shown as completed and task %d is not done", id, n)
		}
	}
	assert.Equal(t, strings.Join(k.system.recorder.RanConcurrently(), " "), "", "ran twice at the same time")
	for _, name := range k.system.recorder.RanAfterDone() {
		id, _, _ := strings.Cut(name, ".")
		assert.Assert(t, !accepted[id], "%s was started again after an end as done", name)
	}
	for name := range k.system.recorder.Starts() {
		for _, id := range k.refused {
			assert.Assert(t, !strings.HasPrefix(name, id+"."), "%s was refused and ran", name)
		}
	}
	t.Logf("accepted=%d refused=%d unsure=%d", len(k.accepted), len(k.refused), k.unclear)
}

// failedOften reports whether a task of the job has failed as often as it may.
func (k *durableLoad) failedFinally(id string, tasks int) bool {
	for n := range tasks {
		if k.system.recorder.FailedRuns(fmt.Sprintf("%s.0.0.%d", id, n)) >= taskAttempts {
			return true
		}
	}
	return false
}

// On a calm day every job is accepted, each task runs once, and every daemon shows the
// same state; one that nobody handed in is shown by none.
func TestDurableJobsWithoutFaults(t *testing.T) {
	t.Parallel()
	s := startSystem(t, 3, 6, shortTasks)
	k := newDurableLoad(s)
	k.sendJobs(2*time.Second, 3, 2)
	assert.Assert(t, len(k.accepted) > 30)
	assert.Equal(t, len(k.refused)+k.unclear, 0)
	k.checkInvariants(2)
	for name, n := range s.recorder.Starts() {
		if !strings.HasPrefix(name, "settle") { // of the start, when workers change hands
			assert.Equal(t, n, 1, name)
		}
	}
	for _, d := range s.daemons {
		_, state := s.callForState(http.MethodGet, d, k.accepted[0], "")
		assert.Equal(t, state, "completed")
		status, _ := s.callForState(http.MethodGet, d, "nobody", "")
		assert.Equal(t, status, http.StatusGone)
		status, _ = s.callForState(http.MethodPost, d, k.accepted[0], durableJobBody(2)) // a late second try
		assert.Equal(t, status, http.StatusOK)
	}
	time.Sleep(300 * time.Millisecond)
	assert.Equal(t, s.recorder.Starts()[k.accepted[0]+".0.0.0"], 1)
}

// All daemons are killed right after jobs were accepted, some of them under way. The new
// processes know nothing; they adopt the jobs and bring each to its end, and no task that
// was done runs again.
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

// One daemon is killed while jobs come; its jobs go on at the others, and what other
// daemons run for them is not stopped.
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

// A daemon accepts its first jobs and is gone for good before the others have looked at
// the owners' titles again: they find the jobs all the same.
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

// A daemon freezes for four seconds with jobs on it. Its title is removed and its jobs
// are adopted; on waking it may start none of them.
func TestDurableJobsOfFrozenDaemon(t *testing.T) {
	t.Parallel()
	s := startSystem(t, 3, 6, platformtest.WorkerBehaviour{RunTime: 200 * time.Millisecond})
	k := newDurableLoad(s)
	time.AfterFunc(700*time.Millisecond, s.daemons[0].Freeze)
	time.AfterFunc(4700*time.Millisecond, s.daemons[0].Thaw)
	k.sendJobs(6*time.Second, 4, 2)
	k.checkInvariants(2)
}

// The store is away, then loses answers, then is back. Jobs that it can't take are refused
// or in doubt; those that were accepted before go on and are shown as ended when it is back.
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

// A daemon is asked to stop with jobs that are longer than its grace time. It resigns, and
// the others go on with them without a second start of what runs.
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
	time.Sleep(time.Second) // the platform's pause before it starts a process again
	s.daemons[0].startProcess()
	s.daemons[0].waitUntilReady()
	k.checkInvariants(2)
	for name, n := range s.recorder.Starts() {
		assert.Assert(t, n == 1 || !strings.HasPrefix(name, "long"), "%s was started %d times", name, n)
	}
}

// Jobs are canceled at a daemon that is not theirs. When that is acknowledged the job is
// shown as canceled everywhere, and soon nothing of it runs.
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

// The same job comes to all daemons at once: all accept it, and it runs once.
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
		if !strings.HasPrefix(name, "settle") { // of the start, when workers change hands
			assert.Equal(t, n, 1, name)
		}
	}
}

// More jobs are accepted than there is room for: the count of those that wait is the same
// at each daemon, about.
func TestPendingJobCount(t *testing.T) {
	t.Parallel()
	s := startSystem(t, 3, 2, shortTasks)
	s.setBehaviour(platformtest.WorkerBehaviour{RunTime: 3 * time.Second})
	k := newDurableLoad(s)
	for i := range 8 { // room for four tasks
		k.submit(fmt.Sprintf("p%d", i), i, 1)
	}
	time.Sleep(400 * time.Millisecond)
	waiting := len(k.accepted)
	for name := range s.recorder.Starts() {
		if strings.HasPrefix(name, "p") { // others are of the start, some run more than once there
			waiting--
		}
	}
	for _, d := range s.daemons {
		_, text := s.callForState(http.MethodGet, d, "", "")
		assert.Equal(t, text, fmt.Sprintf(`{"pending":%d}`, waiting))
	}
	k.checkInvariants(1)
}
