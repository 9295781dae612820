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
const keptWithin = 25 * time.Second

// keeper hands in jobs that are to be kept and remembers what callers were told.
type keeper struct {
	s        *system
	mu       sync.Mutex
	accepted []string
	refused  []string
	unsure   int
	canceled map[string]bool
	// pause is the time between two jobs of a caller.
	pause time.Duration
}

func newKeeper(s *system) *keeper {
	return &keeper{s: s, canceled: make(map[string]bool), pause: 30 * time.Millisecond}
}

// ask makes one call for a kept job and returns its state, or what else was answered.
func (s *system) ask(method string, d *daemon, id, body string) (int, string) {
	const patience = 4 * time.Second
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	status, answer := s.call(ctx, method, d, prefix+id, "req-"+id, body, patience)
	if state := stateOf(answer); state != "" {
		return status, state
	}
	return status, answer
}

func keptBody(tasks int) string {
	return fmt.Sprintf(`{"spec":"kept","steps":[{"count":%d,"cpu":%d,"mem-mb":64,"estimate-ms":100}]}`, tasks, taskCPU)
}

// submit hands one job in, again at other daemons until the answer is clear.
func (k *keeper) submit(id string, seed, tasks int) {
	for try := range 6 {
		status, _ := k.s.ask(http.MethodPost, k.s.daemons[(seed+try)%len(k.s.daemons)], id, keptBody(tasks))
		k.mu.Lock()
		switch {
		case status == http.StatusOK:
			k.accepted = append(k.accepted, id)
		case status == http.StatusServiceUnavailable && try == 0:
			k.refused = append(k.refused, id)
		}
		k.mu.Unlock()
		if status == http.StatusOK || status == http.StatusServiceUnavailable {
			return
		}
		time.Sleep(resendAfter)
	}
	k.mu.Lock()
	k.unsure++
	k.mu.Unlock()
}

