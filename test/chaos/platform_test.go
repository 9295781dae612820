// Tests of outages of the platform's service.

package chaos

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lavendercleat/lavendercleat/client"
	standinplatform "github.com/lavendercleat/lavendercleat/internal/standin/platform"
	"github.com/lavendercleat/lavendercleat/test/cluster"
)

// sendQuotes lets 4 callers send quotes of four tasks through the entries in turn, checks that each answer is
// complete, and returns the median response time.
func sendQuotes(t *testing.T, c *cluster.Cluster, entries []*cluster.Entry, count int) time.Duration {
	t.Helper()
	const callers = 4
	var mu sync.Mutex
	var times []time.Duration
	var wg sync.WaitGroup
	for caller := range callers {
		wg.Go(func() {
			for n := range count / callers {
				j := cluster.Job(cluster.Quote, fmt.Sprintf("%d/%d", caller, n), 4)
				begin := time.Now()
				r, err := entries[(caller+n)%len(entries)].Client(cluster.Token).Submit(t.Context(), j)
				if !assert.Check(t, err) || !cluster.CheckComplete(t, j, r) {
					return
				}
				mu.Lock()
				times = append(times, time.Since(begin))
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	assert.Assert(t, len(times) > 0)
	slices.Sort(times)
	return times[len(times)/2]
}

// waitSlots waits until the slots of the given entries add up to perDomain in each failure domain.
func waitSlots(t *testing.T, entries []*cluster.Entry, perDomain float64) {
	t.Helper()
	cluster.Eventually(t, 15*time.Second, "the entries of each failure domain divide all slots", func() bool {
		sum := make(map[string]float64)
		for _, e := range entries {
			sum[e.Domain] += e.Metric(t, "lavendercleat_slots")
		}
		for _, n := range sum {
			if n != perDomain {
				return false
			}
		}
		return true
	})
}

// readyz returns the HTTP status and the body of an entry's /readyz.
func readyz(t *testing.T, e *cluster.Entry) (int, string) {
	t.Helper()
	resp, err := http.Get(strings.TrimSuffix(e.MetricsURL, "/metrics") + "/readyz")
	assert.NilError(t, err)
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return resp.StatusCode, string(b)
}

// waitReady waits until an entry is ready.
func waitReady(t *testing.T, e *cluster.Entry) {
	t.Helper()
	cluster.Eventually(t, 15*time.Second, "the entry is ready", func() bool {
		status, _ := readyz(t, e)
		return status == http.StatusOK
	})
}

// Guards against callers that notice a platform outage. The platform's service returns errors, answers after
// 10 s, loses its replies or goes silent. Meanwhile an entry is killed and restarted, and another entry VM
// joins. The entries must serve with their configuration, new ones must get it and the list of VMs from their
// peers, and the entries must divide the slots again.
func TestEntriesServeDuringPlatformOutage(t *testing.T) {
	const slots = 2 * 8
	outages := []struct {
		name string
		set  func(c *cluster.Cluster)
	}{
		{"down", func(c *cluster.Cluster) { c.PlatformFaults(standinplatform.Faults{FailCalls: true}) }},
		{"slow", func(c *cluster.Cluster) { c.PlatformFaults(standinplatform.Faults{DelayMS: 10_000}) }},
		{"losing replies", func(c *cluster.Cluster) { c.PlatformFaults(standinplatform.Faults{DropReplies: true}) }},
		{"silent", func(c *cluster.Cluster) { c.Platform.Freeze() }},
	}
	c := cluster.Start(t, cluster.Options{Domains: 2, Entries: 2, Workers: 2, OneProcess: true, Seeds: true})
	sendQuotes(t, c, c.Entries, 40) // Opens the connections and lets the entries learn run times.
	before := sendQuotes(t, c, c.Entries, 100)
	for n, o := range outages {
		o.set(c)
		replaced := c.Entries[n%len(c.Entries)]
		replaced.Kill()
		c.StartEntry(replaced)
		waitReady(t, replaced)
		if n == 0 {
			waitReady(t, c.AddEntry(0, 2))
		}
		waitSlots(t, c.Entries, slots)
		during := sendQuotes(t, c, c.Entries, 100)
		t.Logf("platform %s: median %s before, %s during", o.name, before, during)
		// Twice the time plus 50 ms allows for a busy machine. A call that waits for the platform would take
		// seconds.
		assert.Check(t, during < 2*before+50*time.Millisecond, "platform %s", o.name)
		c.Platform.Thaw()
		c.PlatformFaults(standinplatform.Faults{})
	}
	assert.Equal(t, c.RunRecord().Duplicates, int64(0))
}

// Guards against an entry that accepts jobs without a configuration, or does not say why it is not ready. The
// platform's service is down when the entry starts, and no peer has its state. The entry must refuse jobs with
// the verdict not-run, and be ready soon after the service is back.
func TestEntryWithoutConfigurationIsNotReady(t *testing.T) {
	t.Parallel()
	c := cluster.Start(t, cluster.Options{Domains: 1, Entries: 1, Workers: 1, Seeds: true})
	c.PlatformFaults(standinplatform.Faults{FailCalls: true})
	e := c.Entries[0]
	e.Kill()
	c.StartEntry(e)
	status, reason := readyz(t, e)
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Assert(t, strings.Contains(reason, "neither from the platform nor from a peer"), reason)
	r, err := e.Client(cluster.Token).Do(t.Context(), cluster.Job(cluster.Quote, "early", 1))
	assert.NilError(t, err)
	assert.Equal(t, r.Status, http.StatusServiceUnavailable)
	assert.Equal(t, r.Outcome, client.Failed)
	assert.Equal(t, r.Verdict, "not-run")
	assert.Equal(t, r.Reason, "not_ready")
	assert.Assert(t, r.RetryAfter > 0)
	c.PlatformFaults(standinplatform.Faults{})
	waitReady(t, e)
	sendQuotes(t, c, c.Entries, 4)
}

// setFaultsAndBreakWatches sets faults and breaks the waiting watches, which would not meet the faults.
func setFaultsAndBreakWatches(c *cluster.Cluster, f standinplatform.Faults) {
	c.PlatformFaults(f)
	for _, e := range c.Entries {
		e.PlatformProxy.BreakExisting()
	}
}

// Guards against calls to the platform in a loop and against requests that accumulate. The platform's service
// counts the calls. It returns errors at once, loses replies, or returns an older list of VMs at once to every
// watch. In each case an entry may call it only a few times within some seconds.
func TestPlatformCallsAreBounded(t *testing.T) {
	t.Parallel()
	const (
		entries = 2
		window  = 6 * time.Second
		// most is the maximum number of calls of one entry in the window: two watches with growing pauses.
		most = 20
	)
	phases := []struct {
		name string
		set  func(c *cluster.Cluster)
	}{
		{"idle", func(*cluster.Cluster) {}},
		{"down", func(c *cluster.Cluster) { setFaultsAndBreakWatches(c, standinplatform.Faults{FailCalls: true}) }},
		{"losing replies", func(c *cluster.Cluster) { setFaultsAndBreakWatches(c, standinplatform.Faults{DropReplies: true}) }},
		{"older list", func(c *cluster.Cluster) { c.PublishVMsAtVersion(1) }},
	}
	c := cluster.Start(t, cluster.Options{Domains: 1, Entries: entries, Workers: 1, PlatformProxy: true})
	goroutines := func() (sum float64) {
		for _, e := range c.Entries {
			sum += e.Metric(t, "go_goroutines")
		}
		return sum
	}
	start := goroutines()
	for _, p := range phases {
		p.set(c)
		from, at := c.PlatformCounts(), time.Now()
		time.Sleep(window) // The test measures a rate.
		to := c.PlatformCounts()
		took := time.Since(at)
		calls := float64(to.Reads+to.Writes+to.Watches-from.Reads-from.Writes-from.Watches) / entries
		t.Logf("platform %s: %.1f calls of one entry in %s", p.name, calls, took.Round(time.Second))
		assert.Check(t, calls <= most*float64(took)/float64(window), "platform %s", p.name)
		setFaultsAndBreakWatches(c, standinplatform.Faults{})
	}
	assert.Check(t, goroutines() < start+20*entries, "goroutines: %v, then %v", start, goroutines())
}

// Guards against a configuration that an entry misses on a silent connection to the platform. The connections
// of the watches go silent for good while new ones work: packets are lost, or a middlebox still acknowledges
// them. The entries must detect the silence and watch again, so that a configuration written then is in force
// within seconds. No entry could get it from a peer, because all watches are silent.
func TestSilentWatchIsReplaced(t *testing.T) {
	silences := []struct {
		name  string
		flags []string
		set   func(p *cluster.TCPProxy)
	}{
		{"packets lost", nil, (*cluster.TCPProxy).MuteExisting},
		{"acknowledged", []string{"--platform-watch-wait=2s", "--platform-timeout=2s"}, (*cluster.TCPProxy).StallExisting},
	}
	for _, s := range silences {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			c := cluster.Start(t, cluster.Options{Domains: 1, Entries: 2, Workers: 1, PlatformProxy: true, EntryFlags: s.flags})
			for _, e := range c.Entries {
				s.set(e.PlatformProxy)
			}
			begin := time.Now()
			doc := cluster.Config()
			doc.Revision = 2
			c.UpdateConfig(1, doc)
			for _, e := range c.Entries {
				cluster.Eventually(t, 15*time.Second, "revision 2 is in force", func() bool {
					return e.Metric(t, "lavendercleat_config_revision") == 2
				})
			}
			t.Logf("in force on all entries after %s", time.Since(begin).Round(100*time.Millisecond))
		})
	}
}
