package mesh

import (
	"io"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"github.com/lavendercleat/lavendercleat/schema"
)

const (
	// pulseInterval is the time between heartbeats where they don't name another.
	defaultHeartbeatInterval = 100 * time.Millisecond
	// pulseFresh is how long a heartbeat's content is used for several links: it is built
	// once for all of them, as they are due at the same time.
	heartbeatCacheTTL = 20 * time.Millisecond
	// tellPeersEvery is how often heartbeats name the sender's peers though they have not
	// changed: daemons that have lost each other go on looking for those that are named.
	peerListInterval = 5 * time.Second
)

// pulseField is the place of a heartbeat in a frame.
var heartbeatField = (&schema.Frame{}).ProtoReflect().Descriptor().Fields().ByName("pulse").Number()

// pulseCache holds the part of a heartbeat that is the same for all peers. Each link is
// told what has changed since the heartbeat that it has written last, as most of it has
// not: in full it was nine tenths of all that daemons sent to each other.
type heartbeatCache struct {
	mu      sync.Mutex
	latest  *schema.Pulse
	builtAt time.Time
	// number counts the heartbeats; at each, one of the following may be set to it.
	number uint64
	// workersAt, peersAt, domainsAt and demandsAt are when the list of workers, that of peers,
	// the words on failure domains and what callers ask for last changed, roomsAt when each of
	// the rooms did.
	workersChanged, peersChanged, domainsChanged, demandsChanged uint64
	capacityChanged                                              []uint64
	// peersTold is when peersAt was last set.
	peersSentAt time.Time
	// encoded holds the latest heartbeat for links by what they have written before.
	encoded map[uint64][]byte
}

// get returns the heartbeat for a link that has written the one with the given number, 0
// for none, and the number of the heartbeat returned.
func (c *heartbeatCache) get(h Handler, base uint64) ([]byte, uint64, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.latest == nil || time.Since(c.builtAt) >= heartbeatCacheTTL {
		c.update(h.Heartbeat())
	}
	b, ok := c.encoded[base]
	if !ok {
		var err error
		if b, err = proto.Marshal(c.changesSince(base)); err != nil {
			return nil, 0, errors.Wrap(err, "encoding a heartbeat")
		}
		c.encoded[base] = b
	}
	return b, c.number, nil
}

// take makes p the latest heartbeat and notes what has changed by it.
func (c *heartbeatCache) update(p *schema.Pulse) {
	slices.Sort(p.Peers)
	now := time.Now()
	before := c.latest
	if before == nil {
		before = new(schema.Pulse)
	}
	c.number++
	if c.number == 1 || !sameWorkers(before.Rooms, p.Rooms) {
		c.workersChanged = c.number
		c.capacityChanged = make([]uint64, len(p.Rooms))
	} else {
		for i, r := range p.Rooms {
			if !sameFreeCapacity(before.Rooms[i], r) {
				c.capacityChanged[i] = c.number
			}
		}
	}
	if c.number == 1 || now.Sub(c.peersSentAt) >= peerListInterval || !slices.Equal(before.Peers, p.Peers) {
		c.peersChanged, c.peersSentAt = c.number, now
	}
	if c.number == 1 || !sameDomains(before.Domains, p.Domains) {
		c.domainsChanged = c.number
	}
	c.updateDemands(before.Demands, p)
	c.latest, c.builtAt, c.encoded = p, now, make(map[uint64][]byte)
}

// since returns the latest heartbeat without what has not changed since an earlier one.
func (c *heartbeatCache) changesSince(base uint64) *schema.Pulse {
	l := c.latest
	p := &schema.Pulse{
		Leaving: l.Leaving, Serving: l.Serving, Backlogs: l.Backlogs, DocumentVersion: l.DocumentVersion,
		StoreLost: l.StoreLost, Pending: l.Pending, NextMs: l.NextMs,
		RegistryRevision: l.RegistryRevision, RegistryAgeMs: l.RegistryAgeMs, RegistryTerm: l.RegistryTerm,
	}
	if base < c.peersChanged {
		p.Peers = l.Peers
	}
	if base < c.domainsChanged {
		p.Domains = l.Domains
	}
	if base < c.demandsChanged {
		p.Demands = l.Demands
	}
	if base < c.workersChanged {
		p.Rooms = l.Rooms
		return p
	}
	p.SameWorkers = true
	for i, r := range l.Rooms {
		if c.capacityChanged[i] > base {
			p.Updates = append(p.Updates, &schema.RoomUpdate{
				Index: uint32(i), MilliCpu: r.MilliCpu, MemoryMb: r.MemoryMb, Gpus: r.Gpus, Open: r.Open, Usable: r.Usable,
				PacePercent: r.PacePercent,
			})
		}
	}
	return p
}

