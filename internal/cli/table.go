package cli

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/lavendercleat/lavendercleat/schema"
)

// table returns a writer that aligns columns; Flush has to be called.
func newTable(w io.Writer) *tabwriter.Writer { return tabwriter.NewWriter(w, 0, 0, 2, ' ', 0) }

// printPlan prints what would change and what follows.
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

func printEffects(w io.Writer, e schema.Effects) {
	fmt.Fprintf(w, "\nwork in flight: %d tasks run (%d on workers that get no new work; they are finished), %d wait\n", e.Running, e.RunningThere, e.Waiting)
	if len(e.KindsWithoutWorkers) > 0 {
		fmt.Fprintf(w, "kinds left with nowhere to run: %s\n", strings.Join(e.KindsWithoutWorkers, ", "))
	}
	for _, t := range e.SqueezedTeams {
		fmt.Fprintf(w, "team squeezed: %s starts %d tasks a second, quota %s to %s: %s\n", t.Team, t.StartsPerSecondNow, formatQuota(t.QuotaBefore), formatQuota(t.QuotaAfter), t.Why)
	}
	for _, warning := range e.Warnings {
		fmt.Fprintf(w, "warning: %s\n", warning)
	}
}

// printConfirm prints how to confirm a plan.
func printConfirmCommand(w io.Writer, p schema.Plan) error {
	arg, err := encodeConfirmation(p)
	if err != nil {
		return err
	}
	if len(arg) > maxPlanArgumentBytes {
		_, err = fmt.Fprintln(w, "\nnothing has changed yet; the plan is too long for the command line: plan with --json > FILE and confirm with --file FILE")
		return err
	}
	_, err = fmt.Fprintf(w, "\nnothing has changed yet; to carry it out:\nlavendercleat confirm %s\n", arg)
	return err
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

func formatChange(before, after int64) string {
	if before == after {
		return fmt.Sprint(before)
	}
	return fmt.Sprintf("%d -> %d", before, after)
}

func formatQuota(n int64) string {
	if n == 0 {
		return "none"
	}
	return fmt.Sprint(n)
}

// printStatus prints the entries, the one line of each with its alarms below.
func printStatus(w io.Writer, f schema.FleetStatus) error {
	t := newTable(w)
	fmt.Fprintf(t, "revision %d in force on %d of %d entries; platform holds %d\n\n",
		f.Revision, countCurrent(f), len(f.Entries)+len(f.Unreachable), f.PlatformRevision)
	fmt.Fprintln(t, "ENTRY\tFAILURE DOMAIN\tREVISION\tRUNNING\tWAITING\tSLOTS\tREADY")
	for _, e := range f.Entries {
		fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%d\t%d\t%s\n", e.Address, e.Domain, e.ConfigRevision, e.RunningTasks, e.WaitingTasks, e.Slots, formatReady(e))
	}
	for _, a := range f.Unreachable {
		fmt.Fprintf(t, "%s\tnot reached\n", a)
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

// current counts the entries that have the highest revision in force.
func countCurrent(f schema.FleetStatus) int {
	n := 0
	for _, e := range f.Entries {
		if e.ConfigRevision == f.Revision {
			n++
		}
	}
	return n
}

func formatReady(e schema.EntryStatus) string {
	if e.Ready {
		return "yes"
	}
	return "no: " + e.NotReadyBecause
}

// printHistory prints the recent plans.
func printHistory(w io.Writer, h schema.History) error {
	fmt.Fprintf(w, "revision %d in force\n", h.Revision)
	for _, p := range h.Plans {
		if _, err := fmt.Fprintln(w, formatHistoryEntry(p)); err != nil {
			return err
		}
	}
	return nil
}

func formatHistoryEntry(h schema.HistoryEntry) string {
	at := time.UnixMilli(h.ConfirmedUnixMs).UTC().Format(time.RFC3339)
	return fmt.Sprintf("revision %d  %s  %s  %s  (plan %s)", h.Revision, at, h.Operator, h.Intent, h.Plan)
}
