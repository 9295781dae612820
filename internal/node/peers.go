package node

import (
	"context"
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/lavendercleat/lavendercleat/executor"
	"github.com/lavendercleat/lavendercleat/internal/clock"
	"github.com/lavendercleat/lavendercleat/internal/mesh"
	"github.com/lavendercleat/lavendercleat/schema"
)

// Order of preference among executors.
const (
	nearDomain = 1
	farDomain  = 2
)

// staleAfter is how long this process may stand still before its peers may have given it
// up: they wait for mesh.PeerTimeout from a heartbeat that is two intervals old at most.
func staleAfter(interval time.Duration) time.Duration { return mesh.PeerTimeout - 2*interval }

// loseAllPeers acts on having stood still for so long that peers have given this daemon
// up: they start elsewhere what they have offered to it. What they sent before waits in
// this process and on its connections, and would be started here seconds later beside it.
// All of it is dropped, and the links begin anew. The lock is held.
func (n *Node) loseAllPeers(now, gap time.Duration) {
	n.log.WithFields(logrus.Fields{"event": "stood_still", "for": gap}).Warn()
	for _, k := range n.fleet.up {
		if !k.up {
			continue
		}
		n.fleet.peerLost(now, k.Peer, false)
		n.coordinator.HandleExecutorLost(now, k.Process)
		n.executor.HandleOwnerLost(now, k.Process)
		n.ownerLost(now, k.Peer)
		n.startsLost(now, k.Peer)
	}
	n.wg.Go(n.mesh.ResetSessions)
}

// from does f for a frame of a peer, unless the peer is lost meanwhile.
func (n *Node) from(p mesh.Peer, f func(now time.Duration)) {
	n.do(func(now time.Duration) {
		if n.fleet.isUp(p) {
			f(now)
		}
	})
}

// findWait is how long a new process waits at most for the list of daemons before it links
// those that seeds and peers name. The store answers within some ms, or is away.
const findWait = 300 * time.Millisecond

// firstStartWait is how long a daemon of a system that starts for the first time waits for
// the others to write their entries, before it reads which there are. Of 300 daemons that
// don't know yet how they are divided each would link with all.
const firstStartWait = time.Second

// findPeers links the daemons of this daemon's cell. After a loss of power of a whole large
// fleet all daemons would first link with all that the seeds name, those of other cells too,
// which would take small machines half a second.
func (n *Node) findPeers() {
	if n.config.FirstStart {
		clock.Sleep(n.ctx, firstStartWait)
	}
	ctx, cancel := context.WithTimeout(n.ctx, findWait)
	defer cancel()
	items, _, err := n.platform.Daemons.Read(ctx)
	if err != nil {
		n.storeFailed("daemons", err)
	}
	n.do(func(now time.Duration) {
		n.fleet.placedAt = now
		n.placed.Store(true)
		n.takeDaemons(now, items)
		n.fleet.listed = err == nil && len(n.fleet.places(n.self)) > 1
	})
	n.mesh.AddPeers(n.config.Seeds...)
}

// knowNamed links daemons that a peer names, unless they are of another cell.
func (n *Node) knowNamed(addresses []string) {
	for _, text := range addresses {
		if a, err := netip.ParseAddrPort(text); err == nil && a != n.self.Address {
			n.mesh.AddPeers(a)
		}
	}
}

// peerHandler is the node as the mesh sees it.
type peerHandler Node

// PeerUp implements mesh.Handler.
func (h *peerHandler) PeerUp(p mesh.Peer) {
	n := (*Node)(h)
	n.log.WithFields(logrus.Fields{"event": "peer_up", "peer": p.Name, "incarnation": p.Incarnation}).Info()
	n.do(func(now time.Duration) {
		n.fleet.peerUp(p)
		n.openTo(p.Process)
		n.startsFound(now, p.Process)
		n.reassign()
	})
}

// PeerUnreachable implements mesh.Handler.
func (h *peerHandler) PeerUnreachable(p mesh.Peer, gone bool) {
	n := (*Node)(h)
	n.log.WithFields(logrus.Fields{"event": "peer_lost", "peer": p.Name, "incarnation": p.Incarnation, "refused": gone}).Warn()
	n.metrics.peerLost(gone)
	n.do(func(now time.Duration) {
		n.fleet.peerLost(now, p, gone)
		n.coordinator.HandleExecutorLost(now, p.Process)
		n.ownerLost(now, p)
		n.executor.HandleOwnerLost(now, p.Process)
		n.startsLost(now, p)
		n.reassign()
	})
}

