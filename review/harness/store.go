//go:build review

package main

import (
	"bytes"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/lavendercleat/lavendercleat/platform/platformtest"
)

// storeFront stands in front of the project's stand-in of the store. While loseWrites is above 0, that
// share (in thousandths) of the writes is done and not answered; their connections return nothing further.
type storeFront struct {
	store      *platformtest.Store
	listener   net.Listener
	loseWrites atomic.Int64
	log        *eventLog
	mode       atomic.Int64
	lateWrites atomic.Int64
}

// Modes of a store front.
const (
	modeSound = iota
	modeSilent
	modeBusy
	modeSlow
)

func startStore(ip string, log *eventLog) *storeFront {
	l, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		cannotRun("store: %v", err)
	}
	s := &storeFront{store: platformtest.NewStore(), listener: l, log: log}
	go func() { _ = http.Serve(l, s) }()
	return s
}

// front returns another front of the same store.
func (s *storeFront) front(ip string) *storeFront {
	l, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		cannotRun("store: %v", err)
	}
	f := &storeFront{store: s.store, listener: l, log: s.log}
	go func() { _ = http.Serve(l, f) }()
	return f
}

func (s *storeFront) address() string { return s.listener.Addr().String() }

func (s *storeFront) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	switch s.mode.Load() {
	case modeSilent:
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	case modeBusy:
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	case modeSlow:
		time.Sleep(240 * time.Millisecond)
	}
	if r.URL.Path == "/lavendercleat/kv-txn" && rand.Int64N(1000) < s.lateWrites.Load() {
		s.log.add(event{kind: "store-write-late", detail: string(body)})
		url := "http://" + s.store.Address().String() + r.URL.String()
		time.AfterFunc(time.Second+time.Duration(rand.IntN(5000))*time.Millisecond, func() {
			if resp, err := http.Post(url, "application/json", bytes.NewReader(body)); err == nil {
				resp.Body.Close()
			}
		})
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	req, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+s.store.Address().String()+r.URL.String(), bytes.NewReader(body))
	if err != nil {
		return
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	time.Sleep(4 * time.Millisecond)
	if r.URL.Path == "/lavendercleat/kv-txn" && rand.Int64N(1000) < s.loseWrites.Load() {
		s.log.add(event{kind: "store-answer-lost", detail: string(body)})
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(resp.StatusCode)
	_, _ = rw.Write(answer)
}
