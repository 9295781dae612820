// The test of a team over its quota, and the team's load.

package operate

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lavendercleat/lavendercleat/client"
	"github.com/lavendercleat/lavendercleat/schema"
	"github.com/lavendercleat/lavendercleat/test/cluster"
	"github.com/lavendercleat/lavendercleat/verdict"
)

// teamQuota is the quota of the greedy team, in task starts per second.
const teamQuota = 100

// latencySample collects response times. It is safe for concurrent use.
type latencySample struct {
	mu    sync.Mutex
	times []time.Duration
}

// add adds a response time.
func (s *latencySample) add(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.times = append(s.times, d)
}

// quantile returns a quantile of the response times, or 0 without any.
func (s *latencySample) quantile(q float64) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.times) == 0 {
		return 0
	}
	slices.Sort(s.times)
	return s.times[int(q*float64(len(s.times)-1))]
}

// greedyTeam counts the tasks of a team that exceeds its quota: sent, started and refused.
type greedyTeam struct {
	requested, started, refused atomic.Int64
}

// sendOverQuota lets callers send jobs of five tasks at ten times the quota through the entries until stop
// is set. They ignore the time to retry.
func (g *greedyTeam) sendOverQuota(t *testing.T, entries []*cluster.Entry, stop *atomic.Bool, wg *sync.WaitGroup) {
	const callers, tasks = 20, 5
	every := time.Second * callers * tasks / (10 * teamQuota)
	for caller := range callers {
		wg.Go(func() {
			tick := time.NewTicker(every)
			defer tick.Stop()
			for n := 0; !stop.Load(); n++ {
				<-tick.C
				j := cluster.Job(cluster.Quote, fmt.Sprintf("greedy %d/%d", caller, n), tasks)
				r, err := entries[(caller+n)%len(entries)].Client(cluster.OtherToken).Do(t.Context(), j)
				if !assert.Check(t, err) {
					return
				}
				g.requested.Add(tasks)
				g.countReply(t, j, r)
			}
		})
	}
}

// countReply counts one reply. A refusal must have the verdict not-run and the time to retry.
func (g *greedyTeam) countReply(t *testing.T, j schema.Job, r client.Reply) {
	if r.Outcome == client.Complete {
		cluster.CheckComplete(t, j, r)
		g.started.Add(int64(len(j.Tasks)))
		return
	}
	assert.Check(t, r.Status == http.StatusTooManyRequests && r.Reason == string(verdict.OverQuota) &&
		r.Verdict == verdict.NotRun.String() && r.RetryAfter > 0 && r.RetryAfterMs > 0, "%+v", r)
	g.refused.Add(int64(len(j.Tasks)))
}

// Guards against a team over its quota that slows down another team. One team sends ten times its quota
// through all entries and ignores the time to retry. It must get its quota; the rest must be refused with
// status 429, the verdict not-run and the time to retry. The other team's median response time must not
// double.
func TestTeamOverQuotaDoesNotSlowOthers(t *testing.T) {
	doc := cluster.Config()
	doc.Teams["team-b"].StartsPerSecond = teamQuota
	c := cluster.Start(t, cluster.Options{Domains: 2, Entries: 2, Workers: 4, Config: doc})
	phaseLength := 4 * time.Second
	if fullLength() {
		phaseLength = 15 * time.Second
	}
	var before, during latencySample
	current := &before
	var mu sync.Mutex
	var stop atomic.Bool
	var wg sync.WaitGroup
	for caller := range 4 {
		wg.Go(func() {
			for n := 0; !stop.Load(); n++ {
				j := cluster.Job(cluster.Quote, fmt.Sprintf("%d/%d", caller, n), 4)
				mu.Lock()
				s := current
				mu.Unlock()
				sent := time.Now()
				r, err := c.Entries[(caller+n)%len(c.Entries)].Client(cluster.Token).Do(t.Context(), j)
				if !assert.Check(t, err) || !cluster.CheckComplete(t, j, r) {
					return
				}
				s.add(time.Since(sent))
			}
		})
	}
	time.Sleep(phaseLength)
	mu.Lock()
	current = &during
	mu.Unlock()
	var greedy greedyTeam
	begin := time.Now()
	greedy.sendOverQuota(t, c.Entries, &stop, &wg)
	time.Sleep(phaseLength)
	stop.Store(true)
	wg.Wait()
	took := time.Since(begin).Seconds()

	t.Logf("team over quota: asked %.0f starts/s, got %.0f of a quota of %d, refused %.0f%%",
		float64(greedy.requested.Load())/took, float64(greedy.started.Load())/took, teamQuota, 100*float64(greedy.refused.Load())/float64(greedy.requested.Load()))
	t.Logf("other team, jobs of 4 tasks of 20 ms: p50 %s before, %s during; p95 %s, %s; p99 %s, %s",
		before.quantile(0.5), during.quantile(0.5), before.quantile(0.95), during.quantile(0.95), before.quantile(0.99), during.quantile(0.99))
	assert.Assert(t, greedy.refused.Load() > 0)
	// In addition to the quota each entry may start a burst of one second's share and one more job.
	most := teamQuota*took + teamQuota + 5*float64(len(c.Entries))
	assert.Assert(t, float64(greedy.started.Load()) <= most, "got %d starts, expected at most %.0f", greedy.started.Load(), most)
	assert.Assert(t, float64(greedy.started.Load()) >= 0.6*teamQuota*took, "got %d starts in %.1f s: the team did not get its quota", greedy.started.Load(), took)
	assert.Assert(t, during.quantile(0.5) < 2*before.quantile(0.5), "the other team's median response time doubled: %s before, %s during", before.quantile(0.5), during.quantile(0.5))
}
