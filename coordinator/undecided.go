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
const undecidedWait = 200 * time.Millisecond

// undecided is a takeover that is not answered yet.
type undecided struct {
	from     member.Process
	takeover executor.Takeover
	since    time.Duration
}

// undecidedFor reports whether the worker lists a run under the number of a task that was
// offered and not heard of since. It may be ours, started a moment ago; or that of an earlier
// try of the caller. Claimed, the one would run twice at once; not claimed, the other would
// be stopped and started again.
func (c *Coordinator) undecidedFor(t executor.Takeover) bool {
	return slices.ContainsFunc(t.Running, func(r task.RunningTask) bool {
		jt := c.lookup(r.ID)
		return jt != nil && jt.state == offered && jt.worker == "" && jt.Run == r.Run
	})
}

// decide answers takeovers that were waited with, once it is known where their tasks are.
func (c *Coordinator) decide(now time.Duration) {
	waiting := c.undecided
	c.undecided = nil
	for _, u := range waiting {
		if c.undecidedFor(u.takeover) && now-u.since < undecidedWait {
			c.undecided = append(c.undecided, u)
			continue
		}
		c.answerTakeover(now, u.from, u.takeover)
	}
}
