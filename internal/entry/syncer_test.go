package entry

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/lavendercleat/lavendercleat/internal/clock"
	"github.com/lavendercleat/lavendercleat/internal/platform"
)

// An outage falls between two calls of the watch of the configuration, and only the watch of the VM list
// notices it. The platform was restored meanwhile and has another document under the same key revision. The
// entry must read it, not wait for another revision.
func TestConfigurationIsReadAfterOutageBetweenItsCalls(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	s := &syncer{state: newState(), clock: clock.New(), log: log, metrics: NewMetrics(), watchWait: time.Minute}
	doc := testConfig()
	doc.Revision = 5
	restored, err := proto.Marshal(doc)
	assert.NilError(t, err)
	old, err := proto.Marshal(testConfig())
	assert.NilError(t, err)
	var outage atomic.Bool
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		v := platform.Value{Revision: 1, Value: old}
		if outage.Load() {
			v.Value = restored
			if r.URL.Query().Has(platform.ParamAfter) { // the revision is the one that the entry knows
				<-r.Context().Done()
				return
			}
		}
		_ = json.NewEncoder(w).Encode(v)
		if r.URL.Query().Has(platform.ParamAfter) && !outage.Swap(true) {
			s.handleFailure("vms", errors.New("connection closed"))
		}
	}))
	defer server.Close()
	s.platform = platform.NewClient(server.URL)
	go s.watchConfig(t.Context())
	for until := time.Now().Add(5 * time.Second); s.state.config().Revision() != 5; time.Sleep(10 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(until), "revision %d is in force", s.state.config().Revision())
	}
}
