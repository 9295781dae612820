package registry

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lavendercleat/lavendercleat/member"
)

const (
	// readersAtOnce is how many daemons read the entries for all that are linked: if one is
	// lost, or loses the store, the others go on with what the second tells.
	relaysPerCell = 2
	// relayFrom is the number of linked daemons from which on the others stop to read. In
	// smaller fleets the two would be a good part of all.
	minDaemonsForRelays = 12
	// askPatience is how long a daemon waits for what it has asked of a reader before it reads
	// by itself, and seekPatience for a reader to be in sight at all.
	relayReplyTimeout  = 700 * time.Millisecond
	relaySearchTimeout = 300 * time.Millisecond
	// startPatience is how long a daemon that has just started waits for the readers of its
	// cell. They read all entries within half a second, where not all daemons do: 2,500
	// entries for each of 236 daemons keep the store's link of 1 Gbit/s busy for two seconds,
	// in which nobody knows a worker.
	startWaitLimit = time.Second
	// renewal is how often workers renew their entries. What happened in a longer time takes
	// longer to read than all entries do.
	entryRenewalInterval = 1500 * time.Millisecond
	// chainPatience is how old a reader's last word from the store may be before a daemon
	// reads by itself. A watch and the heartbeat that tells of it take 0.9 s when nothing
	// changes; with a read of its own, the daemon learns of a draining worker within 2 s.
	maxRelayAge = 1300 * time.Millisecond
)

// Relay is a daemon that may read the store's entries for others.
type Relay struct {
	member.Process
	Domain string
	// Weight is what it can carry, compared with others.
	Weight float64
}

// SelectRelays returns the daemons that are to read for all, a function of the inputs alone:
// those that can carry most, of different failure domains if there are, as a domain may be
// cut off as a whole. Each worker renews its entry every other second, so reading by all
// costs the most where daemons and workers are many: with 1,100 workers an answer of 200 KB
// every 0.6 s for each daemon, behind which, on a link of 25 Mbit/s, starts and ends of
// tasks wait for 60 ms.
func SelectRelays(daemons []Relay) []member.Process {
	sorted := slices.Clone(daemons)
	slices.SortFunc(sorted, func(a, b Relay) int {
		return cmp.Or(cmp.Compare(b.Weight, a.Weight), cmp.Compare(addressHash(a), addressHash(b)), a.Address.Compare(b.Address))
	})
	var selected []Relay
	for _, distinct := range []bool{true, false} {
		for _, d := range sorted {
			same := func(c Relay) bool { return c.Process == d.Process || distinct && c.Domain == d.Domain }
			if len(selected) < relaysPerCell && !slices.ContainsFunc(selected, same) {
				selected = append(selected, d)
			}
		}
	}
	list := make([]member.Process, len(selected))
	for i, c := range selected {
		list[i] = c.Process
	}
	return list
}

// place spreads the reading over equal daemons; it outlives a restart.
func addressHash(r Relay) uint64 { return xxhash.Sum64String(r.Address.String()) }

// UsesRelays reports whether some daemons read for all: in a fleet of so many linked ones, and in
// each cell of a divided one, however few daemons the hash has thrown into it. Cells of a fleet
// of 236 have 8 to 21 daemons; were all of the small ones to read, there would be twice as many
// readers.
func UsesRelays(linked int, divided bool) bool { return divided || linked >= minDaemonsForRelays }

// RelayState is what a reader tells of its reading, beside the changes that it sends.
type RelayState struct {
	// Revision up to which it has sent all changes; 0: it doesn't read for others.
	Revision int64
	// Term for which it reads, which begins anew when it has ceased to.
	Term uint32
	// Age of the store's last answer to it.
	Age time.Duration
}

// RelayStream is what a daemon learns through one reader, whose messages come once and in order
// while it is linked. It may be relied on from when the reader has said that it sends what
// changes, and the daemon has once known as much as the reader had told. Heartbeats alone
// don't show that: the two ends of a link come up one after the other, and what changes in
// between is sent to nobody, while heartbeats tell it as sent. A daemon that missed a
// leaving worker so would give it tasks until it is gone. The zero value begins a chain.
type RelayStream struct {
	// opened is the term in which the reader has said that it sends what changes; 0: none.
	openedTerm    uint32
	complete      bool
	term          uint32
	storeAnswerAt time.Duration
}

// HandleOpened notes the reader's word that it sends what changes from here on, in a term.
func (c *RelayStream) HandleOpened(term uint32) { c.openedTerm = term }

// HandleState takes what the reader tells and returns the revision up to which the daemon, which
// knew all up to the given one, knows all now.
func (c *RelayStream) HandleState(now time.Duration, known int64, state RelayState) int64 {
	if state.Revision == 0 || state.Term != c.term {
		*c = RelayStream{openedTerm: c.openedTerm, term: state.Term}
	}
	if state.Revision == 0 || c.openedTerm != state.Term || !c.complete && known < state.Revision {
		return known
	}
	c.complete, c.storeAnswerAt = true, now-state.Age
	return max(known, state.Revision)
}

// HandleCopy notes that the reader has sent all entries: what changes later follows.
func (c *RelayStream) HandleCopy(term uint32) {
	*c = RelayStream{openedTerm: term, complete: true, term: term, storeAnswerAt: c.storeAnswerAt}
}

// UpToDate reports whether the daemon can rely on the reader now.
func (c *RelayStream) UpToDate(now time.Duration) bool {
	return c.complete && c.storeAnswerAt > 0 && now-c.storeAnswerAt <= maxRelayAge
}

// SyncAction is how a daemon learns next of what has changed.
type SyncAction uint8

// Steps.
const (
	// UseRelay: a reader tells of changes.
	UseRelay SyncAction = iota + 1
	// WaitForRelay: a reader is asked, or may come into sight.
	WaitForRelay
	// WatchStore: the daemon reads what has happened since it last knew all.
	WatchStore
	// ReadAll: it reads all entries.
	ReadAll
)

// SyncStatus is what a daemon knows of itself and of readers.
type SyncStatus struct {
	// IsRelay: it reads for others.
	IsRelay bool
	// UsesRelays: the fleet is one in which some read for all.
	UsesRelays bool
	// StoreUnreachable: the store doesn't answer this daemon.
	StoreUnreachable bool
	// Starting: it knows nothing yet, and has read that others of its cell are to read for all.
	Starting bool
	// RelayUpToDate: there is a reader to rely on.
	RelayUpToDate bool
	// RelayAhead: a reader is in sight that knows more.
	RelayAhead bool
	// UpToDateAt is when the daemon last knew all.
	UpToDateAt time.Duration
}

// SyncPlanner decides how a daemon learns of changes. When a failure domain that was cut off is
// linked again, all of its daemons lack seconds of history at once. Were each to watch the
// store from where it was, the answer, of renewals of all workers for the most part, would
// fill its link for as long as a second, while callers wait for what runs; a reader's answer
// is a few entries. The zero value begins it.
type SyncPlanner struct{ waitingSince time.Duration }

// NextAction returns the next step.
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
