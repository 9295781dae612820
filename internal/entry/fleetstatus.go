// The status of all entries of the fleet.

package entry

import (
	"context"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/lavendercleat/lavendercleat/config"
	"github.com/lavendercleat/lavendercleat/internal/peer"
	"github.com/lavendercleat/lavendercleat/member"
	"github.com/lavendercleat/lavendercleat/schema"
)

// statusTimeout bounds the wait for the status of the other entries.
const statusTimeout = 2 * time.Second

// statusCollector queries all entries for their status.
type statusCollector struct {
	members *membership
	client  *peer.Client
	metrics *Metrics
	syncer  *syncer
	// self returns the status of this entry.
	self func() *schema.StatusReply
}

// collect returns the status of every entry that answers in time, including this one, and the addresses of
// the entries that did not answer.
func (f *statusCollector) collect(ctx context.Context) (replies []*schema.StatusReply, unreachable []string) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	replies = append(replies, f.self())
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, a := range f.members.candidates() {
		wg.Go(func() {
			reply := f.queryPeer(ctx, a)
			mu.Lock()
			defer mu.Unlock()
			if reply == nil {
				unreachable = append(unreachable, a.String())
				return
			}
			replies = append(replies, reply)
		})
	}
	wg.Wait()
	slices.SortFunc(replies, func(a, b *schema.StatusReply) int {
		return strings.Compare(a.GetDomain()+a.GetAddress(), b.GetDomain()+b.GetAddress())
	})
	slices.Sort(unreachable)
	return replies, unreachable
}

// queryPeer returns a peer's status, or nil if the peer does not answer.
func (f *statusCollector) queryPeer(ctx context.Context, a netip.AddrPort) *schema.StatusReply {
	f.metrics.countMessage("status")
	reply, failure := f.client.Call(ctx, a, &schema.Request{Body: &schema.Request_Status{Status: &schema.StatusRequest{}}})
	if failure != nil {
		return nil
	}
	return reply.GetStatus()
}

// fleetStatus returns the status of all entries.
func (f *statusCollector) fleetStatus(ctx context.Context) schema.FleetStatus {
	replies, unreachable := f.collect(ctx)
	out := schema.FleetStatus{PlatformRevision: f.syncer.platformRevision(), Unreachable: unreachable}
	for _, r := range replies {
		out.Revision = max(out.Revision, r.GetConfigRevision())
		out.Entries = append(out.Entries, schema.EntryStatus{
			Address: r.GetAddress(), Domain: r.GetDomain(),
			ConfigRevision: r.GetConfigRevision(), VmListVersion: r.GetVmListVersion(),
			RunningTasks: int64(r.GetRunningTasks()), WaitingTasks: int64(r.GetWaitingTasks()), Slots: int64(r.GetSlots()),
			Ready: r.GetReady(), NotReadyBecause: r.GetNotReadyBecause(), Alarms: r.GetAlarms(),
		})
	}
	return out
}

// fleetLoad adds up what runs at all entries.
func (f *statusCollector) fleetLoad(ctx context.Context) config.FleetLoad {
	replies, unreachable := f.collect(ctx)
	l := config.FleetLoad{RunningByWorker: make(map[string]int), TeamRates: make(map[string]int), Unreachable: unreachable}
	for _, r := range replies {
		l.Running += int(r.GetRunningTasks())
		l.Waiting += int(r.GetWaitingTasks())
		for _, w := range r.GetRunningOn() {
			l.RunningByWorker[w.GetWorker()] += int(w.GetSlots())
		}
		for team, rate := range r.GetTeamRates() {
			l.TeamRates[team] += int(rate)
		}
	}
	return l
}

// candidates returns the addresses of all known entries except this one.
func (m *membership) candidates() []netip.AddrPort {
	var all []netip.AddrPort
	m.withView(func(v *member.View) { all = v.Candidates() })
	return all
}

// newestConfigRevision returns the highest revision that a live peer has in force.
func (m *membership) newestConfigRevision() uint64 {
	newest := uint64(0)
	m.withView(func(v *member.View) {
		for _, p := range v.Live("") {
			newest = max(newest, p.ConfigRevision)
		}
	})
	return newest
}