// load hands jobs in for d.
func (k *keeper) load(d time.Duration, callers, tasks int) {
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
func (k *keeper) await(id string, seed int) string {
	last := ""
	for until := time.Now().Add(keptWithin); time.Now().Before(until); seed++ {
		status, state := k.s.ask(http.MethodGet, k.s.daemons[seed%len(k.s.daemons)], id, "")
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
func (k *keeper) check(tasks int) {
	t := k.s.t
	t.Helper()
	kept := make(map[string]bool)
	for i, id := range k.accepted {
		kept[id] = true
		want := "completed"
		if k.canceled[id] {
			want = "cancelled"
		}
		if k.failedOften(id, tasks) {
			want = "failed"
		}
		assert.Equal(t, k.await(id, i), want, "job %s", id)
		for n := range tasks {
			assert.Assert(t, want != "completed" || k.s.witness.IsDone(fmt.Sprintf("%s.0.0.%d", id, n)), "job %s is shown as completed and task %d is not done", id, n)
		}
	}
	assert.Equal(t, strings.Join(k.s.witness.RanConcurrently(), " "), "", "ran twice at the same time")
	for _, name := range k.s.witness.RanAfterDone() {
		id, _, _ := strings.Cut(name, ".")
		assert.Assert(t, !kept[id], "%s was started again after an end as done", name)
	}
	for name := range k.s.witness.Starts() {
		for _, id := range k.refused {
			assert.Assert(t, !strings.HasPrefix(name, id+"."), "%s was refused and ran", name)
		}
	}
	t.Logf("accepted=%d refused=%d unsure=%d", len(k.accepted), len(k.refused), k.unsure)
}

// failedOften reports whether a task of the job has failed as often as it may.
func (k *keeper) failedOften(id string, tasks int) bool {
	for n := range tasks {
		if k.s.witness.FailedRuns(fmt.Sprintf("%s.0.0.%d", id, n)) >= attempts {
			return true
		}
	}
	return false
}

// On a calm day every job is accepted, each task runs once, and every daemon shows the
// same state; one that nobody handed in is shown by none.
func TestKeptJobs(t *testing.T) {
	t.Parallel()
	s := start(t, 3, 6, quick)
	k := newKeeper(s)
	k.load(2*time.Second, 3, 2)
	assert.Assert(t, len(k.accepted) > 30)
	assert.Equal(t, len(k.refused)+k.unsure, 0)
	k.check(2)
	for name, n := range s.witness.Starts() {
		if !strings.HasPrefix(name, "settle") { // of the start, when workers change hands
			assert.Equal(t, n, 1, name)
		}
	}
	for _, d := range s.daemons {
		_, state := s.ask(http.MethodGet, d, k.accepted[0], "")
		assert.Equal(t, state, "completed")
		status, _ := s.ask(http.MethodGet, d, "nobody", "")
		assert.Equal(t, status, http.StatusGone)
		status, _ = s.ask(http.MethodPost, d, k.accepted[0], keptBody(2)) // a late second try
		assert.Equal(t, status, http.StatusOK)
	}
	time.Sleep(300 * time.Millisecond)
	assert.Equal(t, s.witness.Starts()[k.accepted[0]+".0.0.0"], 1)
}

// All daemons are killed right after jobs were accepted, some of them under way. The new
// processes know nothing; they adopt the jobs and bring each to its end, and no task that
// was done runs again.
func TestKeptJobsSurviveAllDaemons(t *testing.T) {
	t.Parallel()
	s := start(t, 3, 6, platformtest.WorkerBehaviour{RunTime: 150 * time.Millisecond})
	k := newKeeper(s)
	k.load(700*time.Millisecond, 6, 2)
	for _, d := range s.daemons {
		d.Kill()
	}
	for _, d := range s.daemons {
		d.run()
	}
	for _, d := range s.daemons {
		d.await()
	}
	assert.Assert(t, len(k.accepted) > 10)
	k.check(2)
}

// One daemon is killed while jobs come; its jobs go on at the others, and what other
// daemons run for them is not stopped.
func TestKeptJobsSurviveOneDaemon(t *testing.T) {
	t.Parallel()
	s := start(t, 3, 6, platformtest.WorkerBehaviour{RunTime: 150 * time.Millisecond})
	k := newKeeper(s)
	time.AfterFunc(800*time.Millisecond, func() { s.daemons[1].Kill() })
	k.load(2*time.Second, 4, 2)
	s.daemons[1].run()
	s.daemons[1].await()
	k.check(2)
}

// A daemon accepts its first jobs and is gone for good before the others have looked at
// the owners' titles again: they find the jobs all the same.
func TestKeptJobsOfADaemonGoneForGood(t *testing.T) {
	t.Parallel()
	s := start(t, 3, 6, quick)
	s.setManners(platformtest.WorkerBehaviour{RunTime: 400 * time.Millisecond})
	k := newKeeper(s)
	for i := range 6 {
		k.submit(fmt.Sprintf("gone%d", i), 0, 2)
	}
	s.daemons[0].Kill()
	s.daemons = s.daemons[1:]
	k.check(2)
}

// A daemon freezes for four seconds with jobs on it. Its title is removed and its jobs
// are adopted; on waking it may start none of them.
func TestKeptJobsOfAFrozenDaemon(t *testing.T) {
	t.Parallel()
	s := start(t, 3, 6, platformtest.WorkerBehaviour{RunTime: 200 * time.Millisecond})
	k := newKeeper(s)
	time.AfterFunc(700*time.Millisecond, s.daemons[0].Freeze)
	time.AfterFunc(4700*time.Millisecond, s.daemons[0].Thaw)
	k.load(6*time.Second, 4, 2)
	k.check(2)
}

// The store is away, then loses answers, then is back. Jobs that it can't take are refused
// or in doubt; those that were accepted before go on and are shown as ended when it is back.
func TestKeptJobsWithoutStore(t *testing.T) {
	t.Parallel()
	s := start(t, 3, 6, platformtest.WorkerBehaviour{RunTime: 200 * time.Millisecond})
	k := newKeeper(s)
	time.AfterFunc(time.Second, func() { s.store.SetFault(platformtest.Unavailable) })
	time.AfterFunc(2500*time.Millisecond, func() { s.store.SetFault(platformtest.DropReplies) })
	time.AfterFunc(4500*time.Millisecond, func() { s.store.SetFault(platformtest.Unresponsive) })
	time.AfterFunc(5500*time.Millisecond, func() { s.store.SetFault(platformtest.NoFault) })
	k.load(7*time.Second, 4, 2)
	assert.Assert(t, len(k.accepted) > 10)
	assert.Assert(t, len(k.refused) > 0)
	k.check(2)
}

// A daemon is asked to stop with jobs that are longer than its grace time. It resigns, and
// the others go on with them without a second start of what runs.
func TestKeptJobsAtAPlannedStop(t *testing.T) {
	t.Parallel()
	s := start(t, 3, 6, quick)
	s.setManners(platformtest.WorkerBehaviour{RunTime: 5 * time.Second})
	k := newKeeper(s)
	for i := range 3 {
		k.submit(fmt.Sprintf("long%d", i), i, 2)
	}
	s.daemons[0].Terminate()
	assert.NilError(t, s.daemons[0].Wait(6*time.Second))
	time.Sleep(time.Second) // the platform's pause before it starts a process again
	s.daemons[0].run()
	s.daemons[0].await()
	k.check(2)
	for name, n := range s.witness.Starts() {
		assert.Assert(t, n == 1 || !strings.HasPrefix(name, "long"), "%s was started %d times", name, n)
	}
}

// Jobs are canceled at a daemon that is not theirs. When that is acknowledged the job is
// shown as canceled everywhere, and soon nothing of it runs.
func TestKeptJobsCanceled(t *testing.T) {
	t.Parallel()
	s := start(t, 3, 6, platformtest.WorkerBehaviour{RunTime: 2 * time.Second})
	k := newKeeper(s)
	for i := range 9 {
		id := fmt.Sprintf("c%d", i)
		k.submit(id, i, 3)
		k.canceled[id] = true
	}
	for i, id := range k.accepted {
		status, _ := s.ask(http.MethodDelete, s.daemons[(i+1)%3], id, "")
		assert.Equal(t, status, http.StatusOK)
	}
	acknowledged := time.Now()
	time.Sleep(600 * time.Millisecond)
	assert.Equal(t, s.witness.RunningCount(), 0)
	k.check(3)
	for name, at := range s.witness.LastStarts() {
		if strings.HasPrefix(name, "c") {
			assert.Assert(t, at.Before(acknowledged.Add(300*time.Millisecond)), name)
		}
	}
	status, _ := s.ask(http.MethodDelete, s.daemons[0], "nobody", "")
	assert.Equal(t, status, http.StatusGone)
}

// The same job comes to all daemons at once: all accept it, and it runs once.
func TestKeptJobAtAllDaemons(t *testing.T) {
	t.Parallel()
	s := start(t, 3, 6, quick)
	k := newKeeper(s)
	for n := range 10 {
		var wg sync.WaitGroup
		for i := range s.daemons {
			wg.Go(func() { k.submit(fmt.Sprintf("same%d", n), i, 2) })
		}
		wg.Wait()
	}
	assert.Equal(t, len(k.accepted), 30)
	k.check(2)
	for name, n := range s.witness.Starts() {
		if !strings.HasPrefix(name, "settle") { // of the start, when workers change hands
			assert.Equal(t, n, 1, name)
		}
	}
}

// More jobs are accepted than there is room for: the count of those that wait is the same
// at each daemon, about.
func TestPendingJobs(t *testing.T) {
	t.Parallel()
	s := start(t, 3, 2, quick)
	s.setManners(platformtest.WorkerBehaviour{RunTime: 3 * time.Second})
	k := newKeeper(s)
	for i := range 8 { // room for four tasks
		k.submit(fmt.Sprintf("p%d", i), i, 1)
	}
	time.Sleep(400 * time.Millisecond)
	waiting := len(k.accepted)
	for name := range s.witness.Starts() {
		if strings.HasPrefix(name, "p") { // others are of the start, some run more than once there
			waiting--
		}
	}
	for _, d := range s.daemons {
		_, text := s.ask(http.MethodGet, d, "", "")
		assert.Equal(t, text, fmt.Sprintf(`{"pending":%d}`, waiting))
	}
	k.check(1)
}
