// The tests of callers that send a job again to another daemon while its first runs end late.

package leased

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/lavendercleat/lavendercleat/test/cluster"
)

const (
	// undetectedPause is a pause that a daemon with few peers does not detect itself.
	undetectedPause = 680 * time.Millisecond
	// justBeforeDetection is just before executors detect that a silent coordinator is unreachable.
	justBeforeDetection = 740 * time.Millisecond
	// resendOverlap is when a run that has not ended surely overlaps the caller's second attempt.
	resendOverlap = resendAfter + 60*time.Millisecond
	// manyDaemons is so many that the coordinator does not take over all workers of an unreachable daemon.
	manyDaemons = 9
	// A starved daemon runs for starvedRun after each starvedPause. It detects none of these pauses.
	starvedPause = 450 * time.Millisecond
	starvedRun   = time.Millisecond
	// resendRounds is the number of rounds of a test that depends on moments which it cannot choose.
	resendRounds = 4
)

// The coordinator pauses, then the executor. Both pauses are too short to be detected. The executor
// would stop the first runs only after the caller's second attempt.
func TestResendAfterTwoUndetectedPauses(t *testing.T) {
	t.Parallel()
	for round := range resendRounds {
		t.Run(fmt.Sprint(round), func(t *testing.T) {
			a := startResendScenario(t, manyDaemons, true)
			a.startJob(a.coordinator.callerAddress)
			a.disconnectedAt = time.Now()
			a.freezeUntil(undetectedPause, a.coordinator)
			a.disconnect(false)
			a.sleepUntil(undetectedPause - 150*time.Millisecond)
			a.waitForLeaseBeyond(resendOverlap, undetectedPause-20*time.Millisecond)
			a.freezeUntil(2*undetectedPause, a.executors...)
			a.resendAndCheck()
		})
	}
}

// The coordinator pauses, and the executor pauses just when it would detect the coordinator's
// silence. It would stop the first runs only after the caller's second attempt.
func TestResendWithPausedCoordinatorAndExecutor(t *testing.T) {
	t.Parallel()
	for round := range resendRounds {
		t.Run(fmt.Sprint(round), func(t *testing.T) {
			a := startResendScenario(t, resendDaemons, true)
			a.startJob(a.coordinator.callerAddress)
			a.disconnectedAt = time.Now()
			a.freezeUntil(2*time.Second, a.coordinator)
			a.disconnect(true)
			a.sleepUntil(justBeforeDetection - 250*time.Millisecond)
			a.waitForLeaseBeyond(resendOverlap, justBeforeDetection)
			a.freezeUntil(justBeforeDetection+undetectedPause, a.executors...)
			a.resendAndCheck()
		})
	}
}

// A partition drops the coordinator's withdrawal of the tasks, and the executor pauses just when it
// would detect the partition. It would stop the first runs only after the caller's second attempt.
func TestResendDuringPartitionWithPausedExecutor(t *testing.T) {
	t.Parallel()
	for round := range resendRounds {
		t.Run(fmt.Sprint(round), func(t *testing.T) {
			a := startResendScenario(t, resendDaemons, true)
			a.startJob(a.coordinator.callerAddress)
			a.partition()
			a.disconnect(true)
			a.sleepUntil(justBeforeDetection - 250*time.Millisecond)
			a.waitForLeaseBeyond(resendOverlap, justBeforeDetection)
			a.freezeUntil(justBeforeDetection+undetectedPause, a.executors...)
			a.resendAndCheck()
		})
	}
}

// A partition drops the coordinator's withdrawal of the tasks, and no daemon pauses. The executor
// detects the coordinator's silence just in time; a later stop would overlap the second attempt.
func TestResendDuringPartition(t *testing.T) {
	t.Parallel()
	a := startResendScenario(t, resendDaemons, true)
	a.startJob(a.coordinator.callerAddress)
	a.partition()
	a.disconnect(true)
	a.resendAndCheck()
}

// The existing connections between daemons go silent when a caller hangs up. The withdrawal of its
// tasks has to arrive on new connections before the second attempt.
func TestResendWithMutedPeerConnections(t *testing.T) {
	t.Parallel()
	a := startResendScenario(t, resendDaemons, true)
	a.startJob(a.coordinator.callerAddress)
	for _, d := range a.daemons {
		d.peerProxy.MuteExisting()
	}
	a.disconnect(false)
	a.resendAndCheck()
}

