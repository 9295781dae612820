// Plans of operators: computing what an intent would change, and applying confirmed plans exactly once.

package entry

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"github.com/lavendercleat/lavendercleat/config"
	"github.com/lavendercleat/lavendercleat/internal/clock"
	"github.com/lavendercleat/lavendercleat/internal/platform"
	"github.com/lavendercleat/lavendercleat/schema"
)

const (
	// platformCallTimeout bounds one call of the platform for an operator's request.
	platformCallTimeout = 4 * time.Second
	// confirmTimeout bounds the writing of a confirmed plan, including retries after lost replies.
	confirmTimeout = 8 * time.Second
	// platformRetryPause is the pause before a write or read of the platform is repeated.
	platformRetryPause = 200 * time.Millisecond
	// maxBaseReads bounds the repeated reads of the platform when other plans are applied during a read.
	maxBaseReads = 5
	// operatorRetryAfter is the Retry-After for operators while something is unavailable.
	operatorRetryAfter = 2 * time.Second
)

// planner computes plans and applies confirmed ones. It stores nothing between the two steps, so an
// operator may confirm a plan at any entry.
type planner struct {
	state    *state
	platform *platform.Client
	syncer   *syncer
	log      logrus.FieldLogger
	metrics  *Metrics
	// newestPeerRevision returns the highest revision that a live peer has in force.
	newestPeerRevision func() uint64
	// fleetLoad returns what runs in the fleet.
	fleetLoad func(context.Context) config.FleetLoad
	// announce reports a new revision to the peers at once.
	announce func()
}

// storedDocument is the document that the platform stores. It has two revisions. The key's revision counts
// the writes of the key; compare-and-swap compares it. The document's revision is the one that entries
// compare. The two differ after a document has been restored or was written with a revision of its own.
type storedDocument struct {
	keyRevision uint64
	doc         *schema.Config
	// unreadable is set when the key's value cannot be decoded. doc is empty then.
	unreadable bool
}

// read reads the platform's document. If there is none, it returns an empty one at revision 0.
func (p *planner) read(ctx context.Context) (storedDocument, *config.Refusal) {
	ctx, cancel := context.WithTimeout(ctx, platformCallTimeout)
	defer cancel()
	v, err := p.platform.Get(ctx, ConfigKey)
	switch {
	case errors.Is(err, platform.ErrNotFound):
		return storedDocument{doc: &schema.Config{}}, nil
	case err != nil:
		return storedDocument{}, &config.Refusal{
			Reason:  config.PlatformUnavailable,
			Message: "the platform's service does not answer, so no change is possible now; nothing was written, and the configuration in force stays",
		}
	}
	s := storedDocument{keyRevision: v.Revision, doc: new(schema.Config)}
	if err := proto.Unmarshal(v.Value, s.doc); err != nil {
		s.doc, s.unreadable = &schema.Config{}, true
	}
	return s, nil
}

// loadBase reads the platform's document and returns the document to which an intent applies. If another
// plan was applied during the read, loadBase repeats the read: the document that it read is older than the
// one in force, although the platform's is not.
func (p *planner) loadBase(ctx context.Context, i schema.Intent) (s storedDocument, base *schema.Config, refusal *config.Refusal) {
	for range maxBaseReads {
		before := p.state.config().Revision()
		if s, refusal = p.read(ctx); refusal != nil {
			return s, nil, refusal
		}
		base, refusal = p.selectBase(s, i)
		overtaken := s.doc.GetRevision() >= before && p.state.config().Revision() > s.doc.GetRevision()
		if refusal == nil || !overtaken && refusal.Reason != config.EntryBehind {
			break
		}
		clock.Sleep(ctx, platformRetryPause)
	}
	return s, base, refusal
}

