// Tests of intents, effects and the history of the document.

package config

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lavendercleat/lavendercleat/schema"
)

func document() *schema.Config {
	return &schema.Config{
		Revision: 7,
		Kinds: map[string]*schema.Kind{
			"quote":   {Path: "/quote", Idempotent: true, DeadlineMs: 1000},
			"booking": {Path: "/booking", DeadlineMs: 1000, Domains: []string{"b"}},
		},
		Teams:  map[string]*schema.Team{"sales": {TokenSha256: HashToken("t"), StartsPerSecond: 100}},
		Limits: &schema.Limits{MaxTasks: 160, MaxBodyBytes: 1 << 20, MaxDeadlineMs: 60_000},
	}
}

func vms() []*schema.Vm {
	var list []*schema.Vm
	for _, d := range []string{"a", "b"} {
		list = append(list, &schema.Vm{Address: d + "-entry", Domain: d, Role: schema.VmRole_VM_ROLE_ENTRY})
		for n := range 4 {
			list = append(list, &schema.Vm{
				Address: fmt.Sprintf("%s-%d", d, n), Domain: d, Rack: fmt.Sprintf("rack-%d", n/2),
				Role: schema.VmRole_VM_ROLE_WORKER, Slots: 8,
			})
		}
	}
	return list
}

// An intent must change only the fields that it names, and must not change the document that it is
// applied to.
func TestIntentChangesOnlyItsFields(t *testing.T) {
	tests := []struct {
		intent schema.Intent
		want   []schema.Change
	}{
		{schema.Intent{Action: string(DrainRack), Target: "a/rack-0"}, []schema.Change{{Field: "drained_racks", After: "a/rack-0"}}},
		{schema.Intent{Action: string(SetLimits), Settings: []string{"max_tasks=40"}}, []schema.Change{{Field: "limits.max_tasks", Before: "160", After: "40"}}},
		{schema.Intent{Action: string(SetKind), Target: "quote", Settings: []string{"urgency=high", "needs.cpus=4", "domains=a, b"}}, []schema.Change{
			{Field: "kinds.quote.domains", After: "a, b"}, {Field: "kinds.quote.needs.cpus", After: "4"}, {Field: "kinds.quote.urgency", After: "high"},
		}},
		{schema.Intent{Action: string(SetTeam), Target: "sales", Settings: []string{"starts_per_second=50"}}, []schema.Change{{Field: "teams.sales.starts_per_second", Before: "100", After: "50"}}},
		{schema.Intent{Action: string(HoldKind), Target: "quote"}, []schema.Change{{Field: "held_kinds", After: "quote"}}},
		{schema.Intent{Action: string(RetireDomain), Target: "a"}, []schema.Change{{Field: "retired_domains", After: "a"}}},
	}
	for _, test := range tests {
		base := document()
		update, refusal := NewUpdate(base, test.intent)
		assert.Assert(t, refusal == nil, "%v", refusal)
		assert.DeepEqual(t, Diff(base, update.After), test.want)
		assert.Equal(t, update.After.GetRevision(), uint64(8))
		assert.Equal(t, len(Diff(base, document())), 0, "the base was changed")
	}
}

