package entry

import (
	"context"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"github.com/lavendercleat/lavendercleat/internal/peer"
	"github.com/lavendercleat/lavendercleat/internal/platform"
	"github.com/lavendercleat/lavendercleat/schema"
)

// ConfigKey is the key of the configuration document in the platform's service.
const ConfigKey = "lavendercleat-config"

// syncer keeps the state fresh: by watches on the platform's service, and from
// peers that have something newer.
type syncer struct {
	state    *state
	platform *platform.Client
	client   *peer.Client
	log      logrus.FieldLogger
	metrics  *Metrics
	// watchWait is the longest wait of one watch.
	watchWait time.Duration
}

// watch calls once again and again until the context ends; once makes one watch and
// tells whether it brought news.
func (s *syncer) watch(ctx context.Context, what string, once func() (news bool, err error)) {
	p := newPace()
	for ctx.Err() == nil {
		begin := time.Now()
		news, err := once()
		if err != nil && ctx.Err() == nil {
			s.failed(what, err)
		}
		sleep(ctx, p.after(news, err == nil && time.Since(begin) >= s.watchWait/2))
	}
}

// failed tells of a watch that failed.
func (s *syncer) failed(what string, err error) {
	if errors.Is(err, platform.ErrNotFound) {
		return
	}
	s.metrics.count("platform_failures", "call", what)
	s.log.WithFields(logrus.Fields{"event": "platform_unavailable", "call": what}).WithError(err).Warn("platform unavailable")
}

// watchConfig follows the configuration document until the context ends.
func (s *syncer) watchConfig(ctx context.Context) {
	var revision uint64
	s.watch(ctx, "config", func() (bool, error) {
		v, ok, err := s.platform.Watch(ctx, ConfigKey, revision, s.watchWait)
		if err != nil {
			return false, err
		}
		revision = v.Revision
		return ok && len(v.Value) > 0 && s.takeConfig(v.Value), nil
	})
}

// takeConfig puts a document from the platform in force, if it is newer.
func (s *syncer) takeConfig(b []byte) bool {
	var c schema.Config
	if err := proto.Unmarshal(b, &c); err != nil {
		s.log.WithField("event", "config_unreadable").WithError(err).Error("configuration in the platform can't be read")
		return false
	}
	if !s.state.offerConfig(&c) {
		return false
	}
	s.log.WithFields(logrus.Fields{"event": "config_in_force", "revision": c.GetRevision(), "from": "platform"}).Info("configuration in force")
	return true
}

// watchVMs follows the VM list until the context ends. It waits for a change of what
// the platform shows, not of what is in force: a platform that came back older would
// differ from that for good and end every watch at once.
func (s *syncer) watchVMs(ctx context.Context) {
	var version uint64
	s.watch(ctx, "vms", func() (bool, error) {
		l, ok, err := s.platform.VMs(ctx, version, s.watchWait)
		if err != nil {
			return false, err
		}
		version = l.GetVersion()
		return ok && s.takeVMs(l), nil
	})
}

// takeVMs takes a VM list from the platform, if it is newer.
func (s *syncer) takeVMs(l *schema.VmList) bool {
	fields := logrus.Fields{"event": "vm_list", "version": l.GetVersion(), "vms": len(l.GetVms())}
	if s.state.offerVMs(l) {
		s.log.WithFields(fields).Info("VM list changed")
		return true
	}
	if have := s.state.vmList().GetVersion(); l.GetVersion() < have {
		s.metrics.count("platform_failures", "call", "vms_older")
		s.log.WithFields(fields).WithField("have", have).Warn("the platform shows an older VM list, which is not taken")
	}
	return false
}

// peerAhead fetches what a peer has newer than this entry.
func (s *syncer) peerAhead(ctx context.Context, h *schema.Heartbeat) {
	have := s.state.config().Revision()
	version := s.state.vmList().GetVersion()
	if h.GetConfigRevision() <= have && h.GetVmListVersion() <= version {
		return
	}
	from, err := netip.ParseAddrPort(h.GetAddress())
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	s.metrics.message("state")
	reply, failure := s.client.Call(ctx, from, &schema.Request{Body: &schema.Request_State{
		State: &schema.StateRequest{HaveConfigRevision: have, HaveVmListVersion: version},
	}})
	if failure != nil {
		return
	}
	if c := reply.GetState().GetConfig(); c != nil && s.state.offerConfig(c) {
		s.log.WithFields(logrus.Fields{"event": "config_in_force", "revision": c.GetRevision(), "from": from}).Info("configuration in force")
	}
	if l := reply.GetState().GetVms(); l != nil {
		s.state.offerVMs(l)
	}
}

// stateFor returns what the asking peer lacks.
func (s *syncer) stateFor(r *schema.StateRequest) *schema.State {
	out := &schema.State{}
	if x := s.state.config(); x.Revision() > r.GetHaveConfigRevision() {
		out.Config = x.Document()
	}
	if l := s.state.vmList(); l.GetVersion() > r.GetHaveVmListVersion() {
		out.Vms = l
	}
	return out
}
