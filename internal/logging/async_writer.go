// A log writer that drops lines instead of blocking its callers.

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
	// maxQueuedLines is the largest number of lines in each of the two queues.
	maxQueuedLines = 4096
	// linesPerSecond and lineBurstSize limit the rate of lines below a warning. A daemon at full load
	// logs about 400 lines a second. A recurring fault must not take processor time from callers.
	linesPerSecond = 1000
	lineBurstSize  = 4000
	// maxBatchBytes is the size from which on a batch gets no more lines. Each batch is one write, and so
	// one system call.
	maxBatchBytes = 32 << 10
)

// AsyncWriter is a writer that never blocks its caller. Lines wait in bounded queues, and a goroutine
// writes them. The writer drops lines that don't fit and counts them. Warnings and errors have a queue
// of their own, which is written first, and no rate limit.
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

// NewAsyncWriter returns a writer that writes to w in the background until Close is called.
func NewAsyncWriter(w io.Writer) *AsyncWriter {
	q := &AsyncWriter{
		w: w, high: make(chan []byte, maxQueuedLines), low: make(chan []byte, maxQueuedLines),
		done: make(chan struct{}), closing: make(chan struct{}), tokens: lineBurstSize, refilledAt: time.Now(),
	}
	go q.run()
	return q
}

// DroppedLines returns the number of lines dropped so far.
func (q *AsyncWriter) DroppedLines() int64 { return q.dropped.Load() }

// Write queues one line, or drops it. It never blocks and never returns an error.
func (q *AsyncWriter) Write(p []byte) (int, error) {
	target := q.high
	if isBelowWarning(p) {
		target = q.low
		if !q.takeToken() {
			q.dropped.Add(1)
			return len(p), nil
		}
	}
	select {
	case target <- bytes.Clone(p):
	default:
		q.dropped.Add(1)
	}
	return len(p), nil
}

// isBelowWarning reports whether the level of a line is info or debug.
func isBelowWarning(p []byte) bool {
	head := p[:min(len(p), 80)]
	return bytes.Contains(head, []byte("level=info")) || bytes.Contains(head, []byte("level=debug"))
}

// takeToken takes a token of the rate limit for one line. It returns false if there is none.
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

// Close writes the queued lines and waits for this at most the given time.
func (q *AsyncWriter) Close(timeout time.Duration) {
	q.closeOnce.Do(func() { close(q.closing) })
	select {
	case <-q.done:
	case <-time.After(timeout): // the output accepts no data
	}
}

// run writes the queued lines until Close is called. It adds a line with the number of dropped lines
// after lines were dropped.
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
		// A daemon must keep serving if its log output has failed. It then loses the lines.
		_, _ = q.w.Write(batch)
	}
}

// nextLine waits for a line. It returns false if the writer is closed and its queues are empty.
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

// queuedLine returns a queued line, and warnings and errors before others. It does not wait.
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

// collectBatch appends queued lines to the first one until the batch is large enough or the queues are
// empty.
func (q *AsyncWriter) collectBatch(first []byte) []byte {
	batch := first
	for len(batch) < maxBatchBytes {
		line, ok := q.queuedLine()
		if !ok {
			break
		}
		batch = append(batch, line...)
	}
	return batch
}
