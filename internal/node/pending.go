// The count of the durable jobs that wait, also of those whose owner is gone and has no successor yet.

package node

import (
	"maps"
	"time"

	"github.com/lavendercleat/lavendercleat/internal/mesh"
	"github.com/lavendercleat/lavendercleat/ledger"
	"github.com/lavendercleat/lavendercleat/schema"
)

// maxUnownedAge is the age of a scan of the job records from which a request for the count has the next one made,
// while it counts jobs that no daemon in sight reports.
const maxUnownedAge = time.Second

// unreportedJobs counts waiting jobs that no daemon in sight reports in its heartbeats. The jobs of a lost
// owner count as it last reported them until a scan of the job records shows them one by one. From then on
// each counts until the scan shows that it has ended or started, or a linked daemon reports it as its own.
type unreportedJobs struct {
	// lost holds the last reports of lost owners: their waiting jobs by route.
	lost map[uint64]map[string]uint32
	// unowned holds the jobs that the last scan showed.
	unowned map[string]unownedJob
	// resigned are the peers that are linked and that have given up their jobs for a planned stop. What they
	// report is shown by the scan.
	resigned map[uint64]bool
}

// unownedJob is a waiting job that its owner doesn't report, or that has no owner.
type unownedJob struct {
	route string
	owner uint64
}

func newUnreportedJobs() unreportedJobs {
	return unreportedJobs{lost: make(map[uint64]map[string]uint32), unowned: make(map[string]unownedJob), resigned: make(map[uint64]bool)}
}

// keepLost keeps the last report of an owner that is lost or gives up its jobs.
func (u *unreportedJobs) keepLost(owner uint64, counts map[string]uint32) {
	if len(counts) > 0 {
		u.lost[owner] = maps.Clone(counts)
	}
}

// replace replaces the jobs by those that a scan has shown, also those of owners that were lost during the scan.
func (u *unreportedJobs) replace(unowned map[string]unownedJob, resigned map[uint64]bool) {
	u.unowned, u.resigned = unowned, resigned
	clear(u.lost)
}

// count returns the number of jobs of a route.
func (u *unreportedJobs) count(route string) int {
	count := 0
	for _, j := range u.unowned {
		if j.route == route {
			count++
		}
	}
	for _, counts := range u.lost {
		count += int(counts[route])
	}
	return count
}

func (u *unreportedJobs) has(job string) bool {
	_, ok := u.unowned[job]
	return ok
}

func (u *unreportedJobs) empty() bool { return len(u.unowned)+len(u.lost) == 0 }

// PendingJobs implements Dispatcher.
func (n *Node) PendingJobs(route string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	d := &n.durable
	count := int(d.ledger.Waiting()[route])
	for _, p := range n.fleet.peers {
		if p.up && !d.unreported.resigned[p.Incarnation] {
			count += int(p.pendingJobs[route])
		}
	}
	if !d.unreported.empty() {
		n.scanIfOlder(n.clock.now(), maxUnownedAge)
	}
	// The estimate is that each other cell has as many.
	return count*n.fleet.cells.Count() + d.unreported.count(route)
}

// scanSoon has the job records scanned, at most once in storeRetryDelay. The caller holds the lock.
func (n *Node) scanSoon(now time.Duration) {
	w := &n.durable.ownerWatch
	if !w.scanDue {
		w.scanDue = true
		time.AfterFunc(w.scannedAt+storeRetryDelay-now, n.wakeOwnerWatch)
	}
}

// scanIfOlder has the job records scanned if the last scan is older than a limit. The caller holds the lock.
func (n *Node) scanIfOlder(now, limit time.Duration) {
	if w := &n.durable.ownerWatch; now-w.scannedAt >= limit {
		w.scanDue = true
		n.wakeOwnerWatch()
	}
}

// reportedPending returns the waiting jobs that this daemon reports to its peers, by route. It reports a job that it
// takes over once it owns it: until then the peers count it as unowned. After it has given up its jobs for a planned
// stop it goes on reporting them until its peers have found them in the store. The caller holds the lock.
func (n *Node) reportedPending() map[string]uint32 {
	if n.durable.resigned != nil {
		return n.durable.resigned
	}
	return n.durable.ledger.WaitingOwned()
}

// resignPending keeps this daemon's waiting jobs in its own count and in its reports when it gives them up. The caller
// holds the lock.
func (n *Node) resignPending() {
	d := &n.durable
	d.resigned = d.ledger.WaitingOwned()
	d.unreported.keepLost(n.self.Incarnation, d.ledger.Waiting())
	d.ownerWatch.scanDue = true
	n.wakeOwnerWatch()
}

