package config

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strings"

	"google.golang.org/protobuf/proto"

	"github.com/lavendercleat/lavendercleat/schema"
)

// Reason names why a plan was not applied.
type Reason string

// Reasons of plans that were not applied.
const (
	// BadIntent: the intent can't be carried out on this document.
	BadIntent Reason = "bad_intent"
	// BadPlan: identifier and contents of a confirmation don't belong together.
	BadPlan Reason = "bad_plan"
	// BaseRevisionChanged: another plan was applied since this one was made.
	BaseRevisionChanged Reason = "base_moved"
	// NowhereToRun: a kind or the fleet would be left without workers or entries.
	NowhereToRun Reason = "nowhere_to_run"
	// PlatformOlder: the platform's document is older than the one in force.
	PlatformOlder Reason = "platform_older"
	// EntryBehind: the asked entry does not have the newest revision yet.
	EntryBehind Reason = "entry_behind"
	// Unreadable: the platform's document can't be decoded.
	Unreadable Reason = "unreadable"
	// PlatformUnavailable: the platform's service gave no answer.
	PlatformUnavailable Reason = "platform_unavailable"
)

// Outcomes of a confirmation.
const (
	Applied = "applied"
	Refused = "refused"
	// OutcomeUnknown: a write was sent and no answer tells whether it took effect.
	OutcomeUnknown = "unknown"
)

// MaxRecentPlans bounds the document's history.
const MaxRecentPlans = 64

const (
	nonceBytes  = 8
	planIDBytes = 12
)

// Refusal says why a plan is not applied.
type Refusal struct {
	Reason  Reason
	Message string
	// AppliedSince holds the plans applied since the base revision, for BaseRevisionChanged.
	AppliedSince []schema.HistoryEntry
}

// Error implements error.
func (r *Refusal) Error() string { return fmt.Sprintf("%s: %s", r.Reason, r.Message) }

func newRefusal(r Reason, format string, args ...any) *Refusal {
	return &Refusal{Reason: r, Message: fmt.Sprintf(format, args...)}
}

// NewNonce returns the random part of a plan's identifier.
func NewNonce() string {
	b := make([]byte, nonceBytes)
	rand.Read(b)
	return hex.EncodeToString(b)
}

// PlanID identifies a plan by what it is. The nonce tells apart two plans of the same
// intent on the same base, so that one operator's confirmation is never taken for
// the other's.
func PlanID(i schema.Intent, base uint64, nonce string) string {
	b, _ := json.Marshal(schema.Confirmation{BaseRevision: base, Nonce: nonce, Intent: i}) // plain fields always encode
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:planIDBytes])
}

// Update is a document with the one that an intent makes of it.
type Update struct {
	Before *schema.Config
	After  *schema.Config
}

// NewUpdate returns the step from base by the intent; its document has the next revision.
func NewUpdate(base *schema.Config, i schema.Intent) (*Update, *Refusal) {
	after, err := Apply(base, i)
	if err == nil {
		err = Validate(after)
	}
	if err != nil {
		return nil, newRefusal(BadIntent, "%v", err)
	}
	// A first document may bring a revision of its own, see Init.
	after.Revision = max(base.GetRevision(), after.GetRevision()) + 1
	update := &Update{Before: base, After: after}
	if Action(i.Action) != Restore && len(Diff(base, after)) == 0 {
		return nil, newRefusal(BadIntent, "nothing would change")
	}
	return update, nil
}

// CheckEffects refuses a change that leaves work with nowhere to run, unless forced.
func CheckEffects(e schema.Effects, i schema.Intent) *Refusal {
	if i.Force {
		return nil
	}
	if len(e.KindsWithoutWorkers) > 0 {
		return newRefusal(NowhereToRun, "no worker would be left for: %s; add --force to do it all the same", strings.Join(e.KindsWithoutWorkers, ", "))
	}
	before, after := int64(0), int64(0)
	for _, d := range e.Domains {
		before += d.EntriesBefore
		after += d.EntriesAfter
	}
	if before > 0 && after == 0 {
		return newRefusal(NowhereToRun, "no entry would accept new work; add --force to do it all the same")
	}
	return nil
}

// AddToHistory adds an applied plan to the step's document.
func (u *Update) AddToHistory(id, operator string, i schema.Intent, unixMS int64) {
	plans := append(u.After.GetRecentPlans(), &schema.AppliedPlan{
		Id: id, Revision: u.After.GetRevision(), Operator: operator, Intent: Describe(i), ConfirmedUnixMs: unixMS,
	})
	if excess := len(plans) - MaxRecentPlans; excess > 0 {
		plans = plans[excess:]
	}
	u.After.RecentPlans = plans
}

// CheckConfirmation refuses a confirmation whose identifier is not that of its
// contents.
func CheckConfirmation(c schema.Confirmation) *Refusal {
	if c.Nonce == "" || PlanID(c.Intent, c.BaseRevision, c.Nonce) != c.Id {
		return newRefusal(BadPlan, "identifier and contents of the plan don't belong together; plan again")
	}
	return nil
}

// FindPlan returns the record of an applied plan, nil when the document has none.
func FindPlan(c *schema.Config, id string) *schema.AppliedPlan {
	for _, p := range c.GetRecentPlans() {
		if p.GetId() == id {
			return p
		}
	}
	return nil
}

// CheckBaseRevision refuses a plan whose base is not the document's revision and says what
// was applied in between.
func CheckBaseRevision(c *schema.Config, base uint64) *Refusal {
	if c.GetRevision() == base {
		return nil
	}
	r := newRefusal(BaseRevisionChanged, "the plan was made for revision %d and revision %d is in force; plan again", base, c.GetRevision())
	for _, h := range HistoryOf(c).Plans {
		if h.Revision > base {
			r.AppliedSince = append(r.AppliedSince, h)
		}
	}
	if missing := c.GetRevision() - base; c.GetRevision() > base && uint64(len(r.AppliedSince)) < missing {
		r.Message += fmt.Sprintf(" (%d changes in between, the last %d are known)", missing, len(r.AppliedSince))
	}
	return r
}

// HistoryOf returns the document's recent plans.
func HistoryOf(c *schema.Config) schema.History {
	h := schema.History{Revision: c.GetRevision(), Plans: []schema.HistoryEntry{}}
	for _, p := range c.GetRecentPlans() {
		h.Plans = append(h.Plans, schema.HistoryEntry{
			Plan: p.GetId(), Revision: p.GetRevision(), Operator: p.GetOperator(),
			Intent: p.GetIntent(), ConfirmedUnixMs: p.GetConfirmedUnixMs(),
		})
	}
	return h
}

// Diverged tells whether two documents of one revision were made by different plans,
// which happens when a platform comes back older and is changed before the entries
// that know better can tell.
func Diverged(a, b *schema.Config) bool {
	return a.GetRevision() == b.GetRevision() && !proto.Equal(a, b)
}
