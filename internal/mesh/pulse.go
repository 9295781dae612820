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
	pulseInterval = 100 * time.Millisecond
	// pulseFresh is how long a heartbeat's content is used for several links: it is built
	// once for all of them, as they are due at the same time.
	pulseFresh = 20 * time.Millisecond
	// tellPeersEvery is how often heartbeats name the sender's peers though they have not
	// changed: daemons that have lost each other go on looking for those that are named.
	tellPeersEvery = 5 * time.Second
)

// pulseField is the place of a heartbeat in a frame.
var pulseField = (&schema.Frame{}).ProtoReflect().Descriptor().Fields().ByName("pulse").Number()

// pulseCache holds the part of a heartbeat that is the same for all peers. Each link is
// told what has changed since the heartbeat that it has written last, as most of it has
// not: in full it was nine tenths of all that daemons sent to each other.
type pulseCache struct {
	mu     sync.Mutex
	latest *schema.Pulse
	built  time.Time
	// number counts the heartbeats; at each, one of the following may be set to it.
	number uint64
	// workersAt, peersAt, domainsAt and demandsAt are when the list of workers, that of peers,
	// the words on failure domains and what callers ask for last changed, roomsAt when each of
	// the rooms did.
	workersAt, peersAt, domainsAt, demandsAt uint64
	roomsAt                                  []uint64
	// peersTold is when peersAt was last set.
	peersTold time.Time
	// encoded holds the latest heartbeat for links by what they have written before.
	encoded map[uint64][]byte
}

// get returns the heartbeat for a link that has written the one with the given number, 0
// for none, and the number of the heartbeat returned.
func (c *pulseCache) get(h Handler, has uint64) ([]byte, uint64, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.latest == nil || time.Since(c.built) >= pulseFresh {
		c.take(h.Heartbeat())
	}
	b, ok := c.encoded[has]
	if !ok {
		var err error
		if b, err = proto.Marshal(c.since(has)); err != nil {
			return nil, 0, errors.Wrap(err, "encoding a heartbeat")
		}
		c.encoded[has] = b
	}
	return b, c.number, nil
}

// take makes p the latest heartbeat and notes what has changed by it.
func (c *pulseCache) take(p *schema.Pulse) {
	slices.Sort(p.Peers)
	now := time.Now()
	before := c.latest
	if before == nil {
		before = new(schema.Pulse)
	}
	c.number++
	if c.number == 1 || !sameWorkers(before.Rooms, p.Rooms) {
		c.workersAt = c.number
		c.roomsAt = make([]uint64, len(p.Rooms))
	} else {
		for i, r := range p.Rooms {
			if !sameRoom(before.Rooms[i], r) {
				c.roomsAt[i] = c.number
			}
		}
	}
	if c.number == 1 || now.Sub(c.peersTold) >= tellPeersEvery || !slices.Equal(before.Peers, p.Peers) {
		c.peersAt, c.peersTold = c.number, now
	}
	if c.number == 1 || !sameDomains(before.Domains, p.Domains) {
		c.domainsAt = c.number
	}
	c.takeDemands(before.Demands, p)
	c.latest, c.built, c.encoded = p, now, make(map[uint64][]byte)
}

// since returns the latest heartbeat without what has not changed since an earlier one.
func (c *pulseCache) since(has uint64) *schema.Pulse {
	l := c.latest
	p := &schema.Pulse{
		Leaving: l.Leaving, Serving: l.Serving, Backlogs: l.Backlogs, DocumentVersion: l.DocumentVersion,
		StoreLost: l.StoreLost, Pending: l.Pending, NextMs: l.NextMs,
		RegistryRevision: l.RegistryRevision, RegistryAgeMs: l.RegistryAgeMs, RegistryTerm: l.RegistryTerm,
	}
	if has < c.peersAt {
		p.Peers = l.Peers
	}
	if has < c.domainsAt {
		p.Domains = l.Domains
	}
	if has < c.demandsAt {
		p.Demands = l.Demands
	}
	if has < c.workersAt {
		p.Rooms = l.Rooms
		return p
	}
	p.SameWorkers = true
	for i, r := range l.Rooms {
		if c.roomsAt[i] > has {
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

func sameRoom(a, b *schema.Room) bool {
	return a.MilliCpu == b.MilliCpu && a.MemoryMb == b.MemoryMb && a.Gpus == b.Gpus && a.Open == b.Open && a.Usable == b.Usable &&
		a.PacePercent == b.PacePercent
}

// interval is the time between this daemon's heartbeats.
func (c *pulseCache) interval() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return intervalOf(c.latest)
}

// intervalOf is the time after which the sender of a heartbeat sends the next one.
func intervalOf(p *schema.Pulse) time.Duration {
	if p.GetNextMs() <= 0 {
		return pulseInterval
	}
	return time.Duration(p.GetNextMs()) * time.Millisecond
}

// nextPulse is the time to the next heartbeat: those of all links are due at once.
func (m *Mesh) nextPulse() time.Duration {
	interval := m.pulse.interval()
	return interval - time.Since(m.started)%interval
}

// writePulse writes a frame with a heartbeat. Fields that are encoded one after the other
// are one message, so the common part is not encoded again.
func writePulse(w io.Writer, common []byte, acknowledged uint64, sent, echo int64) error {
	head, err := proto.Marshal(&schema.Frame{Acknowledged: acknowledged})
	if err != nil {
		return errors.Wrap(err, "encoding a heartbeat")
	}
	own, err := proto.Marshal(&schema.Pulse{SentMs: sent, EchoMs: echo})
	if err != nil {
		return errors.Wrap(err, "encoding a heartbeat")
	}
	b := protowire.AppendTag(head, pulseField, protowire.BytesType)
	b = protowire.AppendVarint(b, uint64(len(common)+len(own)))
	b = append(append(b, common...), own...)
	if _, err := w.Write(protowire.AppendVarint(nil, uint64(len(b)))); err != nil {
		return err
	}
	_, err = w.Write(b)
	return err
}

// heard is what has been told on one connection.
type heard struct {
	rooms   []*schema.Room
	demands []*schema.Demand
}

// errUnknownRoom: an update is for a room that was not told on this connection.
var errUnknownRoom = errors.New("update of a room that was not told")

// complete adds to a heartbeat what it leaves out as told before. The rooms are those of
// the connection and change with its next heartbeat.
func (h *heard) complete(p *schema.Pulse) error {
	h.completeDemands(p)
	if !p.GetSameWorkers() {
		h.rooms = p.GetRooms()
		return nil
	}
	for _, u := range p.GetUpdates() {
		if int(u.GetIndex()) >= len(h.rooms) {
			return errUnknownRoom
		}
		r := h.rooms[u.GetIndex()]
		r.MilliCpu, r.MemoryMb, r.Gpus, r.Open, r.Usable = u.GetMilliCpu(), u.GetMemoryMb(), u.GetGpus(), u.GetOpen(), u.GetUsable()
		r.PacePercent = u.GetPacePercent()
	}
	p.Rooms = h.rooms
	return nil
}
