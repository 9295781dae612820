// Relays: the few daemons that read the store's entries for the others, and how the others follow them.

package registry

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lavendercleat/lavendercleat/member"
)

const (
	// relaysPerCell is the number of daemons that read the entries for all daemons linked with them. If
	// one relay fails or cannot reach the store, the other daemons rely on the second one.
	relaysPerCell = 2
	// minDaemonsForRelays is the number of linked daemons from which on the others stop to read the
	// store. In smaller fleets the two relays would be a large part of all daemons.
	minDaemonsForRelays = 12
	// relayReplyTimeout is how long a daemon waits for a relay's reply before it reads the store itself.
	// relaySearchTimeout is how long it waits for a relay to become reachable.
	relayReplyTimeout  = 700 * time.Millisecond
	relaySearchTimeout = 300 * time.Millisecond
	// startWaitLimit is how long a daemon that has just started waits for the relays of its cell. The
	// relays read all entries within half a second, because not all daemons read. 2,500 entries for each
	// of 236 daemons occupy the store's link of 1 Gbit/s for two seconds, in which no daemon knows a
	// worker.
	startWaitLimit = time.Second
	// entryRenewalInterval is how often workers renew their entries. Reading the changes of a longer time
	// takes longer than reading all entries.
	entryRenewalInterval = 1500 * time.Millisecond
	// maxRelayAge is the largest age of a relay's last answer from the store with which a daemon relies
	// on the relay. A watch and the heartbeat that reports it take 0.9 s when nothing changes. With a
	// read of its own after maxRelayAge, the daemon learns of a draining worker within 2 s.
	maxRelayAge = 1300 * time.Millisecond
)

// Relay is a daemon that may read the store's entries for others.
type Relay struct {
	member.Process
	Domain string
	// Weight is the daemon's capacity, relative to others.
	Weight float64
}

// SelectRelays returns the daemons that read the store for all. The result depends on the inputs alone.
// It selects the daemons with the highest weights, of different failure domains if possible, because a
// domain may be cut off as a whole. Each worker renews its entry every other second, so reads by all
// daemons cost most where there are many daemons and workers: with 1,100 workers, each daemon gets an
// answer of 200 KB every 0.6 s. On a link of 25 Mbit/s, starts and completions of tasks wait behind it
// for 60 ms.
func SelectRelays(daemons []Relay) []member.Process {
	sorted := slices.Clone(daemons)
	slices.SortFunc(sorted, func(a, b Relay) int {
		return cmp.Or(cmp.Compare(b.Weight, a.Weight), cmp.Compare(addressHash(a), addressHash(b)), a.Address.Compare(b.Address))
	})
	var selected []Relay
	for _, distinct := range []bool{true, false} {
		for _, d := range sorted {
			same := func(s Relay) bool { return s.Process == d.Process || distinct && s.Domain == d.Domain }
			if len(selected) < relaysPerCell && !slices.ContainsFunc(selected, same) {
				selected = append(selected, d)
			}
		}
	}
	list := make([]member.Process, len(selected))
	for i, s := range selected {
		list[i] = s.Process
	}
	return list
}

// addressHash distributes the relay role over daemons of equal weight. It does not change when a daemon
// restarts.
func addressHash(r Relay) uint64 { return xxhash.Sum64String(r.Address.String()) }

// UsesRelays reports whether some daemons read the store for all. They do with at least
// minDaemonsForRelays linked daemons, and in each cell of a divided fleet, however few daemons the hash
// assigns to the cell. Cells of a fleet of 236 have 8 to 21 daemons. If all daemons of the small cells
// read the store, there would be twice as many readers.
func UsesRelays(linked int, divided bool) bool { return divided || linked >= minDaemonsForRelays }

// RelayState is what a relay reports in its heartbeats. It sends the changes separately.
type RelayState struct {
	// Revision is the revision up to which the relay has sent all changes. It is 0 if the daemon is not a
	// relay.
	Revision int64
	// Term identifies one uninterrupted time as a relay. It changes when the daemon stops being a relay
	// and becomes one again.
	Term uint32
	// Age is the age of the store's last answer to the relay.
	Age time.Duration
}

