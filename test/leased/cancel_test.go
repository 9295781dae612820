// The tests of jobs that are canceled while the store's answers are lost, the owner is cut off from the
// canceling daemon, or the canceling daemon dies.

package leased

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lavendercleat/lavendercleat/platform/platformtest"
)

const (
	// blockTime is how long the jobs that fill the workers run.
	blockTime = 5 * time.Second
	// cancelVisible is how long it may take until every daemon shows a job as canceled.
	cancelVisible = 3 * time.Second
)

// cancelScenario has jobs that wait at their owner, the first daemon, until the workers are free.
type cancelScenario struct {
	*testSystem
	waiting     []string
	workersFree time.Time
}

func startCancelScenario(t *testing.T) *cancelScenario {
	t.Helper()
	const workers, waitingJobs = 2, 4
	s := &cancelScenario{testSystem: startSystemWithProxies(t, 3, workers, shortTasks, true)}
	newDurableLoad(s.testSystem).fillWorkers(blockTime)
	s.workersFree = time.Now().Add(blockTime)
	s.setBehaviour(shortTasks)
	for i := range waitingJobs {
		id := fmt.Sprintf("waiting%d", i)
		status, answer := s.callForState(http.MethodPost, s.daemons[0], id, durableJobBody(1))
		assert.Equal(t, status, http.StatusOK, answer)
		s.waiting = append(s.waiting, id)
	}
	return s
}

// cancel cancels all waiting jobs at a daemon and returns the statuses of the answers.
func (s *cancelScenario) cancel(d *daemon) []int {
	statuses := make([]int, len(s.waiting))
	var wg sync.WaitGroup
	for i, id := range s.waiting {
		wg.Go(func() { statuses[i], _ = s.callForState(http.MethodDelete, d, id, "") })
	}
	wg.Wait()
	return statuses
}

// checkCanceled checks that the daemons show the waiting jobs as canceled, and that none of their tasks
// has started when the workers have been free for a second.
func (s *cancelScenario) checkCanceled(daemons ...*daemon) {
	s.t.Helper()
	until := time.Now().Add(cancelVisible)
	for _, d := range daemons {
		for _, id := range s.waiting {
			_, state := s.callForState(http.MethodGet, d, id, "")
			for state != "cancelled" && time.Now().Before(until) {
				time.Sleep(20 * time.Millisecond)
				_, state = s.callForState(http.MethodGet, d, id, "")
			}
			assert.Check(s.t, state == "cancelled", "%s shows %s as %s", d.name, id, state)
		}
	}
	time.Sleep(time.Until(s.workersFree.Add(time.Second)))
	for name, n := range s.recorder.Starts() {
		assert.Check(s.t, !strings.HasPrefix(name, "waiting"), "%s of a canceled job was started %d times", name, n)
	}
}

// The store loses the answer to the write that cancels a job. The job's owner must learn of the
// cancellation all the same, and start none of its tasks.
func TestCancellationWithLostStoreAnswer(t *testing.T) {
	t.Parallel()
	s := startCancelScenario(t)
	s.store.SetFault(platformtest.DropWriteReplies)
	for _, status := range s.cancel(s.daemons[1]) {
		assert.Equal(t, status, http.StatusOK)
	}
	s.store.SetFault(platformtest.NoFault)
	s.checkCanceled(s.daemons...)
}

// A job is canceled at a daemon that its owner is cut off from for a moment. The owner must not start
// its tasks later.
func TestCancellationWhileOwnerIsPartitioned(t *testing.T) {
	t.Parallel()
	s := startCancelScenario(t)
	for _, d := range s.daemons {
		d.peerProxy.Block()
		d.peerProxy.MuteExisting()
	}
	for _, status := range s.cancel(s.daemons[1]) {
		assert.Equal(t, status, http.StatusOK)
	}
	for _, d := range s.daemons {
		d.peerProxy.Unblock()
	}
	s.checkCanceled(s.daemons...)
}

// The daemon that cancels a job is killed once the store has the cancellation, before it can tell the
// owner.
func TestCancelingDaemonIsKilled(t *testing.T) {
	t.Parallel()
	s := startCancelScenario(t)
	s.store.SetFault(platformtest.DropWriteReplies)
	done := make(chan []int)
	go func() { done <- s.cancel(s.daemons[1]) }()
	for until := time.Now().Add(storedTimeout); s.openJobs() > 0; time.Sleep(pollInterval) {
		assert.Assert(t, time.Now().Before(until), "the store has %d open jobs", s.openJobs())
	}
	s.daemons[1].Kill()
	s.store.SetFault(platformtest.NoFault)
	<-done
	s.checkCanceled(s.daemons[0], s.daemons[2])
}

// storedTimeout is less than the time-out of a call to the store, after which a daemon repeats it.
const storedTimeout = 500 * time.Millisecond

// openJobs counts the waiting jobs that the store holds as not ended.
func (s *cancelScenario) openJobs() (count int) {
	for _, key := range s.store.Keys() {
		if strings.HasPrefix(key, "lavendercleat/jobs/waiting") {
			count++
		}
	}
	return count
}
