package backend

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lavendercleat/lavendercleat/internal/backend"
)

// Another test sends a probe to the port of a process that has ended, and the stand-in has this port now.
// If it counted a few probes as starts, they would look like one task that started repeatedly.
func TestNonPostRequestIsNotCountedAsStart(t *testing.T) {
	s := NewServer(8, time.Millisecond)
	h := httptest.NewServer(s)
	defer h.Close()
	for range 3 {
		resp, err := http.Get(h.URL + "/readyz")
		assert.NilError(t, err)
		resp.Body.Close()
		assert.Equal(t, resp.StatusCode, http.StatusNotFound)
	}
	assert.Equal(t, s.Record().Starts, int64(0))
}

// A request without the identifier of its task starts something, or nobody can find its sender. The
// record must describe the sender, and the request must start nothing.
func TestRequestWithoutIdentifierIsRefusedAndRecorded(t *testing.T) {
	s := NewServer(8, time.Millisecond)
	h := httptest.NewServer(s)
	defer h.Close()
	req, err := http.NewRequest(http.MethodPost, h.URL+"/quote", strings.NewReader("{}"))
	assert.NilError(t, err)
	req.Header.Set(backend.HeaderTask, "0")
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	resp.Body.Close()
	assert.Equal(t, resp.StatusCode, http.StatusBadRequest)
	w := s.Record()
	assert.Equal(t, w.Starts, int64(0))
	assert.Equal(t, len(w.Unidentified), 1)
	for _, part := range []string{"POST /quote from 127.0.0.1:", backend.HeaderTask + ":[0]"} {
		assert.Assert(t, strings.Contains(w.Unidentified[0], part), "%s", w.Unidentified[0])
	}
}
