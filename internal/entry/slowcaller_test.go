package entry

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lavendercleat/lavendercleat/client"
	"github.com/lavendercleat/lavendercleat/schema"
)

// shortLimits cut off slow callers soon.
var shortLimits = httpLimits{
	readHeader: 300 * time.Millisecond, read: 600 * time.Millisecond, write: 5 * time.Second, idle: 5 * time.Second, headerBytes: maxHeaderBytes,
}

// sendSlowly sends first at once and rest byte by byte, until the server closes the connection. It returns
// the server's reply.
func sendSlowly(t *testing.T, e *Entry, first, rest string) string {
	t.Helper()
	conn, err := net.Dial("tcp", e.CallerAddress().String())
	assert.NilError(t, err)
	defer conn.Close()
	done := make(chan struct{})
	defer close(done)
	go func() {
		if _, err := io.WriteString(conn, first); err != nil {
			return
		}
		for i := range rest {
			select {
			case <-time.After(20 * time.Millisecond):
			case <-done:
				return
			}
			if _, err := io.WriteString(conn, rest[i:i+1]); err != nil {
				return
			}
		}
	}()
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(20*time.Second)))
	b, err := io.ReadAll(conn)
	timeout, ok := err.(net.Error)
	assert.Assert(t, !ok || !timeout.Timeout(), "the connection was not cut off")
	return string(b)
}

// Guards against callers that hold a connection for as long as they like. They send a header, a body, or the
// body of a request that was already refused, one byte at a time. The entry must close the connection and
// start nothing.
func TestSlowSenderIsCutOff(t *testing.T) {
	e := startEntry(t, func(e *Entry) { e.servers.limits = shortLimits })
	head := "POST /v1/jobs HTTP/1.1\r\nHost: entry\r\nContent-Length: 10000\r\n"
	slow := strings.Repeat("x", 10_000)
	t.Run("header", func(t *testing.T) { sendSlowly(t, e, "POST /v1/jobs HTTP/1.1\r\nX-Slow: ", slow) })
	t.Run("body", func(t *testing.T) {
		answer := sendSlowly(t, e, head+"Authorization: Bearer "+testToken+"\r\n\r\n", slow)
		assert.Assert(t, strings.HasPrefix(answer, "HTTP/1.1 400"), answer)
	})
	t.Run("body of a refused request", func(t *testing.T) {
		answer := sendSlowly(t, e, head+"Authorization: Bearer wrong\r\n\r\n", slow)
		assert.Assert(t, strings.HasPrefix(answer, "HTTP/1.1 401"), answer)
	})
	assert.Equal(t, e.workers.dispatcher.load().Running, 0)
}

// Guards against cutting off a caller that waits for its answer longer than it may take to send its request or
// to read the answer. The limit on reading ends when the request has been read. The limit on writing begins
// with the answer.
func TestLimitsDoNotEndWaitForAnswer(t *testing.T) {
	limits := shortLimits
	limits.read, limits.write = 1500*time.Millisecond, 1500*time.Millisecond
	e := startEntry(t, func(e *Entry) { e.servers.limits = limits })
	c := testClient(e)
	job := schema.Job{Kind: "quote", Tasks: []schema.Task{{Payload: json.RawMessage(`{"run_ms":2500}`)}}}
	ids, err := c.Reserve(t.Context(), 1)
	assert.NilError(t, err)
	r, err := c.Put(t.Context(), ids[0], job)
	assert.NilError(t, err)
	assert.Equal(t, r.Outcome, client.Complete)
}

// Guards against holding a connection forever. A caller does not read its answer, which is larger than the
// buffers on the way. The entry must close the connection.
func TestSlowReaderIsCutOff(t *testing.T) {
	limits := shortLimits
	limits.write = 500 * time.Millisecond
	e := startEntry(t, func(e *Entry) { e.servers.limits = limits })
	conn, err := net.Dial("tcp", e.CallerAddress().String())
	assert.NilError(t, err)
	defer conn.Close()
	body := `{"kind":"quote","tasks":[` + strings.TrimSuffix(strings.Repeat(`{"payload":{"reply_bytes":1000000}},`, 12), ",") + `]}`
	fmt.Fprintf(conn, "POST /v1/jobs HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", testToken, len(body), body)
	in := bufio.NewReader(conn)
	resp, err := http.ReadResponse(in, nil)
	assert.NilError(t, err)
	defer resp.Body.Close()
	time.Sleep(4 * limits.write) // during this time the caller does not read
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(20*time.Second)))
	n, err := io.Copy(io.Discard, resp.Body)
	timeout, ok := err.(net.Error)
	assert.Assert(t, err != nil && (!ok || !timeout.Timeout()), "%d of %d bytes: %v", n, resp.ContentLength, err)
}

// Guards against reading a header of any size. One above the limit must be refused before it has been read
// completely.
func TestLargeHeaderIsRefused(t *testing.T) {
	e := startEntry(t, nil)
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+e.CallerAddress().String()+"/v1/jobs", nil)
	assert.NilError(t, err)
	req.Header.Set("Authorization", "Bearer "+strings.Repeat("x", 64<<10))
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer resp.Body.Close()
	assert.Equal(t, resp.StatusCode, http.StatusRequestHeaderFieldsTooLarge)
}
