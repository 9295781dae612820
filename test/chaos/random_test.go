// The test under a random schedule of faults.

package chaos

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lavendercleat/lavendercleat/schema"
	"github.com/lavendercleat/lavendercleat/test/cluster"
)

// Environment variables of the random schedule.
const (
	// lengthEnv is the duration for which the test injects faults, such as 60s.
	lengthEnv = "LAVENDERCLEAT_CHAOS"
	// seedEnv is the seed of the random numbers.
	seedEnv = "LAVENDERCLEAT_SEED"
)

const (
	defaultLength = 15 * time.Second
	// defaultSeed is the same in every run of CI. Other seeds may find new faults.
	defaultSeed = 1
	// runTime is the run time of a task whose payload gives none.
	runTime = 20 * time.Millisecond
	// callerCount is the number of callers that send jobs at the same time.
	callerCount = 40
)

// scheduleParameters returns the duration and the seed of the random schedule.
func scheduleParameters(t *testing.T) (length time.Duration, seed uint64) {
	t.Helper()
	length, seed = defaultLength, defaultSeed
	var err error
	if s := os.Getenv(lengthEnv); s != "" {
		length, err = time.ParseDuration(s)
		assert.NilError(t, err, lengthEnv)
	}
	if s := os.Getenv(seedEnv); s != "" {
		seed, err = strconv.ParseUint(s, 10, 64)
		assert.NilError(t, err, seedEnv)
	}
	return length, seed
}

// Guards against lost, conflicting or wrong answers and repeated starts under random faults, several at a time:
// entries are killed, frozen, stopped and restarted, failure domains are cut off, links go silent, the platform
// fails and backend servers misbehave. Callers send quotes and bookings through any entry, repeat them through
// others, and cancel some. After healing every submission must have its one final answer, and no guarantee to
// callers may be violated.
func TestRandomFaults(t *testing.T) {
	length, seed := scheduleParameters(t)
	t.Logf("%s=%d %s=%s", seedEnv, seed, lengthEnv, length)
	c := cluster.Start(t, cluster.Options{
		Domains: 3, Entries: 2, Workers: 3, OneProcess: true, RunTime: runTime,
		Seeds: true, WorkerProxy: true, PlatformProxy: true,
	})
	recorder := cluster.NewCallRecorder()
	balancer := cluster.NewBalancer(c.Entries)
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	var wg sync.WaitGroup
	for n := range callerCount {
		rng := rand.New(rand.NewPCG(seed, uint64(n)+1))
		wg.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				sendRandomJob(t, recorder, balancer, rng, fmt.Sprintf("%d/%d", n, i))
			}
		})
	}

	faults := newInjector(t, c, balancer, rand.New(rand.NewPCG(seed, 0)))
	for end := time.Now().Add(length); time.Now().Before(end); {
		faults.injectRandom()
		time.Sleep(faults.randomDuration(100, 600)) // The pause between two faults.
	}
	faults.waitHealed()
	stop()
	wg.Wait()
	waitIdle(t, c)
	t.Logf("%s=%d %s", seedEnv, seed, faults)
	t.Log(recorder.Check(t, c.RunRecord()))
}

// waitIdle waits until no entry has a running or waiting task.
func waitIdle(t *testing.T, c *cluster.Cluster) {
	t.Helper()
	for _, e := range c.Entries {
		cluster.Eventually(t, 20*time.Second, "the entry has no running or waiting tasks", func() bool {
			return e.Metric(t, "lavendercleat_running_tasks") == 0 && e.Metric(t, "lavendercleat_waiting_tasks") == 0
		})
	}
}

// sendRandomJob sends one random job until it has a final answer. It repeats some jobs through other entries
// at the same time, and cancels some.
func sendRandomJob(t *testing.T, recorder *cluster.CallRecorder, balancer *cluster.Balancer, rng *rand.Rand, mark string) {
	j := randomJob(rng, mark)
	repeats, cancels, delay := rng.IntN(3), rng.IntN(10) == 0, time.Duration(rng.IntN(200))*time.Millisecond
	ctx, cancel := context.WithTimeout(t.Context(), finalAnswerTimeout)
	defer cancel()
	id, ok := reserveAnywhere(ctx, balancer)
	if !ok {
		t.Errorf("no identifier could be reserved within %s", finalAnswerTimeout)
		return
	}
	recorder.RecordRequest(id, j)
	var wg sync.WaitGroup
	defer wg.Wait()
	for range repeats {
		wg.Go(func() {
			time.Sleep(delay)
			_, _ = recorder.Put(ctx, balancer.Pick(), id, j) // The PutUntilFinal below retries until a final answer.
		})
	}
	if cancels {
		wg.Go(func() {
			time.Sleep(delay)
			if r, err := balancer.Pick().Delete(ctx, id); err == nil {
				recorder.RecordReply(id, r)
			}
		})
	}
	_, _ = recorder.PutUntilFinal(ctx, balancer.Pick, id, j) // The recorder reports a job without a final answer.
}

// randomJob returns a quote or booking of 1 to 6 tasks, some of which have a random run time.
func randomJob(rng *rand.Rand, mark string) schema.Job {
	kind := cluster.Quote
	if rng.IntN(2) == 0 {
		kind = cluster.Booking
	}
	j := cluster.Job(kind, mark, 1+rng.IntN(6))
	for i := range j.Tasks {
		if rng.IntN(4) == 0 {
			j.Tasks[i].Payload = []byte(fmt.Sprintf(`{"mark":%q,"run_ms":%d}`, mark, rng.IntN(800)))
		}
	}
	return j
}

// reserveAnywhere reserves an identifier at any entry that answers. It reports false after the context ends.
func reserveAnywhere(ctx context.Context, balancer *cluster.Balancer) (string, bool) {
	for ctx.Err() == nil {
		if ids, err := balancer.Pick().Reserve(ctx, 1); err == nil {
			return ids[0], true
		}
		time.Sleep(50 * time.Millisecond)
	}
	return "", false
}
