// The test of a large fleet under overlapping random faults of daemons with little CPU.

package leased

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lavendercleat/lavendercleat/platform/platformtest"
)

// fleetSize is the size of a test run.
type fleetSize struct {
	daemons, workers, callers int
	duration                  time.Duration
	// strongDaemons is how many of the daemons have much CPU.
	strongDaemons int
}

var (
	// smallSize is the size that CI runs.
	smallSize = fleetSize{daemons: 6, workers: 30, callers: 10, duration: 8 * time.Second, strongDaemons: 1}
	// largeSize is the size of the grown deployment.
	largeSize = fleetSize{daemons: 45, workers: 350, callers: 60, strongDaemons: 6}
)

const (
	defaultFleetSeed = 1
	// weakCores and strongCores are the cpu-share settings. The duty cycles give the daemons about that much.
	weakCores, strongCores = 0.192, 0.8
	// maxJobTasks limits the tasks of a job.
	maxJobTasks = 6
	// longRunTime is how long tasks run on half of the workers. It is longer than resendAfter.
	longRunTime = 2500 * time.Millisecond
	// fleetDeadline is the deadline of the callers' jobs.
	fleetDeadline = 4 * time.Second
	// maxHangUpDelay limits the time after which a caller hangs up.
	maxHangUpDelay = 1500 * time.Millisecond
	// hangUpShare is the share of attempts in which the caller hangs up before it gets an answer.
	hangUpShare = 0.35
)

// The duty cycles of weak and strong daemons without a fault.
var (
	weakCycle   = dutyCycle{paused: 80 * time.Millisecond, running: 20 * time.Millisecond}
	strongCycle = dutyCycle{paused: 20 * time.Millisecond, running: 80 * time.Millisecond}
)

// Faults of daemons with little CPU overlap while callers send their jobs again. A run that is
// stopped too late would overlap the second run of its task.
func TestLargeFleetUnderFaults(t *testing.T) {
	size, seed := smallSize, uint64(defaultFleetSeed)
	if text := os.Getenv("LAVENDERCLEAT_GROWN"); text != "" {
		size = largeSize
		var err error
		size.duration, err = time.ParseDuration(text)
		assert.NilError(t, err)
		if n, err := strconv.Atoi(os.Getenv("LAVENDERCLEAT_DAEMONS")); err == nil {
			size.daemons, size.workers = n, largeSize.workers*n/largeSize.daemons
		}
	}
	if text := os.Getenv("LAVENDERCLEAT_SEED"); text != "" {
		var err error
		seed, err = strconv.ParseUint(text, 10, 64)
		assert.NilError(t, err)
	}
	t.Logf("seed %d: %d daemons, %d workers, %s", seed, size.daemons, size.workers, size.duration)
	g := startFleetRun(t, size)
	g.run(seed)
	g.checkResults()
}

// fleetRun is a system with throttled daemons, its faults and its callers.
type fleetRun struct {
	*testSystem
	size      fleetSize
	throttles []*cpuThrottle
	outcomes  *outcomes
	mu        sync.Mutex
	actions   []string
}

// startFleetRun starts a system of a size. It does not throttle the daemons yet.
func startFleetRun(t *testing.T, size fleetSize) *fleetRun {
	t.Helper()
	g := &fleetRun{size: size, outcomes: new(outcomes)}
	g.testSystem = startCustomSystem(t, size.daemons, size.workers, shortTasks, true, func(i int, d *daemon) {
		d.cpuCores, d.env = weakCores, []string{"GOMAXPROCS=1"}
		if i < size.strongDaemons {
			d.cpuCores = strongCores
		}
	})
	for i, w := range g.workers {
		if w.SetBehaviour(normalBehaviour(i)); i%2 == 0 {
			w.SetBehaviour(platformtest.WorkerBehaviour{RunTime: longRunTime})
		}
	}
	for i, d := range g.daemons {
		h := &cpuThrottle{daemon: d, normal: weakCycle}
		if i < size.strongDaemons {
			h.normal = strongCycle
		}
		g.throttles = append(g.throttles, h)
	}
	return g
}

// logAction records an action of the test. A failed test prints the actions.
func (g *fleetRun) logAction(format string, args ...any) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.actions = append(g.actions, time.Now().UTC().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
}

