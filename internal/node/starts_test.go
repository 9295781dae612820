package node

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lavendercleat/lavendercleat/coordinator"
	"github.com/lavendercleat/lavendercleat/routing"
	"github.com/lavendercleat/lavendercleat/schema"
)

// arbitratedNode is a daemon linked with peers that are a job's arbiters, and a caller that waits
// for the job's answer.
type arbitratedNode struct {
	*testNode
	answers chan coordinator.Answer
	hangUp  context.CancelFunc
}

func newArbitratedNode(t *testing.T, job string) *arbitratedNode {
	n := newTestNode(t)
	n.serving, n.stopServing = context.WithCancel(context.Background())
	n.clock.start = n.clock.start.Add(-startupWait)
	h := (*peerHandler)(n.Node)
	for i := range uint64(2) {
		p := peer(i + 2)
		p.Weight = 1e9 // the arbiters of every job
		h.PeerUp(p)
	}
	a := &arbitratedNode{testNode: n, answers: make(chan coordinator.Answer, 1)}
	ctx, hangUp := context.WithCancel(context.Background())
	a.hangUp = hangUp
	r := Request{ID: job, Route: &routing.Route{Name: "r", Service: "s"}, Steps: []coordinator.Step{{Count: 1}}, WaitLimit: time.Minute}
	go func() { a.answers <- n.Run(ctx, r) }()
	for began := time.Now(); n.jobCount() == 0; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Since(began) < 5*time.Second)
	}
	return a
}

func (a *arbitratedNode) receive(from uint64, f *schema.Frame) {
	(*peerHandler)(a.Node).HandleFrame(peer(from), f)
}

func (a *arbitratedNode) verdict(from uint64, v *schema.StartVerdict) {
	a.receive(from, &schema.Frame{Body: &schema.Frame_StartVerdict{StartVerdict: v}})
}

func (a *arbitratedNode) started(job string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.coordinator.Has(job)
}

func heldBy(job string, holder uint64) *schema.StartVerdict {
	p := peer(holder)
	return &schema.StartVerdict{Job: job, HolderAddress: p.Address.String(), HolderIncarnation: p.Incarnation}
}

// A job starts before its arbiters have granted it, although another daemon may run it.
func TestJobWaitsForAllGrants(t *testing.T) {
	a := newArbitratedNode(t, "j")
	a.verdict(2, &schema.StartVerdict{Job: "j", Granted: true})
	assert.Assert(t, !a.started("j"))
	a.verdict(3, &schema.StartVerdict{Job: "j", Granted: true})
	assert.Assert(t, a.started("j"))
}

// A caller arrives here while another daemon has its job. The job starts here too, or gets no
// answer.
func TestJobHeldElsewhereIsAnsweredByHolder(t *testing.T) {
	a := newArbitratedNode(t, "j")
	a.verdict(2, heldBy("j", 3))
	a.verdict(3, &schema.StartVerdict{Job: "j", Granted: true})
	assert.Assert(t, !a.started("j"))
	a.receive(3, jobUpdateToWire("j", coordinator.Completed))
	assert.Equal(t, (<-a.answers).Status, coordinator.Completed)
	assert.Equal(t, a.jobCount(), 0)
}

// A job that was granted to another daemon meanwhile goes on here.
func TestRevokedJobIsStopped(t *testing.T) {
	a := newArbitratedNode(t, "j")
	for from := range uint64(2) {
		a.verdict(from+2, &schema.StartVerdict{Job: "j", Granted: true})
	}
	h := (*peerHandler)(a.Node)
	h.PeerUnreachable(peer(2), false)
	h.PeerUp(peer(2))
	a.verdict(2, heldBy("j", 3))
	assert.Assert(t, !a.started("j"))
	assert.Equal(t, a.jobCount(), 1, "its caller waits for the other daemon's answer")
}

// The caller leaves while another daemon waits for the job's answer, and the job is canceled.
func TestJobContinuesForRemoteWaiter(t *testing.T) {
	a := newArbitratedNode(t, "j")
	for from := range uint64(2) {
		a.verdict(from+2, &schema.StartVerdict{Job: "j", Granted: true})
	}
	a.receive(3, &schema.Frame{Body: &schema.Frame_JobInquiry{JobInquiry: &schema.JobInquiry{Job: "j"}}})
	a.hangUp()
	<-a.answers
	assert.Assert(t, a.started("j"))
	a.receive(3, &schema.Frame{Body: &schema.Frame_JobInquiry{JobInquiry: &schema.JobInquiry{Job: "j", Leaves: true}}})
	assert.Assert(t, !a.started("j"))
}

// A process without links is the only arbiter of its own requests, and starts jobs that other
// daemons run.
func TestNoJobStartsBeforeLinksAreUp(t *testing.T) {
	n := newTestNode(t)
	assert.Equal(t, len((*startView)(n.Node).Arbiters("j", 2)), 0)
	n.clock.start = n.clock.start.Add(-startupWait)
	assert.Equal(t, len((*startView)(n.Node).Arbiters("j", 2)), 1)
}

// A daemon that has just lost its peers replaces a job's arbiters, which may have granted it to
// another.
func TestUnreachableArbitersCountDuringGrace(t *testing.T) {
	for _, refused := range []bool{false, true} {
		n := newTestNode(t)
		n.clock.start = n.clock.start.Add(-startupWait)
		h := (*peerHandler)(n.Node)
		for i := range uint64(3) {
			h.PeerUp(peer(i + 2))
			h.PeerUnreachable(peer(i+2), refused)
		}
		assert.Equal(t, len((*startView)(n.Node).Arbiters("j", 4)), 4)
		n.clock.start = n.clock.start.Add(-arbiterGrace)
		assert.Equal(t, len((*startView)(n.Node).Arbiters("j", 4)), 1)
	}
}