// The caller's connection is reset on the caller's side only, so the coordinator does not learn that
// its caller has left. The first runs would overlap the second attempt.
func TestResendWithHalfOpenCallerConnection(t *testing.T) {
	t.Parallel()
	a := startResendScenario(t, resendDaemons, true)
	proxy := cluster.NewTCPProxy(t, a.coordinator.callerAddress)
	a.startJob(proxy.Address())
	proxy.StallExisting()
	a.disconnect(true)
	a.resendAndCheck()
}

// A paused coordinator reads a request after its caller has hung up. It starts the tasks, and a
// second pause keeps it from reading the hang-up before the second attempt.
func TestResendAfterRequestReadLate(t *testing.T) {
	t.Parallel()
	for round := range resendRounds {
		t.Run(fmt.Sprint(round), func(t *testing.T) {
			a := startResendScenario(t, resendDaemons, true)
			a.disconnectedAt = time.Now()
			a.freezeUntil(undetectedPause, a.coordinator)
			a.callerConn = a.sendJobOnConn(a.id, a.coordinator.callerAddress)
			a.disconnect(false)
			for until := a.disconnectedAt.Add(time.Second); time.Now().Before(until) && a.countStarted(a.id) == 0; {
				time.Sleep(pollInterval / 10)
			}
			a.freezeUntil(2*undetectedPause, a.coordinator)
			a.resendAndCheck()
		})
	}
}

// The coordinator is killed while the executors of its tasks have little CPU time. They would stop
// the first runs too late.
func TestResendAfterKilledCoordinator(t *testing.T) {
	t.Parallel()
	for round := range resendRounds {
		t.Run(fmt.Sprint(round), func(t *testing.T) {
			a := startResendScenario(t, resendDaemons, false)
			a.startJob(a.coordinator.callerAddress)
			defer a.starveCPU(starvedPause, starvedRun, a.executors...)()
			a.disconnectedAt = time.Now()
			a.coordinator.Kill()
			a.logAction("coordinator killed")
			a.resendAndCheck()
		})
	}
}

// A caller hangs up while the coordinator and the executors of its tasks have little CPU time. The
// withdrawal of the tasks would arrive after the second attempt.
func TestResendWithStarvedCoordinatorAndExecutors(t *testing.T) {
	t.Parallel()
	for round := range resendRounds {
		t.Run(fmt.Sprint(round), func(t *testing.T) {
			a := startResendScenario(t, resendDaemons, true)
			a.startJob(a.coordinator.callerAddress)
			defer a.starveCPU(starvedPause, starvedRun, a.coordinator)()
			a.disconnect(true)
			a.sleepUntil(starvedPause / 2)
			defer a.starveCPU(starvedPause, starvedRun, a.executors...)()
			a.resendAndCheck()
		})
	}
}

// A caller hangs up while only the executors have little CPU time. They would carry out the
// withdrawal of the tasks after the second attempt.
func TestResendWithStarvedExecutors(t *testing.T) {
	t.Parallel()
	for round := range resendRounds {
		t.Run(fmt.Sprint(round), func(t *testing.T) {
			a := startResendScenario(t, resendDaemons, true)
			a.startJob(a.coordinator.callerAddress)
			defer a.starveCPU(starvedPause, starvedRun, a.executors...)()
			a.disconnect(true)
			a.resendAndCheck()
		})
	}
}

// partition silences all existing connections between daemons. New connections work only to the
// second daemon.
func (a *resendScenario) partition() {
	a.logAction("partition")
	for _, d := range a.daemons {
		if d != a.secondDaemon {
			d.peerProxy.Block()
		}
		d.peerProxy.MuteExisting()
	}
}

// starveCPU lets the daemons run only for short times, until the returned function is called.
func (a *resendScenario) starveCPU(paused, running time.Duration, daemons ...*daemon) (stop func()) {
	done := make(chan struct{})
	var wg sync.WaitGroup
	for _, d := range daemons {
		a.logAction("%s runs for %s after each pause of %s", d.name, running, paused)
		wg.Go(func() {
			defer d.Thaw()
			for {
				d.Freeze()
				select {
				case <-done:
					return
				case <-time.After(paused):
				}
				d.Thaw()
				time.Sleep(running)
			}
		})
	}
	return func() { close(done); wg.Wait() }
}