// Heartbeat implements mesh.Handler.
func (h *peerHandler) Heartbeat() *schema.Pulse {
	n := (*Node)(h)
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.clock.now()
	n.fleet.setInterval()
	n.judgeReader(now)
	n.sharePaces(now)
	p := &schema.Pulse{Leaving: n.stopping.Load(), Serving: n.table.Load() != nil, StoreLost: n.documents.lost(now), DocumentVersion: n.documentVersion(), NextMs: n.fleet.interval.Milliseconds()}
	for _, r := range n.executor.WorkerCapacities(now) {
		p.Rooms = append(p.Rooms, &schema.Room{
			Worker: r.Worker, Service: r.Service, Open: r.Open, Usable: r.Usable,
			MilliCpu: r.Free.MilliCPU, MemoryMb: r.Free.MemoryMB, Gpus: r.Free.GPUs,
			TotalMilliCpu: r.Total.MilliCPU, TotalMemoryMb: r.Total.MemoryMB, TotalGpus: r.Total.GPUs,
			PacePercent: paceToWire(r.Slowdown), Tenure: r.Epoch, Token: r.Token,
		})
	}
	for service, work := range n.executor.Backlog(now) {
		p.Backlogs = append(p.Backlogs, &schema.Backlog{Service: service, CoreMs: work.WithinShare(), SurplusCoreMs: surplusToWire(work.OverShare())})
	}
	n.tellShares(now, p)
	p.Pending = n.ownPending()
	p.Domains = domainsToWire(n.fleet.retirements.List())
	n.fleet.relay.tell(now, p)
	for a := range n.fleet.up {
		p.Peers = append(p.Peers, a.String())
	}
	return p
}

// HandleHeartbeat implements mesh.Handler.
func (h *peerHandler) HandleHeartbeat(p mesh.Peer, pulse *schema.Pulse) {
	n := (*Node)(h)
	if n.placed.Load() {
		n.knowNamed(pulse.GetPeers())
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	// Before the link is up too: a connection's first heartbeat tells the words on domains,
	// and later ones only what has changed.
	n.domainsHeard(p, pulse)
	near := farDomain
	if p.Domain == n.self.Domain {
		near = nearDomain
	}
	if !n.fleet.isUp(p) {
		return
	}
	holder := holderFromPulse(p.Process, near, pulse)
	n.fleet.locate(holder.Workers)
	holder.ReportedAt, holder.Domain = n.clock.now(), p.Domain
	n.coordinator.UpdateExecutor(holder)
	if n.fleet.pulsed(holder.ReportedAt, p, pulse) {
		n.reassign()
	}
}

// HandleFrame implements mesh.Handler.
func (h *peerHandler) HandleFrame(p mesh.Peer, f *schema.Frame) {
	n := (*Node)(h)
	if f.GetOffer() != nil || f.GetReservation() != nil || f.GetClaims() != nil {
		n.clock.sync() // frames that were on their way during a suspension are old
	}
	switch b := f.GetBody().(type) {
	case *schema.Frame_Offer:
		n.from(p, func(now time.Duration) { n.executor.Offer(now, p.Process, tasksFromWire(now, b.Offer.GetTasks())) })
	case *schema.Frame_Withdrawal:
		n.from(p, func(now time.Duration) {
			ids := idsFromWire(b.Withdrawal.GetTasks())
			if b.Withdrawal.GetHoldEnds() {
				n.executor.WithdrawDurable(now, p.Process, ids)
				return
			}
			if b.Withdrawal.GetOnlyWaiting() {
				n.executor.Reclaim(now, p.Process, ids)
				return
			}
			n.executor.Withdraw(now, p.Process, ids, b.Withdrawal.GetConfirm())
		})
	case *schema.Frame_Settlement:
		n.from(p, func(now time.Duration) {
			runs := settledFromWire(b.Settlement.GetRuns())
			if b.Settlement.GetLapseFirst() {
				n.executor.MarkSuperseded(runs)
				return
			}
			n.executor.ConfirmStored(now, runs)
		})
	case *schema.Frame_Reservation:
		n.from(p, func(now time.Duration) {
			n.executor.Unreserve(now, p.Process, idsFromWire(b.Reservation.GetDropped()))
			n.executor.Reserve(now, p.Process, tasksFromWire(now, b.Reservation.GetTasks()))
		})
	case *schema.Frame_Recall:
		n.from(p, func(now time.Duration) { n.executor.Reconcile(now, p.Process, b.Recall.GetJobs()) })
	case *schema.Frame_JobStates:
		n.from(p, func(now time.Duration) { n.told(now, p, b.JobStates.GetStates()) })
	case *schema.Frame_Reports:
		n.from(p, func(now time.Duration) {
			for _, r := range b.Reports.GetReports() {
				n.coordinator.HandleReport(now, p.Process, reportFromWire(r))
			}
		})
	case *schema.Frame_Takeover:
		n.from(p, func(now time.Duration) { n.coordinator.HandleTakeover(now, p.Process, takeoverFromWire(b.Takeover)) })
	case *schema.Frame_Claims:
		n.from(p, func(now time.Duration) {
			n.executor.HandleClaims(now, executor.Claims{
				Owner: p.Process, Worker: b.Claims.GetWorker(), Tasks: tasksFromWire(now, b.Claims.GetTasks()),
			})
		})
	case *schema.Frame_StartQuestion, *schema.Frame_StartVerdict, *schema.Frame_JobInquiry, *schema.Frame_JobNews,
		*schema.Frame_CoordinatorInquiry, *schema.Frame_CoordinatorCleared:
		n.startReceived(p, f)
	case *schema.Frame_Document:
		n.documentCame(p, b.Document)
	case *schema.Frame_DocumentRequest:
		n.from(p, func(now time.Duration) { n.documentAsked(now, p, b.DocumentRequest) })
	case *schema.Frame_Registry:
		n.from(p, func(now time.Duration) { n.takeRegistry(now, p, b.Registry) })
	case *schema.Frame_RegistryRequest:
		n.from(p, func(now time.Duration) { n.readerAsked(now, p, b.RegistryRequest) })
	}
}
