// The tests of workers that restart under the same IDs, and of invalid worker entries.

package leased

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lavendercleat/lavendercleat/platform/platformtest"
)

// Workers crash with tasks and restart at once under the same IDs. The entries of some show the new
// incarnation late, and some workers execute starts late. A daemon that takes run lists or
// acknowledgements of one incarnation for another's would have tasks run twice, or callers wait for
// lost completions.
func TestWorkersRestartedUnderSameIDs(t *testing.T) {
	t.Parallel()
	s := startSystem(t, 3, 6, platformtest.WorkerBehaviour{RunTime: 150 * time.Millisecond})
	out := s.runUnderLoad(6*time.Second, 6, func() {
		for i := range 12 {
			w := s.workers[i%len(s.workers)]
			if i%4 == 0 {
				w.SetBehaviour(platformtest.WorkerBehaviour{RunTime: 150 * time.Millisecond, StartDelay: 400 * time.Millisecond})
				time.Sleep(50 * time.Millisecond)
				w.SetBehaviour(platformtest.WorkerBehaviour{RunTime: 150 * time.Millisecond})
			}
			w.Restart()
			time.Sleep(time.Duration(i%3) * 120 * time.Millisecond)
			s.store.Put("servers/"+w.ID, w.Entry(false))
			time.Sleep(120 * time.Millisecond)
		}
	})
	assert.Assert(t, out.completed > 40, "%d jobs completed", out.completed)
	assert.Equal(t, out.abandoned, 0)
}

// Another system overwrites a worker's entry with a value that is no worker entry. The worker gets no
// new tasks until its own entry is back, and its runs end as usual.
func TestInvalidWorkerEntry(t *testing.T) {
	t.Parallel()
	s := startSystem(t, 2, 2, platformtest.WorkerBehaviour{RunTime: 100 * time.Millisecond})
	overwritten := s.workers[0]
	out := s.runUnderLoad(4*time.Second, 3, func() {
		s.store.Put("servers/"+overwritten.ID, map[string]any{"service": 7, "state": "elsewhere"})
		time.Sleep(1500 * time.Millisecond) // the daemons read the change
		afterUpdate := time.Now()
		time.Sleep(time.Second)
		assert.Check(t, overwritten.LastStart().Before(afterUpdate), "the worker with the invalid entry got tasks")
		s.store.Put("servers/"+overwritten.ID, overwritten.Entry(false))
	})
	assert.Assert(t, out.completed > 10, "%d jobs completed", out.completed)
	assert.Equal(t, out.abandoned, 0)
}
