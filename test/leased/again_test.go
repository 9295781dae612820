package leased

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lavendercleat/lavendercleat/platform/platformtest"
)

// A caller whose connection ends sends its job again to another daemon after resendAfter. Tests
// of again are about what delays the end of the first runs beyond that.
const (
	againDaemons = 4
	// againWorkers is how many workers there are for each daemon.
	againWorkers = 2
	// againTasks fill one daemon's workers: first those of another daemon than the coordinator,
	// whose own are taken by a job before, then those of the daemon that the caller comes to.
	againTasks = 4
	// againWork is much longer than resendAfter: a run that is not stopped meets the second try.
	againWork = 10 * time.Second
	// againPatience is the callers' deadline.
	againPatience = 20 * time.Second
	// judgedAfter is when the second try's tasks surely run.
	judgedAfter = 500 * time.Millisecond
	// heldKnown is some heartbeats, after which all daemons have heard of a worker's holder.
	heldKnown = 500 * time.Millisecond
	// pollsSettle is after the longest poll of a worker that ran nothing: leases are extended in step.
	pollsSettle = 700 * time.Millisecond
	// againBeat is the time between two looks at what runs.
	againBeat = time.Millisecond
)

// again is a job whose caller comes again, with what the test did to whom.
type again struct {
	*system
	id string
	// first is the daemon that the caller comes to first, last the one that it comes to again.
	first, last *daemon
	// executors are others that run tasks for the first daemon, on users of the workers.
	executors []*daemon
	users     []*platformtest.Worker
	filler    *net.TCPConn
	conn      *net.TCPConn
	left      time.Time
	mu        sync.Mutex
	acts      []string
}

// againAtOnce bounds how many of these fleets run at a time: the tests are about daemons that get
// little processor when the test says so.
var againAtOnce = make(chan struct{}, 2)

// startAgain starts the system, with relays between daemons if asked, and fills the first daemon's own workers.
func startAgain(t *testing.T, daemons int, relays bool) *again {
	t.Helper()
	againAtOnce <- struct{}{}
	t.Cleanup(func() { <-againAtOnce })
	s := startBehind(t, daemons, againWorkers*daemons, quick, relays)
	a := &again{system: s, id: fmt.Sprintf("again%d", time.Now().UnixNano()), first: s.daemons[0], last: s.daemons[daemons-1]}
	s.awaitHeld()
	s.setManners(platformtest.WorkerBehaviour{RunTime: againWork})
	a.filler = a.handIn("filler", a.first.front)
	a.awaitStarts("filler")
	return a
}

var heldLine = regexp.MustCompile(`event=worker_held.*worker=(\S+)`)

// awaitHeld waits until each worker has a holder that all daemons have heard of.
func (s *system) awaitHeld() {
	s.t.Helper()
	for until := time.Now().Add(readyWithin); ; time.Sleep(20 * time.Millisecond) {
		held := make(map[string]bool)
		for _, d := range s.daemons {
			for _, m := range heldLine.FindAllStringSubmatch(d.Log(), -1) {
				held[m[1]] = true
			}
		}
		if len(held) == len(s.workers) {
			break
		}
		assert.Assert(s.t, time.Now().Before(until), "%d workers are held", len(held))
	}
	time.Sleep(heldKnown)
}

// note keeps an act of the test for the story of a doubled task.
func (a *again) note(format string, args ...any) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.acts = append(a.acts, time.Now().UTC().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
}

func againBody() string {
	return fmt.Sprintf(`{"spec":"x","best-effort":true,"steps":[{"count":%d,"cpu":%d,"mem-mb":64,"estimate-ms":%d}]}`,
		againTasks, taskCPU, againWork.Milliseconds())
}

// handIn sends a job on a connection that the test ends itself.
func (a *again) handIn(id, address string) *net.TCPConn {
	a.t.Helper()
	c, err := net.Dial("tcp4", address)
	assert.NilError(a.t, err)
	a.t.Cleanup(func() { c.Close() })
	_, err = fmt.Fprintf(c, "POST %s%s HTTP/1.1\r\nHost: %s\r\nRequest-Id: first-%s\r\nDeadline-Ms: %d\r\nContent-Length: %d\r\n\r\n%s",
		prefix, id, host, id, againPatience.Milliseconds(), len(againBody()), againBody())
	assert.NilError(a.t, err)
	a.note("%s handed in", id)
	return c.(*net.TCPConn)
}

