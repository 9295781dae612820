package coordinator

import (
	"slices"
	"time"

	"github.com/lavendercleat/lavendercleat/executor"
	"github.com/lavendercleat/lavendercleat/member"
	"github.com/lavendercleat/lavendercleat/task"
)

// startReportTimeout bounds the wait for a report on a task before a takeover is answered. The earlier
// holder reports within a round trip where the task started. The new holder stops runs that no coordinator
// has claimed after 300 ms.
const startReportTimeout = 200 * time.Millisecond

// pendingTakeover is a takeover that is not answered yet.
type pendingTakeover struct {
	from       member.Process
	request    executor.Takeover
	receivedAt time.Duration
}

// hasUnconfirmedRun reports whether the worker lists a run under the number of a task that was offered
// and has not been reported since. The run may be ours, started a moment ago, or belong to an earlier
// attempt of the caller. If we claimed a run of an earlier attempt, the task would run twice at a time.
// If we did not claim our own run, the new holder would stop it and the task would start again.
func (c *Coordinator) hasUnconfirmedRun(t executor.Takeover) bool {
	return slices.ContainsFunc(t.Running, func(r task.RunningTask) bool {
		jt := c.lookup(r.ID)
		return jt != nil && jt.state == offered && jt.worker == "" && jt.Run == r.Run
	})
}

// answerPending answers pending takeovers once it is known where their tasks run, or after
// startReportTimeout.
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