// RelayStream tracks whether a daemon gets all changes through one relay. While the two are linked, each
// message of the relay arrives once and in order. The daemon may rely on the relay after two events: the
// relay has reported that it sends changes, and the daemon has once known all changes up to the revision
// that the relay reported. Heartbeats alone do not suffice. The two ends of a link come up one after the
// other, and the relay sends a change in between to no daemon, while its heartbeats report the change as
// sent. A daemon that missed a leaving worker in this way would assign tasks to the worker until the
// worker is gone. The zero value is a stream that has not been opened.
type RelayStream struct {
	// openedTerm is the term in which the relay has reported that it sends changes; 0 if it has not.
	openedTerm    uint32
	complete      bool
	term          uint32
	storeAnswerAt time.Duration
}

// HandleOpened handles the relay's report that it sends all changes from here on, in a term.
func (s *RelayStream) HandleOpened(term uint32) { s.openedTerm = term }

// HandleState handles a relay's state. The daemon knew all changes up to the revision known. HandleState
// returns the revision up to which the daemon knows all changes now.
func (s *RelayStream) HandleState(now time.Duration, known int64, state RelayState) int64 {
	if state.Revision == 0 || state.Term != s.term {
		*s = RelayStream{openedTerm: s.openedTerm, term: state.Term}
	}
	if state.Revision == 0 || s.openedTerm != state.Term || !s.complete && known < state.Revision {
		return known
	}
	s.complete, s.storeAnswerAt = true, now-state.Age
	return max(known, state.Revision)
}

// HandleCopy records that the relay has sent all entries. The relay sends later changes after them.
func (s *RelayStream) HandleCopy(term uint32) {
	*s = RelayStream{openedTerm: term, complete: true, term: term, storeAnswerAt: s.storeAnswerAt}
}

// UpToDate reports whether the daemon can rely on the relay now.
func (s *RelayStream) UpToDate(now time.Duration) bool {
	return s.complete && s.storeAnswerAt > 0 && now-s.storeAnswerAt <= maxRelayAge
}

// SyncAction is how a daemon learns of the next changes.
type SyncAction uint8

// Actions of a daemon that needs current entries.
const (
	// UseRelay: a relay sends the changes.
	UseRelay SyncAction = iota + 1
	// WaitForRelay: a relay was asked, or may become reachable.
	WaitForRelay
	// WatchStore: the daemon reads the changes since it was last up to date.
	WatchStore
	// ReadAll: the daemon reads all entries.
	ReadAll
)

// SyncStatus is the input of SyncPlanner: the state of a daemon and of its relays.
type SyncStatus struct {
	// IsRelay: the daemon reads the store for others.
	IsRelay bool
	// UsesRelays: some daemons of the fleet read the store for all.
	UsesRelays bool
	// StoreUnreachable: the store does not answer this daemon.
	StoreUnreachable bool
	// Starting: the daemon has no entries yet, and has read that others of its cell will be the relays.
	Starting bool
	// RelayUpToDate: there is a relay on which the daemon can rely.
	RelayUpToDate bool
	// RelayAhead: a reachable relay has later changes.
	RelayAhead bool
	// UpToDateAt is when the daemon last knew all changes.
	UpToDateAt time.Duration
}

// SyncPlanner decides how a daemon learns of changes. When a failure domain that was cut off is linked
// again, all of its daemons lack seconds of history at once. If each of them watched the store from its
// last revision, the answer, mostly renewals of all workers, would fill the daemon's link for up to a
// second while callers wait for their runs. A relay's answer is a few entries. The zero value is ready
// for use.
type SyncPlanner struct{ waitingSince time.Duration }

// NextAction returns what the daemon does next.
func (p *SyncPlanner) NextAction(now time.Duration, status SyncStatus) SyncAction {
	if status.RelayUpToDate && !status.IsRelay && (status.UsesRelays || status.StoreUnreachable) {
		p.waitingSince = 0
		return UseRelay
	}
	if p.waitingSince == 0 {
		p.waitingSince = now
	}
	limit := relaySearchTimeout
	if status.RelayAhead {
		limit = relayReplyTimeout
	}
	if status.UsesRelays && !status.IsRelay && now-p.waitingSince < limit {
		return WaitForRelay
	}
	if status.Starting && !status.IsRelay && !status.StoreUnreachable && now-p.waitingSince < startWaitLimit {
		return WaitForRelay
	}
	p.waitingSince = 0
	if now-status.UpToDateAt > entryRenewalInterval {
		return ReadAll
	}
	return WatchStore
}