// run throttles the daemons, injects faults and runs the callers until the size's duration is over.
func (g *fleetRun) run(seed uint64) {
	var wg, throttling sync.WaitGroup
	done := make(chan struct{})
	for _, h := range g.throttles {
		throttling.Go(func() { h.run(done) })
	}
	ctx, cancel := context.WithTimeout(context.Background(), g.size.duration)
	defer cancel()
	series := []func(*rand.Rand){g.killDaemons, g.freezeDaemons, g.starveDaemons, g.disruptConnections, g.partitionDaemons, g.restartAll}
	for n, inject := range series {
		wg.Go(func() {
			r := rand.New(rand.NewPCG(seed, uint64(n)))
			for g.waitBetweenFaults(ctx, r); ctx.Err() == nil; g.waitBetweenFaults(ctx, r) {
				inject(r)
			}
		})
	}
	for c := range g.size.callers {
		wg.Go(func() { g.runCaller(ctx, c, rand.New(rand.NewPCG(seed, uint64(1000+c)))) })
	}
	wg.Wait()
	close(done)
	throttling.Wait()
}

// waitBetweenFaults waits for a random time between two faults of a series.
func (g *fleetRun) waitBetweenFaults(ctx context.Context, r *rand.Rand) {
	select {
	case <-ctx.Done():
	case <-time.After(time.Duration(200+r.IntN(1800)) * time.Millisecond):
	}
}

// pickDaemons picks a random share of the daemons, at least one, and returns their indexes.
func (g *fleetRun) pickDaemons(r *rand.Rand, share float64) []int {
	return r.Perm(len(g.daemons))[:max(1, int(share*float64(len(g.daemons))))]
}

// killDaemons kills and restarts some daemons, one after the other.
func (g *fleetRun) killDaemons(r *rand.Rand) {
	for _, i := range g.pickDaemons(r, 0.05) {
		g.logAction("d%d killed", i)
		g.throttles[i].kill()
		time.Sleep(time.Duration(r.IntN(800)) * time.Millisecond)
		g.throttles[i].restart()
	}
}

// freezeDaemons freezes some daemons for 200 to 1100 ms. Some of these pauses are too short to be detected.
func (g *fleetRun) freezeDaemons(r *rand.Rand) {
	for _, i := range g.pickDaemons(r, 0.1) {
		length := time.Duration(200+r.IntN(900)) * time.Millisecond
		g.logAction("d%d frozen for %s", i, length)
		g.throttles[i].override(dutyCycle{paused: length, running: unthrottledInterval}, length)
	}
}

// starveDaemons gives some daemons even less CPU for a while. Each pause is too short to be detected.
func (g *fleetRun) starveDaemons(r *rand.Rand) {
	for _, i := range g.pickDaemons(r, 0.17) {
		cycle := dutyCycle{paused: time.Duration(150+r.IntN(300)) * time.Millisecond, running: time.Duration(2+r.IntN(12)) * time.Millisecond}
		length := time.Duration(1000+r.IntN(3000)) * time.Millisecond
		g.logAction("d%d runs for %s after each pause of %s, for %s", i, cycle.running, cycle.paused, length)
		g.throttles[i].override(cycle, length)
	}
}

// disruptConnections silences the existing peer connections of some daemons, or breaks them.
func (g *fleetRun) disruptConnections(r *rand.Rand) {
	breaks := r.IntN(3) == 0
	for _, i := range g.pickDaemons(r, 0.17) {
		g.logAction("connections to d%d silenced, broken=%t", i, breaks)
		if breaks {
			g.daemons[i].peerProxy.BreakExisting()
		} else {
			g.daemons[i].peerProxy.MuteExisting()
		}
	}
}

// partitionDaemons cuts some daemons off from their peers for a while, and some of these from the store too.
func (g *fleetRun) partitionDaemons(r *rand.Rand) {
	isolated := g.pickDaemons(r, 0.07)
	for _, i := range isolated {
		g.logAction("d%d cut off", i)
		g.daemons[i].peerProxy.Block()
		g.daemons[i].peerProxy.MuteExisting()
		if r.IntN(2) == 0 {
			g.daemons[i].storeProxy.Block()
			g.daemons[i].storeProxy.MuteExisting()
		}
	}
	time.Sleep(time.Duration(300+r.IntN(2500)) * time.Millisecond)
	for _, i := range isolated {
		g.logAction("d%d reconnected", i)
		g.daemons[i].peerProxy.Unblock()
		g.daemons[i].storeProxy.Unblock()
	}
}

