package logging

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// queueLines bounds the lines that wait to be written, of each of the two ranks.
	queueLines = 4096
	// linesPerSecond and lineBurst bound the lines below a warning: at a full load of a
	// daemon some 400 a second come, and a fault that repeats itself must not take the
	// processor from callers.
	linesPerSecond = 1000
	lineBurst      = 4000
	// batchBytes bounds one write; each is a system call.
	batchBytes = 32 << 10
)

// AsyncWriter is a writer that never holds its caller up: lines wait in bounded queues, and what
// doesn't fit is left out and counted. Warnings and errors are kept before other lines.
type AsyncWriter struct {
	w         io.Writer
	high, low chan []byte
	left      atomic.Int64
	done      chan struct{}
	closeOnce sync.Once
	closing   chan struct{}

	mu     sync.Mutex
	tokens float64
	filled time.Time
}

// NewAsyncWriter returns a queue that writes to w until it is closed.
func NewAsyncWriter(w io.Writer) *AsyncWriter {
	q := &AsyncWriter{
		w: w, high: make(chan []byte, queueLines), low: make(chan []byte, queueLines),
		done: make(chan struct{}), closing: make(chan struct{}), tokens: lineBurst, filled: time.Now(),
	}
	go q.run()
	return q
}

// DroppedLines returns the number of lines that were left out so far.
func (q *AsyncWriter) DroppedLines() int64 { return q.left.Load() }

// Write queues one line. It never fails and never waits.
func (q *AsyncWriter) Write(p []byte) (int, error) {
	to := q.high
	if isRoutine(p) {
		to = q.low
		if !q.take() {
			q.left.Add(1)
			return len(p), nil
		}
	}
	select {
	case to <- bytes.Clone(p):
	default:
		q.left.Add(1)
	}
	return len(p), nil
}

// isRoutine reports whether a line is below a warning.
func isRoutine(p []byte) bool {
	head := p[:min(len(p), 80)]
	return bytes.Contains(head, []byte("level=info")) || bytes.Contains(head, []byte("level=debug"))
}

// take takes a token for one line.
func (q *AsyncWriter) take() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	q.tokens = min(q.tokens+now.Sub(q.filled).Seconds()*linesPerSecond, lineBurst)
	q.filled = now
	if q.tokens < 1 {
		return false
	}
	q.tokens--
	return true
}

// Close writes what waits, for at most the given time.
func (q *AsyncWriter) Close(timeout time.Duration) {
	q.closeOnce.Do(func() { close(q.closing) })
	select {
	case <-q.done:
	case <-time.After(timeout): // the reader of the output has stalled
	}
}

func (q *AsyncWriter) run() {
	defer close(q.done)
	var told int64
	for {
		line, ok := q.next()
		if !ok {
			return
		}
		batch := q.batch(line)
		if n := q.left.Load(); n > told {
			batch = fmt.Appendf(batch, "time=%q level=warning event=log_lines_left_out lines=%d\n", time.Now().Format(TimeFormat), n-told)
			told = n
		}
		// An output that is gone is no reason to stop serving; lines are then lost.
		_, _ = q.w.Write(batch)
	}
}

// next waits for a line; false when the queue is closed and empty.
func (q *AsyncWriter) next() ([]byte, bool) {
	if line, ok := q.ready(); ok {
		return line, true
	}
	select {
	case line := <-q.high:
		return line, true
	case line := <-q.low:
		return line, true
	case <-q.closing:
		return q.ready()
	}
}

// ready returns a line that waits, one of a failure first.
func (q *AsyncWriter) ready() ([]byte, bool) {
	select {
	case line := <-q.high:
		return line, true
	default:
	}
	select {
	case line := <-q.low:
		return line, true
	default:
		return nil, false
	}
}

func (q *AsyncWriter) batch(first []byte) []byte {
	b := first
	for len(b) < batchBytes {
		line, ok := q.ready()
		if !ok {
			break
		}
		b = append(b, line...)
	}
	return b
}
