package backend

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lavendercleat/lavendercleat/verdict"
)

// breakPoint is where a server breaks a connection.
type breakPoint int

const (
	// replyAndKeep replies and keeps the connection.
	replyAndKeep breakPoint = iota
	// closeIdle replies, then closes the idle connection.
	closeIdle
	// resetIdle replies, then resets the idle connection.
	resetIdle
	// resetOnFirstByte resets the connection on the first byte of the request.
	resetOnFirstByte
	// closeOnFirstByte closes the connection on the first byte of the request.
	closeOnFirstByte
	// closeBeforeReply reads the request and closes the connection.
	closeBeforeReply
	// closeInHeader closes the connection in the middle of the reply's header.
	closeInHeader
	// closeInBody closes the connection in the middle of the reply's body.
	closeInBody
	breakPointCount
)

// rawServer serves HTTP on raw connections and counts the requests that it reads.
type rawServer struct {
	listener net.Listener
	// breakAt selects the break point of request number n of a connection.
	breakAt func(n int) breakPoint

	wg   sync.WaitGroup
	mu   sync.Mutex
	read map[string]int
	// partial counts the requests of which only the first byte was read.
	partial int
}

func newRawServer(t *testing.T, breakAt func(n int) breakPoint) *rawServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &rawServer{listener: l, breakAt: breakAt, read: make(map[string]int)}
	s.wg.Go(s.accept)
	t.Cleanup(s.close)
	return s
}

func (s *rawServer) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.wg.Go(func() { s.serve(c.(*net.TCPConn)) })
	}
}

func (s *rawServer) close() {
	s.listener.Close()
	s.wg.Wait()
}

// serve serves one connection until its break point or until the client closes it.
func (s *rawServer) serve(c *net.TCPConn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for n := 0; ; n++ {
		point := s.breakAt(n)
		if _, err := in.Peek(1); err != nil {
			return
		}
		if point == resetOnFirstByte || point == closeOnFirstByte {
			s.mu.Lock()
			s.partial++
			s.mu.Unlock()
			if point == resetOnFirstByte {
				_ = c.SetLinger(0)
			}
			return
		}
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		s.mu.Lock()
		s.read[r.Header.Get(HeaderTask)]++
		s.mu.Unlock()
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if !s.reply(c, point) {
			return
		}
	}
}

// reply replies up to the break point and reports whether the connection stays open.
func (s *rawServer) reply(c *net.TCPConn, point breakPoint) bool {
	const response = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ntrue"
	switch point {
	case closeBeforeReply:
		return false
	case closeInHeader:
		_, _ = io.WriteString(c, response[:20])
		return false
	case closeInBody:
		_, _ = io.WriteString(c, response[:len(response)-2])
		return false
	}
	_, err := io.WriteString(c, response)
	if point == resetIdle {
		// The reset must hit an idle connection, so the reply must arrive first.
		time.Sleep(time.Millisecond)
		_ = c.SetLinger(0)
	}
	return err == nil && point == replyAndKeep
}

func newTestClient(t *testing.T) *Client {
	t.Helper()
	c := NewClient(Config{
		IdleTimeout: 10 * time.Second, DialTimeout: 5 * time.Second, SilenceTimeout: 5 * time.Second, MaxReplyBytes: 1 << 20,
	})
	t.Cleanup(c.Close)
	return c
}

func (s *rawServer) task(index int) Task {
	return Task{
		Worker: s.listener.Addr().String(), Path: "/quote", Submission: "s", Index: index,
		Remaining: time.Minute, Payload: []byte(`{"step":"render"}`),
	}
}

// A worker breaks a reused connection at each point of a task. The client must send the task at most once,
// and may report "not run" only if the worker read nothing of it. If net/http resent the request, the task
// would start twice. After a wrong "not run", the dispatcher would start it again.
func TestTaskIsNeverSentTwice(t *testing.T) {
	for point := replyAndKeep; point < breakPointCount; point++ {
		t.Run(fmt.Sprint("break point ", int(point)), func(t *testing.T) {
			// The server replies to the first request of each connection, so that the second one is sent on a
			// reused connection.
			s := newRawServer(t, func(n int) breakPoint {
				if n == 0 && point != closeIdle && point != resetIdle {
					return replyAndKeep
				}
				return point
			})
			c := newTestClient(t)
			failures := make([]*verdict.Failure, 200)
			for i := range failures {
				_, failures[i] = c.Do(t.Context(), s.task(i))
				read, _ := s.counts(i)
				assert.Assert(t, failures[i] != nil || read == 1, "task %d: %d requests read", i, read)
			}
			c.Close()
			s.close()
			for i, f := range failures {
				read, _ := s.counts(i)
				assert.Assert(t, read <= 1, "task %d was read %d times", i, read)
				assert.Assert(t, read == 0 || f == nil || f.Verdict != verdict.NotRun, "task %d: %v", i, f)
			}
			s.checkPartial(t, failures)
		})
	}
}

// checkPartial checks that the client reported each request of which the server read only one byte as one
// that may have run.
func (s *rawServer) checkPartial(t *testing.T, failures []*verdict.Failure) {
	t.Helper()
	mayHaveRun := 0
	for _, f := range failures {
		if f != nil && f.Verdict == verdict.MayHaveRun {
			mayHaveRun++
		}
	}
	_, partial := s.counts(0)
	assert.Assert(t, partial <= mayHaveRun, "%d requests were read in part, but only %d tasks were reported as possibly run", partial, mayHaveRun)
}

// counts returns how often the server read a task's request, and how many requests it read in part.
func (s *rawServer) counts(task int) (read, partial int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.read[strconv.Itoa(task)], s.partial
}

// Many concurrent tasks use connections that break at random points. Some tasks are canceled at random times,
// also while their request is being written. The server must never read a request that was reported as "not
// run", before or after the verdict. It must read no request twice, and each successful one once.
func TestVerdictsHoldUnderRandomConnectionFailures(t *testing.T) {
	s := newRawServer(t, func(int) breakPoint { return breakPoint(rand.IntN(int(breakPointCount))) })
	c := newTestClient(t)
	const callers, each = 32, 150
	verdicts := make([]*verdict.Failure, callers*each)
	var wg sync.WaitGroup
	for caller := range callers {
		wg.Go(func() {
			for n := range each {
				i := caller*each + n
				ctx, cancel := context.WithTimeout(t.Context(), time.Duration(rand.IntN(2000))*time.Microsecond)
				if n%2 == 0 {
					ctx = t.Context()
				}
				_, verdicts[i] = c.Do(ctx, s.task(i))
				cancel()
			}
		})
	}
	wg.Wait()
	c.Close()
	s.close()
	s.checkPartial(t, verdicts)
	notRun := 0
	for i, f := range verdicts {
		read, _ := s.counts(i)
		assert.Assert(t, read <= 1, "task %d was read %d times", i, read)
		switch {
		case f == nil:
			assert.Equal(t, read, 1, "task %d", i)
		case f.Verdict == verdict.NotRun:
			notRun++
			assert.Equal(t, read, 0, "task %d was read but reported as not run: %v", i, f)
		}
	}
	_, partial := s.counts(0)
	t.Logf("%d of %d tasks were not run, %d requests were cut at the first byte", notRun, len(verdicts), partial)
}
