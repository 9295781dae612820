// Heartbeats: each link sends only what has changed since the heartbeat that it wrote last.

package mesh

import (
	"io"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"github.com/lavendercleat/lavendercleat/schema"
)

const (
	// defaultHeartbeatInterval is the time between heartbeats that name no other interval.
	defaultHeartbeatInterval = 100 * time.Millisecond
	// heartbeatCacheTTL is how long the content of a heartbeat is used for several links. Their heartbeats
	// are due at the same time, so the content is built once for all of them.
	heartbeatCacheTTL = 20 * time.Millisecond
	// peerListInterval is the interval at which heartbeats contain the sender's peers though these have not
	// changed. Daemons that have lost each other keep dialing the peers that others name.
	peerListInterval = 5 * time.Second
)

// heartbeatField is the number of the heartbeat's field in a frame.
var heartbeatField = (&schema.Frame{}).ProtoReflect().Descriptor().Fields().ByName("pulse").Number()

// heartbeatCache holds the part of a heartbeat that is the same for all peers. Each link sends only the
// changes since the heartbeat that it wrote last, because most of the content has not changed. Full
// heartbeats were nine tenths of all bytes that daemons sent to each other.
type heartbeatCache struct {
	mu      sync.Mutex
	latest  *schema.Pulse
	builtAt time.Time
	// expired: the next heartbeat is to be built anew. It is set without the lock, which is held while the
	// handler builds a heartbeat.
	expired atomic.Bool
	// number counts the heartbeats. The following fields hold the number of the heartbeat with the latest
	// change.
	number uint64
	// workersChanged, peersChanged, domainsChanged and demandsChanged are for the list of workers, the
	// list of peers, the retirements of failure domains and the callers' demands. capacityChanged is for
	// the free capacity of each worker.
	workersChanged, peersChanged, domainsChanged, demandsChanged uint64
	capacityChanged                                              []uint64
	// peersSentAt is when peersChanged was last set.
	peersSentAt time.Time
	// encoded holds the latest heartbeat in encoded form, by the number of the heartbeat that the link
	// wrote last.
	encoded map[uint64][]byte
}

// get returns the latest heartbeat, as changes to heartbeat number base (0: none, in full), and its number.
func (c *heartbeatCache) get(h Handler, base uint64) ([]byte, uint64, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.expired.Swap(false) || c.latest == nil || time.Since(c.builtAt) >= heartbeatCacheTTL {
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

// update makes p the latest heartbeat and records which parts have changed. The caller holds mu.
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

// changesSince returns the latest heartbeat without the parts that have not changed since number base.
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

// sameFreeCapacity compares what a RoomUpdate contains.
func sameFreeCapacity(a, b *schema.Room) bool {
	return a.MilliCpu == b.MilliCpu && a.MemoryMb == b.MemoryMb && a.Gpus == b.Gpus && a.Open == b.Open && a.Usable == b.Usable &&
		a.PacePercent == b.PacePercent
}

// interval returns the time between this daemon's heartbeats.
func (c *heartbeatCache) interval() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return intervalAfter(c.latest)
}

// intervalAfter returns the time from a heartbeat to the sender's next one.
func intervalAfter(p *schema.Pulse) time.Duration {
	if p.GetNextMs() <= 0 {
		return defaultHeartbeatInterval
	}
	return time.Duration(p.GetNextMs()) * time.Millisecond
}

// untilNextHeartbeat returns the time until the next heartbeat. The heartbeats of all links are due at the
// same time.
func (m *Mesh) untilNextHeartbeat() time.Duration {
	interval := m.heartbeats.interval()
	return interval - time.Since(m.started)%interval
}

// writeHeartbeat writes a frame that contains a heartbeat. In protobuf, the concatenation of two encoded
// messages is the encoding of the merged message, so the shared part need not be encoded again.
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

// receivedState is the state that one incoming connection has received in heartbeats.
type receivedState struct {
	workers []*schema.Room
	demands []*schema.Demand
}

// errUnknownWorker is returned for an update whose index is not in the list of workers that this connection
// received.
var errUnknownWorker = errors.New("update of a worker that no heartbeat of this connection has listed")

// addUnchanged adds to a heartbeat the parts that the peer left out as unchanged. The heartbeat's Rooms
// belong to the connection, and the connection's next heartbeat changes them.
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
