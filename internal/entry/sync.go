package entry

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"github.com/lavendercleat/lavendercleat/config"
	"github.com/lavendercleat/lavendercleat/internal/clock"
	"github.com/lavendercleat/lavendercleat/internal/peer"
	"github.com/lavendercleat/lavendercleat/internal/platform"
	"github.com/lavendercleat/lavendercleat/schema"
)

// ConfigKey is the key of the configuration document in the platform's service.
const ConfigKey = "lavendercleat-config"

// fetchTimeout bounds one request for a peer's state.
const fetchTimeout = 2 * time.Second

// syncer keeps the state fresh: by watches on the platform's service, and from
// peers that have something newer.
type syncer struct {
	state    *state
	platform *platform.Client
	client   *peer.Client
	clock    *clock.Clock
	log      logrus.FieldLogger
	metrics  *Metrics
	// watchWait is the longest wait of one watch.
	watchWait time.Duration
	// fetching is set while a peer is asked, so that the heartbeats of many peers with
	// the same news cause one transfer.
	fetching atomic.Bool

	mu       sync.Mutex
	lastSeen platformView
}

// platformView is what the last calls of the platform's service showed.
type platformView struct {
	// doc is the document last read; empty when there was none, nil before the first
	// answer.
	doc *schema.Config
	// ignored says why that document is not obeyed; empty when it is.
	ignoredReason string
	// failing holds since when each kind of call has failed.
	failingSince map[string]time.Duration
}

// watch calls once again and again until the context ends; once makes one watch and
// tells whether it brought news.
func (s *syncer) watchRepeatedly(ctx context.Context, call string, watchOnce func() (changed bool, err error)) {
	backoff := newWatchBackoff()
	for ctx.Err() == nil {
		begin := time.Now()
		changed, err := watchOnce()
		switch {
		case err == nil:
			s.handleAnswer(call)
		case ctx.Err() == nil:
			s.handleFailure(call, err)
		}
		clock.Sleep(ctx, backoff.next(changed, err == nil && time.Since(begin) >= s.watchWait/2))
	}
}

// failed notes a watch that failed. A stretch of failures is one event.
func (s *syncer) handleFailure(call string, err error) {
	s.metrics.count("platform_failures", "call", call)
	s.mu.Lock()
	if s.lastSeen.failingSince == nil {
		s.lastSeen.failingSince = make(map[string]time.Duration)
	}
	_, known := s.lastSeen.failingSince[call]
	if !known {
		s.lastSeen.failingSince[call] = s.clock.Now()
	}
	s.mu.Unlock()
	if !known {
		s.log.WithFields(logrus.Fields{"event": "platform_unavailable", "call": call}).WithError(err).Warn("platform unavailable")
	}
}

// answered notes a call that was answered.
func (s *syncer) handleAnswer(call string) {
	s.mu.Lock()
	since, failing := s.lastSeen.failingSince[call]
	delete(s.lastSeen.failingSince, call)
	s.mu.Unlock()
	if failing {
		s.log.WithFields(logrus.Fields{"event": "platform_back", "call": call, "after": s.clock.Now() - since}).Info("platform answers again")
	}
}

// watchConfig follows the configuration document until the context ends.
//
// After a failed call the key is read afresh instead of waited for: a platform that
// came back from an old copy counts its writes again, so the revision waited for may
// by then stand for another document.
func (s *syncer) watchConfig(ctx context.Context) {
	var revision uint64
	reread := true
	s.watchRepeatedly(ctx, "config", func() (bool, error) {
		before := s.state.config().Revision()
		v, changed, err := s.readConfig(ctx, revision, reread)
		if err != nil {
			reread = true
			return false, err
		}
		revision = v.Revision
		changed = changed || reread
		if changed {
			s.applyConfig(v.Value)
		}
		reread = s.checkPlatformDocument(before)
		return changed, nil
	})
}

// nextConfig reads the key, or waits until its revision differs. A key without a
// value has revision 0.
func (s *syncer) readConfig(ctx context.Context, revision uint64, reread bool) (v platform.Value, changed bool, err error) {
	if reread {
		v, err = s.platform.Get(ctx, ConfigKey)
	} else {
		v, changed, err = s.platform.Watch(ctx, ConfigKey, revision, s.watchWait)
	}
	if errors.Is(err, platform.ErrNotFound) {
		return platform.Value{}, revision != 0, nil
	}
	return v, changed, err
}

