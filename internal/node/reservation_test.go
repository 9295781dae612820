package node

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lavendercleat/lavendercleat/capacity"
	"github.com/lavendercleat/lavendercleat/coordinator"
	"github.com/lavendercleat/lavendercleat/executor"
	"github.com/lavendercleat/lavendercleat/task"
)

// A reservation that arrives over a link must not be taken for an offer: its task would run here
// and where it waits. It must stay while there is no free capacity, until the coordinator drops it.
func TestReservationOverLinkIsNotAnOffer(t *testing.T) {
	n := newTestNode(t)
	p := peer(2)
	h := (*peerHandler)(n.Node)
	h.PeerUp(p)
	n.executor.SetWorkers(n.clock.now(), []executor.WorkerInfo{{ID: "w", Service: "s", Capacity: capacity.Vector{MilliCPU: 1000}}})
	wide := task.Task{ID: task.ID{Job: "wide"}, Run: 1, Service: "s", StartBy: time.Hour, Demand: capacity.Vector{MilliCPU: 500}}
	h.HandleFrame(p, messageToWire(0, coordinator.Message{Reserve: []task.Task{wide}}))
	running, waiting := n.executor.Load()
	assert.Equal(t, running+waiting, 0)
	assert.Equal(t, n.executor.Reservations(), 1)
	h.HandleFrame(p, messageToWire(0, coordinator.Message{Unreserve: []task.ID{wide.ID}}))
	assert.Equal(t, n.executor.Reservations(), 0)
}