// restartAll kills and restarts all daemons, at random in one of twelve calls.
func (g *fleetRun) restartAll(r *rand.Rand) {
	if r.IntN(12) != 0 {
		return
	}
	g.logAction("all daemons killed")
	var wg sync.WaitGroup
	for _, h := range g.throttles {
		pause := time.Duration(r.IntN(300)) * time.Millisecond
		wg.Go(func() { h.kill(); time.Sleep(pause); h.restart() })
	}
	wg.Wait()
	g.logAction("all daemons restarted")
}

// runCaller sends one job after the other until ctx ends.
func (g *fleetRun) runCaller(ctx context.Context, c int, r *rand.Rand) {
	for n := 0; ctx.Err() == nil; n++ {
		g.sendUntilAnswered(fmt.Sprintf("g%dn%d", c, n), 1+r.IntN(maxJobTasks), r)
	}
}

// sendUntilAnswered sends a job to random daemons until the answer is clear. The caller hangs up in
// some of the attempts.
func (g *fleetRun) sendUntilAnswered(id string, tasks int, r *rand.Rand) {
	body := fmt.Sprintf(`{"spec":"x","best-effort":true,"steps":[{"count":%d,"cpu":%d,"mem-mb":64,"estimate-ms":1500}]}`, tasks, taskCPU)
	for attempt := range sendAttempts {
		daemonIndex := r.IntN(len(g.daemons))
		hangsUp, reset, hangUpAfter := r.Float64() < hangUpShare, r.IntN(2) == 0, time.Duration(r.Int64N(int64(maxHangUpDelay)))
		if !hangsUp || attempt == sendAttempts-1 {
			hangUpAfter = 0
		}
		status := g.sendOnce(daemonIndex, id, attempt, body, hangUpAfter, reset)
		if g.recordStatus(id, attempt, status) {
			return
		}
		time.Sleep(resendAfter)
	}
	g.outcomes.mu.Lock()
	defer g.outcomes.mu.Unlock()
	g.outcomes.abandoned++
}

// recordStatus counts the status of an answer and reports whether the answer is clear.
func (g *fleetRun) recordStatus(id string, attempt, status int) bool {
	g.outcomes.mu.Lock()
	defer g.outcomes.mu.Unlock()
	switch status {
	case http.StatusOK:
		g.outcomes.completed++
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		g.outcomes.refused++
		if attempt == 0 {
			g.outcomes.refusedFirst = append(g.outcomes.refusedFirst, id)
		}
	default:
		g.outcomes.unclear++
		return false
	}
	return true
}

// sendOnce sends a job once. The caller hangs up after a time unless that is 0; with reset set the
// daemon gets a TCP reset. Status 0 means no answer.
func (g *fleetRun) sendOnce(daemonIndex int, id string, attempt int, body string, hangUpAfter time.Duration, reset bool) int {
	ctx, cancel := context.WithTimeout(context.Background(), fleetDeadline)
	defer cancel()
	if hangUpAfter > 0 {
		var cancelEarly context.CancelFunc
		ctx, cancelEarly = context.WithTimeout(ctx, hangUpAfter)
		defer cancelEarly()
	}
	var d net.Dialer
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := d.DialContext(ctx, network, address)
		if err == nil && reset {
			_ = c.(*net.TCPConn).SetLinger(0)
		}
		return c, err
	}
	status, answer := g.callWithDialer(ctx, dial, http.MethodPost, g.daemons[daemonIndex], prefix+id, fmt.Sprintf("%s-%d", id, attempt), body, fleetDeadline)
	if status == 0 {
		g.logAction("caller of %s, attempt %d, left d%d, reset=%t: %s", id, attempt, daemonIndex, reset, answer)
	}
	return status
}

// checkResults checks the invariants and logs the explanation of each task that ran twice at once.
func (g *fleetRun) checkResults() {
	g.t.Helper()
	explained := make(map[string]bool)
	concurrent := g.recorder.RanConcurrently()
	if len(concurrent) > 0 {
		g.t.Logf("ran concurrently: %s\nactions:\n%s", strings.Join(concurrent, ", "), strings.Join(g.actions, "\n"))
	}
	for _, name := range concurrent {
		id, _, _ := strings.Cut(name, ".")
		if explained[id] {
			continue
		}
		explained[id] = true
		g.t.Logf("%s\nexplanation:\n%s", name, g.explain(id))
	}
	g.checkInvariants(g.outcomes)
	assert.Assert(g.t, g.outcomes.completed > 0)
}
