package sched

// This file implements grants, the entry's rights to use slots of workers, and the index
// that finds the grant with the most free slots.

import "time"

// grant is this entry's right to use some slots of one worker, either its share or the
// slots of one loan.
type grant struct {
	worker *worker
	slots  int
	// lent is the number of slots of the share that the entry has lent to peers.
	lent    int
	running int
	// loan is nil for the entry's share.
	loan *loan
	// idleSince is the time at which a borrowed slot last became idle.
	idleSince time.Duration

	// class and level locate the grant in the index, at position pos. A grant of level 0
	// is not in the index.
	class class
	level int
	pos   int
}

// class orders grants: the scheduler uses lower classes first.
type class uint8

const (
	// probeClass is for workers that get one task at a time: the first task after a backoff or
	// an ejection shows whether the worker has recovered.
	probeClass class = iota
	// ownClass is for the slots of the entry's shares.
	ownClass
	// borrowedClass comes after ownClass, so that borrowed slots become idle first and
	// the entry returns them early.
	borrowedClass
	// stragglerClass is for the slots of stragglers.
	stragglerClass
	// classes is the number of classes.
	classes
)

// free returns the number of slots on which a task may start.
func (g *grant) free() int {
	w := g.worker
	if !w.usable() || w.backingOff || w.ejected || g.ended() {
		return 0
	}
	n := g.slots - g.lent - g.running - w.withheld
	if w.probing() {
		// A worker that failed or refused repeatedly gets one task at a time.
		if g.loan != nil || w.running > 0 {
			return 0
		}
		n = min(n, 1)
	}
	return max(n, 0)
}

// ended reports whether no more tasks may start on the grant.
func (g *grant) ended() bool { return g.loan != nil && (g.loan.ended || g.loan.recalled) }

// outlasts reports whether the grant is a share, or its loan ends no earlier than the
// expected end of a task that starts now.
func (g *grant) outlasts(now, runTime time.Duration) bool {
	return g.loan == nil || now+runTime <= g.loan.until
}

// currentClass returns the class that the state of the worker calls for.
func (g *grant) currentClass() class {
	switch {
	case g.worker.probing():
		return probeClass
	case g.worker.straggler:
		return stragglerClass
	case g.loan != nil:
		return borrowedClass
	}
	return ownClass
}

// maxLevel is the highest level of the index. Grants with more free slots than this are
// treated alike.
const maxLevel = 64

// index finds the grant with the most free slots. It keeps one list of grants per number
// of free slots (level).
type index struct {
	levels [maxLevel + 1][]*grant
	// top is at least the highest level that has grants.
	top int
	// free is the sum of the levels of all grants.
	free int
	// rotation makes the grants of a level take turns. Otherwise a worker that fails
	// fast, and is free again at once, would get more tasks than the others.
	rotation int
}

func (x *index) insert(g *grant, level int) {
	g.level = level
	if level == 0 {
		return
	}
	x.free += level
	g.pos = len(x.levels[level])
	x.levels[level] = append(x.levels[level], g)
	x.top = max(x.top, level)
}

func (x *index) remove(g *grant) {
	if g.level == 0 {
		return
	}
	x.free -= g.level
	l := x.levels[g.level]
	last := l[len(l)-1]
	l[g.pos] = last
	last.pos = g.pos
	l[len(l)-1] = nil
	x.levels[g.level] = l[:len(l)-1]
	for x.top > 0 && len(x.levels[x.top]) == 0 {
		x.top--
	}
	g.level = 0
}

// best returns the grant with the most free slots that can run a task with the given
// needs, failure domains and expected run time, or nil when there is none.
func (x *index) best(now time.Duration, needs Resources, domains []string, runTime time.Duration) *grant {
	for level := x.top; level > 0; level-- {
		l := x.levels[level]
		for i := range l {
			x.rotation++
			g := l[(x.rotation+i)%len(l)]
			if g.suits(needs, domains) && g.outlasts(now, runTime) {
				return g
			}
		}
	}
	return nil
}

// suits reports whether the grant's worker can run a task with the given needs and
// failure domains.
func (g *grant) suits(needs Resources, domains []string) bool {
	return allows(domains, g.worker.Domain) && needs.Fits(g.worker.Resources)
}

// reindex updates the index for all grants of a worker.
func (s *Scheduler) reindex(w *worker) {
	s.reindexGrant(&w.own)
	for _, g := range w.borrowed {
		s.reindexGrant(g)
	}
}

func (s *Scheduler) reindexGrant(g *grant) {
	level := min(g.free(), maxLevel)
	c := g.currentClass()
	if level == g.level && c == g.class {
		return
	}
	s.index[g.class].remove(g)
	g.class = c
	s.index[c].insert(g, level)
}
