// Counters of entries and backend servers, read before and after a run.

package load

import (
	"context"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"net/netip"
	"strings"

	"github.com/cockroachdb/errors"
	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"

	standin "github.com/lavendercleat/lavendercleat/internal/standin/backend"
	"github.com/lavendercleat/lavendercleat/schema"
)

// Names of the entries' metrics, and values of their labels.
const (
	metricRetries  = "lavendercleat_retries_total"
	metricMessages = "lavendercleat_peer_messages_total"
	metricBorrows  = "lavendercleat_borrows_total"
	// borrowEmpty labels requests for slots that got none.
	borrowEmpty = "nothing"
	// retryRefused and retryLeaving label retries after a worker refused a task. The backend servers
	// count these refusals too.
	retryRefused = "worker_refused"
	retryLeaving = "worker_leaving"
)

// counters are summed over all entries and backend servers.
type counters struct {
	retries  map[string]int64
	messages map[string]int64
	borrows  map[string]int64
	runs     standin.RunRecord
}

// counterSource reads the counters of a system.
type counterSource interface {
	readCounters(ctx context.Context) (counters, error)
}

// httpCounters reads counters over HTTP from the metrics and backend addresses.
type httpCounters struct {
	metrics  []string
	backends []netip.AddrPort
}

// readCounters implements counterSource.
func (r httpCounters) readCounters(ctx context.Context) (counters, error) {
	c := newCounters()
	for _, u := range r.metrics {
		if err := c.addMetrics(ctx, u); err != nil {
			return c, errors.Wrapf(err, "reading %s", u)
		}
	}
	for _, b := range r.backends {
		body, err := fetch(ctx, "http://"+b.String()+"/admin/witness?totals=1")
		if err != nil {
			return c, errors.Wrapf(err, "reading the counters of backend server %s", b)
		}
		var w standin.RunRecord
		if err := json.Unmarshal(body, &w); err != nil {
			return c, errors.Wrapf(err, "decoding the counters of backend server %s", b)
		}
		c.addRunRecord(w)
	}
	return c, nil
}

func newCounters() counters {
	return counters{retries: map[string]int64{}, messages: map[string]int64{}, borrows: map[string]int64{}}
}

// fetch returns the body of a GET request. A status other than 200 is an error.
func fetch(ctx context.Context, url string) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Newf("expected status 200, got %s", resp.Status)
	}
	return io.ReadAll(resp.Body)
}

// addMetrics adds the counters of one entry.
func (c *counters) addMetrics(ctx context.Context, url string) error {
	body, err := fetch(ctx, url)
	if err != nil {
		return err
	}
	return c.parse(string(body))
}

// parse adds the counters in a text in the Prometheus format.
func (c *counters) parse(text string) error {
	p := expfmt.NewTextParser(model.UTF8Validation)
	families, err := p.TextToMetricFamilies(strings.NewReader(text))
	if err != nil {
		return errors.Wrap(err, "parsing metrics")
	}
	addByLabel(c.retries, families[metricRetries])
	addByLabel(c.messages, families[metricMessages])
	addByLabel(c.borrows, families[metricBorrows])
	return nil
}

// addByLabel adds a counter with one label. The keys of the map are the label's values.
func addByLabel(m map[string]int64, f *dto.MetricFamily) {
	for _, x := range f.GetMetric() {
		if len(x.GetLabel()) == 1 {
			m[x.GetLabel()[0].GetValue()] += int64(x.GetUntyped().GetValue())
		}
	}
}

// addRunRecord adds the counters of one backend server.
func (c *counters) addRunRecord(w standin.RunRecord) {
	c.runs.Starts += w.Starts
	c.runs.Duplicates += w.Duplicates
	c.runs.Refused += w.Refused
	c.runs.Aborted += w.Aborted
	c.runs.BusyMS += w.BusyMS
}

// since returns the difference to earlier counters.
func (c counters) since(before counters) counters {
	diff := newCounters()
	diff.retries = subtractCounts(c.retries, before.retries)
	diff.messages = subtractCounts(c.messages, before.messages)
	diff.borrows = subtractCounts(c.borrows, before.borrows)
	diff.runs = c.runs
	diff.runs.Starts -= before.runs.Starts
	diff.runs.Duplicates -= before.runs.Duplicates
	diff.runs.Refused -= before.runs.Refused
	diff.runs.Aborted -= before.runs.Aborted
	diff.runs.BusyMS -= before.runs.BusyMS
	return diff
}

// subtractCounts returns after minus before. The counters of an entry that died are missing in after, so a
// negative difference counts as 0.
func subtractCounts(after, before map[string]int64) map[string]int64 {
	d := maps.Clone(after)
	for k, n := range before {
		d[k] = max(d[k]-n, 0)
	}
	maps.DeleteFunc(d, func(_ string, n int64) bool { return n == 0 })
	return d
}

// waste returns the messages and run time that contributed to no complete job.
func (c counters) waste(usefulSeconds float64) schema.LoadWaste {
	w := schema.LoadWaste{
		Starts:           c.runs.Starts,
		Doubled:          c.runs.Duplicates,
		RefusedByWorkers: c.runs.Refused,
		Retries:          sortedCounts(c.retries),
		EmptyBorrows:     c.borrows[borrowEmpty],
		PeerMessages:     sortedCounts(c.messages),
		BusySeconds:      float64(c.runs.BusyMS) / 1000,
	}
	// The worker and the entry both count a refusal. It is one wasted exchange, so the larger count is
	// taken.
	wasted := max(w.RefusedByWorkers, c.retries[retryRefused]+c.retries[retryLeaving])
	for reason, n := range c.retries {
		if reason != retryRefused && reason != retryLeaving {
			wasted += n
		}
	}
	wasted += w.EmptyBorrows + w.Doubled
	if w.Starts > 0 {
		w.PerTask = float64(wasted) / float64(w.Starts)
	}
	if w.BusySeconds > 0 {
		w.UselessWork = max(1-usefulSeconds/w.BusySeconds, 0)
	}
	return w
}
