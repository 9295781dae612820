package leased

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/lavendercleat/lavendercleat/test/cluster"
)

const (
	// unnoticed is a standstill that a daemon with few peers doesn't notice itself.
	undetectedPause = 680 * time.Millisecond
	// noticed is before executors notice the loss of a coordinator that went silent.
	beforeDetection = 740 * time.Millisecond
	// meets is when a run that has not ended surely meets the caller's second try.
	resendOverlap = resendAfter + 60*time.Millisecond
	// againMany daemons: the first doesn't succeed all of another's workers.
	manyDaemons = 9
	// A starved daemon runs for starvedOn after each starvedOff: none of the standstills is noticed.
	starvedOff = 450 * time.Millisecond
	starvedOn  = time.Millisecond
	// againRounds repeat what depends on moments that a test can't choose.
	resendRounds = 4
)

// A coordinator, then its executor stand still, each unnoticed: the stop comes after the caller's second try.
func TestResendAfterTwoUndetectedPauses(t *testing.T) {
	t.Parallel()
	for round := range resendRounds {
		t.Run(fmt.Sprint(round), func(t *testing.T) {
			a := startResendScenario(t, manyDaemons, true)
			a.runJob(a.coordinator.callerAddress)
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

// An executor stands still as it would notice its coordinator's silence: the stop comes after the second try.
func TestResendWithPausedCoordinatorAndExecutor(t *testing.T) {
	t.Parallel()
	for round := range resendRounds {
		t.Run(fmt.Sprint(round), func(t *testing.T) {
			a := startResendScenario(t, resendDaemons, true)
			a.runJob(a.coordinator.callerAddress)
			a.disconnectedAt = time.Now()
			a.freezeUntil(2*time.Second, a.coordinator)
			a.disconnect(true)
			a.sleepUntil(beforeDetection - 250*time.Millisecond)
			a.waitForLeaseBeyond(resendOverlap, beforeDetection)
			a.freezeUntil(beforeDetection+undetectedPause, a.executors...)
			a.resendAndCheck()
		})
	}
}

// A withdrawal is cut off, and the executor stands still as it would notice: the stop comes after the second try.
func TestResendDuringPartitionWithPausedExecutor(t *testing.T) {
	t.Parallel()
	for round := range resendRounds {
		t.Run(fmt.Sprint(round), func(t *testing.T) {
			a := startResendScenario(t, resendDaemons, true)
			a.runJob(a.coordinator.callerAddress)
			a.partition()
			a.disconnect(true)
			a.sleepUntil(beforeDetection - 250*time.Millisecond)
			a.waitForLeaseBeyond(resendOverlap, beforeDetection)
			a.freezeUntil(beforeDetection+undetectedPause, a.executors...)
			a.resendAndCheck()
		})
	}
}

// The same with daemons that are well: silence is noticed in time, but only just.
func TestResendDuringPartition(t *testing.T) {
	t.Parallel()
	a := startResendScenario(t, resendDaemons, true)
	a.runJob(a.coordinator.callerAddress)
	a.partition()
	a.disconnect(true)
	a.resendAndCheck()
}

// Connections between daemons go mute as a caller hangs up: new ones carry the withdrawal.
func TestResendWithMutedPeerConnections(t *testing.T) {
	t.Parallel()
	a := startResendScenario(t, resendDaemons, true)
	a.runJob(a.coordinator.callerAddress)
	for _, d := range a.daemons {
		d.peerRelay.MuteExisting()
	}
	a.disconnect(false)
	a.resendAndCheck()
}

// The caller's connection is reset on its side only: the daemon hears nothing of it.
func TestResendWithHalfOpenCallerConnection(t *testing.T) {
	t.Parallel()
	a := startResendScenario(t, resendDaemons, true)
	relay := cluster.RelayTo(t, a.coordinator.callerAddress)
	a.runJob(relay.Address())
	relay.StallExisting()
	a.disconnect(true)
	a.resendAndCheck()
}

// A request read after its caller has left: its tasks start, and the hang-up lies unread in a second standstill.
func TestResendAfterRequestReadLate(t *testing.T) {
	t.Parallel()
	for round := range resendRounds {
		t.Run(fmt.Sprint(round), func(t *testing.T) {
			a := startResendScenario(t, resendDaemons, true)
			a.disconnectedAt = time.Now()
			a.freezeUntil(undetectedPause, a.coordinator)
			a.callerConn = a.sendOnConn(a.id, a.coordinator.callerAddress)
			a.disconnect(false)
			for until := a.disconnectedAt.Add(time.Second); time.Now().Before(until) && a.countStarted(a.id) == 0; {
				time.Sleep(pollInterval / 10)
			}
			a.freezeUntil(2*undetectedPause, a.coordinator)
			a.resendAndCheck()
		})
	}
}

// A coordinator is killed, and the executors of its tasks get little processor.
func TestResendAfterKilledCoordinator(t *testing.T) {
	t.Parallel()
	for round := range resendRounds {
		t.Run(fmt.Sprint(round), func(t *testing.T) {
			a := startResendScenario(t, resendDaemons, false)
			a.runJob(a.coordinator.callerAddress)
			defer a.starveCPU(starvedOff, starvedOn, a.executors...)()
			a.disconnectedAt = time.Now()
			a.coordinator.Kill()
			a.logAction("killed")
			a.resendAndCheck()
		})
	}
}

// A caller hangs up at a coordinator that gets little processor, as the executors of its tasks do.
func TestResendWithStarvedCoordinatorAndExecutors(t *testing.T) {
	t.Parallel()
	for round := range resendRounds {
		t.Run(fmt.Sprint(round), func(t *testing.T) {
			a := startResendScenario(t, resendDaemons, true)
			a.runJob(a.coordinator.callerAddress)
			defer a.starveCPU(starvedOff, starvedOn, a.coordinator)()
			a.disconnect(true)
			a.sleepUntil(starvedOff / 2)
			defer a.starveCPU(starvedOff, starvedOn, a.executors...)()
			a.resendAndCheck()
		})
	}
}

// A caller hangs up at a well coordinator, and only the executors get little processor.
func TestResendWithStarvedExecutors(t *testing.T) {
	t.Parallel()
	for round := range resendRounds {
		t.Run(fmt.Sprint(round), func(t *testing.T) {
			a := startResendScenario(t, resendDaemons, true)
			a.runJob(a.coordinator.callerAddress)
			defer a.starveCPU(starvedOff, starvedOn, a.executors...)()
			a.disconnect(true)
			a.resendAndCheck()
		})
	}
}

// cut keeps all but the last daemon from hearing of each other.
func (a *resendScenario) partition() {
	a.logAction("cut")
	for _, d := range a.daemons {
		if d != a.secondDaemon {
			d.peerRelay.Block()
		}
		d.peerRelay.MuteExisting()
	}
}

// starve lets daemons run for short times only, until the returned function is called.
func (a *resendScenario) starveCPU(off, on time.Duration, daemons ...*daemon) (stop func()) {
	done := make(chan struct{})
	var wg sync.WaitGroup
	for _, d := range daemons {
		a.logAction("%s runs for %s after each %s", d.name, on, off)
		wg.Go(func() {
			defer d.Thaw()
			for {
				d.Freeze()
				select {
				case <-done:
					return
				case <-time.After(off):
				}
				d.Thaw()
				time.Sleep(on)
			}
		})
	}
	return func() { close(done); wg.Wait() }
}
