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

// blockedWriter is an output that accepts no data until unblock is closed.
type blockedWriter struct{ unblock chan struct{} }

func (s blockedWriter) Write(p []byte) (int, error) {
	<-s.unblock
	return len(p), nil
}

// The reader of the standard output stops reading and requests wait for the log. Instead, the writer
// must drop lines and count them.
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

// syncBuffer is a buffer for concurrent use.
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

// A fault recurs thousands of times a second and fills the log. The writer must limit the lines below a
// warning, report the number of dropped lines, and keep the lines about errors.
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
