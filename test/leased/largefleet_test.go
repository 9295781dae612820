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

// size is how large a run is.
type fleetSize struct {
	daemons, workers, callers int
	length                    time.Duration
	// strong is how many of the daemons have much processor.
	strongDaemons int
}

var (
	// smallSize is run in CI.
	smallSize = fleetSize{daemons: 6, workers: 30, callers: 10, length: 8 * time.Second, strongDaemons: 1}
	// grownSize is the grown deployment.
	largeSize = fleetSize{daemons: 45, workers: 350, callers: 60, strongDaemons: 6}
)

const (
	defaultFleetSeed = 1
	// weakCores and strongCores are what daemons have; the spells give them about that.
	weakCores, strongCores = 0.192, 0.8
	// grownTasks bounds the tasks of a job.
	maxJobTasks = 6
	// grownWork is how long tasks run on half of the workers: longer than callers' pause for sure.
	longRunTime = 2500 * time.Millisecond
	// grownPatience is the callers' deadline.
	fleetDeadline = 4 * time.Second
	// leaveWithin bounds after what time a caller that leaves does so.
	maxHangUpDelay = 1500 * time.Millisecond
	// leavers is the share of calls that end before their answers.
	hangUpShare = 0.35
)

var (
	weakCycle   = dutyCycle{off: 80 * time.Millisecond, on: 20 * time.Millisecond}
	strongCycle = dutyCycle{off: 20 * time.Millisecond, on: 80 * time.Millisecond}
)

