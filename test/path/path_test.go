// Package path contains the integration tests of the request path: from the caller API of the entries to
// the backend servers and back. It also has the benchmarks of an entry's processor time and memory.
package path

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lavendercleat/lavendercleat/test/cluster"
)

// Guards against mixed-up or incomplete answers and repeated starts. 50 callers send 500 jobs of 1 to 40
// tasks to random entries. Each must receive the complete answer to its own job, and the backend servers
// must have started each task exactly once.
func TestEachCallerGetsOwnCompleteAnswer(t *testing.T) {
	c := cluster.Start(t, cluster.Options{Domains: 2, Entries: 2, Workers: 4})
	const jobs, callers = 500, 50
	var wg sync.WaitGroup
	var mu sync.Mutex
	tasks := 0
	for caller := range callers {
		wg.Go(func() {
			for n := range jobs / callers {
				j := cluster.Job(cluster.Quote, fmt.Sprintf("%d/%d", caller, n), 1+rand.IntN(40))
				e := c.Entries[rand.IntN(len(c.Entries))]
				r, err := e.Client(cluster.Token).Submit(t.Context(), j)
				if !assert.Check(t, err) {
					return
				}
				cluster.CheckComplete(t, j, r)
				mu.Lock()
				tasks += len(j.Tasks)
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	w := c.RunRecord()
	assert.Equal(t, w.Duplicates, int64(0))
	assert.Equal(t, w.Starts, int64(tasks))
}