func sameWorkers(a, b []*schema.Room) bool {
	return slices.EqualFunc(a, b, func(a, b *schema.Room) bool {
		return a.Worker == b.Worker && a.Service == b.Service && a.TotalMilliCpu == b.TotalMilliCpu &&
			a.TotalMemoryMb == b.TotalMemoryMb && a.TotalGpus == b.TotalGpus && a.Tenure == b.Tenure
	})
}

func sameDomains(a, b []*schema.DomainWord) bool {
	return slices.EqualFunc(a, b, func(a, b *schema.DomainWord) bool { return proto.Equal(a, b) })
}

func sameFreeCapacity(a, b *schema.Room) bool {
	return a.MilliCpu == b.MilliCpu && a.MemoryMb == b.MemoryMb && a.Gpus == b.Gpus && a.Open == b.Open && a.Usable == b.Usable &&
		a.PacePercent == b.PacePercent
}

// interval is the time between this daemon's heartbeats.
func (c *heartbeatCache) interval() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return intervalAfter(c.latest)
}

// intervalOf is the time after which the sender of a heartbeat sends the next one.
func intervalAfter(p *schema.Pulse) time.Duration {
	if p.GetNextMs() <= 0 {
		return defaultHeartbeatInterval
	}
	return time.Duration(p.GetNextMs()) * time.Millisecond
}

// nextPulse is the time to the next heartbeat: those of all links are due at once.
func (m *Mesh) untilNextHeartbeat() time.Duration {
	interval := m.heartbeats.interval()
	return interval - time.Since(m.started)%interval
}

// writePulse writes a frame with a heartbeat. Fields that are encoded one after the other
// are one message, so the common part is not encoded again.
func writeHeartbeat(w io.Writer, shared []byte, acknowledged uint64, sent, echo int64) error {
	head, err := proto.Marshal(&schema.Frame{Acknowledged: acknowledged})
	if err != nil {
		return errors.Wrap(err, "encoding a heartbeat")
	}
	own, err := proto.Marshal(&schema.Pulse{SentMs: sent, EchoMs: echo})
	if err != nil {
		return errors.Wrap(err, "encoding a heartbeat")
	}
	b := protowire.AppendTag(head, heartbeatField, protowire.BytesType)
	b = protowire.AppendVarint(b, uint64(len(shared)+len(own)))
	b = append(append(b, shared...), own...)
	if _, err := w.Write(protowire.AppendVarint(nil, uint64(len(b)))); err != nil {
		return err
	}
	_, err = w.Write(b)
	return err
}

// heard is what has been told on one connection.
type receivedState struct {
	workers []*schema.Room
	demands []*schema.Demand
}

// errUnknownRoom: an update is for a room that was not told on this connection.
var errUnknownWorker = errors.New("update of a room that was not told")

// complete adds to a heartbeat what it leaves out as told before. The rooms are those of
// the connection and change with its next heartbeat.
func (s *receivedState) addUnchanged(p *schema.Pulse) error {
	s.addUnchangedDemands(p)
	if !p.GetSameWorkers() {
		s.workers = p.GetRooms()
		return nil
	}
	for _, u := range p.GetUpdates() {
		if int(u.GetIndex()) >= len(s.workers) {
			return errUnknownWorker
		}
		r := s.workers[u.GetIndex()]
		r.MilliCpu, r.MemoryMb, r.Gpus, r.Open, r.Usable = u.GetMilliCpu(), u.GetMemoryMb(), u.GetGpus(), u.GetOpen(), u.GetUsable()
		r.PacePercent = u.GetPacePercent()
	}
	p.Rooms = s.workers
	return nil
}
