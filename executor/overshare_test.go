package executor

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lavendercleat/lavendercleat/capacity"
	"github.com/lavendercleat/lavendercleat/task"
)

// Guards against a task over its share that, however urgent, delays a task within its share, or
// counts as work ahead of it.
func TestOverShareTaskWaitsBehindOthers(t *testing.T) {
	mk := func(overShare bool, due time.Duration) *task.Task {
		return &task.Task{OverShare: overShare, Due: due, ExpectedRunTime: 100 * time.Millisecond, Demand: capacity.Vector{MilliCPU: 1000}}
	}
	late, soon := mk(false, time.Second), mk(true, 110*time.Millisecond)
	assert.Assert(t, compareQueued(&queuedTask{task: late}, &queuedTask{task: soon}) < 0)
	assert.Assert(t, compareQueued(&queuedTask{task: soon}, &queuedTask{task: late}) > 0)
	var b Backlog
	b.Add(0, late)
	b.Add(0, soon)
	assert.Equal(t, b.Ahead(0, late), int64(100))
	assert.Equal(t, b.Ahead(0, soon), int64(200))
	assert.Equal(t, b.Ahead(0, mk(false, 110*time.Millisecond)), int64(0))
}
