package entry

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lavendercleat/lavendercleat/internal/backend"
	"github.com/lavendercleat/lavendercleat/internal/clock"
	"github.com/lavendercleat/lavendercleat/sched"
	"github.com/lavendercleat/lavendercleat/verdict"
)

// Guards against starting tasks after a pause of the process before the view is refreshed: peers may have
// given the slots to others meanwhile. A job that arrives before the refresh is still accepted.
func TestStartsAreHeldAfterPause(t *testing.T) {
	worker := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("1"))
	}))
	defer worker.Close()
	client := backend.NewClient(backend.Config{DialTimeout: time.Second, SilenceTimeout: time.Second, MaxReplyBytes: 1024})
	defer client.Close()
	d := newDispatcher(clock.New(), client, NewMetrics(), sched.DefaultConfig())
	paused := make(chan time.Duration, 1)
	d.onPause = func(late time.Duration) { paused <- late }
	d.step(func(now time.Duration) {
		d.sched.SetWorkers(now, []sched.Worker{{Address: worker.Listener.Addr().String(), Slots: 1}})
	})
	d.mu.Lock()
	d.lastStep -= 2 * clock.PauseThreshold
	d.mu.Unlock()
	ended := make(chan *verdict.Failure, 1)
	run := &jobRun{
		path:     "/quote",
		deadline: d.clock.Now() + time.Minute,
		payloads: []json.RawMessage{[]byte("1")},
		results:  make([]json.RawMessage, 1),
		finish:   func(_ []json.RawMessage, f *verdict.Failure) { ended <- f },
	}
	_, refusal := d.submit(sched.Job{Kind: "quote", Tasks: 1, Deadline: run.deadline}, run)
	assert.Assert(t, refusal == nil)
	assert.Assert(t, <-paused > clock.PauseThreshold)
	d.tick()
	assert.Equal(t, d.load().Running, 0)
	assert.Equal(t, d.load().Waiting, 1)
	d.endPause()
	assert.Assert(t, <-ended == nil)
}
