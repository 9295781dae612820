package executor

import "time"

// RetireDomains sets the failure domains whose workers get no new runs. Their present runs go on.
// The executor at once returns tasks that wait for such workers. They keep their place in the order
// of urgency wherever they go, as their callers still wait.
//
// The holder of a worker is the last to see a task before it starts, so it refuses the start itself.
// Coordinators may learn of a retirement later than the holder, or not at all while they are cut off
// from the store and from the peers that know of it.
func (e *Executor) RetireDomains(now time.Duration, domains map[string]bool) {
	e.retired = domains
	for _, w := range e.order {
		w.retired = domains[w.info.Domain]
	}
	e.returnExpired(now)
	e.schedule(now)
}
