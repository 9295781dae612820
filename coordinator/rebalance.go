package coordinator

import (
	"cmp"
	"slices"
	"time"

	"github.com/lavendercleat/lavendercleat/task"
)

// maxMoves is how many offers a task may have had and still be asked back: what moves on
// and on would reach the bound of its offers.
const maxMoves = maxOffers / 2

// rebalance asks for tasks back that wait at one executor while another one has room: the
// executor reports them as not run, and they are offered again. Without it a task stays
// where the shortest wait was expected when it came, also while there is room elsewhere.
func (c *Coordinator) rebalance(now time.Duration) {
	var waiting []*jobTask
	for _, j := range c.jobs {
		for _, t := range j.tasks {
			if t.state == offered && t.waiting && !t.reclaiming && !j.Durable && t.offers < maxMoves {
				waiting = append(waiting, t)
			}
		}
	}
	slices.SortFunc(waiting, func(a, b *jobTask) int {
		return cmp.Or(task.CompareOverShare(&a.Task, &b.Task), cmp.Compare(a.Due-a.ExpectedRunTime, b.Due-b.ExpectedRunTime), cmp.Compare(a.ID.String(), b.ID.String()))
	})
	for _, t := range waiting {
		if h := c.executors.place(now, &t.Task); h != nil && h.Process != t.holder {
			t.reclaiming = true
			c.reclaim(t)
		}
	}
}

// reclaim asks an executor for a task, in one message with others.
func (c *Coordinator) reclaim(t *jobTask) {
	m := c.messageTo(t.holder, func(m *Message) bool { return m.Reclaim != nil })
	m.Reclaim = append(m.Reclaim, t.ID)
}
