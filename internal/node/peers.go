// Links to peers, and the handling of their heartbeats and frames.

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

// Distances of executors, by which the coordinator prefers them.
const (
	sameDomain  = 1
	otherDomain = 2
)

// standstillLimit is how long this process may stand still before its peers may have found it
// unreachable: their time-out starts at a heartbeat that is at most two intervals old.
func standstillLimit(interval time.Duration) time.Duration { return mesh.PeerTimeout - 2*interval }

// dropAllPeers handles a standstill so long that peers have found this daemon unreachable. They
// start elsewhere the tasks that they offered to it. The frames that they sent before wait in this
// process and on its connections, and this daemon would start their tasks seconds later a second
// time. So it drops all of them and starts new sessions on all links. The caller holds the lock.
func (n *Node) dropAllPeers(now, gap time.Duration) {
	n.log.WithFields(logrus.Fields{"event": "stood_still", "for": gap}).Warn()
	for _, k := range n.fleet.peers {
		if !k.up {
			continue
		}
		n.keepLostPending(k.Peer)
		n.fleet.peerUnreachable(now, k.Peer, false)
		n.coordinator.HandleExecutorLost(now, k.Process)
		n.executor.HandleOwnerLost(now, k.Process)
		n.ownerUnreachable(now, k.Peer)
		n.startsPeerUnreachable(now, k.Peer)
	}
	n.wg.Go(n.mesh.ResetSessions)
}

// fromPeer calls f for a frame of a peer, unless the peer has become unreachable meanwhile.
func (n *Node) fromPeer(p mesh.Peer, f func(now time.Duration)) {
	n.update(func(now time.Duration) {
		if n.fleet.isUp(p) {
			f(now)
		}
	})
}

// daemonListTimeout bounds how long a new process waits for the list of daemons before it links
// those that seeds and peers name. The store answers within some ms, or is unreachable.
const daemonListTimeout = 300 * time.Millisecond

// firstStartWait is how long a daemon of a system that starts for the first time waits before it
// reads the list of daemons, so that the others can write their entries. Without the list 300
// daemons don't know their cells, and each would link with all others.
const firstStartWait = time.Second

// linkDaemons links the daemons of this daemon's cell. Without the list of daemons, after a loss of
// power of a large fleet, all daemons would first link with all daemons that the seeds name, also
// those of other cells. That would take small VMs half a second.
func (n *Node) linkDaemons() {
	if n.config.Bootstrap {
		clock.Sleep(n.ctx, firstStartWait)
	}
	ctx, cancel := context.WithTimeout(n.ctx, daemonListTimeout)
	defer cancel()
	items, _, err := n.platform.Daemons.Read(ctx)
	if err != nil {
		n.storeFailed("daemons", err)
	}
	n.update(func(now time.Duration) {
		n.fleet.daemonsReadAt = now
		n.cellResolved.Store(true)
		n.applyDaemons(now, items)
		n.fleet.daemonsListed = err == nil && len(n.fleet.daemonInfos(n.self)) > 1
	})
	n.mesh.AddPeers(n.config.SeedPeers...)
}

// linkNamed links daemons that a peer names, unless they belong to another cell.
func (n *Node) linkNamed(addresses []string) {
	for _, text := range addresses {
		if a, err := netip.ParseAddrPort(text); err == nil && a != n.self.Address {
			n.mesh.AddPeers(a)
		}
	}
}

// peerHandler implements mesh.Handler for the node.
type peerHandler Node

// PeerUp implements mesh.Handler.
func (h *peerHandler) PeerUp(p mesh.Peer) {
	n := (*Node)(h)
	n.log.WithFields(logrus.Fields{"event": "peer_up", "peer": p.Name, "incarnation": p.Incarnation}).Info()
	n.update(func(now time.Duration) {
		n.fleet.peerUp(p)
		n.takeBackPending(now, p)
		n.announceJobsTo(p.Process)
		n.announceChangesTo(p.Process)
		n.startsPeerUp(now, p.Process)
		n.scheduleReassign()
	})
}

// PeerUnreachable implements mesh.Handler.
func (h *peerHandler) PeerUnreachable(p mesh.Peer, refused bool) {
	n := (*Node)(h)
	n.log.WithFields(logrus.Fields{"event": "peer_lost", "peer": p.Name, "incarnation": p.Incarnation, "refused": refused}).Warn()
	n.metrics.countPeerLoss(refused)
	n.update(func(now time.Duration) {
		n.keepLostPending(p)
		n.fleet.peerUnreachable(now, p, refused)
		n.coordinator.HandleExecutorLost(now, p.Process)
		n.ownerUnreachable(now, p)
		n.executor.HandleOwnerLost(now, p.Process)
		n.startsPeerUnreachable(now, p)
		n.scheduleReassign()
	})
}

// HasLeft implements mesh.Handler.
func (h *peerHandler) HasLeft(a netip.AddrPort) bool {
	n := (*Node)(h)
	n.mu.Lock()
	defer n.mu.Unlock()
	left := n.fleet.hasLeft(n.clock.now(), a)
	if left {
		n.log.WithFields(logrus.Fields{"event": "peer_given_up", "address": a, "entries_age_ms": (n.clock.now() - n.fleet.sync.upToDateAt).Milliseconds()}).Info()
	}
	return left
}