// selectBase returns the document to which an intent applies, or a refusal if there is none.
func (p *planner) selectBase(s storedDocument, i schema.Intent) (*schema.Config, *config.Refusal) {
	p.state.updateConfig(s.doc) // this entry may be the first to read it
	inForce := p.state.config().Document()
	switch have := inForce.GetRevision(); {
	case p.newestPeerRevision() > have:
		return nil, &config.Refusal{Reason: config.EntryBehind, Message: "a peer has a newer revision in force than this entry; ask again"}
	case config.Action(i.Action) == config.Restore:
		return p.restoreBase(s, inForce)
	case s.unreadable:
		return nil, &config.Refusal{Reason: config.Unreadable, Message: "the platform's document cannot be decoded; plan restore, which writes back the document in force"}
	case s.doc.GetRevision() < have || config.Diverged(s.doc, inForce):
		return nil, &config.Refusal{Reason: config.PlatformOlder, Message: "the platform's document is older than the one in force or differs from it; first plan restore, which writes back the document in force"}
	}
	return s.doc, nil
}

// restoreBase returns the document in force, which a restore writes back to the platform.
func (p *planner) restoreBase(s storedDocument, inForce *schema.Config) (*schema.Config, *config.Refusal) {
	if inForce.GetRevision() == 0 {
		return nil, &config.Refusal{Reason: config.BadIntent, Message: "no configuration is in force at this entry"}
	}
	if s.doc.GetRevision() == inForce.GetRevision() && !config.Diverged(s.doc, inForce) {
		return nil, &config.Refusal{Reason: config.BadIntent, Message: "the platform has the document in force; there is nothing to restore"}
	}
	return inForce, nil
}

// plan computes what an intent would change. It stores nothing.
func (p *planner) plan(ctx context.Context, operator string, i schema.Intent) (schema.Plan, *config.Refusal) {
	s, base, refusal := p.loadBase(ctx, i)
	if refusal != nil {
		return schema.Plan{}, refusal
	}
	update, refusal := config.NewUpdate(base, i)
	if refusal != nil {
		return schema.Plan{}, refusal
	}
	out := schema.Plan{
		BaseRevision: base.GetRevision(),
		Nonce:        config.NewNonce(),
		Intent:       i,
		Revision:     update.After.GetRevision(),
		// The changes of a restore are those against the platform's document.
		Changes: config.Diff(s.doc, update.After),
		Effects: config.ComputeEffects(base, update.After, p.state.vmList().GetVms(), p.fleetLoad(ctx)),
	}
	out.Id = config.PlanID(i, out.BaseRevision, out.Nonce)
	if r := config.CheckEffects(out.Effects, i); r != nil {
		out.Refused = r.Message
	}
	p.log.WithFields(logrus.Fields{
		"event": "plan_made", "operator": operator, "plan": out.Id, "intent": config.Describe(i), "base": out.BaseRevision,
	}).Info("plan made")
	return out, nil
}

// confirm applies a plan exactly once, however often the operator confirms it.
func (p *planner) confirm(ctx context.Context, operator string, c schema.Confirmation) schema.Outcome {
	// If the operator disconnects, the entry must still find out whether the write took effect.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), confirmTimeout)
	defer cancel()
	out := p.apply(ctx, operator, c)
	p.metrics.count("confirmations", "outcome", out.Outcome)
	if out.Reason != "" {
		p.metrics.count("confirmation_refusals", "reason", out.Reason)
	}
	p.log.WithFields(logrus.Fields{
		"event": "plan_confirmed", "operator": operator, "plan": c.Id, "intent": config.Describe(c.Intent), "base": c.BaseRevision,
		"outcome": out.Outcome, "reason": out.Reason, "revision": out.Revision, "earlier": out.Earlier,
	}).Info("plan confirmed")
	return out
}

// apply applies a confirmed plan, unless it has been applied before or must be refused.
func (p *planner) apply(ctx context.Context, operator string, c schema.Confirmation) schema.Outcome {
	if r := config.CheckConfirmation(c); r != nil {
		return refusedOutcome(r)
	}
	s, base, refusal := p.loadBase(ctx, c.Intent)
	// The operator may not have received the reply to an earlier confirmation.
	if rec := p.findPlan(s.doc, c.Id); rec != nil {
		return appliedOutcome(rec, true)
	}
	if refusal != nil {
		return refusedOutcome(refusal)
	}
	update, refusal := p.recompute(base, c)
	if refusal != nil {
		return refusedOutcome(refusal)
	}
	update.AddToHistory(c.Id, operator, c.Intent, time.Now().UnixMilli())
	return p.write(ctx, s.keyRevision, update, c)
}

