// Quotas and limits: this entry's shares of teams' quotas and kinds' limits, from the demand that the
// entries report to each other.

package entry

import (
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/lavendercleat/lavendercleat/internal/clock"
	"github.com/lavendercleat/lavendercleat/member"
	"github.com/lavendercleat/lavendercleat/quota"
	"github.com/lavendercleat/lavendercleat/schema"
	"github.com/lavendercleat/lavendercleat/verdict"
)

// demandPeriod is the period over which demand is measured. The entry reports the demand of a period to
// every peer before the next period ends: peers in other failure domains get a heartbeat every 2 s.
const demandPeriod = 2 * time.Second

// quotas limits teams to this entry's shares of their quotas, and kinds to its shares of their limits.
type quotas struct {
	clock      *clock.Clock
	state      *state
	members    *membership
	dispatcher *dispatcher
	metrics    *Metrics
	domain     string

	mu         sync.Mutex
	limiter    *quota.Limiter
	teamDemand map[string]*quota.Demand
	kindDemand map[string]*quota.Demand
	peerDemand map[netip.AddrPort]reportedDemands
}

// reportedDemands is the demand that one peer reported, by team and by kind.
type reportedDemands struct {
	teams map[string]uint32
	kinds map[string]uint32
}

func newQuotas(e *Entry, d *dispatcher) *quotas {
	return &quotas{
		clock: e.clock, state: e.state, members: e.members, dispatcher: d, metrics: e.metrics, domain: e.settings.Domain,
		limiter:    quota.NewLimiter(),
		teamDemand: make(map[string]*quota.Demand),
		kindDemand: make(map[string]*quota.Demand),
		peerDemand: make(map[netip.AddrPort]reportedDemands),
	}
}

