package interleave

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// innocent plays a play twice, which has to be the same, and fails with its course where a task
// ran twice at once.
func checkScenario(t *testing.T, p scenario) {
	t.Helper()
	w := runScenario(p, true)
	assert.DeepEqual(t, runScenario(p, true).trace, w.trace)
	if len(w.checker.violations) == 0 {
		return
	}
	t.Errorf("%v\n%v", p, w.checker.violations)
	for _, line := range w.trace {
		t.Log(line)
	}
}

// baseNamed returns a base of the search.
func baseNamed(name string) base {
	return bases[slices.IndexFunc(bases, func(b base) bool { return b.name == name })]
}

// A worker taken after the last heartbeat that its coordinator heard is not waited for when the executor is lost.
func TestWorkerTakenAfterLastHeartbeat(t *testing.T) {
	checkScenario(t, scenario{baseNamed("busy at home"), []fault{
		{kind: blockedOneWay, node: "B", target: "A", duration: 950 * ms},
		{kind: reassigned, node: "w1", target: "B", duration: 12 * ms},
	}})
}

// Two executors exchange workers, and the coordinator, which hears of one takeover, waits for none of the other's.
func TestWorkersExchangedBetweenUnreachableExecutors(t *testing.T) {
	checkScenario(t, scenario{baseNamed("idle"), []fault{
		{kind: blockedBothWays, node: "B", target: "C", start: -900 * ms, duration: 700 * ms},
		{kind: blockedOneWay, node: "C", target: "A", start: -300 * ms, duration: 850 * ms},
	}})
}

// A task given back for want of a worker strikes off the worker that still runs another.
func TestReturnedTaskDoesNotFreeOtherWorkers(t *testing.T) {
	b := base{preferences: []string{"BA", "AB", "AB"}, work: 300 * ms, extraWork: 600 * ms, tasks: 4, jobName: "j0"}
	checkScenario(t, scenario{b, []fault{
		{kind: draining, node: "w1", start: -20 * ms},
		{kind: lostAnswers, node: "w1", duration: delayWindow},
		{kind: blockedOneWay, node: "B", target: "A", start: 20 * ms, duration: 3 * time.Second},
	}})
}

// A coordinator's own earlier takeover counts for a worker that was taken back out of its sight.
func TestWorkerTakenBackWhileUnreachable(t *testing.T) {
	checkScenario(t, scenario{baseNamed("busy late"), []fault{
		{kind: blockedBothWays, node: "A", target: "B", start: ms, duration: 950 * ms},
		{kind: reassigned, node: "w1", target: "A", duration: 300 * ms},
	}})
}

// A task that was started again elsewhere still waits in the lost executor's queue, and starts there.
func TestQueuedTaskStartedAfterItsRestart(t *testing.T) {
	checkScenario(t, scenario{baseNamed("busy late"), []fault{
		{kind: blockedBothWays, node: "A", target: "C", start: 200 * ms, duration: 950 * ms},
		{kind: reassigned, node: "w3", target: "A", start: 300 * ms, duration: 400 * ms},
	}})
}

// A former holder's answer to a recall is believed over the present holder's.
func TestReconciliationAnsweredByFormerHolder(t *testing.T) {
	checkScenario(t, scenario{baseNamed("kept"), []fault{
		{kind: reassigned, node: "w3", target: "A", start: 150 * ms, duration: 12 * ms},
		{kind: blockedBothWays, node: "C", target: "w3", start: 300 * ms, duration: 1100 * ms},
		{kind: blockedOneWay, node: "B", target: "A", duration: 800 * ms},
	}})
}

// A caller comes to another daemon while an executor behind a silent link still runs its job.
func TestCallerRetriesWhileItsRunsGoOn(t *testing.T) {
	checkScenario(t, scenario{baseNamed("busy again"), []fault{
		{kind: callerLeaves, duration: 350 * ms},
		{kind: blockedBothWays, node: "A", target: "C", start: 200 * ms, duration: 1050 * ms},
		{kind: lateDetection, node: "C", duration: 200 * ms},
	}})
}

// A former holder's list, without the run, is taken as proof that it is over.
func TestFormerHolderListIsNoProofOfCompletion(t *testing.T) {
	checkScenario(t, scenario{baseNamed("kept"), []fault{
		{kind: blockedOneWay, node: "C", target: "A", start: 200 * ms, duration: 650 * ms},
		{kind: blockedBothWays, node: "B", target: "w1", duration: 850 * ms},
		{kind: reassigned, node: "w1", target: "C", start: -100 * ms, duration: 12 * ms},
	}})
}
