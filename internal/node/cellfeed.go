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
	// feedPath is where a daemon tells readers of other cells what it has read of the store.
	feedPath = "/entries"
	// feedTimeout bounds a call to a root besides its wait, and feedDialTimeout the connection.
	feedTimeout     = 200 * time.Millisecond
	feedDialTimeout = 150 * time.Millisecond
	// rootsAsked is how many roots are asked before the store is: each that doesn't answer
	// makes what is known here older, and with it what all of the cell rely on.
	maxRootsAsked = 2
	// feedSilence is the time after which data that a root doesn't acknowledge breaks the
	// connection.
	feedAckTimeout = time.Second
	// rootPatience is how old a root's last word from the store may be. A read of its own each
	// 0.7 s keeps it younger; an older one is refused, and its reader asks the next root or the
	// store, before those that rely on the reader read by themselves.
	maxRootAge = time.Second
	// avoidRoot is how long a root that didn't answer is not asked again.
	rootRetryDelay   = 5 * time.Second
	maxFeedBody = 8 << 20
)

// cellFeed is the feed of workers' and daemons' entries as this daemon reads it: from the store,
// or, where it reads for a cell of a divided fleet and is no root, from one that is.
type cellFeed struct {
	n      *Node
	client *http.Client
	// avoided tells until when a root is not asked.
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

// ask asks a root what has changed after a revision, and if it doesn't answer the next one, for
// what that knows at once; nil when this daemon is to read the store, or neither answers.
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
		return nil, errors.Wrap(err, "asking a root")
	}
	resp, err := f.client.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "asking a root")
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxFeedBody))
	if err != nil {
		return nil, errors.Wrap(err, "reading a root's answer")
	}
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Newf("a root answered %d", resp.StatusCode)
	}
	var g schema.Registry
	if err := proto.Unmarshal(body, &g); err != nil {
		return nil, errors.Wrap(err, "decoding a root's answer")
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

// readFrom notes who has told what is taken next.
func (n *Node) setReadSource(root string, age time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	r := &n.fleet.sync
	if r.root != root {
		n.log.WithFields(logrus.Fields{"event": "reads_from", "root": root, "before": r.root}).Info()
	}
	r.root, r.rootAge = root, age
}

// keepPacked keeps a root's list of all entries for those of this daemon's cell that ask for it:
// to compress it anew takes a small machine a tenth of a second.
func (n *Node) cachePacked(g *schema.Registry) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.fleet.sync.packed, n.fleet.sync.packedRevision = g.GetPacked(), g.GetRevision()
}

// roots are the feeds of the daemons that this one asks instead of the store, best first; none
// where it is a root itself, reads for nobody, or the fleet is one cell.
func (n *Node) rootFeeds() (feeds []netip.AddrPort) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f := &n.fleet
	if n.config.FeedPort == 0 || f.cells.Count() == 1 || !f.sync.isRelay {
		return nil
	}
	places := f.daemonInfos(n.self)
	roots := registry.SelectRootRelays(relaysOfCells(f.cells, places))
	self := registry.Relay{Process: n.self.Process, Domain: n.self.Domain, Weight: n.self.Weight}
	for _, r := range registry.RankRootRelays(self, roots) {
		if r.Address == n.self.Address {
			return nil
		}
		feeds = append(feeds, netip.AddrPortFrom(r.Address.Addr(), n.config.FeedPort))
	}
	return feeds
}

// cellReaders are the daemons that read for their cells, by the list of daemons.
func relaysOfCells(c fleet.Cells, places []fleet.DaemonInfo) (all []registry.Relay) {
	byCell := make([][]registry.Relay, c.Count())
	for _, p := range places {
		r := registry.Relay{Process: member.Process{Address: p.Address}, Domain: p.Domain, Weight: p.Weight}
		byCell[c.CellOf(p.Address)] = append(byCell[c.CellOf(p.Address)], r)
	}
	for _, cell := range byCell {
		chosen := registry.SelectRelays(cell)
		for _, r := range cell {
			if slices.Contains(chosen, r.Process) {
				all = append(all, r)
			}
		}
	}
	return all
}

// FeedHandler serves what this daemon has read of the store to readers of other cells, as
// changes after a revision or, from 0 on, all: GET /entries?after=REVISION&wait-ms=WAIT. The
// answer is a Registry; it waits for the next read, as long as is asked. Status 503 tells that
// this daemon doesn't read the store, or hasn't heard from it lately.
func (n *Node) FeedHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+feedPath, func(w http.ResponseWriter, r *http.Request) {
		after, err1 := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
		wait, err2 := strconv.ParseInt(r.URL.Query().Get("wait-ms"), 10, 32)
		if err := errors.CombineErrors(err1, err2); err != nil || after < 0 || wait < 0 {
			http.Error(w, "accepted are numbers of 0 and more for after and wait-ms", http.StatusBadRequest)
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

// awaitRead waits for a read that shows more than is known up to a revision, unless this daemon
// hasn't heard from the store lately.
func (n *Node) awaitRead(ctx context.Context, after int64, wait time.Duration) {
	n.mu.Lock()
	r := &n.fleet.sync
	if r.knownRevision > after || r.knownRevision > 0 && n.clock.now()-r.storeAnsweredAt > maxRootAge {
		n.mu.Unlock()
		return
	}
	if r.nextRead == nil {
		r.nextRead = make(chan struct{})
	}
	read := r.nextRead
	n.mu.Unlock()
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-read:
	case <-ctx.Done():
	case <-n.serving.Done():
	case <-t.C:
	}
}

// entriesAfter returns what has changed after a revision, or all; nil where this daemon has not
// read the store lately.
func (n *Node) entriesAfter(after int64) *schema.Registry {
	n.mu.Lock()
	defer n.mu.Unlock()
	r, now := &n.fleet.sync, n.clock.now()
	age := now - r.storeAnsweredAt
	if r.knownRevision == 0 || r.root != "" || r.storeAnsweredAt == 0 || age > maxRootAge || n.stopping.Load() {
		return nil
	}
	g := &schema.Registry{Revision: r.knownRevision, Since: after, AgeMs: age.Milliseconds()}
	if after == 0 || after < n.fleet.forgottenRevision {
		g.Since, g.Complete, g.Packed = 0, true, n.allPacked()
		if g.Packed == nil {
			return nil
		}
		return g
	}
	if after < r.knownRevision {
		g.Entries = n.fleet.changedSince(after)
	}
	return g
}