// keepLostPending keeps the last report of a peer that is lost. The caller holds the lock.
func (n *Node) keepLostPending(p mesh.Peer) {
	if n.fleet.isUp(p) && !n.durable.unreported.resigned[p.Incarnation] {
		n.durable.unreported.keepLost(p.Incarnation, n.fleet.peers[p.Address].pendingJobs)
	}
}

// takeBackPending counts the jobs of a peer that is in sight again among those that it has reported, until its next
// heartbeat. The caller holds the lock.
func (n *Node) takeBackPending(now time.Duration, p mesh.Peer) {
	u, k := &n.durable.unreported, n.fleet.peers[p.Address]
	if u.empty() {
		return
	}
	k.pendingJobs = u.lost[p.Incarnation]
	delete(u.lost, p.Incarnation)
	for job, unowned := range u.unowned {
		if unowned.owner == p.Incarnation {
			k.countPending(job, unowned.route)
			delete(u.unowned, job)
		}
	}
	n.scanIfOlder(now, storeRetryDelay)
}

// countPending counts a job among those that a peer has reported, until its next heartbeat reports it.
func (k *knownPeer) countPending(job, route string) {
	k.announce(job, true)
	counts := maps.Clone(k.pendingJobs)
	if counts == nil {
		counts = make(map[string]uint32)
	}
	counts[route]++
	k.pendingJobs = counts
}

// announce notes that a peer has stored a job: the peer's next heartbeat reports it, unless it has started. counted: it
// counts already.
func (k *knownPeer) announce(job string, counted bool) {
	if k.announced == nil {
		k.announced = make(map[string]bool)
	}
	k.announced[job] = k.announced[job] || counted
}

// uncounted reports whether a job that a peer owns is neither in its last heartbeat nor counted since. The caller
// holds the lock.
func (n *Node) uncounted(k *knownPeer, job string) bool {
	if counted, announced := k.announced[job]; announced {
		return !counted
	}
	knownOwner := n.durable.states.byJob[job].owner
	return knownOwner != 0 && knownOwner != k.Incarnation || n.durable.unreported.has(job)
}

// handlePendingStates updates the count by a peer's report of the states of its jobs. The caller holds the lock.
func (n *Node) handlePendingStates(now time.Duration, p mesh.Peer, states []*schema.JobState) {
	u := &n.durable.unreported
	k := n.fleet.peers[p.Address]
	for _, s := range states {
		job, state := s.GetJob(), ledger.State(s.GetState())
		switch {
		case state.Final():
			delete(u.unowned, job)
		case u.has(job):
			k.countPending(job, u.unowned[job].route)
			delete(u.unowned, job)
		default:
			k.announce(job, false)
			if known := n.durable.states.byJob[job].owner; known != 0 && known != p.Incarnation {
				n.scanSoon(now) // it may still count in the last report of its earlier owner
			}
		}
	}
}

// countUnowned counts the waiting jobs that a scan of the job records has shown and that no daemon in sight reports.
// ownerships holds the addresses of the owners that have ownership records. The caller holds the lock.
func (n *Node) countUnowned(records []ledger.Record, ownerships map[uint64]mesh.Peer) {
	d := &n.durable
	linked := make(map[uint64]*knownPeer)
	resigned := make(map[uint64]bool)
	for _, k := range n.fleet.peers {
		_, owns := ownerships[k.Incarnation]
		switch {
		case k.up && owns:
			linked[k.Incarnation] = k
		case k.up && k.leaving:
			resigned[k.Incarnation] = true
		}
	}
	unowned := make(map[string]unownedJob)
	for _, r := range records {
		owner, owns := ownerships[r.Owner]
		k := linked[r.Owner]
		if known := d.states.byJob[r.Job.ID]; known.reportedAt >= d.ownerWatch.scanStartedAt && linked[known.owner] != nil {
			k = linked[known.owner] // it has reported since the scan began that it owns the job
		}
		switch {
		case len(r.Progress) > 0 || d.ledger.Has(r.Job.ID):
		case k != nil && n.uncounted(k, r.Job.ID):
			k.countPending(r.Job.ID, r.Route)
		case k != nil: // it reports the job
		case owns && !n.fleet.inCell(owner.Address): // the daemons of its own cell count it
		default:
			unowned[r.Job.ID] = unownedJob{r.Route, r.Owner}
		}
	}
	d.unreported.replace(unowned, resigned)
}
