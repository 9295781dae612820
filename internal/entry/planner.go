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
	// platformCallTimeout bounds one call of the platform for an operator.
	platformCallTimeout = 4 * time.Second
	// confirmTimeout bounds the writing of a confirmed plan, lost replies included.
	confirmTimeout = 8 * time.Second
	// rewritePause is the pause before a write without a reply is sent again.
	writeRetryPause = 200 * time.Millisecond
	// maxReads bounds the reads of the platform that are overtaken by other plans.
	maxBaseReads = 5
	// operatorRetryAfter is the advice to operators while something is unavailable.
	operatorRetryAfter = 2 * time.Second
)

// planner makes plans and carries out confirmed ones. It keeps nothing between the
// two, so a plan may be confirmed at any entry.
type planner struct {
	state    *state
	platform *platform.Client
	syncer   *syncer
	log      logrus.FieldLogger
	metrics  *Metrics
	// newestPeer returns the highest revision that a live peer has in force.
	newestPeerRevision func() uint64
	// load tells what runs in the fleet.
	fleetLoad func(context.Context) config.FleetLoad
	// announce tells the peers of a new revision at once.
	announce func()
}

// stored is the platform's document. The key's own revision counts the writes of the
// key and is what compare-and-swap compares; the document's revision is what entries
// compare. They differ once a document was restored or brought a revision of its own.
type storedDocument struct {
	keyRevision uint64
	doc         *schema.Config
	// unreadable is set when the key's value can't be decoded; doc is empty then.
	unreadable bool
}

// read reads the platform's document; an absent one is empty, at revision 0.
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
			Message: "the platform's service gives no answer, so nothing can be changed now; nothing was written and the configuration in force stays",
		}
	}
	s := storedDocument{keyRevision: v.Revision, doc: new(schema.Config)}
	if err := proto.Unmarshal(v.Value, s.doc); err != nil {
		s.doc, s.unreadable = &schema.Config{}, true
	}
	return s, nil
}

// current reads the platform and returns the document that an intent starts from. A
// read that was overtaken by another plan is repeated: its document looks older than
// the one in force, though the platform is not.
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
		clock.Sleep(ctx, writeRetryPause)
	}
	return s, base, refusal
}

// base returns the document that an intent starts from.
func (p *planner) selectBase(s storedDocument, i schema.Intent) (*schema.Config, *config.Refusal) {
	p.state.updateConfig(s.doc) // this entry may be the first to see it
	inForce := p.state.config().Document()
	switch have := inForce.GetRevision(); {
	case p.newestPeerRevision() > have:
		return nil, &config.Refusal{Reason: config.EntryBehind, Message: "a peer has a newer revision in force than this entry; ask again"}
	case config.Action(i.Action) == config.Restore:
		return p.restoreBase(s, inForce)
	case s.unreadable:
		return nil, &config.Refusal{Reason: config.Unreadable, Message: "the platform's document can't be decoded; plan restore writes back the one in force"}
	case s.doc.GetRevision() < have || config.Diverged(s.doc, inForce):
		return nil, &config.Refusal{Reason: config.PlatformOlder, Message: "the platform's document is not the one in force, it came back older; plan restore first, which writes back the one in force"}
	}
	return s.doc, nil
}

// restoreBase returns the document in force, to be written back.
func (p *planner) restoreBase(s storedDocument, inForce *schema.Config) (*schema.Config, *config.Refusal) {
	if inForce.GetRevision() == 0 {
		return nil, &config.Refusal{Reason: config.BadIntent, Message: "no configuration is in force at this entry"}
	}
	if s.doc.GetRevision() == inForce.GetRevision() && !config.Diverged(s.doc, inForce) {
		return nil, &config.Refusal{Reason: config.BadIntent, Message: "the platform holds the document in force; there is nothing to restore"}
	}
	return inForce, nil
}

