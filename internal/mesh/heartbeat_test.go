package mesh

import (
	"bufio"
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/lavendercleat/lavendercleat/schema"
)

// countingHandler counts how often a heartbeat is built.
type countingHandler struct {
	Handler
	calls int
}

func (h *countingHandler) Heartbeat() *schema.Pulse {
	h.calls++
	return &schema.Pulse{Leaving: true, Peers: []string{"x"}, DocumentVersion: 7}
}

// Heartbeats to many links must not cost one build each. The shared part is built once for all links, and
// each link appends its own part without encoding the shared part again. The receiver reads one message.
func TestHeartbeatIsBuiltOnceForAllLinks(t *testing.T) {
	var c heartbeatCache
	h := new(countingHandler)
	for link := range int64(30) {
		shared, _, err := c.get(h, 0)
		assert.NilError(t, err)
		var wire bytes.Buffer
		assert.NilError(t, writeHeartbeat(&wire, shared, 5, 100+link, 90+link))
		f, err := readFrame(bufio.NewReader(&wire))
		assert.NilError(t, err)
		p := f.GetPulse()
		assert.Equal(t, f.GetAcknowledged(), uint64(5))
		assert.Equal(t, p.GetSentMs(), 100+link)
		assert.Equal(t, p.GetEchoMs(), 90+link)
		assert.Equal(t, p.GetDocumentVersion(), uint64(7))
		assert.DeepEqual(t, p.GetPeers(), []string{"x"})
	}
	assert.Assert(t, h.calls <= 2, "%d", h.calls)
	time.Sleep(heartbeatCacheTTL)
	_, _, err := c.get(h, 0)
	assert.NilError(t, err)
	assert.Assert(t, h.calls >= 2, "a later heartbeat must be built again")
}

// randomHandler builds heartbeats whose workers, capacities, demands and peers change at random.
type randomHandler struct {
	Handler
	rng    *rand.Rand
	latest *schema.Pulse
}

func (h *randomHandler) Heartbeat() *schema.Pulse {
	p := proto.Clone(h.latest).(*schema.Pulse)
	for _, r := range p.Rooms {
		if h.rng.IntN(3) == 0 {
			r.MilliCpu, r.Open, r.PacePercent = h.rng.Int64N(64000), h.rng.IntN(2) == 0, h.rng.Uint32N(600)
		}
	}
	switch h.rng.IntN(9) {
	case 6:
		for _, r := range p.Rooms {
			r.Tenure++ // the executor has taken the worker again, under the same name
		}
	case 4:
		p.Demands = nil
	case 5:
		p.Demands = []*schema.Demand{{Service: "s", Queue: "q", MilliCpu: h.rng.Int64N(64000)}}
	case 3:
		p.Domains = []*schema.DomainWord{{Domain: "a", Revision: h.rng.Int64(), Retired: h.rng.IntN(2) == 0}}
	case 0:
		p.Rooms = append(p.Rooms, &schema.Room{Worker: fmt.Sprint("w", h.rng.Int()), Service: "s", TotalMilliCpu: 64000})
	case 1:
		p.Rooms = p.Rooms[:h.rng.IntN(len(p.Rooms)+1)]
	case 2:
		p.DocumentVersion, p.RegistryRevision, p.StoreLost = h.rng.Uint64(), h.rng.Int64(), h.rng.IntN(2) == 0
		p.RegistryTerm, p.RegistryAgeMs, p.NextMs, p.Serving, p.Leaving = 2, h.rng.Int64(), 200, true, h.rng.IntN(2) == 0
		p.Pending, p.Backlogs = map[string]uint32{"r": 3}, []*schema.Backlog{{Service: "s", CoreMs: []int64{1}}}
		p.Peers = append(p.Peers, fmt.Sprint("p", h.rng.Int()))
	}
	h.latest = p
	return proto.Clone(p).(*schema.Pulse)
}

// A coordinator places tasks by the free capacity that heartbeats report, and heartbeats leave out what has
// not changed. Some links miss heartbeats because they are busy or have a new connection. Each receiver must
// still know the current capacity of all workers, or tasks would be offered for capacity that is taken.
func TestHeartbeatDeltasReproduceFullState(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 1))
		var c heartbeatCache
		h := &randomHandler{rng: rng, latest: new(schema.Pulse)}
		written, states := make([]uint64, 5), make([]receivedState, 5)
		peers, domains := make([][]string, 5), make([][]*schema.DomainWord, 5)
		for range 200 {
			c.builtAt = time.Time{}
			for link := range states {
				if rng.IntN(4) == 0 {
					continue
				}
				if rng.IntN(20) == 0 {
					written[link], states[link] = 0, receivedState{}
				}
				b, number, err := c.get(h, written[link])
				assert.NilError(t, err)
				written[link] = number
				got := new(schema.Pulse)
				assert.NilError(t, proto.Unmarshal(b, got))
				assert.NilError(t, states[link].addUnchanged(got))
				if len(got.Peers) > 0 {
					peers[link] = got.Peers
				}
				if len(got.Domains) > 0 {
					domains[link] = got.Domains
				}
				got.Domains = domains[link]
				got.Peers, got.SameWorkers, got.Updates = peers[link], false, nil
				assert.Assert(t, proto.Equal(got, c.latest), "seed %d: %v, not %v", seed, got, c.latest)
			}
		}
	}
}

// Two of eight workers have changed. The heartbeat must be less than a tenth of a full one: daemons send it
// to dozens of peers several times a second, over links that also carry orders and answers.
func TestHeartbeatDeltaIsSmall(t *testing.T) {
	p := &schema.Pulse{Serving: true}
	for i := range 8 {
		p.Rooms = append(p.Rooms, &schema.Room{
			Worker: fmt.Sprintf("5c0e7a21d94b36f%d", i), Service: "quotes", MilliCpu: 64000, MemoryMb: 262144, Open: true, Usable: true,
			TotalMilliCpu: 64000, TotalMemoryMb: 262144,
		})
	}
	for i := range 35 {
		p.Peers = append(p.Peers, fmt.Sprintf("10.1.0.%d:8166", i))
	}
	var c heartbeatCache
	c.update(p)
	full, err := proto.Marshal(c.changesSince(0))
	assert.NilError(t, err)
	next := proto.Clone(p).(*schema.Pulse)
	next.Rooms[2].MilliCpu, next.Rooms[5].Open = 32000, false
	c.update(next)
	changes, err := proto.Marshal(c.changesSince(1))
	assert.NilError(t, err)
	assert.Assert(t, len(changes) < len(full)/10, "%d of %d bytes", len(changes), len(full))
}

// An update of a worker that the connection never listed must end the connection. The new connection starts
// with a full heartbeat.
func TestUpdateOfUnknownWorkerFails(t *testing.T) {
	var s receivedState
	err := s.addUnchanged(&schema.Pulse{SameWorkers: true, Updates: []*schema.RoomUpdate{{Index: 0}}})
	assert.ErrorIs(t, err, errUnknownWorker)
}
