package coordinator

import (
	"slices"
	"time"

	"github.com/lavendercleat/lavendercleat/executor"
	"github.com/lavendercleat/lavendercleat/member"
	"github.com/lavendercleat/lavendercleat/task"
)

// undecidedWait bounds the wait for news of a task before a takeover is answered: the
// earlier holder tells within a round trip where it started, and the new one stops what
// nobody has claimed after 300 ms.
const startReportTimeout = 200 * time.Millisecond

// undecided is a takeover that is not answered yet.
type pendingTakeover struct {
	from       member.Process
	request    executor.Takeover
	receivedAt time.Duration
}

// undecidedFor reports whether the worker lists a run under the number of a task that was
// offered and not heard of since. It may be ours, started a moment ago; or that of an earlier
// try of the caller. Claimed, the one would run twice at once; not claimed, the other would
// be stopped and started again.
func (c *Coordinator) hasUnconfirmedRun(t executor.Takeover) bool {
	return slices.ContainsFunc(t.Running, func(r task.RunningTask) bool {
		jt := c.lookup(r.ID)
		return jt != nil && jt.state == offered && jt.worker == "" && jt.Run == r.Run
	})
}

// decide answers takeovers that were waited with, once it is known where their tasks are.
func (c *Coordinator) answerPending(now time.Duration) {
	pending := c.pendingTakeovers
	c.pendingTakeovers = nil
	for _, p := range pending {
		if c.hasUnconfirmedRun(p.request) && now-p.receivedAt < startReportTimeout {
			c.pendingTakeovers = append(c.pendingTakeovers, p)
			continue
		}
		c.answerTakeover(now, p.from, p.request)
	}
}