// The message for a bad intent must name the problem or the accepted values, so that an operator can
// correct it.
func TestBadIntentNamesAcceptedValues(t *testing.T) {
	tests := []struct {
		intent schema.Intent
		want   string
	}{
		{schema.Intent{Action: "explode"}, "unknown action"},
		{schema.Intent{Action: string(DrainRack), Target: "rack-0"}, "domain/rack"},
		{schema.Intent{Action: string(UndrainWorker), Target: "a-0"}, "existing: none"},
		{schema.Intent{Action: string(SetLimits), Settings: []string{"max_tasks=161"}}, "accepted are 1 to 160"},
		{schema.Intent{Action: string(SetLimits), Settings: []string{"max_tasks=160"}}, "changes nothing"},
		{schema.Intent{Action: string(SetLimits)}, "max_tasks, max_body_bytes"},
		{schema.Intent{Action: string(SetKind), Target: "quote", Settings: []string{"urgency=soon"}}, "low, normal, high"},
		{schema.Intent{Action: string(SetKind), Target: "quote", Settings: []string{"needs=4"}}, "needs.cpus"},
		{schema.Intent{Action: string(SetKind), Target: "booking", Settings: []string{"one_call=true"}}, "requires idempotent"},
		{schema.Intent{Action: string(SetTeam), Target: "other", Settings: []string{"token_sha256=" + HashToken("t")}}, "same token"},
		{schema.Intent{Action: string(RemoveTeam), Target: "none"}, "no team"},
		{schema.Intent{Action: string(ResumeKind), Target: "quote"}, "no held kind"},
		{schema.Intent{Action: string(Init), Document: "{}"}, "a document already"},
		{schema.Intent{Action: string(SetKind), Target: strings.Repeat("k", 300), Settings: []string{"path=/x", "deadline_ms=5"}}, "up to 200 bytes"},
	}
	for _, test := range tests {
		_, refusal := NewUpdate(document(), test.intent)
		assert.Assert(t, refusal != nil, "%+v", test.intent)
		assert.Equal(t, refusal.Reason, BadIntent)
		assert.Assert(t, strings.Contains(refusal.Message, test.want), "no %q in %q", test.want, refusal.Message)
	}
}

// The effects of retiring a domain must count its lost workers, slots, entries and running tasks, and
// name the kinds and teams that lose. Without force, the change is refused if a kind has no worker left.
func TestEffectsOfRetiredDomain(t *testing.T) {
	intent := schema.Intent{Action: string(RetireDomain), Target: "b"}
	base := document()
	update, _ := NewUpdate(base, intent)
	e := ComputeEffects(base, update.After, vms(), FleetLoad{
		Running: 30, Waiting: 10, RunningByWorker: map[string]int{"a-0": 5, "b-1": 3, "b-2": 4}, TeamRates: map[string]int{"sales": 60},
	})
	assert.DeepEqual(t, e.Domains, []schema.DomainEffect{
		{Domain: "a", WorkersBefore: 4, WorkersAfter: 4, SlotsBefore: 32, SlotsAfter: 32, EntriesBefore: 1, EntriesAfter: 1},
		{Domain: "b", WorkersBefore: 4, SlotsBefore: 32, EntriesBefore: 1},
	})
	assert.Equal(t, e.RunningThere, int64(7))
	assert.DeepEqual(t, e.KindsWithoutWorkers, []string{"booking"})
	assert.Equal(t, len(e.SqueezedTeams), 1)
	assert.Equal(t, e.SqueezedTeams[0].Why, "40 tasks run or wait, 32 slots are left")
	assert.Equal(t, CheckEffects(e, intent).Reason, NowhereToRun)
	intent.Force = true
	assert.Assert(t, CheckEffects(e, intent) == nil)
}

// The history keeps the last MaxRecentPlans plans. A refusal of an older plan must say that not all of
// the plans in between are known.
func TestHistoryIsBounded(t *testing.T) {
	doc := document()
	for n := range MaxRecentPlans + 10 {
		intent := schema.Intent{Action: string(SetLimits), Settings: []string{fmt.Sprintf("max_tasks=%d", n+1)}}
		update, refusal := NewUpdate(doc, intent)
		assert.Assert(t, refusal == nil)
		id := PlanID(intent, doc.GetRevision(), NewNonce())
		update.AddToHistory(id, "anna", intent, int64(n))
		doc = update.After
	}
	assert.Equal(t, len(doc.GetRecentPlans()), MaxRecentPlans)
	r := CheckBaseRevision(doc, 7)
	assert.Equal(t, r.Reason, BaseRevisionChanged)
	assert.Equal(t, len(r.AppliedSince), MaxRecentPlans)
	assert.Assert(t, strings.Contains(r.Message, "74 changes in between, the last 64 are known"), r.Message)
}

// A first document from an export must get a higher revision than the exported one. Otherwise an entry
// that still has the exported revision would not accept the document.
func TestInitExceedsExportedRevision(t *testing.T) {
	text := `{"revision":"57","limits":{"max_tasks":1,"max_body_bytes":10,"max_deadline_ms":1}}`
	update, refusal := NewUpdate(&schema.Config{}, schema.Intent{Action: string(Init), Document: text})
	assert.Assert(t, refusal == nil, "%v", refusal)
	assert.Equal(t, update.After.GetRevision(), uint64(58))
}
