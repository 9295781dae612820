package sched

import "time"

// grant is this entry's right to some slots of one worker: its share, or what it
// borrowed in one loan.
type grant struct {
	worker *worker
	slots  int
	// lent counts the slots of a share that peers use.
	lent    int
	running int
	// loan is nil for a share.
	loan *loan
	// idleSince is when a borrowed slot was last seen to become idle.
	idleSince time.Duration

	// class and level say where the index has the grant, at position pos; level 0 is
	// not in the index.
	class class
	level int
	pos   int
}

// class orders grants: lower classes are used first.
type class uint8

const (
	// probeClass is for workers on probation: the first task after the pause shows
	// whether they have recovered.
	probeClass class = iota
	// ownClass are the slots of shares.
	ownClass
	// borrowedClass come second, so that they become idle first and go back early.
	borrowedClass
	// slowClass are the slots of stragglers.
	slowClass
	classes
)

// free returns the slots on which a task may start.
func (g *grant) free() int {
	w := g.worker
	if !w.usable() || w.backingOff || w.ejected || g.ended() {
		return 0
	}
	n := g.slots - g.lent - g.running - w.withheld
	if w.probing() {
		// A worker that failed or refused everything proves itself with one task.
		if g.loan != nil || w.running > 0 {
			return 0
		}
		n = min(n, 1)
	}
	return max(n, 0)
}

// ended tells whether nothing may start on the grant any more.
func (g *grant) ended() bool { return g.loan != nil && (g.loan.ended || g.loan.recalled) }

// lasts tells whether the grant is expected to outlast a task that starts now.
func (g *grant) outlasts(now, runTime time.Duration) bool {
	return g.loan == nil || now+runTime <= g.loan.until
}

func (g *grant) currentClass() class {
	switch {
	case g.worker.probing():
		return probeClass
	case g.worker.slow:
		return slowClass
	case g.loan != nil:
		return borrowedClass
	}
	return ownClass
}

// maxLevel is the number of free slots from which more make no difference.
const maxLevel = 64

// index finds the grant with the most free slots.
type index struct {
	levels [maxLevel + 1][]*grant
	// top is not below the highest level in use.
	top int
	// free adds up the levels.
	free int
	// turn makes grants of a level take turns, so that a worker that fails fast and is
	// free again at once gets no more tasks than the others.
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

// best returns the grant with the most free slots that suits a task of the job.
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

// suits tells whether the grant's worker can run a task.
func (g *grant) suits(needs Resources, domains []string) bool {
	return allows(domains, g.worker.Domain) && needs.Fits(g.worker.Resources)
}

// place brings the index up to date for all grants of a worker.
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
