// Synchronization of the configuration and the VM list: from the platform's service, and from peers that
// have newer ones.

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

// fetchTimeout bounds one request for a peer's configuration and VM list.
const fetchTimeout = 2 * time.Second

// syncer keeps the state up to date. It watches the platform's service, and fetches what a peer has newer.
type syncer struct {
	state    *state
	platform *platform.Client
	client   *peer.Client
	clock    *clock.Clock
	log      logrus.FieldLogger
	metrics  *Metrics
	// watchWait is the maximum wait of one watch.
	watchWait time.Duration
	// fetching is set during a request to a peer. So when many peers report the same newer revision in their
	// heartbeats, this entry fetches it once.
	fetching atomic.Bool

	mu       sync.Mutex
	lastSeen platformView
}

// platformView is the result of the last calls of the platform's service.
type platformView struct {
	// doc is the document that was last read. It is empty if there was none, and nil before the first answer
	// and when the document cannot be decoded.
	doc *schema.Config
	// ignoredReason is why that document is not in force, or "" if it is.
	ignoredReason string
	// failingSince holds the time since which each kind of call has failed. outageEvents counts how often
	// calls of a kind began or ceased to fail.
	failingSince map[string]time.Duration
	outageEvents int
}

// watchRepeatedly calls watchOnce again and again until the context ends. watchOnce makes one watch and
// returns whether there was a change.
func (s *syncer) watchRepeatedly(ctx context.Context, call string, watchOnce func() (changed bool, err error)) {
	backoff := newWatchBackoff()
	for ctx.Err() == nil {
		start := time.Now()
		changed, err := watchOnce()
		switch {
		case err == nil:
			s.handleAnswer(call)
		case ctx.Err() == nil:
			s.handleFailure(call, err)
		}
		clock.Sleep(ctx, backoff.next(changed, err == nil && time.Since(start) >= s.watchWait/2))
	}
}

// handleFailure records a watch that failed. It logs only the first of several failures in a row.
func (s *syncer) handleFailure(call string, err error) {
	s.metrics.count("platform_failures", "call", call)
	s.mu.Lock()
	if s.lastSeen.failingSince == nil {
		s.lastSeen.failingSince = make(map[string]time.Duration)
	}
	_, reported := s.lastSeen.failingSince[call]
	if !reported {
		s.lastSeen.failingSince[call] = s.clock.Now()
		s.lastSeen.outageEvents++
	}
	s.mu.Unlock()
	if !reported {
		s.log.WithFields(logrus.Fields{"event": "platform_unavailable", "call": call}).WithError(err).Warn("platform unavailable")
	}
}

// handleAnswer records a watch that was answered.
func (s *syncer) handleAnswer(call string) {
	s.mu.Lock()
	since, failing := s.lastSeen.failingSince[call]
	delete(s.lastSeen.failingSince, call)
	if failing {
		s.lastSeen.outageEvents++
	}
	s.mu.Unlock()
	if failing {
		s.log.WithFields(logrus.Fields{"event": "platform_back", "call": call, "after": s.clock.Now() - since}).Info("platform answers again")
	}
}

// watchConfig follows the configuration document until the context ends.
//
// After a failed call of any kind it reads the key instead of waiting for a change: an outage may fall between
// two of its own calls. A platform that was restored from an older copy counts the writes from that copy on,
// so the revision that was waited for may now belong to another document.
func (s *syncer) watchConfig(ctx context.Context) {
	var revision uint64
	reread, handled := true, 0
	s.watchRepeatedly(ctx, "config", func() (bool, error) {
		events := s.outageEvents()
		reread, handled = reread || events != handled, events
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

// outageEvents returns how often calls of a kind have begun or ceased to fail.
func (s *syncer) outageEvents() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastSeen.outageEvents
}

// readConfig reads the key, or waits until its revision differs from the given one. A key without a value
// has revision 0.
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

// applyConfig puts a document of the platform in force if it is newer.
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

// checkPlatformDocument reports a platform document that is not the one in force. The document must have at
// least the revision that was in force before it was read. If it has, but a peer has brought a newer
// revision during the read, checkPlatformDocument returns true: the key must be read again.
func (s *syncer) checkPlatformDocument(before uint64) (readAgain bool) {
	inForce := s.state.config().Document()
	s.mu.Lock()
	doc := s.lastSeen.doc
	s.mu.Unlock()
	switch {
	case doc == nil:
		s.reportIgnored(nil, "unreadable", "the platform's document cannot be decoded")
	case doc.GetRevision() < before:
		s.reportIgnored(doc, "older", "the platform's document is older than the one in force")
	case doc.GetRevision() < inForce.GetRevision():
		return true
	case config.Diverged(doc, inForce):
		s.reportIgnored(doc, "forked", "the platform's document has the same revision as the one in force but other content")
	default:
		s.mu.Lock()
		defer s.mu.Unlock()
		s.lastSeen.ignoredReason = ""
	}
	return false
}

// reportIgnored reports once that a document of the platform is ignored. An older document would revert
// changes that were confirmed to an operator, and a drained worker would get tasks again. The operator
// decides whether to restore the document in force.
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

// watchVMs follows the VM list until the context ends. It waits for a change of the list that the platform
// returned last, not of the list in force. A platform that was restored from an older copy would always
// differ from the list in force, so every watch would return at once.
func (s *syncer) watchVMs(ctx context.Context) {
	var version uint64
	s.watchRepeatedly(ctx, "vms", func() (bool, error) {
		l, ok, err := s.platform.VMs(ctx, version, s.watchWait)
		if err != nil {
			version = 0 // the platform answers the next call at once, which shows the end of the outage
			return false, err
		}
		version = l.GetVersion()
		return ok && s.applyVMs(l), nil
	})
}

// applyVMs puts a VM list of the platform in force if it is newer.
func (s *syncer) applyVMs(l *schema.VmList) bool {
	fields := logrus.Fields{"event": "vm_list", "version": l.GetVersion(), "vms": len(l.GetVms())}
	if s.state.updateVMs(l) {
		s.log.WithFields(fields).Info("VM list changed")
		return true
	}
	if have := s.state.vmList().GetVersion(); l.GetVersion() < have {
		s.metrics.count("platform_failures", "call", "vms_older")
		s.log.WithFields(fields).WithField("have", have).Warn("the platform returned an older VM list; ignoring it")
	}
	return false
}

// platformRevision returns the revision of the platform's document when it was last read.
func (s *syncer) platformRevision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastSeen.doc.GetRevision()
}

// alarms returns the conditions of the platform that need an operator's attention.
func (s *syncer) alarms() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []string
	if len(s.lastSeen.failingSince) > 0 {
		list = append(list, AlarmPlatformUnavailable+": the platform's service does not answer; the configuration in force stays")
	}
	if s.lastSeen.ignoredReason != "" {
		list = append(list, AlarmConfigIgnored+": "+s.lastSeen.ignoredReason+"; plan restore")
	}
	return list
}

// Names of alarms. The text of an alarm in the status begins with its name.
const (
	AlarmPlatformUnavailable = "platform_unavailable"
	AlarmConfigIgnored       = "config_ignored"
	AlarmDomainRetired       = "domain_retired"
)

// fetchFromPeer fetches the configuration and the VM list from a peer whose heartbeat shows newer ones.
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

// newerState returns the configuration and the VM list if they are newer than those of the requesting peer.
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
