package executor

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lavendercleat/lavendercleat/task"
)

// Workers answer within milliseconds. An order that one of them leaves unanswered is given
// up soon, and looked after; where answers are slow, as the daemon or its link is busy, it is
// waited for longer, or each order would be asked after twice.
func TestUnansweredOrderIsFoundSoon(t *testing.T) {
	r := newRig(t)
	r.hold("w1")
	ends := uint64(0)
	start := func(job string, answered time.Duration) Call {
		r.e.Offer(r.now, ownerA, []task.Task{testTask(job, 0)})
		c := r.take(CallStart, "w1")
		r.now += answered
		r.answer(c, Answer{Verdict: OK})
		r.e.Withdraw(r.now, ownerA, []task.ID{c.ID})
		stop := r.take(CallStop, "w1")
		assert.Equal(t, stop.Timeout, r.e.answers.limit())
		r.answer(stop, Answer{Verdict: OK})
		ends++
		r.answer(r.take(CallPoll, "w1"), Answer{Verdict: OK, Ended: []Ended{{Number: ends, RunningTask: task.RunningTask{ID: c.ID, Run: c.Run}, How: "stopped"}}})
		return c
	}
	assert.Equal(t, start("first", 4*time.Millisecond).Timeout, maxOrderTime)
	for range 10 {
		start("quick", 4*time.Millisecond)
	}
	assert.Equal(t, start("j", 4*time.Millisecond).Timeout, minOrderTime)
	for range 30 {
		start("slow", 60*time.Millisecond)
	}
	assert.Assert(t, start("k", 60*time.Millisecond).Timeout > minOrderTime)
}
