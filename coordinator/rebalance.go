package coordinator

import (
	"cmp"
	"slices"
	"time"

	"github.com/lavendercleat/lavendercleat/task"
)

// maxMoves is the number of offers from which on a task is not moved any more: a task that is moved
// again and again would reach maxOffers.
const maxMoves = maxOffers / 2

// rebalance asks for tasks back that are queued at one executor while another has free capacity. The
// executor reports them as not run, and they are offered again. Without it a task would stay where
// the shortest wait was expected when it was offered, even with free capacity elsewhere.
func (c *Coordinator) rebalance(now time.Duration) {
	var queued []*jobTask
	for _, j := range c.jobs {
		for _, t := range j.tasks {
			if t.state == offered && t.queued && !t.reclaiming && !j.Durable && t.offers < maxMoves {
				queued = append(queued, t)
			}
		}
	}
	slices.SortFunc(queued, func(a, b *jobTask) int {
		return cmp.Or(task.CompareOverShare(&a.Task, &b.Task), cmp.Compare(a.Due-a.ExpectedRunTime, b.Due-b.ExpectedRunTime), cmp.Compare(a.ID.String(), b.ID.String()))
	})
	for _, t := range queued {
		if h := c.executors.place(now, &t.Task); h != nil && h.Process != t.holder {
			t.reclaiming = true
			c.reclaim(t)
		}
	}
}

// reclaim asks an executor to give a queued task back, in one message with other tasks where possible.
func (c *Coordinator) reclaim(t *jobTask) {
	m := c.messageTo(t.holder, func(m *Message) bool { return m.Reclaim != nil })
	m.Reclaim = append(m.Reclaim, t.ID)
}
