package registry

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lavendercleat/lavendercleat/member"
)

func newRelay(n int, domain string, weight float64) Relay {
	a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}), 80)
	return Relay{Process: member.Process{Address: a, Incarnation: uint64(n)}, Domain: domain, Weight: weight}
}

// A failure domain may be cut off as a whole, so the two relays must be of different domains. Among
// these the daemons with the highest weights must be selected.
func TestRelaysAreOfDifferentDomains(t *testing.T) {
	all := []Relay{newRelay(1, "a", 0.2), newRelay(2, "a", 0.8), newRelay(3, "a", 0.8), newRelay(4, "b", 0.8), newRelay(5, "c", 0.2)}
	got := SelectRelays(all)
	assert.Equal(t, len(got), 2)
	assert.Assert(t, got[0] == all[3].Process || got[1] == all[3].Process)
	assert.Assert(t, got[0] != all[4].Process && got[1] != all[4].Process)
	assert.DeepEqual(t, fmt.Sprint(SelectRelays([]Relay{all[4], all[2], all[0], all[3], all[1]})), fmt.Sprint(got))
	assert.Equal(t, len(SelectRelays(all[:2])), 2, "of the same domain if there is no other")
	assert.Equal(t, len(SelectRelays(nil)), 0)
}

// testRelay sends each change once, and reports the revision up to which it has sent all changes.
type testRelay struct {
	revision int64
	state    RelayState
	// linkUp: the relay's end of the link is up, so it sends changes. It always sends heartbeats.
	linkUp bool
	// queue holds the messages in flight to the follower: the revision of a change, a RelayState, or the
	// term in which the relay sends all changes from there on.
	queue []any
}

// testFollower records each change that it gets, for a comparison with the revision that it computes.
type testFollower struct {
	stream RelayStream
	known  int64
	has    map[int64]bool
}

// A daemon gets changes from a relay and reads the store itself from time to time. Links to the relay
// break and lose the messages in flight. The relay stops reading for others, learns of changes that it
// does not send, and becomes a relay again. The daemon must never claim to know a change that it missed:
// a draining worker that it missed would get new tasks indefinitely.
func TestRelayStreamHasNoGaps(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 3))
		var store int64 = 1
		r := testRelay{revision: 1, state: RelayState{Term: 1}}
		f := testFollower{known: 1, has: map[int64]bool{1: true}}
		active := true
		for step := range 400 {
			now := time.Duration(step) * 50 * time.Millisecond
			switch rng.IntN(8) {
			case 0, 1:
				store++
			case 2, 3: // the relay reads the store
				for r.revision < store {
					r.revision++
					if active && r.linkUp {
						r.queue = append(r.queue, r.revision)
					}
				}
			case 4: // the relay sends a heartbeat
				r.state.Revision = 0
				if active {
					r.state.Revision = r.revision
				}
				r.queue = append(r.queue, r.state)
			case 5: // a message arrives
				if len(r.queue) > 0 {
					switch m := r.queue[0].(type) {
					case int64:
						f.has[m] = true
					case uint32:
						f.stream.HandleOpened(m)
					case RelayState:
						f.known = f.stream.HandleState(now, f.known, m)
					}
					r.queue = r.queue[1:]
				}
			case 6:
				switch rng.IntN(20) {
				case 0: // the link breaks
					r.queue, r.linkUp, f.stream = nil, false, RelayStream{}
				case 1: // the daemon stops being a relay, or becomes one again
					if active = !active; active {
						r.state.Term++
						if r.linkUp {
							r.queue = append(r.queue, r.state.Term)
						}
					}
				case 2, 3: // the relay's end of the link comes up
					if !r.linkUp && active {
						r.queue = append(r.queue, r.state.Term)
					}
					r.linkUp = true
				}
			case 7: // the daemon reads the store itself
				if rng.IntN(10) == 0 {
					for f.known < store {
						f.known++
						f.has[f.known] = true
					}
				}
			}
			for n := range f.known {
				assert.Assert(t, f.has[n+1], "seed %d, step %d: change %d of %d is not known", seed, step, n+1, f.known)
			}
		}
	}
}

// The relay's last answer from the store becomes too old. The daemon must stop relying on the relay.
func TestRelayStreamBecomesStale(t *testing.T) {
	var stream RelayStream
	now := time.Minute
	assert.Equal(t, stream.HandleState(now, 8, RelayState{Revision: 9, Term: 1}), int64(8))
	assert.Assert(t, !stream.UpToDate(now), "the relay has not reported that it sends changes")
	stream.HandleOpened(1)
	assert.Equal(t, stream.HandleState(now, 5, RelayState{Revision: 7, Term: 1}), int64(5))
	assert.Assert(t, !stream.UpToDate(now), "the daemon lacks changes from before the link was up")
	assert.Equal(t, stream.HandleState(now, 8, RelayState{Revision: 7, Term: 1}), int64(8))
	assert.Assert(t, stream.UpToDate(now))
	assert.Equal(t, stream.HandleState(now, 8, RelayState{Revision: 12, Term: 1, Age: 200 * time.Millisecond}), int64(12))
	assert.Assert(t, stream.UpToDate(now+maxRelayAge-200*time.Millisecond))
	assert.Assert(t, !stream.UpToDate(now+maxRelayAge))
	stream.HandleOpened(2)
	stream.HandleState(now, 12, RelayState{Revision: 13, Term: 2})
	assert.Assert(t, !stream.UpToDate(now), "the relay has not sent the changes between its terms")
	stream.HandleCopy(2)
	assert.Equal(t, stream.HandleState(now, 14, RelayState{Revision: 15, Term: 2}), int64(15))
}

// A partition has ended, and a daemon lacks seconds of history. It must ask a relay first. Without an
// answer it must read all entries itself; without a reachable relay it must do so sooner.
func TestSyncPlannerAfterPartition(t *testing.T) {
	var planner SyncPlanner
	status := SyncStatus{UsesRelays: true, RelayAhead: true}
	now := 10 * time.Second
	assert.Equal(t, planner.NextAction(now, status), WaitForRelay)
	assert.Equal(t, planner.NextAction(now+relayReplyTimeout-1, status), WaitForRelay)
	assert.Equal(t, planner.NextAction(now+relayReplyTimeout, status), ReadAll)
	now += time.Second
	status.RelayAhead, status.UpToDateAt = false, now
	assert.Equal(t, planner.NextAction(now, status), WaitForRelay)
	assert.Equal(t, planner.NextAction(now+relaySearchTimeout, status), WatchStore)
	status.RelayUpToDate = true
	assert.Equal(t, planner.NextAction(now, status), UseRelay)
	status.IsRelay = true
	assert.Equal(t, planner.NextAction(now, status), WatchStore, "other daemons rely on this relay")
	assert.Equal(t, planner.NextAction(now, SyncStatus{UpToDateAt: now}), WatchStore, "in a small fleet each daemon reads the store")
}
