// Output of progress and reports as text.

package load

import (
	"context"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/lavendercleat/lavendercleat/schema"
)

// showProgress rewrites one line of progress every second until the context ends.
func showProgress(ctx context.Context, w io.Writer, name string, length time.Duration, r *recorder) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			fmt.Fprint(w, "\r\033[K")
			return
		}
		running, soFar, p99 := r.progress()
		fmt.Fprintf(w, "\r\033[K%s  %s of %s  running %d  complete %d  refused %d  failed %d  unanswered %d  p99 %.2f",
			name, time.Since(r.start).Round(time.Second), length, running, soFar.Complete, soFar.Refused, soFar.Failed, soFar.Unanswered, p99)
	}
}

// WriteTable writes a table with one line for each report, and the details of each report below it.
func WriteTable(w io.Writer, reports []schema.LoadReport) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "run\tjobs\tcomplete\trefused\tfailed\tcanceled\tno answer\tlate\tp50\tp95\tp99\tmax\twasted/task\tuseless work\tdoubled\tmachine busy")
	for _, r := range reports {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.2f\t%.2f\t%.2f\t%.2f\t%.4f\t%.1f%%\t%d\t%s\n",
			r.Name, r.Jobs, r.Complete, r.Refused, r.Failed, r.Canceled, r.Unanswered, r.Late,
			r.Ratio.P50, r.Ratio.P95, r.Ratio.P99, r.Ratio.Max,
			r.Waste.PerTask, 100*r.Waste.UselessWork, r.Waste.Doubled, formatBusy(r.Machine))
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for _, r := range reports {
		writeDetails(w, r)
	}
	return nil
}

// formatBusy formats the busy share of the machine, and warns if the machine was saturated.
func formatBusy(m schema.LoadMachine) string {
	text := fmt.Sprintf("%.0f%%", 100*m.Busy)
	if m.Saturated {
		text += " (saturated; response times are unreliable)"
	}
	return text
}

// writeDetails writes the load of one run, its classes and the counters that are not zero.
func writeDetails(w io.Writer, r schema.LoadReport) {
	fmt.Fprintf(w, "%s: %.1f jobs/s, %d tasks, load for %.0f slots, idle round trip %.2f ms in one call, %.2f ms with a reservation, %.1f cores used by this process",
		r.Name, r.JobsPerSecond, r.Tasks, r.OfferedSlots, r.RoundTripOneCallMs, r.RoundTripReservedMs, r.Machine.ProcessCores)
	for _, c := range r.Classes {
		fmt.Fprintf(w, "; %s p50 %.2f p99 %.2f", c.Name, c.Ratio.P50, c.Ratio.P99)
	}
	fmt.Fprintln(w)
	for _, l := range []struct {
		name string
		list []schema.LoadCount
	}{
		{"refusals", r.Refusals}, {"failures", r.Failures}, {"no answer", r.Errors},
		{"retries", r.Waste.Retries}, {"messages between entries", r.Waste.PeerMessages},
	} {
		if len(l.list) > 0 {
			fmt.Fprintf(w, "  %s: %s\n", l.name, joinCounts(l.list))
		}
	}
	fmt.Fprintf(w, "  refused by workers: %d; requests for slots that got none: %d; refusals answered within %.0f ms (p99)\n",
		r.Waste.RefusedByWorkers, r.Waste.EmptyBorrows, r.RefusalMs.P99)
}

func joinCounts(list []schema.LoadCount) string {
	parts := make([]string, len(list))
	for i, c := range list {
		parts[i] = fmt.Sprintf("%s %d", c.Name, c.Count)
	}
	return strings.Join(parts, ", ")
}
