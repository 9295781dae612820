// The CPU throttle of a daemon in the test of the large fleet.

package leased

import (
	"sync"
	"time"
)

// cpuThrottle limits the CPU time of a daemon: it repeatedly stops the process for the paused time
// of a duty cycle, then lets it run for the running time. With a paused time of 0 the process runs
// without a limit. Only the goroutine of run stops and continues the process, so that injected
// freezes, which go through override, do not conflict with the throttling.
type cpuThrottle struct {
	daemon *daemon
	mu     sync.Mutex
	// normal is the duty cycle without a fault, current the one in force.
	normal, current dutyCycle
	// currentUntil is when normal is in force again.
	currentUntil time.Time
	// killed is set while the process is dead and its successor has not started.
	killed bool
}

// dutyCycle says how long a process is stopped, then runs.
type dutyCycle struct{ paused, running time.Duration }

// unthrottledInterval is how often run checks whether an unthrottled daemon has a new duty cycle.
const unthrottledInterval = 10 * time.Millisecond

// run applies the duty cycle in force until done is closed.
func (h *cpuThrottle) run(done chan struct{}) {
	defer h.thaw()
	for {
		select {
		case <-done:
			return
		default:
		}
		h.mu.Lock()
		if time.Now().After(h.currentUntil) {
			h.current = h.normal
		}
		cycle := h.current
		h.mu.Unlock()
		if cycle.paused == 0 {
			time.Sleep(unthrottledInterval)
			continue
		}
		h.freeze()
		time.Sleep(cycle.paused)
		h.thaw()
		time.Sleep(cycle.running)
	}
}

// freeze stops the present process.
func (h *cpuThrottle) freeze() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.daemon.Freeze()
}

// thaw continues the present process.
func (h *cpuThrottle) thaw() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.daemon.Thaw()
}

// override puts another duty cycle in force for some time.
func (h *cpuThrottle) override(cycle dutyCycle, length time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.current, h.currentUntil = cycle, time.Now().Add(length)
}

// kill kills the process and makes its peer proxy refuse connections until restart. Faults overlap:
// a kill of a dead process does nothing.
func (h *cpuThrottle) kill() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.killed {
		h.killed = true
		h.daemon.Kill()
		h.daemon.peerProxy.Cut()
	}
}

// restart ends kill: it starts the next process. It does nothing if the process was not killed.
func (h *cpuThrottle) restart() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.killed {
		h.killed = false
		h.daemon.peerProxy.Restore()
		h.daemon.startProcess()
	}
}
