// Reading of registry entries across cells: a relay reads them from a root relay of another cell,
// and every root relay serves them over HTTP.

package node

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"github.com/lavendercleat/lavendercleat/fleet"
	"github.com/lavendercleat/lavendercleat/internal/tcp"
	"github.com/lavendercleat/lavendercleat/member"
	"github.com/lavendercleat/lavendercleat/registry"
	"github.com/lavendercleat/lavendercleat/schema"
)

const (
	// feedPath is where a root relay serves the entries that it has read to relays of other cells.
	feedPath = "/entries"
	// feedTimeout bounds a call to a root relay in addition to the requested wait; feedDialTimeout
	// bounds the connection attempt.
	feedTimeout     = 200 * time.Millisecond
	feedDialTimeout = 150 * time.Millisecond
	// maxRootsAsked is the number of root relays that are asked before the store. Each one that
	// does not answer makes the entries known here, and in all of the cell, older.
	maxRootsAsked = 2
	// feedAckTimeout is how long a root relay may leave data unacknowledged before the connection
	// breaks.
	feedAckTimeout = time.Second
	// maxRootAge bounds the age of the store's last answer to a root relay, whose own read every
	// 0.7 s keeps the age below it. With an older answer the root relay refuses. The relay then
	// asks the next root relay or the store, before the daemons that depend on the relay read by
	// themselves.
	maxRootAge = time.Second
	// rootRetryDelay is how long a root relay that did not answer is not asked again.
	rootRetryDelay = 5 * time.Second
	maxFeedBody    = 8 << 20
)

// cellFeed is the feed of workers' and daemons' entries for this daemon. It reads the store or,
// when this daemon is a relay of a divided fleet but no root relay, a root relay.
type cellFeed struct {
	n      *Node
	client *http.Client
	// avoidUntil holds until when a root relay is not asked.
	avoidUntil map[netip.AddrPort]time.Time
}

func newCellFeed(n *Node) *cellFeed {
	d := tcp.Dialer(feedDialTimeout, feedAckTimeout)
	return &cellFeed{n: n, avoidUntil: make(map[netip.AddrPort]time.Time), client: &http.Client{
		Transport: &http.Transport{DialContext: d.DialContext, DisableCompression: true, MaxIdleConnsPerHost: 1},
	}}
}

// Read implements registry.Feed.
func (f *cellFeed) Read(ctx context.Context) ([]registry.Item, int64, error) {
	if g := f.askRoots(ctx, 0, followWait); g != nil {
		f.n.cachePacked(g)
		return itemsOf(g.GetEntries()), g.GetRevision(), nil
	}
	items, revision, err := f.n.platform.Fleet.Read(ctx)
	f.n.setReadSource("", 0)
	return items, revision, err
}

// Watch implements registry.Feed.
func (f *cellFeed) Watch(ctx context.Context, after int64, wait time.Duration) (registry.Changes, error) {
	if g := f.askRoots(ctx, after, wait); g != nil {
		if g.GetComplete() {
			return registry.Changes{}, registry.ErrCompacted
		}
		return registry.Changes{Items: itemsOf(g.GetEntries()), Revision: max(g.GetRevision(), after)}, nil
	}
	changes, err := f.n.platform.Fleet.Watch(ctx, after, wait)
	f.n.setReadSource("", 0)
	return changes, err
}

// askRoots asks a root relay for the changes after a revision. When that does not answer, it asks
// the next root relay for what that knows at once. It returns nil when this daemon is to read the
// store or neither answers.
func (f *cellFeed) askRoots(ctx context.Context, after int64, wait time.Duration) *schema.Registry {
	asked := 0
	for _, root := range f.n.rootFeeds() {
		if time.Now().Before(f.avoidUntil[root]) {
			continue
		}
		if asked++; asked > maxRootsAsked {
			return nil
		}
		g, err := f.fetch(ctx, root, after, wait)
		if err == nil {
			f.n.setReadSource(root.String(), ms(g.GetAgeMs()))
			return g
		}
		if ctx.Err() != nil {
			return nil
		}
		f.avoidUntil[root], wait = time.Now().Add(rootRetryDelay), 0
		f.n.log.WithFields(logrus.Fields{"event": "root_silent", "root": root, "error": err}).Warn()
	}
	return nil
}

func (f *cellFeed) fetch(ctx context.Context, root netip.AddrPort, after int64, wait time.Duration) (*schema.Registry, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+feedTimeout)
	defer cancel()
	q := url.Values{"after": {strconv.FormatInt(after, 10)}, "wait-ms": {strconv.FormatInt(wait.Milliseconds(), 10)}}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+root.String()+feedPath+"?"+q.Encode(), nil)
	if err != nil {
		return nil, errors.Wrap(err, "requesting entries from root relay")
	}
	resp, err := f.client.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "requesting entries from root relay")
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxFeedBody))
	if err != nil {
		return nil, errors.Wrap(err, "reading root relay's answer")
	}
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Newf("root relay answered with status %d; want %d", resp.StatusCode, http.StatusOK)
	}
	var g schema.Registry
	if err := proto.Unmarshal(body, &g); err != nil {
		return nil, errors.Wrap(err, "decoding root relay's answer")
	}
	if len(g.GetPacked()) > 0 {
		g.Entries, err = unpackEntries(g.GetPacked())
	}
	return &g, err
}

