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

// builder counts how often a heartbeat is built.
type builder struct {
	Handler
	built int
}

func (b *builder) Heartbeat() *schema.Pulse {
	b.built++
	return &schema.Pulse{Leaving: true, Peers: []string{"x"}, DocumentVersion: 7}
}

// The common part is built once for all links, and each link's own part is added to it
// without encoding it again: the other end reads one message.
func TestPulseIsBuiltOnceForAllLinks(t *testing.T) {
	var c pulseCache
	b := new(builder)
	for link := range int64(30) {
		common, _, err := c.get(b, 0)
		assert.NilError(t, err)
		var wire bytes.Buffer
		assert.NilError(t, writePulse(&wire, common, 5, 100+link, 90+link))
		f, err := readFrame(bufio.NewReader(&wire))
		assert.NilError(t, err)
		p := f.GetPulse()
		assert.Equal(t, f.GetAcknowledged(), uint64(5))
		assert.Equal(t, p.GetSentMs(), 100+link)
		assert.Equal(t, p.GetEchoMs(), 90+link)
		assert.Equal(t, p.GetDocumentVersion(), uint64(7))
		assert.DeepEqual(t, p.GetPeers(), []string{"x"})
	}
	assert.Assert(t, b.built <= 2, "%d", b.built)
	time.Sleep(pulseFresh)
	_, _, err := c.get(b, 0)
	assert.NilError(t, err)
	assert.Assert(t, b.built >= 2, "a later heartbeat is built anew")
}

// changing is a daemon whose rooms, workers and peers change at random.
type changing struct {
	Handler
	rng   *rand.Rand
	pulse *schema.Pulse
}

func (c *changing) Heartbeat() *schema.Pulse {
	p := proto.Clone(c.pulse).(*schema.Pulse)
	for _, r := range p.Rooms {
		if c.rng.IntN(3) == 0 {
			r.MilliCpu, r.Open, r.PacePercent = c.rng.Int64N(64000), c.rng.IntN(2) == 0, c.rng.Uint32N(600)
		}
	}
	switch c.rng.IntN(9) {
	case 6:
		for _, r := range p.Rooms {
			r.Tenure++ // taken anew under the same name
		}
	case 4:
		p.Demands = nil
	case 5:
		p.Demands = []*schema.Demand{{Service: "s", Queue: "q", MilliCpu: c.rng.Int64N(64000)}}
	case 3:
		p.Domains = []*schema.DomainWord{{Domain: "a", Revision: c.rng.Int64(), Retired: c.rng.IntN(2) == 0}}
	case 0:
		p.Rooms = append(p.Rooms, &schema.Room{Worker: fmt.Sprint("w", c.rng.Int()), Service: "s", TotalMilliCpu: 64000})
	case 1:
		p.Rooms = p.Rooms[:c.rng.IntN(len(p.Rooms)+1)]
	case 2:
		p.DocumentVersion, p.RegistryRevision, p.StoreLost = c.rng.Uint64(), c.rng.Int64(), c.rng.IntN(2) == 0
		p.RegistryTerm, p.RegistryAgeMs, p.NextMs, p.Serving, p.Leaving = 2, c.rng.Int64(), 200, true, c.rng.IntN(2) == 0
		p.Pending, p.Backlogs = map[string]uint32{"r": 3}, []*schema.Backlog{{Service: "s", CoreMs: []int64{1}}}
		p.Peers = append(p.Peers, fmt.Sprint("p", c.rng.Int()))
	}
	c.pulse = p
	return proto.Clone(p).(*schema.Pulse)
}

// A coordinator places tasks by what it was told of rooms. Heartbeats leave out what was
// told before; some links miss heartbeats, as they were busy or have a new connection. Each
// receiver must know all rooms as they are, or tasks would be offered for room that is gone.
func TestHeartbeatsTellAllChanges(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 1))
		var c pulseCache
		h := &changing{rng: rng, pulse: new(schema.Pulse)}
		told, views := make([]uint64, 5), make([]heard, 5)
		peers, domains := make([][]string, 5), make([][]*schema.DomainWord, 5)
		for range 200 {
			c.built = time.Time{}
			for link := range views {
				if rng.IntN(4) == 0 {
					continue
				}
				if rng.IntN(20) == 0 {
					told[link], views[link] = 0, heard{}
				}
				b, number, err := c.get(h, told[link])
				assert.NilError(t, err)
				told[link] = number
				got := new(schema.Pulse)
				assert.NilError(t, proto.Unmarshal(b, got))
				assert.NilError(t, views[link].complete(got))
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

// Of eight workers two have changed. A heartbeat is a tenth of one in full: it is sent to
// dozens of peers several times a second, over links that carry orders and answers too.
func TestHeartbeatTellsChangesOnly(t *testing.T) {
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
	var c pulseCache
	c.take(p)
	full, err := proto.Marshal(c.since(0))
	assert.NilError(t, err)
	next := proto.Clone(p).(*schema.Pulse)
	next.Rooms[2].MilliCpu, next.Rooms[5].Open = 32000, false
	c.take(next)
	changes, err := proto.Marshal(c.since(1))
	assert.NilError(t, err)
	assert.Assert(t, len(changes) < len(full)/10, "%d of %d bytes", len(changes), len(full))
}

// An update of a room that was never told ends the connection: it is made anew, and all is
// told again.
func TestUpdateOfUnknownRoom(t *testing.T) {
	var h heard
	err := h.complete(&schema.Pulse{SameWorkers: true, Updates: []*schema.RoomUpdate{{Index: 0}}})
	assert.ErrorIs(t, err, errUnknownRoom)
}
