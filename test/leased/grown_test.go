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
type size struct {
	daemons, workers, callers int
	length                    time.Duration
	// strong is how many of the daemons have much processor.
	strong int
}

var (
	// smallSize is run in CI.
	smallSize = size{daemons: 6, workers: 30, callers: 10, length: 8 * time.Second, strong: 1}
	// grownSize is the grown deployment.
	grownSize = size{daemons: 45, workers: 350, callers: 60, strong: 6}
)

const (
	grownSeed = 1
	// weakCores and strongCores are what daemons have; the spells give them about that.
	weakCores, strongCores = 0.192, 0.8
	// grownTasks bounds the tasks of a job.
	grownTasks = 6
	// grownWork is how long tasks run on half of the workers: longer than callers' pause for sure.
	grownWork = 2500 * time.Millisecond
	// grownPatience is the callers' deadline.
	grownPatience = 4 * time.Second
	// leaveWithin bounds after what time a caller that leaves does so.
	leaveWithin = 1500 * time.Millisecond
	// leavers is the share of calls that end before their answers.
	leavers = 0.35
)

var (
	weakSpell   = spell{off: 80 * time.Millisecond, on: 20 * time.Millisecond}
	strongSpell = spell{off: 20 * time.Millisecond, on: 80 * time.Millisecond}
)

// Overlapping faults of weak daemons, while callers come again: a run that is stopped too late meets its second start.
func TestGrownFleet(t *testing.T) {
	z, seed := smallSize, uint64(grownSeed)
	if text := os.Getenv("LAVENDERCLEAT_GROWN"); text != "" {
		z = grownSize
		var err error
		z.length, err = time.ParseDuration(text)
		assert.NilError(t, err)
		if n, err := strconv.Atoi(os.Getenv("LAVENDERCLEAT_DAEMONS")); err == nil {
			z.daemons, z.workers = n, grownSize.workers*n/grownSize.daemons
		}
	}
	if text := os.Getenv("LAVENDERCLEAT_SEED"); text != "" {
		var err error
		seed, err = strconv.ParseUint(text, 10, 64)
		assert.NilError(t, err)
	}
	t.Logf("seed %d: %d daemons, %d workers, %s", seed, z.daemons, z.workers, z.length)
	g := startGrown(t, z)
	g.play(seed)
	g.judge()
}

// grown is a fleet with its faults and callers.
type grown struct {
	*system
	z         size
	throttles []*throttle
	out       *tally
	mu        sync.Mutex
	acts      []string
}

func startGrown(t *testing.T, z size) *grown {
	t.Helper()
	g := &grown{z: z, out: new(tally)}
	g.system = startUnequal(t, z.daemons, z.workers, quick, true, func(i int, d *daemon) {
		d.cores, d.env = weakCores, []string{"GOMAXPROCS=1"}
		if i < z.strong {
			d.cores = strongCores
		}
	})
	for i, w := range g.workers {
		if w.SetBehaviour(usual(i)); i%2 == 0 {
			w.SetBehaviour(platformtest.WorkerBehaviour{RunTime: grownWork})
		}
	}
	for i, d := range g.daemons {
		h := &throttle{d: d, usual: weakSpell}
		if i < z.strong {
			h.usual = strongSpell
		}
		g.throttles = append(g.throttles, h)
	}
	return g
}

// note keeps what was done when, for the story of a doubled task.
func (g *grown) note(format string, args ...any) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.acts = append(g.acts, time.Now().UTC().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
}

// play runs throttles, faults and callers.
func (g *grown) play(seed uint64) {
	var wg, slow sync.WaitGroup
	done := make(chan struct{})
	for _, h := range g.throttles {
		slow.Go(func() { h.run(done) })
	}
	ctx, cancel := context.WithTimeout(context.Background(), g.z.length)
	defer cancel()
	series := []func(*rand.Rand){g.kills, g.standstills, g.starvings, g.mutes, g.cuts, g.powerLoss}
	for n, one := range series {
		wg.Go(func() {
			r := rand.New(rand.NewPCG(seed, uint64(n)))
			for g.pause(ctx, r); ctx.Err() == nil; g.pause(ctx, r) {
				one(r)
			}
		})
	}
	for c := range g.z.callers {
		wg.Go(func() { g.caller(ctx, c, rand.New(rand.NewPCG(seed, uint64(1000+c)))) })
	}
	wg.Wait()
	close(done)
	slow.Wait()
}

// pause is the time between two faults of a series.
func (g *grown) pause(ctx context.Context, r *rand.Rand) {
	select {
	case <-ctx.Done():
	case <-time.After(time.Duration(200+r.IntN(1800)) * time.Millisecond):
	}
}

// some picks a share of the daemons, one at least.
func (g *grown) some(r *rand.Rand, share float64) []int {
	return r.Perm(len(g.daemons))[:max(1, int(share*float64(len(g.daemons))))]
}

func (g *grown) kills(r *rand.Rand) {
	for _, i := range g.some(r, 0.05) {
		g.note("d%d killed", i)
		g.throttles[i].kill()
		time.Sleep(time.Duration(r.IntN(800)) * time.Millisecond)
		g.throttles[i].back()
	}
}

