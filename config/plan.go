// Plans, their confirmation and their history.

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

// Reason is the reason why a plan was not applied.
type Reason string

// Reasons why a plan was not applied.
const (
	// BadIntent: the intent cannot be applied to this document.
	BadIntent Reason = "bad_intent"
	// BadPlan: the identifier of a confirmation does not match its contents.
	BadPlan Reason = "bad_plan"
	// BaseRevisionChanged: another plan was applied after this plan was made.
	BaseRevisionChanged Reason = "base_moved"
	// NowhereToRun: the change leaves a kind without workers, or the fleet without entries.
	NowhereToRun Reason = "nowhere_to_run"
	// PlatformOlder: the platform's document is older than the document in force.
	PlatformOlder Reason = "platform_older"
	// EntryBehind: the queried entry does not have the newest revision yet.
	EntryBehind Reason = "entry_behind"
	// Unreadable: the platform's document cannot be decoded.
	Unreadable Reason = "unreadable"
	// PlatformUnavailable: the platform's service did not answer.
	PlatformUnavailable Reason = "platform_unavailable"
)

// Outcomes of a confirmation.
const (
	Applied = "applied"
	Refused = "refused"
	// OutcomeUnknown: a write was sent, and no answer tells whether it was applied.
	OutcomeUnknown = "unknown"
)

// MaxRecentPlans is the maximum number of plans in the document's history.
const MaxRecentPlans = 64

const (
	nonceBytes  = 8
	planIDBytes = 12
)

// Refusal is an error that describes why a plan is not applied.
type Refusal struct {
	Reason  Reason
	Message string
	// AppliedSince lists the plans applied since the base revision; set for BaseRevisionChanged.
	AppliedSince []schema.HistoryEntry
}

// Error implements error.
func (r *Refusal) Error() string { return fmt.Sprintf("%s: %s", r.Reason, r.Message) }

func newRefusal(r Reason, format string, args ...any) *Refusal {
	return &Refusal{Reason: r, Message: fmt.Sprintf(format, args...)}
}

// NewNonce returns a random nonce for a plan's identifier.
func NewNonce() string {
	b := make([]byte, nonceBytes)
	rand.Read(b)
	return hex.EncodeToString(b)
}

// PlanID returns the identifier of a plan, a digest of its contents. The nonce distinguishes two plans of
// the same intent on the same base, so that the confirmation of one operator is never taken for that of
// another.
func PlanID(i schema.Intent, base uint64, nonce string) string {
	b, _ := json.Marshal(schema.Confirmation{BaseRevision: base, Nonce: nonce, Intent: i}) // structs of plain fields always encode
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:planIDBytes])
}

// Update is the document before and after an intent.
type Update struct {
	Before *schema.Config
	After  *schema.Config
}

// NewUpdate returns the update of base that results from the intent. The new document has the next
// revision.
func NewUpdate(base *schema.Config, i schema.Intent) (*Update, *Refusal) {
	after, err := Apply(base, i)
	if err == nil {
		err = Validate(after)
	}
	if err != nil {
		return nil, newRefusal(BadIntent, "%v", err)
	}
	// A first document may contain a revision of its own, see initialize.
	after.Revision = max(base.GetRevision(), after.GetRevision()) + 1
	update := &Update{Before: base, After: after}
	if Action(i.Action) != Restore && len(Diff(base, after)) == 0 {
		return nil, newRefusal(BadIntent, "the intent changes nothing")
	}
	return update, nil
}

// CheckEffects refuses a change that leaves a kind without workers or the fleet without entries, unless
// the intent is forced.
func CheckEffects(e schema.Effects, i schema.Intent) *Refusal {
	if i.Force {
		return nil
	}
	if len(e.KindsWithoutWorkers) > 0 {
		return newRefusal(NowhereToRun, "no worker would be left for: %s; add --force to apply the change anyway", strings.Join(e.KindsWithoutWorkers, ", "))
	}
	before, after := int64(0), int64(0)
	for _, d := range e.Domains {
		before += d.EntriesBefore
		after += d.EntriesAfter
	}
	if before > 0 && after == 0 {
		return newRefusal(NowhereToRun, "no entry would accept new work; add --force to apply the change anyway")
	}
	return nil
}

// AddToHistory adds a record of the applied plan to the new document.
func (u *Update) AddToHistory(id, operator string, i schema.Intent, unixMS int64) {
	plans := append(u.After.GetRecentPlans(), &schema.AppliedPlan{
		Id: id, Revision: u.After.GetRevision(), Operator: operator, Intent: Describe(i), ConfirmedUnixMs: unixMS,
	})
	if excess := len(plans) - MaxRecentPlans; excess > 0 {
		plans = plans[excess:]
	}
	u.After.RecentPlans = plans
}

// CheckConfirmation refuses a confirmation whose identifier does not match its contents.
func CheckConfirmation(c schema.Confirmation) *Refusal {
	if c.Nonce == "" || PlanID(c.Intent, c.BaseRevision, c.Nonce) != c.Id {
		return newRefusal(BadPlan, "the contents of the confirmation do not match the plan identifier %q; plan again", c.Id)
	}
	return nil
}

// FindPlan returns the record of an applied plan, or nil if the document has none.
func FindPlan(c *schema.Config, id string) *schema.AppliedPlan {
	for _, p := range c.GetRecentPlans() {
		if p.GetId() == id {
			return p
		}
	}
	return nil
}

// CheckBaseRevision refuses a plan if its base revision is not the document's. The refusal lists the
// plans applied since.
func CheckBaseRevision(c *schema.Config, base uint64) *Refusal {
	if c.GetRevision() == base {
		return nil
	}
	refusal := newRefusal(BaseRevisionChanged, "the plan was made for revision %d, but revision %d is in force; plan again", base, c.GetRevision())
	for _, h := range HistoryOf(c).Plans {
		if h.Revision > base {
			refusal.AppliedSince = append(refusal.AppliedSince, h)
		}
	}
	if missing := c.GetRevision() - base; c.GetRevision() > base && uint64(len(refusal.AppliedSince)) < missing {
		refusal.Message += fmt.Sprintf(" (%d changes in between, the last %d are known)", missing, len(refusal.AppliedSince))
	}
	return refusal
}

// HistoryOf returns the recent plans of a document.
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

// Diverged reports whether two documents have the same revision but different contents. That happens if
// the platform is restored from an older copy, and an operator changes that copy before the entries with
// the newer document report it.
func Diverged(a, b *schema.Config) bool {
	return a.GetRevision() == b.GetRevision() && !proto.Equal(a, b)
}
