package executor

import "time"

// RetireDomains tells which failure domains' workers are to get no new runs. What runs there goes
// on; what waits here for such workers is given back at once, and keeps its place in the
// order of urgency wherever it goes: its caller waits on.
//
// The holder of a worker is the last to see a task before it starts. It refuses by itself,
// as coordinators may learn of a retirement later than it, or not at all while they are cut
// off from the store and from peers that know.
func (e *Executor) RetireDomains(now time.Duration, domains map[string]bool) {
	e.retired = domains
	for _, w := range e.order {
		w.retired = domains[w.info.Domain]
	}
	e.returnExpired(now)
	e.schedule(now)
}