// Overlapping faults of weak daemons, while callers come again: a run that is stopped too late meets its second start.
func TestGrownFleet(t *testing.T) {
	size, seed := smallSize, uint64(defaultFleetSeed)
	if text := os.Getenv("LAVENDERCLEAT_GROWN"); text != "" {
		size = largeSize
		var err error
		size.length, err = time.ParseDuration(text)
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
	t.Logf("seed %d: %d daemons, %d workers, %s", seed, size.daemons, size.workers, size.length)
	g := startFleetRun(t, size)
	g.run(seed)
	g.checkResults()
}

// grown is a fleet with its faults and callers.
type fleetRun struct {
	*testSystem
	size      fleetSize
	throttles []*cpuThrottle
	outcomes  *outcomes
	mu        sync.Mutex
	actions   []string
}

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

// note keeps what was done when, for the story of a doubled task.
func (g *fleetRun) logAction(format string, args ...any) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.actions = append(g.actions, time.Now().UTC().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
}

// play runs throttles, faults and callers.
func (g *fleetRun) run(seed uint64) {
	var wg, throttling sync.WaitGroup
	done := make(chan struct{})
	for _, h := range g.throttles {
		throttling.Go(func() { h.run(done) })
	}
	ctx, cancel := context.WithTimeout(context.Background(), g.size.length)
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

// pause is the time between two faults of a series.
func (g *fleetRun) waitBetweenFaults(ctx context.Context, r *rand.Rand) {
	select {
	case <-ctx.Done():
	case <-time.After(time.Duration(200+r.IntN(1800)) * time.Millisecond):
	}
}

// some picks a share of the daemons, one at least.
func (g *fleetRun) pickDaemons(r *rand.Rand, share float64) []int {
	return r.Perm(len(g.daemons))[:max(1, int(share*float64(len(g.daemons))))]
}

func (g *fleetRun) killDaemons(r *rand.Rand) {
	for _, i := range g.pickDaemons(r, 0.05) {
		g.logAction("d%d killed", i)
		g.throttles[i].kill()
		time.Sleep(time.Duration(r.IntN(800)) * time.Millisecond)
		g.throttles[i].restart()
	}
}

// standstills are of all lengths, some of them too short to be noticed.
func (g *fleetRun) freezeDaemons(r *rand.Rand) {
	for _, i := range g.pickDaemons(r, 0.1) {
		length := time.Duration(200+r.IntN(900)) * time.Millisecond
		g.logAction("d%d stands still for %s", i, length)
		g.throttles[i].override(dutyCycle{off: length, on: unthrottledInterval}, length)
	}
}

// starvings leave daemons even less for a while: each standstill too short to be noticed.
func (g *fleetRun) starveDaemons(r *rand.Rand) {
	for _, i := range g.pickDaemons(r, 0.17) {
		s := dutyCycle{off: time.Duration(150+r.IntN(300)) * time.Millisecond, on: time.Duration(2+r.IntN(12)) * time.Millisecond}
		length := time.Duration(1000+r.IntN(3000)) * time.Millisecond
		g.logAction("d%d runs for %s after each %s, for %s", i, s.on, s.off, length)
		g.throttles[i].override(s, length)
	}
}

// mutes silence the connections that exist of some daemons, or break them.
func (g *fleetRun) disruptConnections(r *rand.Rand) {
	breaks := r.IntN(3) == 0
	for _, i := range g.pickDaemons(r, 0.17) {
		g.logAction("links to d%d mute, broken=%t", i, breaks)
		if breaks {
			g.daemons[i].peerRelay.BreakExisting()
		} else {
			g.daemons[i].peerRelay.MuteExisting()
		}
	}
}

// cuts keep some daemons from their peers, some from the store too.
func (g *fleetRun) partitionDaemons(r *rand.Rand) {
	isolated := g.pickDaemons(r, 0.07)
	for _, i := range isolated {
		g.logAction("d%d cut off", i)
		g.daemons[i].peerRelay.Block()
		g.daemons[i].peerRelay.MuteExisting()
		if r.IntN(2) == 0 {
			g.daemons[i].storeRelay.Block()
			g.daemons[i].storeRelay.MuteExisting()
		}
	}
	time.Sleep(time.Duration(300+r.IntN(2500)) * time.Millisecond)
	for _, i := range isolated {
		g.logAction("d%d healed", i)
		g.daemons[i].peerRelay.Heal()
		g.daemons[i].storeRelay.Heal()
	}
}

// powerLoss ends all processes and starts them again, now and then.
func (g *fleetRun) restartAll(r *rand.Rand) {
	if r.IntN(12) != 0 {
		return
	}
	g.logAction("all are killed")
	var wg sync.WaitGroup
	for _, h := range g.throttles {
		pause := time.Duration(r.IntN(300)) * time.Millisecond
		wg.Go(func() { h.kill(); time.Sleep(pause); h.restart() })
	}
	wg.Wait()
	g.logAction("all back")
}

// caller hands in one job after the other.
func (g *fleetRun) runCaller(ctx context.Context, c int, r *rand.Rand) {
	for n := 0; ctx.Err() == nil; n++ {
		g.sendUntilAnswered(fmt.Sprintf("g%dn%d", c, n), 1+r.IntN(maxJobTasks), r)
	}
}

// job brings one job to a clear answer, at one daemon after the other.
func (g *fleetRun) sendUntilAnswered(id string, tasks int, r *rand.Rand) {
	body := fmt.Sprintf(`{"spec":"x","best-effort":true,"steps":[{"count":%d,"cpu":%d,"mem-mb":64,"estimate-ms":1500}]}`, tasks, taskCPU)
	for attempt := range sendAttempts {
		at := r.IntN(len(g.daemons))
		hangsUp, reset, hangUpAfter := r.Float64() < hangUpShare, r.IntN(2) == 0, time.Duration(r.Int64N(int64(maxHangUpDelay)))
		if !hangsUp || attempt == sendAttempts-1 {
			hangUpAfter = 0
		}
		status := g.sendOnce(at, id, attempt, body, hangUpAfter, reset)
		if g.recordStatus(id, attempt, status) {
			return
		}
		time.Sleep(resendAfter)
	}
	g.outcomes.mu.Lock()
	defer g.outcomes.mu.Unlock()
	g.outcomes.abandoned++
}

// count takes an answer and reports whether it is clear.
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

// visit makes one call, which the caller ends after a time unless that is 0; status 0 means no answer.
func (g *fleetRun) sendOnce(at int, id string, attempt int, body string, hangUpAfter time.Duration, reset bool) int {
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
	status, answer := g.callWithDialer(ctx, dial, http.MethodPost, g.daemons[at], prefix+id, fmt.Sprintf("%s-%d", id, attempt), body, fleetDeadline)
	if status == 0 {
		g.logAction("caller of %s, try %d, has left d%d, reset=%t: %s", id, attempt, at, reset, answer)
	}
	return status
}

// judge checks what must hold and tells the story of each doubled task.
func (g *fleetRun) checkResults() {
	g.t.Helper()
	explained := make(map[string]bool)
	concurrent := g.recorder.RanConcurrently()
	if len(concurrent) > 0 {
		g.t.Logf("doubled: %s\nacts:\n%s", strings.Join(concurrent, ", "), strings.Join(g.actions, "\n"))
	}
	for _, name := range concurrent {
		id, _, _ := strings.Cut(name, ".")
		if explained[id] {
			continue
		}
		explained[id] = true
		g.t.Logf("%s\nstory:\n%s", name, g.explain(id))
	}
	g.checkInvariants(g.outcomes)
	assert.Assert(g.t, g.outcomes.completed > 0)
}