// takeConfig puts a document from the platform in force if it is newer.
func (s *syncer) applyConfig(b []byte) {
	c := new(schema.Config)
	if err := proto.Unmarshal(b, c); err != nil {
		s.mu.Lock()
		s.lastSeen.doc = nil
		s.mu.Unlock()
		return
	}
	if s.state.updateConfig(c) {
		s.logConfigInForce(c, "platform")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastSeen.doc = c
}

// compare reports a platform whose document is not the one in force. The revision
// that was in force before the read is what the platform must have held: while the
// answer was under way a peer may have brought a newer one. Then the key has to be
// read again, which compare tells.
func (s *syncer) checkPlatformDocument(before uint64) (readAgain bool) {
	inForce := s.state.config().Document()
	s.mu.Lock()
	doc := s.lastSeen.doc
	s.mu.Unlock()
	switch {
	case doc == nil:
		s.reportIgnored(nil, "unreadable", "the platform's document can't be decoded")
	case doc.GetRevision() < before:
		s.reportIgnored(doc, "older", "the platform's document is older than the one in force")
	case doc.GetRevision() < inForce.GetRevision():
		return true
	case config.Diverged(doc, inForce):
		s.reportIgnored(doc, "forked", "the platform's document has the revision in force but another content")
	default:
		s.mu.Lock()
		defer s.mu.Unlock()
		s.lastSeen.ignoredReason = ""
	}
	return false
}

// ignore reports once a document of the platform that is not obeyed. Obeying an older
// one would undo what was confirmed to an operator, and a drained worker would get
// work again; the operator decides, by a plan to restore.
func (s *syncer) reportIgnored(c *schema.Config, reason, message string) {
	s.mu.Lock()
	message = fmt.Sprintf("%s (revision %d)", message, c.GetRevision())
	reported := s.lastSeen.ignoredReason == message
	s.lastSeen.ignoredReason = message
	s.mu.Unlock()
	if reported {
		return
	}
	s.metrics.count("config_ignored", "reason", reason)
	s.log.WithFields(logrus.Fields{
		"event": "config_ignored", "reason": reason, "revision": c.GetRevision(), "in_force": s.state.config().Revision(),
	}).Error(message)
}

func (s *syncer) logConfigInForce(c *schema.Config, from string) {
	s.log.WithFields(logrus.Fields{"event": "config_in_force", "revision": c.GetRevision(), "from": from}).Info("configuration in force")
}

// watchVMs follows the VM list until the context ends. It waits for a change of what
// the platform shows, not of what is in force: a platform that came back older would
// differ from that for good and end every watch at once.
func (s *syncer) watchVMs(ctx context.Context) {
	var version uint64
	s.watchRepeatedly(ctx, "vms", func() (bool, error) {
		l, ok, err := s.platform.VMs(ctx, version, s.watchWait)
		if err != nil {
			version = 0 // the next call is answered at once and shows that the outage is over
			return false, err
		}
		version = l.GetVersion()
		return ok && s.applyVMs(l), nil
	})
}

// takeVMs takes a VM list from the platform, if it is newer.
func (s *syncer) applyVMs(l *schema.VmList) bool {
	fields := logrus.Fields{"event": "vm_list", "version": l.GetVersion(), "vms": len(l.GetVms())}
	if s.state.updateVMs(l) {
		s.log.WithFields(fields).Info("VM list changed")
		return true
	}
	if have := s.state.vmList().GetVersion(); l.GetVersion() < have {
		s.metrics.count("platform_failures", "call", "vms_older")
		s.log.WithFields(fields).WithField("have", have).Warn("the platform shows an older VM list, which is not taken")
	}
	return false
}

// platformRevision returns the revision of the platform's document as last read.
func (s *syncer) platformRevision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastSeen.doc.GetRevision()
}

// alarms returns what an operator has to know about the platform.
func (s *syncer) alarms() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []string
	if len(s.lastSeen.failingSince) > 0 {
		list = append(list, AlarmPlatformUnavailable+": the platform's service gives no answer; the configuration in force stays")
	}
	if s.lastSeen.ignoredReason != "" {
		list = append(list, AlarmConfigIgnored+": "+s.lastSeen.ignoredReason+"; plan restore")
	}
	return list
}

// Names of alarms, the first word of an alarm in the status.
const (
	AlarmPlatformUnavailable = "platform_unavailable"
	AlarmConfigIgnored       = "config_ignored"
	AlarmDomainRetired       = "domain_retired"
)

// peerAhead fetches what a peer has newer than this entry.
func (s *syncer) fetchFromPeer(ctx context.Context, h *schema.Heartbeat) {
	have := s.state.config().Revision()
	version := s.state.vmList().GetVersion()
	if h.GetConfigRevision() <= have && h.GetVmListVersion() <= version {
		return
	}
	from, err := netip.ParseAddrPort(h.GetAddress())
	if err != nil || !s.fetching.CompareAndSwap(false, true) {
		return
	}
	defer s.fetching.Store(false)
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	s.metrics.countMessage("state")
	reply, failure := s.client.Call(ctx, from, &schema.Request{Body: &schema.Request_State{
		State: &schema.StateRequest{HaveConfigRevision: have, HaveVmListVersion: version},
	}})
	if failure != nil {
		return
	}
	if c := reply.GetState().GetConfig(); c != nil && s.state.updateConfig(c) {
		s.logConfigInForce(c, from.String())
	}
	if l := reply.GetState().GetVms(); l != nil {
		s.state.updateVMs(l)
	}
}

// stateFor returns what the asking peer lacks.
func (s *syncer) newerState(r *schema.StateRequest) *schema.State {
	out := &schema.State{}
	if x := s.state.config(); x.Revision() > r.GetHaveConfigRevision() {
		out.Config = x.Document()
	}
	if l := s.state.vmList(); l.GetVersion() > r.GetHaveVmListVersion() {
		out.Vms = l
	}
	return out
}
