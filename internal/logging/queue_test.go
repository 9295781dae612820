package logging

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// stalled is an output that nobody reads.
type blockedWriter struct{ unblock chan struct{} }

func (s blockedWriter) Write(p []byte) (int, error) {
	<-s.unblock
	return len(p), nil
}

// The reader of the standard output stalls. Requests must not wait for it: lines are left
// out and counted.
func TestBlockedOutputDoesNotBlockWrites(t *testing.T) {
	s := blockedWriter{make(chan struct{})}
	q := NewAsyncWriter(s)
	start := time.Now()
	for i := range 3 * maxQueuedLines {
		fmt.Fprintf(q, "level=warning event=x n=%d\n", i)
	}
	assert.Assert(t, time.Since(start) < 2*time.Second)
	assert.Assert(t, q.DroppedLines() > maxQueuedLines)
	q.Close(10 * time.Millisecond)
	close(s.unblock)
}

type syncBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.String()
}

// A fault repeats itself thousands of times a second: routine lines are bounded and the
// log says how many it left out; lines about failures are kept.
func TestRoutineLinesAreRateLimitedAndErrorsAreKept(t *testing.T) {
	var out syncBuffer
	q := NewAsyncWriter(&out)
	for i := range 3 * lineBurstSize {
		fmt.Fprintf(q, "level=info event=routine n=%d\n", i)
		if i%100 == 0 {
			fmt.Fprintf(q, "level=error event=failure n=%d\n", i)
			time.Sleep(time.Millisecond)
		}
	}
	q.Close(5 * time.Second)
	routine := strings.Count(out.String(), "event=routine")
	assert.Assert(t, routine <= lineBurstSize+linesPerSecond*2, "%d routine lines", routine)
	assert.Equal(t, strings.Count(out.String(), "event=failure"), 3*lineBurstSize/100)
	assert.Assert(t, strings.Contains(out.String(), "event=log_lines_left_out"))
	assert.Equal(t, int64(3*lineBurstSize-routine), q.DroppedLines())
}

func BenchmarkAsyncWriterLine(b *testing.B) {
	q := NewAsyncWriter(&syncBuffer{})
	log, err := New(q, "info")
	assert.NilError(b, err)
	for b.Loop() {
		log.WithField("event", "x").WithField("job", "5c0e7a21d94b36f8").Info()
	}
}
