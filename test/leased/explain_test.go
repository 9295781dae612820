// The tests of the explain command on the logs of daemons.

package leased

import (
	"context"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lavendercleat/lavendercleat/platform/platformtest"
	"github.com/lavendercleat/lavendercleat/test/cluster"
)

// explain runs the explain command for an identifier on the logs of all daemons, with the logs of
// their earlier processes.
func (s *testSystem) explain(id string) string {
	s.t.Helper()
	args := []string{"explain", id}
	for _, d := range s.daemons {
		p := filepath.Join(s.t.TempDir(), d.name+".log")
		assert.NilError(s.t, os.WriteFile(p, []byte(d.earlierLogs+d.Log()), 0o600))
		args = append(args, p)
	}
	out, err := exec.Command(cluster.Binary(s.t), args...).CombinedOutput()
	assert.NilError(s.t, err, "%s", out)
	return string(out)
}

// A worker with a task becomes unresponsive. The log lines alone show that it went silent, that its
// lease lapsed and that the task was then started elsewhere.
func TestExplainUnresponsiveWorker(t *testing.T) {
	t.Parallel()
	s := startSystem(t, 2, 2, platformtest.WorkerBehaviour{RunTime: 700 * time.Millisecond})
	done := make(chan int, 1)
	go func() {
		status, _ := s.postJob(context.Background(), s.daemons[0], prefix, "lostworker", 4, 6*time.Second)
		done <- status
	}()
	time.Sleep(300 * time.Millisecond)
	s.workers[0].SetBehaviour(platformtest.WorkerBehaviour{Unresponsive: true})
	<-done
	time.Sleep(200 * time.Millisecond)
	output := s.explain("req-lostworker")
	for _, event := range []string{"job_arrived", "task_offered", "run_started", "worker_silent", "lease_lapsed", "task_restarted", "job_answered"} {
		assert.Assert(t, strings.Contains(output, event), "%s is missing in\n%s", event, output)
	}
}

// A peer is killed while its worker runs a task of another daemon's job. The log lines show the
// loss of the peer, the takeover of the worker and the claim of the run.
func TestExplainKilledPeer(t *testing.T) {
	t.Parallel()
	s := startSystem(t, 2, 4, platformtest.WorkerBehaviour{RunTime: 900 * time.Millisecond})
	done := make(chan int, 1)
	go func() {
		status, _ := s.postJob(context.Background(), s.daemons[0], prefix, "lostpeer", 8, 6*time.Second)
		done <- status
	}()
	time.Sleep(400 * time.Millisecond)
	s.daemons[1].Kill()
	assert.Equal(t, <-done, http.StatusOK)
	time.Sleep(200 * time.Millisecond)
	output := s.explain("lostpeer")
	for _, event := range []string{"peer_lost", "worker_held", "task_claimed", "job_answered"} {
		assert.Assert(t, strings.Contains(output, event), "%s is missing in\n%s", event, output)
	}
}

// The store is unavailable and the only worker unresponsive, so the daemon refuses a job. The log
// lines of the refusal show both.
func TestExplainWithoutStore(t *testing.T) {
	t.Parallel()
	s := startSystem(t, 1, 1, shortTasks)
	s.store.SetFault(platformtest.Unavailable)
	time.Sleep(1200 * time.Millisecond)
	s.workers[0].SetBehaviour(platformtest.WorkerBehaviour{Unresponsive: true})
	time.Sleep(2500 * time.Millisecond)
	status, _ := s.postJob(context.Background(), s.daemons[0], prefix, "nostore", 1, 6*time.Second)
	assert.Equal(t, status, http.StatusServiceUnavailable)
	time.Sleep(200 * time.Millisecond)
	output := s.explain("nostore")
	for _, event := range []string{"store_failed", "job_answered", "status=refused", "reason=no_workers"} {
		assert.Assert(t, strings.Contains(output, event), "%s is missing in\n%s", event, output)
	}
}

// No log line contains the identifier. The command fails with an error instead of empty output.
func TestExplainUnknownIdentifier(t *testing.T) {
	t.Parallel()
	out, err := exec.Command(cluster.Binary(t), "explain", "nobody", os.DevNull).CombinedOutput()
	assert.ErrorContains(t, err, "exit status 1")
	assert.Assert(t, strings.Contains(string(out), `no line names "nobody"`), string(out))
}