// starts counts the tasks of a job that were started.
func (a *again) starts(id string) (n int) {
	for name := range a.witness.Starts() {
		if strings.HasPrefix(name, id+".") {
			n++
		}
	}
	return n
}

func (a *again) awaitStarts(id string) {
	a.t.Helper()
	for until := time.Now().Add(2 * time.Second); a.starts(id) < againTasks; time.Sleep(againBeat) {
		assert.Assert(a.t, time.Now().Before(until), "%d tasks of %s were started", a.starts(id), id)
	}
	time.Sleep(heldKnown / 10) // answers and reports are read, logs written
}

// runs hands the job in at an address of the first daemon, and waits until its tasks run alone.
func (a *again) runs(address string) {
	a.t.Helper()
	a.conn = a.handIn(a.id, address)
	a.awaitStarts(a.id)
	a.filler.Close()
	started := regexp.MustCompile(`event=run_started.*job=` + a.id + `.*worker=(\S+)`)
	for _, d := range a.daemons {
		found := started.FindAllStringSubmatch(d.Log(), -1)
		if len(found) == 0 || d == a.first || d == a.last {
			continue
		}
		a.executors = append(a.executors, d)
		for _, w := range a.workers {
			if strings.Contains(fmt.Sprint(found), " "+w.ID+"]") {
				a.users = append(a.users, w)
			}
		}
	}
	assert.Assert(a.t, len(a.executors) > 0)
	time.Sleep(pollsSettle)
	for until := time.Now().Add(time.Second); a.witness.RunningCount() > againTasks; time.Sleep(againBeat) {
		assert.Assert(a.t, time.Now().Before(until), "the job before runs on")
	}
}

// leave ends the caller's connection: it hangs up, or the connection is reset on the way.
func (a *again) leave(reset bool) {
	if reset {
		_ = a.conn.SetLinger(0)
	}
	a.conn.Close()
	a.left = time.Now()
	a.note("the caller's connection ends, reset=%t", reset)
}

// sleep waits until a time after the caller's connection ended.
func (a *again) sleep(after time.Duration) { time.Sleep(time.Until(a.left.Add(after))) }

// stand lets daemons stand still from now on until a time after the caller's connection ended.
func (a *again) stand(until time.Duration, daemons ...*daemon) {
	for _, w := range a.users {
		a.note("the lease of %s ends at %s", w.ID, w.LeaseEnd().UTC().Format("15:04:05.000"))
	}
	for _, d := range daemons {
		a.note("%s stands still", d.name)
		d.Freeze()
		time.AfterFunc(time.Until(a.left.Add(until)), func() { d.Thaw(); a.note("%s goes on", d.name) })
	}
}

// awaitLease waits until a lease of a run would end after a time, but not for longer than to the limit.
func (a *again) awaitLease(after, limit time.Duration) {
	for time.Now().Before(a.left.Add(limit)) {
		for _, w := range a.users {
			if w.LeaseEnd().After(a.left.Add(after)) {
				return
			}
		}
		time.Sleep(againBeat)
	}
}

// comeAgain sends the job to the last daemon when the caller's pause is over, and judges.
func (a *again) comeAgain() {
	a.t.Helper()
	for time.Now().Before(a.left.Add(resendAfter)) && a.witness.RunningCount() > 0 {
		time.Sleep(againBeat)
	}
	a.note("%d tasks run", a.witness.RunningCount())
	a.sleep(resendAfter)
	a.note("comes again at %s", a.last.name)
	ctx, cancel := context.WithTimeout(context.Background(), judgedAfter)
	defer cancel()
	_, answer := a.call(ctx, http.MethodPost, a.last, prefix+a.id, "second-"+a.id, againBody(), againPatience)
	a.note("%d starts: %s", a.starts(a.id), answer)
	doubled := strings.Join(a.witness.RanConcurrently(), " ")
	if doubled != "" {
		a.t.Logf("acts:\n%s\nstory:\n%s", strings.Join(a.acts, "\n"), a.explain(a.id))
	}
	assert.Equal(a.t, doubled, "", "a task ran twice at the same time")
	a.t.Logf("acts:\n%s", strings.Join(a.acts, "\n"))
}
