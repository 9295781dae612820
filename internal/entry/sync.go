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

const (
	// watchWait is the longest wait of one watch.
	watchWait = 20 * time.Second
	// watchPause is the pause after a failed watch.
	watchPause = time.Second
)

// syncer keeps the state fresh: by watches on the platform's service, and from
// peers that have something newer.
type syncer struct {
	state    *state
	platform *platform.Client
	client   *peer.Client
	log      logrus.FieldLogger
	metrics  *Metrics
}

// watchConfig follows the configuration document until the context ends.
func (s *syncer) watchConfig(ctx context.Context) {
	var revision uint64
	for ctx.Err() == nil {
		v, ok, err := s.platform.Watch(ctx, ConfigKey, revision, watchWait)
		if err != nil {
			s.pause(ctx, "config", err)
			continue
		}
		revision = v.Revision
		if ok && len(v.Value) > 0 {
			s.takeConfig(v.Value)
		}
	}
}

// takeConfig puts a document from the platform in force.
func (s *syncer) takeConfig(b []byte) {
	var c schema.Config
	if err := proto.Unmarshal(b, &c); err != nil {
		s.log.WithField("event", "config_unreadable").WithError(err).Error("configuration in the platform can't be read")
		return
	}
	if s.state.offerConfig(&c) {
		s.log.WithFields(logrus.Fields{"event": "config_in_force", "revision": c.GetRevision(), "from": "platform"}).Info("configuration in force")
	}
}

// watchVMs follows the VM list until the context ends.
func (s *syncer) watchVMs(ctx context.Context) {
	for ctx.Err() == nil {
		l, _, err := s.platform.VMs(ctx, s.state.vmList().GetVersion(), watchWait)
		if err != nil {
			s.pause(ctx, "vms", err)
			continue
		}
		if s.state.offerVMs(l) {
			s.log.WithFields(logrus.Fields{"event": "vm_list", "version": l.GetVersion(), "vms": len(l.GetVms())}).Info("VM list changed")
		}
	}
}

func (s *syncer) pause(ctx context.Context, what string, err error) {
	if ctx.Err() != nil {
		return
	}
	if !errors.Is(err, platform.ErrNotFound) {
		s.metrics.count("platform_failures", "call", what)
		s.log.WithFields(logrus.Fields{"event": "platform_unavailable", "call": what}).WithError(err).Warn("platform unavailable")
	}
	select {
	case <-time.After(watchPause):
	case <-ctx.Done():
	}
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
