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
	maxQueuedLines = 4096
	// linesPerSecond and lineBurst bound the lines below a warning: at a full load of a
	// daemon some 400 a second come, and a fault that repeats itself must not take the
	// processor from callers.
	linesPerSecond = 1000
	lineBurstSize  = 4000
	// batchBytes bounds one write; each is a system call.
	maxBatchBytes = 32 << 10
)

// AsyncWriter is a writer that never holds its caller up: lines wait in bounded queues, and what
// doesn't fit is left out and counted. Warnings and errors are kept before other lines.
type AsyncWriter struct {
	w         io.Writer
	high, low chan []byte
	dropped   atomic.Int64
	done      chan struct{}
	closeOnce sync.Once
	closing   chan struct{}

	mu         sync.Mutex
	tokens     float64
	refilledAt time.Time
}

// NewAsyncWriter returns a queue that writes to w until it is closed.
func NewAsyncWriter(w io.Writer) *AsyncWriter {
	q := &AsyncWriter{
		w: w, high: make(chan []byte, maxQueuedLines), low: make(chan []byte, maxQueuedLines),
		done: make(chan struct{}), closing: make(chan struct{}), tokens: lineBurstSize, refilledAt: time.Now(),
	}
	go q.run()
	return q
}

// DroppedLines returns the number of lines that were left out so far.
func (q *AsyncWriter) DroppedLines() int64 { return q.dropped.Load() }

// Write queues one line. It never fails and never waits.
func (q *AsyncWriter) Write(p []byte) (int, error) {
	queue := q.high
	if isBelowWarning(p) {
		queue = q.low
		if !q.takeToken() {
			q.dropped.Add(1)
			return len(p), nil
		}
	}
	select {
	case queue <- bytes.Clone(p):
	default:
		q.dropped.Add(1)
	}
	return len(p), nil
}

// isRoutine reports whether a line is below a warning.
func isBelowWarning(p []byte) bool {
	head := p[:min(len(p), 80)]
	return bytes.Contains(head, []byte("level=info")) || bytes.Contains(head, []byte("level=debug"))
}

// take takes a token for one line.
func (q *AsyncWriter) takeToken() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	q.tokens = min(q.tokens+now.Sub(q.refilledAt).Seconds()*linesPerSecond, lineBurstSize)
	q.refilledAt = now
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
	var reportedDrops int64
	for {
		line, ok := q.nextLine()
		if !ok {
			return
		}
		batch := q.collectBatch(line)
		if n := q.dropped.Load(); n > reportedDrops {
			batch = fmt.Appendf(batch, "time=%q level=warning event=log_lines_left_out lines=%d\n", time.Now().Format(TimeFormat), n-reportedDrops)
			reportedDrops = n
		}
		// An output that is gone is no reason to stop serving; lines are then lost.
		_, _ = q.w.Write(batch)
	}
}

// next waits for a line; false when the queue is closed and empty.
func (q *AsyncWriter) nextLine() ([]byte, bool) {
	if line, ok := q.queuedLine(); ok {
		return line, true
	}
	select {
	case line := <-q.high:
		return line, true
	case line := <-q.low:
		return line, true
	case <-q.closing:
		return q.queuedLine()
	}
}

// ready returns a line that waits, one of a failure first.
func (q *AsyncWriter) queuedLine() ([]byte, bool) {
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

func (q *AsyncWriter) collectBatch(first []byte) []byte {
	b := first
	for len(b) < maxBatchBytes {
		line, ok := q.queuedLine()
		if !ok {
			break
		}
		b = append(b, line...)
	}
	return b
}