// Heartbeat implements mesh.Handler.
func (h *peerHandler) Heartbeat() *schema.Pulse {
	n := (*Node)(h)
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.clock.now()
	n.fleet.setInterval()
	n.updateRelayRole(now)
	n.shareSlowdowns(now)
	heartbeat := &schema.Pulse{Leaving: n.stopping.Load(), Serving: n.table.Load() != nil, StoreLost: n.configuration.storeUnreachable(now), DocumentVersion: n.configurationVersion(), NextMs: n.fleet.interval.Milliseconds()}
	for _, worker := range n.executor.WorkerCapacities(now) {
		heartbeat.Rooms = append(heartbeat.Rooms, &schema.Room{
			Worker: worker.Worker, Service: worker.Service, Open: worker.Open, Usable: worker.Usable,
			MilliCpu: worker.Free.MilliCPU, MemoryMb: worker.Free.MemoryMB, Gpus: worker.Free.GPUs,
			TotalMilliCpu: worker.Total.MilliCPU, TotalMemoryMb: worker.Total.MemoryMB, TotalGpus: worker.Total.GPUs,
			PacePercent: slowdownToWire(worker.Slowdown), Tenure: worker.Epoch, Token: worker.Token,
		})
	}
	for service, backlog := range n.executor.Backlog(now) {
		heartbeat.Backlogs = append(heartbeat.Backlogs, &schema.Backlog{Service: service, CoreMs: backlog.WithinShare(), SurplusCoreMs: overShareToWire(backlog.OverShare())})
	}
	n.reportShares(now, heartbeat)
	heartbeat.Pending = n.reportedPending()
	heartbeat.Domains = retirementsToWire(n.fleet.retirements.List())
	n.fleet.sync.addToHeartbeat(now, heartbeat)
	for a := range n.fleet.peers {
		heartbeat.Peers = append(heartbeat.Peers, a.String())
	}
	return heartbeat
}

// HandleHeartbeat implements mesh.Handler.
func (h *peerHandler) HandleHeartbeat(p mesh.Peer, heartbeat *schema.Pulse) {
	n := (*Node)(h)
	if n.cellResolved.Load() {
		n.linkNamed(heartbeat.GetPeers())
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	// This runs also before the link is up: only the first heartbeat of a connection contains all
	// retirements of domains, and later ones only the changes.
	n.handleReportedRetirements(p, heartbeat)
	distance := otherDomain
	if p.Domain == n.self.Domain {
		distance = sameDomain
	}
	if !n.fleet.isUp(p) {
		return
	}
	state := executorFromHeartbeat(p.Process, distance, heartbeat)
	n.fleet.setDomains(state.Workers)
	state.ReportedAt, state.Domain = n.clock.now(), p.Domain
	n.coordinator.UpdateExecutor(state)
	if len(heartbeat.GetPending()) > 0 {
		n.markLedgerInUse()
	}
	if n.fleet.handleHeartbeat(state.ReportedAt, p, heartbeat) {
		n.scheduleReassign()
	}
}

// HandleFrame implements mesh.Handler.
func (h *peerHandler) HandleFrame(p mesh.Peer, f *schema.Frame) {
	n := (*Node)(h)
	if f.GetOffer() != nil || f.GetReservation() != nil || f.GetClaims() != nil {
		n.clock.sync() // a frame that was in transit during a suspension is old
	}
	switch b := f.GetBody().(type) {
	case *schema.Frame_Offer:
		n.fromPeer(p, func(now time.Duration) { n.executor.Offer(now, p.Process, tasksFromWire(now, b.Offer.GetTasks())) })
	case *schema.Frame_Withdrawal:
		n.fromPeer(p, func(now time.Duration) {
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
		n.fromPeer(p, func(now time.Duration) {
			runs := runRefsFromWire(b.Settlement.GetRuns())
			if b.Settlement.GetLapseFirst() {
				n.executor.MarkSuperseded(runs)
				return
			}
			n.executor.ConfirmStored(now, runs)
		})
	case *schema.Frame_Reservation:
		n.fromPeer(p, func(now time.Duration) {
			n.executor.Unreserve(now, p.Process, idsFromWire(b.Reservation.GetDropped()))
			n.executor.Reserve(now, p.Process, tasksFromWire(now, b.Reservation.GetTasks()))
		})
	case *schema.Frame_Recall:
		n.fromPeer(p, func(now time.Duration) { n.executor.Reconcile(now, p.Process, ownedJobsFromWire(b.Recall)) })
	case *schema.Frame_JobStates:
		n.fromPeer(p, func(now time.Duration) { n.handleJobStates(now, p, b.JobStates.GetStates()) })
	case *schema.Frame_Reports:
		n.fromPeer(p, func(now time.Duration) {
			for _, r := range b.Reports.GetReports() {
				n.coordinator.HandleReport(now, p.Process, reportFromWire(r))
			}
		})
	case *schema.Frame_Takeover:
		n.fromPeer(p, func(now time.Duration) { n.coordinator.HandleTakeover(now, p.Process, takeoverFromWire(b.Takeover)) })
	case *schema.Frame_Claims:
		n.fromPeer(p, func(now time.Duration) {
			n.executor.HandleClaims(now, executor.Claims{
				Owner: p.Process, Worker: b.Claims.GetWorker(), Tasks: tasksFromWire(now, b.Claims.GetTasks()),
			})
		})
	case *schema.Frame_StartQuestion, *schema.Frame_StartVerdict, *schema.Frame_JobInquiry, *schema.Frame_JobNews,
		*schema.Frame_CoordinatorInquiry, *schema.Frame_CoordinatorCleared:
		n.handleStartFrame(p, f)
	case *schema.Frame_Document:
		n.handleConfiguration(p, b.Document)
	case *schema.Frame_DocumentRequest:
		n.fromPeer(p, func(now time.Duration) { n.handleConfigurationRequest(now, p, b.DocumentRequest) })
	case *schema.Frame_Registry:
		n.fromPeer(p, func(now time.Duration) { n.handleRegistry(now, p, b.Registry) })
	case *schema.Frame_RegistryRequest:
		n.fromPeer(p, func(now time.Duration) { n.handleRegistryRequest(now, p, b.RegistryRequest) })
	}
}
