package node

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lavendercleat/lavendercleat/executor"
	"github.com/lavendercleat/lavendercleat/member"
	"github.com/lavendercleat/lavendercleat/schema"
	"github.com/lavendercleat/lavendercleat/task"
)

// The encoding loses epochs. Tasks would start on workers whose holding epochs their coordinator
// doesn't know.
func TestEpochsSurviveEncoding(t *testing.T) {
	state := executorFromHeartbeat(member.Process{}, otherDomain, &schema.Pulse{Rooms: []*schema.Room{{Tenure: 3}}})
	assert.Equal(t, state.Workers[0].Epoch, uint64(3))
	tasks := tasksFromWire(time.Second, tasksToWire(time.Second, []task.Task{{MaxEpoch: 5}}))
	assert.Equal(t, tasks[0].MaxEpoch, uint64(5))
	encoded := takeoverToWire(executor.Takeover{Worker: "w", Epoch: 7}).GetTakeover()
	assert.Equal(t, takeoverFromWire(encoded).Epoch, uint64(7))
}

// The encoding loses a token. A confirmation could not be told from one that is older than the run.
func TestTokensSurviveEncoding(t *testing.T) {
	state := executorFromHeartbeat(member.Process{}, otherDomain, &schema.Pulse{Rooms: []*schema.Room{{Token: 3}}})
	assert.Equal(t, state.Workers[0].Token, uint64(3))
	report := task.Report{Outcome: task.Started, Worker: "w", Token: 5}
	assert.Equal(t, reportFromWire(reportToWire(report)), report)
	decoded := takeoverFromWire(takeoverToWire(executor.Takeover{Worker: "w", Token: 7, Reconciliation: true}).GetTakeover())
	assert.Equal(t, decoded.Token, uint64(7))
	assert.Assert(t, decoded.Reconciliation)
}
