//go:build review

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// item is an entry of the store, or a deletion in its history.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  int64  `json:"revision"`
	Created   int64  `json:"created,omitempty"`
	Lease     int64  `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// store is a stand-in of the platform's metadata store. Each daemon reaches it at an address of its own
// (storeFront), so that a daemon can be given its own addresses of the workers.
type store struct {
	// delay is the time of each answer.
	delay atomic.Int64
	// absent: workers can't write their entries.
	absent atomic.Bool

	mu        sync.Mutex
	items     map[string]item
	history   []item
	revision  int64
	leases    map[int64]time.Time
	ttls      map[int64]time.Duration
	lastLease int64
	changed   chan struct{}
}

func newStore() *store {
	s := &store{
		items: make(map[string]item), revision: 100,
		leases: make(map[int64]time.Time), ttls: make(map[int64]time.Duration), changed: make(chan struct{}),
	}
	s.setDelay(usualDelay)
	return s
}

// usualDelay is the time of the store's answers in the site files.
const usualDelay = 4 * time.Millisecond

func (s *store) setDelay(d time.Duration) { s.delay.Store(int64(d)) }

// put writes an entry as the operator or a worker does.
func (s *store) put(key string, value any) {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.apply(item{Key: key, Value: b})
}

// apply makes one change at the present revision. The caller holds the lock.
func (s *store) apply(i item) {
	i.Revision = s.revision
	if i.Tombstone {
		if _, ok := s.items[i.Key]; !ok {
			return
		}
		delete(s.items, i.Key)
	} else {
		i.Created = s.revision
		if old, ok := s.items[i.Key]; ok {
			i.Created = old.Created
		}
		s.items[i.Key] = i
	}
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire removes the entries of ended leases. The caller holds the lock.
func (s *store) expire() {
	for id, at := range s.leases {
		if time.Now().After(at) {
			s.endLease(id)
		}
	}
}

func (s *store) endLease(id int64) {
	delete(s.leases, id)
	for k, i := range s.items {
		if i.Lease == id {
			s.revision++
			s.apply(item{Key: k, Tombstone: true})
		}
	}
}

// storeFront is the store as one daemon sees it.
type storeFront struct {
	*store
	// translate returns an entry's value as the daemon sees it.
	translate func(key string, value []byte) []byte
	server    *http.Server
	address   string
	// fault is a storeFault.
	fault atomic.Int32
}

// storeFault is how the store treats the calls of one daemon.
type storeFault int32

const (
	noFault storeFault = iota
	// silent: nothing is done or answered.
	silent
	// busy: 503, nothing is done.
	busy
	// lost: a third of the writes are done and not answered.
	lost
	// late: a third of the writes are not answered and done 1 to 6 s later.
	late
)

func (s *store) newFront(ip string, translate func(key string, value []byte) []byte) (*storeFront, error) {
	l, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return nil, err
	}
	f := &storeFront{store: s, translate: translate, address: l.Addr().String()}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /lavendercleat/kv-key", f.key)
	mux.HandleFunc("GET /lavendercleat/kv-range", f.list)
	mux.HandleFunc("GET /lavendercleat/kv-watch", f.watch)
	mux.HandleFunc("POST /lavendercleat/kv-txn", f.txn)
	mux.HandleFunc("POST /lavendercleat/kv-lease", f.lease)
	mux.HandleFunc("POST /lavendercleat/kv-keep/{id}", f.keep)
	mux.HandleFunc("DELETE /lavendercleat/kv-lease-end/{id}", f.leaseEnd)
	f.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(time.Duration(s.delay.Load()))
		write := strings.HasSuffix(r.URL.Path, "/kv-txn") && rand.IntN(3) == 0
		switch fault := storeFault(f.fault.Load()); {
		case fault == silent:
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
		case fault == busy:
			w.WriteHeader(http.StatusServiceUnavailable)
		case write && fault == lost:
			mux.ServeHTTP(httptest.NewRecorder(), r)
			<-r.Context().Done()
		case write && fault == late:
			b, _ := io.ReadAll(r.Body)
			again := r.Clone(context.Background())
			again.Body = io.NopCloser(bytes.NewReader(b))
			time.AfterFunc(time.Second+rand.N(5*time.Second), func() { mux.ServeHTTP(httptest.NewRecorder(), again) })
			<-r.Context().Done()
		default:
			mux.ServeHTTP(w, r)
		}
	}), ReadHeaderTimeout: time.Minute}
	go func() { _ = f.server.Serve(l) }()
	return f, nil
}

func (f *storeFront) seen(i item) item {
	if !i.Tombstone {
		i.Value = f.translate(i.Key, i.Value)
	}
	return i
}

func (f *storeFront) key(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	f.expire()
	i, ok := f.items[r.URL.Query().Get("key")]
	f.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answer(w, http.StatusOK, f.seen(i))
}

const pageSize = 500

func (f *storeFront) list(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	f.mu.Lock()
	f.expire()
	found := []item{}
	for k, i := range f.items {
		if strings.HasPrefix(k, q.Get("prefix")) && k > q.Get("after") {
			found = append(found, f.seen(i))
		}
	}
	revision := f.revision
	f.mu.Unlock()
	sort.Slice(found, func(a, b int) bool { return found[a].Key < found[b].Key })
	more := len(found) > pageSize
	if more {
		found = found[:pageSize]
	}
	answer(w, http.StatusOK, map[string]any{"items": found, "more-pages": more, "as-of": revision})
}

func (f *storeFront) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(q.Get("wait-ms"), 10, 64)
	limit := time.After(time.Duration(wait) * time.Millisecond)
	for ended := false; ; {
		f.mu.Lock()
		f.expire()
		events := []item{}
		// The history is in order, so only its end is of interest.
		first := sort.Search(len(f.history), func(n int) bool { return f.history[n].Revision > after })
		for _, i := range f.history[first:] {
			if strings.HasPrefix(i.Key, q.Get("prefix")) {
				events = append(events, f.seen(i))
			}
		}
		revision, changed := f.revision, f.changed
		f.mu.Unlock()
		if len(events) > 0 || ended {
			answer(w, http.StatusOK, map[string]any{"events": events, "as-of": revision})
			return
		}
		select {
		case <-changed:
		case <-limit:
			ended = true
		case <-time.After(100 * time.Millisecond): // leases may have ended
		case <-r.Context().Done():
			return
		}
	}
}

func (f *storeFront) txn(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Precondition []item `json:"precondition"`
		SetKeys      []item `json:"set-keys"`
		Remove       []string
	}
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil || len(t.Precondition)+len(t.SetKeys)+len(t.Remove) > 32 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.expire()
	current, met := []item{}, true
	for _, p := range t.Precondition {
		i, ok := f.items[p.Key]
		if !ok {
			i = item{Key: p.Key}
		}
		current = append(current, i)
		met = met && i.Revision == p.Revision
	}
	if !met {
		answer(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, i := range t.SetKeys {
		if _, ok := f.leases[i.Lease]; i.Lease != 0 && !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		if strings.HasPrefix(i.Key, "op/") || strings.HasPrefix(i.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	f.revision++
	for _, i := range t.SetKeys {
		f.apply(item{Key: i.Key, Value: i.Value, Lease: i.Lease})
	}
	for _, k := range t.Remove {
		f.apply(item{Key: k, Tombstone: true})
	}
	answer(w, http.StatusOK, map[string]any{"revision": f.revision})
}

func (f *storeFront) lease(w http.ResponseWriter, r *http.Request) {
	var l struct {
		TTLMS int64 `json:"ttl-ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&l); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastLease++
	f.ttls[f.lastLease] = time.Duration(l.TTLMS) * time.Millisecond
	f.leases[f.lastLease] = time.Now().Add(f.ttls[f.lastLease])
	answer(w, http.StatusOK, map[string]any{"lease": f.lastLease, "ttl-ms": l.TTLMS})
}

func (f *storeFront) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.expire()
	if _, ok := f.leases[id]; !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	f.leases[id] = time.Now().Add(f.ttls[id])
	answer(w, http.StatusOK, map[string]any{"ttl-ms": f.ttls[id].Milliseconds()})
}

func (f *storeFront) leaseEnd(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.endLease(id)
	w.WriteHeader(http.StatusOK)
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
