// Output of plans, status and history as text.

package cli

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/lavendercleat/lavendercleat/schema"
)

// newTable returns a writer that aligns columns. The caller has to call Flush.
func newTable(w io.Writer) *tabwriter.Writer { return tabwriter.NewWriter(w, 0, 0, 2, ' ', 0) }

// printPlan prints the changes of a plan and their effects.
func printPlan(w io.Writer, p schema.Plan) error {
	t := newTable(w)
	fmt.Fprintf(t, "plan %s: revision %d to %d\n\n", p.Id, p.BaseRevision, p.Revision)
	fmt.Fprintln(t, "FIELD\tBEFORE\tAFTER")
	for _, c := range p.Changes {
		fmt.Fprintf(t, "%s\t%s\t%s\n", c.Field, orDash(c.Before), orDash(c.After))
	}
	fmt.Fprintln(t, "\nFAILURE DOMAIN\tWORKERS\tSLOTS\tENTRIES")
	for _, d := range p.Effects.Domains {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\n", d.Domain, formatChange(d.WorkersBefore, d.WorkersAfter), formatChange(d.SlotsBefore, d.SlotsAfter), formatChange(d.EntriesBefore, d.EntriesAfter))
	}
	printEffects(t, p.Effects)
	return t.Flush()
}

// printEffects prints the effects of a plan on tasks, kinds and teams, and the plan's warnings.
func printEffects(w io.Writer, e schema.Effects) {
	fmt.Fprintf(w, "\ntasks in flight: %d running (%d of them on workers that get no new tasks; they run to their end), %d waiting\n", e.Running, e.RunningThere, e.Waiting)
	if len(e.KindsWithoutWorkers) > 0 {
		fmt.Fprintf(w, "kinds left without workers: %s\n", strings.Join(e.KindsWithoutWorkers, ", "))
	}
	for _, t := range e.SqueezedTeams {
		fmt.Fprintf(w, "team limited: %s starts %d tasks per second, quota %s -> %s: %s\n", t.Team, t.StartsPerSecondNow, formatQuota(t.QuotaBefore), formatQuota(t.QuotaAfter), t.Why)
	}
	for _, warning := range e.Warnings {
		fmt.Fprintf(w, "warning: %s\n", warning)
	}
}

// printConfirmCommand prints the command that confirms a plan.
func printConfirmCommand(w io.Writer, p schema.Plan) error {
	arg, err := encodeConfirmation(p)
	if err != nil {
		return err
	}
	if len(arg) > maxPlanArgumentBytes {
		_, err = fmt.Fprintln(w, "\nnothing has changed yet; the plan is too long for the command line: run plan with --json > FILE, then confirm with --file FILE")
		return err
	}
	_, err = fmt.Fprintf(w, "\nnothing has changed yet; to apply the plan:\nlavendercleat confirm %s\n", arg)
	return err
}

// orDash returns s, or "-" if s is empty.
func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

// formatChange formats a number before and after a plan.
func formatChange(before, after int64) string {
	if before == after {
		return fmt.Sprint(before)
	}
	return fmt.Sprintf("%d -> %d", before, after)
}

// formatQuota formats a quota; 0 means that the team has none.
func formatQuota(n int64) string {
	if n == 0 {
		return "none"
	}
	return fmt.Sprint(n)
}

// printStatus prints one line for each entry, then the alarms of all entries.
func printStatus(w io.Writer, f schema.FleetStatus) error {
	t := newTable(w)
	fmt.Fprintf(t, "revision %d in force on %d of %d entries; the platform has revision %d\n\n",
		f.Revision, countCurrent(f), len(f.Entries)+len(f.Unreachable), f.PlatformRevision)
	fmt.Fprintln(t, "ENTRY\tFAILURE DOMAIN\tREVISION\tRUNNING\tWAITING\tSLOTS\tREADY")
	for _, e := range f.Entries {
		fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%d\t%d\t%s\n", e.Address, e.Domain, e.ConfigRevision, e.RunningTasks, e.WaitingTasks, e.Slots, formatReady(e))
	}
	for _, a := range f.Unreachable {
		fmt.Fprintf(t, "%s\tunreachable\n", a)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for _, e := range f.Entries {
		for _, a := range e.Alarms {
			fmt.Fprintf(w, "alarm at %s: %s\n", e.Address, a)
		}
	}
	return nil
}

// countCurrent returns the number of entries on which the highest revision is in force.
func countCurrent(f schema.FleetStatus) int {
	n := 0
	for _, e := range f.Entries {
		if e.ConfigRevision == f.Revision {
			n++
		}
	}
	return n
}

// formatReady returns "yes", or "no" with the reason.
func formatReady(e schema.EntryStatus) string {
	if e.Ready {
		return "yes"
	}
	return "no: " + e.NotReadyBecause
}

// printHistory prints the recently applied plans.
func printHistory(w io.Writer, h schema.History) error {
	fmt.Fprintf(w, "revision %d in force\n", h.Revision)
	for _, p := range h.Plans {
		if _, err := fmt.Fprintln(w, formatHistoryEntry(p)); err != nil {
			return err
		}
	}
	return nil
}

// formatHistoryEntry formats an applied plan as one line, with its time in UTC.
func formatHistoryEntry(h schema.HistoryEntry) string {
	confirmedAt := time.UnixMilli(h.ConfirmedUnixMs).UTC().Format(time.RFC3339)
	return fmt.Sprintf("revision %d  %s  %s  %s  (plan %s)", h.Revision, confirmedAt, h.Operator, h.Intent, h.Plan)
}