// standstills are of all lengths, some of them too short to be noticed.
func (g *grown) standstills(r *rand.Rand) {
	for _, i := range g.some(r, 0.1) {
		length := time.Duration(200+r.IntN(900)) * time.Millisecond
		g.note("d%d stands still for %s", i, length)
		g.throttles[i].starve(spell{off: length, on: freely}, length)
	}
}

// starvings leave daemons even less for a while: each standstill too short to be noticed.
func (g *grown) starvings(r *rand.Rand) {
	for _, i := range g.some(r, 0.17) {
		s := spell{off: time.Duration(150+r.IntN(300)) * time.Millisecond, on: time.Duration(2+r.IntN(12)) * time.Millisecond}
		length := time.Duration(1000+r.IntN(3000)) * time.Millisecond
		g.note("d%d runs for %s after each %s, for %s", i, s.on, s.off, length)
		g.throttles[i].starve(s, length)
	}
}

// mutes silence the connections that exist of some daemons, or break them.
func (g *grown) mutes(r *rand.Rand) {
	breaks := r.IntN(3) == 0
	for _, i := range g.some(r, 0.17) {
		g.note("links to d%d mute, broken=%t", i, breaks)
		if breaks {
			g.daemons[i].relay.BreakExisting()
		} else {
			g.daemons[i].relay.MuteExisting()
		}
	}
}

// cuts keep some daemons from their peers, some from the store too.
func (g *grown) cuts(r *rand.Rand) {
	cut := g.some(r, 0.07)
	for _, i := range cut {
		g.note("d%d cut off", i)
		g.daemons[i].relay.Block()
		g.daemons[i].relay.MuteExisting()
		if r.IntN(2) == 0 {
			g.daemons[i].store.Block()
			g.daemons[i].store.MuteExisting()
		}
	}
	time.Sleep(time.Duration(300+r.IntN(2500)) * time.Millisecond)
	for _, i := range cut {
		g.note("d%d healed", i)
		g.daemons[i].relay.Heal()
		g.daemons[i].store.Heal()
	}
}

// powerLoss ends all processes and starts them again, now and then.
func (g *grown) powerLoss(r *rand.Rand) {
	if r.IntN(12) != 0 {
		return
	}
	g.note("all are killed")
	var wg sync.WaitGroup
	for _, h := range g.throttles {
		pause := time.Duration(r.IntN(300)) * time.Millisecond
		wg.Go(func() { h.kill(); time.Sleep(pause); h.back() })
	}
	wg.Wait()
	g.note("all back")
}

// caller hands in one job after the other.
func (g *grown) caller(ctx context.Context, c int, r *rand.Rand) {
	for n := 0; ctx.Err() == nil; n++ {
		g.job(fmt.Sprintf("g%dn%d", c, n), 1+r.IntN(grownTasks), r)
	}
}

// job brings one job to a clear answer, at one daemon after the other.
func (g *grown) job(id string, tasks int, r *rand.Rand) {
	body := fmt.Sprintf(`{"spec":"x","best-effort":true,"steps":[{"count":%d,"cpu":%d,"mem-mb":64,"estimate-ms":1500}]}`, tasks, taskCPU)
	for try := range tries {
		at := r.IntN(len(g.daemons))
		leaves, reset, after := r.Float64() < leavers, r.IntN(2) == 0, time.Duration(r.Int64N(int64(leaveWithin)))
		if !leaves || try == tries-1 {
			after = 0
		}
		status := g.visit(at, id, try, body, after, reset)
		if g.count(id, try, status) {
			return
		}
		time.Sleep(resendAfter)
	}
	g.out.mu.Lock()
	defer g.out.mu.Unlock()
	g.out.abandoned++
}

// count takes an answer and reports whether it is clear.
func (g *grown) count(id string, try, status int) bool {
	g.out.mu.Lock()
	defer g.out.mu.Unlock()
	switch status {
	case http.StatusOK:
		g.out.completed++
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		g.out.refused++
		if try == 0 {
			g.out.notRun = append(g.out.notRun, id)
		}
	default:
		g.out.unclear++
		return false
	}
	return true
}

// visit makes one call, which the caller ends after a time unless that is 0; status 0 means no answer.
func (g *grown) visit(at int, id string, try int, body string, after time.Duration, reset bool) int {
	ctx, cancel := context.WithTimeout(context.Background(), grownPatience)
	defer cancel()
	if after > 0 {
		var cancelEarly context.CancelFunc
		ctx, cancelEarly = context.WithTimeout(ctx, after)
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
	status, answer := g.callBy(ctx, dial, http.MethodPost, g.daemons[at], prefix+id, fmt.Sprintf("%s-%d", id, try), body, grownPatience)
	if status == 0 {
		g.note("caller of %s, try %d, has left d%d, reset=%t: %s", id, try, at, reset, answer)
	}
	return status
}

// judge checks what must hold and tells the story of each doubled task.
func (g *grown) judge() {
	g.t.Helper()
	told := make(map[string]bool)
	doubled := g.witness.RanConcurrently()
	if len(doubled) > 0 {
		g.t.Logf("doubled: %s\nacts:\n%s", strings.Join(doubled, ", "), strings.Join(g.acts, "\n"))
	}
	for _, name := range doubled {
		id, _, _ := strings.Cut(name, ".")
		if told[id] {
			continue
		}
		told[id] = true
		g.t.Logf("%s\nstory:\n%s", name, g.explain(id))
	}
	g.check(g.out)
	assert.Assert(g.t, g.out.completed > 0)
}