func itemsOf(entries []*schema.EntryRecord) []registry.Item {
	items := make([]registry.Item, 0, len(entries))
	for _, e := range entries {
		items = append(items, registry.Item{Kind: registry.Kind(e.GetKind()), ID: e.GetId(), Content: e.GetContent(), Revision: e.GetRevision(), Deleted: e.GetDeleted()})
	}
	return items
}

// setReadSource notes the source of the entries that are applied next: a root relay, or "" for the
// store.
func (n *Node) setReadSource(root string, age time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	s := &n.fleet.sync
	if s.root != root {
		n.log.WithFields(logrus.Fields{"event": "reads_from", "root": root, "before": s.root}).Info()
	}
	s.root, s.rootAge = root, age
}

// cachePacked caches a root relay's compressed list of all entries for the daemons of this cell
// that request it. A new compression takes a small VM a tenth of a second.
func (n *Node) cachePacked(g *schema.Registry) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.fleet.sync.packed, n.fleet.sync.packedRevision = g.GetPacked(), g.GetRevision()
}

// rootFeeds returns the addresses of the root relays that this daemon asks instead of the store,
// best first. It returns none when this daemon is a root relay itself, is no relay, or the fleet
// has one cell.
func (n *Node) rootFeeds() (feeds []netip.AddrPort) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f := &n.fleet
	if n.config.RelayPort == 0 || f.cells.Count() == 1 || !f.sync.isRelay {
		return nil
	}
	daemons := f.daemonInfos(n.self)
	roots := registry.SelectRootRelays(relaysOfCells(f.cells, daemons))
	self := registry.Relay{Process: n.self.Process, Domain: n.self.Domain, Weight: n.self.Weight}
	for _, r := range registry.RankRootRelays(self, roots) {
		if r.Address == n.self.Address {
			return nil
		}
		feeds = append(feeds, netip.AddrPortFrom(r.Address.Addr(), n.config.RelayPort))
	}
	return feeds
}

// relaysOfCells returns the relays of all cells, by the list of daemons.
func relaysOfCells(c fleet.Cells, daemons []fleet.DaemonInfo) (all []registry.Relay) {
	byCell := make([][]registry.Relay, c.Count())
	for _, d := range daemons {
		r := registry.Relay{Process: member.Process{Address: d.Address}, Domain: d.Domain, Weight: d.Weight}
		byCell[c.CellOf(d.Address)] = append(byCell[c.CellOf(d.Address)], r)
	}
	for _, cell := range byCell {
		selected := registry.SelectRelays(cell)
		for _, r := range cell {
			if slices.Contains(selected, r.Process) {
				all = append(all, r)
			}
		}
	}
	return all
}

// FeedHandler serves the entries that this daemon has read in the store to relays of other cells:
// GET /entries?after=REVISION&wait-ms=WAIT. The answer is a Registry with the changes after the
// revision, or with all entries from 0 on. It waits for the next read for as long as the request
// allows. Status 503: this daemon does not read the store, or has no recent answer from it.
func (n *Node) FeedHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+feedPath, func(w http.ResponseWriter, r *http.Request) {
		after, err1 := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
		wait, err2 := strconv.ParseInt(r.URL.Query().Get("wait-ms"), 10, 32)
		if err := errors.CombineErrors(err1, err2); err != nil || after < 0 || wait < 0 {
			http.Error(w, "after and wait-ms must be integers of 0 or more; got "+r.URL.RawQuery, http.StatusBadRequest)
			return
		}
		n.awaitRead(r.Context(), after, min(ms(wait), followWait))
		g := n.entriesAfter(after)
		if g == nil {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		b, err := proto.Marshal(g)
		if err != nil {
			n.log.WithFields(logrus.Fields{"event": "entries_not_packed", "error": err}).Error()
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		w.Header().Set("Content-Length", strconv.Itoa(len(b)))
		if _, err := w.Write(b); err != nil && !errors.Is(err, net.ErrClosed) {
			n.log.WithFields(logrus.Fields{"event": "feed_broken", "reader": r.RemoteAddr, "error": err}).Debug()
		}
	})
	return mux
}

// awaitRead waits for a read that shows more than a revision, unless the store has not answered
// this daemon recently.
func (n *Node) awaitRead(ctx context.Context, after int64, wait time.Duration) {
	n.mu.Lock()
	s := &n.fleet.sync
	if s.knownRevision > after || s.knownRevision > 0 && n.clock.now()-s.storeAnsweredAt > maxRootAge {
		n.mu.Unlock()
		return
	}
	if s.nextRead == nil {
		s.nextRead = make(chan struct{})
	}
	nextRead := s.nextRead
	n.mu.Unlock()
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-nextRead:
	case <-ctx.Done():
	case <-n.serving.Done():
	case <-t.C:
	}
}

// entriesAfter returns the changes after a revision, or all entries; nil when this daemon has not
// read the store recently.
func (n *Node) entriesAfter(after int64) *schema.Registry {
	n.mu.Lock()
	defer n.mu.Unlock()
	s, now := &n.fleet.sync, n.clock.now()
	age := now - s.storeAnsweredAt
	if s.knownRevision == 0 || s.root != "" || s.storeAnsweredAt == 0 || age > maxRootAge || n.stopping.Load() {
		return nil
	}
	g := &schema.Registry{Revision: s.knownRevision, Since: after, AgeMs: age.Milliseconds()}
	if after == 0 || after < n.fleet.forgottenRevision {
		g.Since, g.Complete, g.Packed = 0, true, n.allPacked()
		if g.Packed == nil {
			return nil
		}
		return g
	}
	if after < s.knownRevision {
		g.Entries = n.fleet.changedSince(after)
	}
	return g
}