// findPlan searches for an applied plan in the platform's document and in the one in force. The platform's
// document may lack the plan if it was restored from an older copy.
func (p *planner) findPlan(doc *schema.Config, id string) *schema.AppliedPlan {
	if rec := config.FindPlan(doc, id); rec != nil {
		return rec
	}
	return config.FindPlan(p.state.config().Document(), id)
}

// recompute computes the plan again. It refuses the plan if the base revision has changed.
func (p *planner) recompute(base *schema.Config, c schema.Confirmation) (*config.Update, *config.Refusal) {
	if r := config.CheckBaseRevision(base, c.BaseRevision); r != nil {
		return nil, r
	}
	update, refusal := config.NewUpdate(base, c.Intent)
	if refusal != nil {
		return nil, refusal
	}
	effects := config.ComputeEffects(base, update.After, p.state.vmList().GetVms(), config.FleetLoad{})
	return update, config.CheckEffects(effects, c.Intent)
}

// write writes the document by compare-and-swap. A write without a reply may have taken effect or may
// still take effect. So write repeats it with the same expected revision: at most one of the copies takes
// effect. A conflict then means that one of the copies or another plan took effect, and the document's
// history shows which.
func (p *planner) write(ctx context.Context, keyRevision uint64, update *config.Update, c schema.Confirmation) schema.Outcome {
	b, err := proto.Marshal(update.After)
	if err != nil {
		return refusedOutcome(&config.Refusal{Reason: config.BadIntent, Message: err.Error()})
	}
	replyLost := false
	for ctx.Err() == nil {
		switch err := p.compareAndSwap(ctx, keyRevision, b); {
		case err == nil:
			return p.putInForce(update.After, c.Id, replyLost)
		case errors.Is(err, platform.ErrConflict):
			return p.resolveConflict(ctx, c, replyLost)
		}
		replyLost = true
		p.metrics.count("platform_failures", "call", "confirm")
		clock.Sleep(ctx, platformRetryPause)
	}
	return unknownOutcome()
}

func (p *planner) compareAndSwap(ctx context.Context, keyRevision uint64, b []byte) error {
	ctx, cancel := context.WithTimeout(ctx, platformCallTimeout)
	defer cancel()
	_, err := p.platform.CompareAndSwap(ctx, ConfigKey, keyRevision, b)
	return err
}

// resolveConflict determines whose write took effect.
func (p *planner) resolveConflict(ctx context.Context, c schema.Confirmation, replyLost bool) schema.Outcome {
	for ctx.Err() == nil {
		s, refusal := p.read(ctx)
		if refusal != nil {
			clock.Sleep(ctx, platformRetryPause)
			continue
		}
		if rec := config.FindPlan(s.doc, c.Id); rec != nil {
			return p.putInForce(s.doc, c.Id, replyLost)
		}
		p.state.updateConfig(s.doc)
		if r := config.CheckBaseRevision(s.doc, c.BaseRevision); r != nil {
			return refusedOutcome(r)
		}
		return refusedOutcome(&config.Refusal{Reason: config.BaseRevisionChanged, Message: "the platform's document has changed meanwhile; plan again"})
	}
	if replyLost {
		return unknownOutcome()
	}
	return refusedOutcome(&config.Refusal{Reason: config.BaseRevisionChanged, Message: "another plan was applied first; its changes cannot be read now because the platform's service does not answer; plan again"})
}

// putInForce puts the written document in force at this entry and announces it to the peers at once, so
// that an entry that cannot reach the platform does not have to wait for the next heartbeat.
func (p *planner) putInForce(doc *schema.Config, plan string, replyLost bool) schema.Outcome {
	if p.state.updateConfig(doc) {
		p.syncer.logConfigInForce(doc, "confirmation")
	}
	p.announce()
	out := appliedOutcome(config.FindPlan(doc, plan), false)
	if replyLost {
		out.Message += "; a reply of the platform was lost, and the plan was applied once"
	}
	return out
}