// plan returns what an intent would change. Nothing is kept.
func (p *planner) plan(ctx context.Context, operator string, i schema.Intent) (schema.Plan, *config.Refusal) {
	s, base, refusal := p.loadBase(ctx, i)
	if refusal != nil {
		return schema.Plan{}, refusal
	}
	step, refusal := config.NewUpdate(base, i)
	if refusal != nil {
		return schema.Plan{}, refusal
	}
	out := schema.Plan{
		BaseRevision: base.GetRevision(),
		Nonce:        config.NewNonce(),
		Intent:       i,
		Revision:     step.After.GetRevision(),
		// What is restored changes against the platform's document.
		Changes: config.Diff(s.doc, step.After),
		Effects: config.ComputeEffects(base, step.After, p.state.vmList().GetVms(), p.fleetLoad(ctx)),
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

// confirm carries out a plan: exactly once, however often it is asked for.
func (p *planner) confirm(ctx context.Context, operator string, c schema.Confirmation) schema.Outcome {
	// An operator who gives up must not leave the write half followed up.
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

func (p *planner) apply(ctx context.Context, operator string, c schema.Confirmation) schema.Outcome {
	if r := config.CheckConfirmation(c); r != nil {
		return refusedOutcome(r)
	}
	s, base, refusal := p.loadBase(ctx, c.Intent)
	// The reply to an earlier confirmation may have been lost.
	if rec := p.findPlan(s.doc, c.Id); rec != nil {
		return appliedOutcome(rec, true)
	}
	if refusal != nil {
		return refusedOutcome(refusal)
	}
	step, refusal := p.recompute(base, c)
	if refusal != nil {
		return refusedOutcome(refusal)
	}
	step.AddToHistory(c.Id, operator, c.Intent, time.Now().UnixMilli())
	return p.write(ctx, s.keyRevision, step, c)
}

// findPlan looks for an applied plan in the platform's document and in the one in
// force, which a platform that came back older has lost.
func (p *planner) findPlan(doc *schema.Config, id string) *schema.AppliedPlan {
	if rec := config.FindPlan(doc, id); rec != nil {
		return rec
	}
	return config.FindPlan(p.state.config().Document(), id)
}

// step computes the plan again and refuses it if its base moved.
func (p *planner) recompute(base *schema.Config, c schema.Confirmation) (*config.Update, *config.Refusal) {
	if r := config.CheckBaseRevision(base, c.BaseRevision); r != nil {
		return nil, r
	}
	step, refusal := config.NewUpdate(base, c.Intent)
	if refusal != nil {
		return nil, refusal
	}
	effects := config.ComputeEffects(base, step.After, p.state.vmList().GetVms(), config.FleetLoad{})
	return step, config.CheckEffects(effects, c.Intent)
}

// write writes the document by compare-and-swap. A write without a reply may have
// taken effect, or may yet. It is sent again with the same expected revision, so at
// most one of the copies takes effect; a conflict then means that one did, or that
// another plan did, and the document's history tells which.
func (p *planner) write(ctx context.Context, keyRevision uint64, step *config.Update, c schema.Confirmation) schema.Outcome {
	b, err := proto.Marshal(step.After)
	if err != nil {
		return refusedOutcome(&config.Refusal{Reason: config.BadIntent, Message: err.Error()})
	}
	replyLost := false
	for ctx.Err() == nil {
		switch err := p.compareAndSwap(ctx, keyRevision, b); {
		case err == nil:
			return p.putInForce(step.After, c.Id, replyLost)
		case errors.Is(err, platform.ErrConflict):
			return p.resolveConflict(ctx, c, replyLost)
		}
		replyLost = true
		p.metrics.count("platform_failures", "call", "confirm")
		clock.Sleep(ctx, writeRetryPause)
	}
	return unknownOutcome()
}

func (p *planner) compareAndSwap(ctx context.Context, keyRevision uint64, b []byte) error {
	ctx, cancel := context.WithTimeout(ctx, platformCallTimeout)
	defer cancel()
	_, err := p.platform.CompareAndSwap(ctx, ConfigKey, keyRevision, b)
	return err
}

// afterConflict tells whose write took effect.
func (p *planner) resolveConflict(ctx context.Context, c schema.Confirmation, replyLost bool) schema.Outcome {
	for ctx.Err() == nil {
		s, refusal := p.read(ctx)
		if refusal != nil {
			clock.Sleep(ctx, writeRetryPause)
			continue
		}
		if rec := config.FindPlan(s.doc, c.Id); rec != nil {
			return p.putInForce(s.doc, c.Id, replyLost)
		}
		p.state.updateConfig(s.doc)
		if r := config.CheckBaseRevision(s.doc, c.BaseRevision); r != nil {
			return refusedOutcome(r)
		}
		return refusedOutcome(&config.Refusal{Reason: config.BaseRevisionChanged, Message: "the platform's document changed meanwhile; plan again"})
	}
	if replyLost {
		return unknownOutcome()
	}
	return refusedOutcome(&config.Refusal{Reason: config.BaseRevisionChanged, Message: "another plan was applied first; what it changed can't be read now, the platform's service gives no answer; plan again"})
}

// inForce puts the written document in force here at once and tells the peers, so
// that an entry that is cut off from the platform doesn't wait for a heartbeat.
func (p *planner) putInForce(doc *schema.Config, plan string, replyLost bool) schema.Outcome {
	if p.state.updateConfig(doc) {
		p.syncer.logConfigInForce(doc, "confirmation")
	}
	p.announce()
	out := appliedOutcome(config.FindPlan(doc, plan), false)
	if replyLost {
		out.Message += "; a reply of the platform was lost on the way, the plan was applied once"
	}
	return out
}