// admit admits a job. It refuses the job if its team is over its quota, or if the failure domain was retired
// after the job's identifier was reserved.
func (q *quotas) admit(team string, tasks int) *verdict.Failure {
	if f := checkNotRetired(q.state, q.domain); f != nil {
		q.metrics.countRefusal(f.Reason)
		return f
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	f := q.limiter.Admit(q.clock.Now(), team, tasks)
	if f != nil {
		q.metrics.countRefusal(f.Reason)
	}
	return f
}

// checkNotRetired returns a failure if the failure domain is retired.
func checkNotRetired(s *state, domain string) *verdict.Failure {
	if !s.config().Retired(domain) {
		return nil
	}
	return verdict.New(verdict.NotRun, verdict.DomainRetired,
		"failure domain %s is retired; ask an entry of another failure domain", domain).WithRetryAfter(time.Second)
}

// refund gives back the task starts of an admitted job that was then refused for another reason.
func (q *quotas) refund(team string, tasks int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.limiter.Refund(team, tasks)
}

// handleHeartbeat stores a peer's demand.
func (q *quotas) handleHeartbeat(h *schema.Heartbeat) {
	a, err := netip.ParseAddrPort(h.GetAddress())
	if err != nil {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.peerDemand[a] = reportedDemands{teams: h.GetTeamRates(), kinds: h.GetKindDemand()}
}

// fillHeartbeat adds this entry's demand to a heartbeat.
func (q *quotas) fillHeartbeat(h *schema.Heartbeat) {
	q.mu.Lock()
	defer q.mu.Unlock()
	h.TeamRates, h.KindDemand = reportedDemand(q.teamDemand), reportedDemand(q.kindDemand)
}

// teamRates returns the task starts per second that each team requests from this entry.
func (q *quotas) teamRates() map[string]uint32 {
	q.mu.Lock()
	defer q.mu.Unlock()
	return reportedDemand(q.teamDemand)
}

// reportedDemand returns the demand to report, rounded to whole numbers, without zeros.
func reportedDemand(m map[string]*quota.Demand) map[string]uint32 {
	out := make(map[string]uint32, len(m))
	for name, d := range m {
		if n := uint32(d.Reported() + 0.5); n > 0 {
			out[name] = n
		}
	}
	return out
}

// endDemandPeriod ends a period of demand. It measures only teams with a quota and kinds with a limit. The
// demand of others would only make the heartbeats larger.
func (q *quotas) endDemandPeriod() {
	doc := q.state.config().Document()
	running := q.dispatcher.demandByKind()
	q.mu.Lock()
	offered := q.limiter.CollectDemand()
	maps.DeleteFunc(q.teamDemand, func(name string, _ *quota.Demand) bool { return doc.GetTeams()[name] == nil })
	maps.DeleteFunc(q.kindDemand, func(name string, _ *quota.Demand) bool { return doc.GetKinds()[name] == nil })
	for name, t := range doc.GetTeams() {
		observeDemand(q.teamDemand, name, t.GetStartsPerSecond() > 0, offered[name]/demandPeriod.Seconds())
	}
	for name, k := range doc.GetKinds() {
		observeDemand(q.kindDemand, name, k.GetMaxRunning() > 0, float64(running[name]))
	}
	q.mu.Unlock()
	q.updateShares()
}

func observeDemand(m map[string]*quota.Demand, name string, limited bool, demand float64) {
	if !limited {
		delete(m, name)
		return
	}
	if m[name] == nil {
		m[name] = &quota.Demand{}
	}
	m[name].Observe(demand)
}

// updateShares computes the shares again, after a change of the configuration, the live peers or the demand.
func (q *quotas) updateShares() {
	doc := q.state.config().Document()
	view, live := q.liveView()
	shares := make(map[string]float64)
	limits := make(map[string]int)
	q.mu.Lock()
	q.removeUnreachable(live)
	for name, t := range doc.GetTeams() {
		if limit := t.GetStartsPerSecond(); limit > 0 {
			demand := func(d reportedDemands) uint32 { return d.teams[name] }
			shares[name] = quota.RateShare(float64(limit), q.withDemand(view, ownDemand(q.teamDemand[name]), demand))
		}
	}
	for name, k := range doc.GetKinds() {
		if limit := k.GetMaxRunning(); limit > 0 {
			demand := func(d reportedDemands) uint32 { return d.kinds[name] }
			limits[name] = quota.TaskShare(int(limit), q.withDemand(view, ownDemand(q.kindDemand[name]), demand))
		}
	}
	q.limiter.SetShares(q.clock.Now(), shares)
	q.mu.Unlock()
	q.dispatcher.step(func(now time.Duration) { q.dispatcher.sched.SetKindLimits(now, limits) })
}

// ownDemand returns the demand by which this entry computes its own share.
func ownDemand(d *quota.Demand) float64 {
	if d == nil {
		return 0
	}
	return d.Delayed()
}

// liveView returns the live entries without demand, this one first.
func (q *quotas) liveView() (v quota.View, live map[netip.AddrPort]bool) {
	self := q.members.self.Address
	v = quota.View{Self: self, Domains: q.entryDomains(), Live: []quota.Entry{{Address: self, Domain: q.domain}}}
	live = make(map[netip.AddrPort]bool)
	q.members.withView(func(m *member.View) {
		for _, p := range m.Live("") {
			live[p.Address] = true
			if !p.Stopping {
				v.Live = append(v.Live, quota.Entry{Address: p.Address, Domain: p.Domain})
			}
		}
	})
	return v, live
}

// entryDomains returns the failure domains that should have entries: the domains of the entries in the VM
// list, without retired ones.
func (q *quotas) entryDomains() []string {
	index := q.state.config()
	var names []string
	for _, vm := range q.state.vmList().GetVms() {
		entry := vm.GetRole() == schema.VmRole_VM_ROLE_ENTRY && !vm.GetLeaving()
		if entry && !index.Retired(vm.GetDomain()) && !slices.Contains(names, vm.GetDomain()) {
			names = append(names, vm.GetDomain())
		}
	}
	slices.Sort(names)
	return names
}

// withDemand returns the view with the demand of one team or kind. The caller holds the lock.
func (q *quotas) withDemand(v quota.View, own float64, demand func(reportedDemands) uint32) quota.View {
	v.Live = slices.Clone(v.Live)
	for i, e := range v.Live {
		if e.Address == v.Self {
			v.Live[i].Demand = own
			continue
		}
		v.Live[i].Demand = float64(demand(q.peerDemand[e.Address]))
	}
	return v
}

// removeUnreachable removes the demand of peers that are no longer alive. The caller holds the lock.
func (q *quotas) removeUnreachable(live map[netip.AddrPort]bool) {
	for a := range q.peerDemand {
		if !live[a] {
			delete(q.peerDemand, a)
		}
	}
}
