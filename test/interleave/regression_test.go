// Scenarios in which tasks have run twice at once.

package interleave

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// checkScenario runs a scenario twice. It fails if the two runs differ, or with the trace if a task
// ran twice at once.
func checkScenario(t *testing.T, s scenario) {
	t.Helper()
	w := runScenario(s, true)
	assert.DeepEqual(t, runScenario(s, true).trace, w.trace)
	if len(w.checker.violations) == 0 {
		return
	}
	t.Errorf("%v\n%v", s, w.checker.violations)
	for _, line := range w.trace {
		t.Log(line)
	}
}

// baseNamed returns a base of the search.
func baseNamed(name string) base {
	return bases[slices.IndexFunc(bases, func(b base) bool { return b.name == name })]
}

// An executor took over a worker after its last heartbeat to the coordinator. When the executor is
// lost, the coordinator restarts its tasks without waiting for the takeover of that worker.
func TestWorkerTakenAfterLastHeartbeat(t *testing.T) {
	checkScenario(t, scenario{baseNamed("busy at home"), []fault{
		{kind: blockedOneWay, node: "B", target: "A", duration: 950 * ms},
		{kind: reassigned, node: "w1", target: "B", duration: 12 * ms},
	}})
}

// Two executors take over each other's workers. The coordinator receives one of the takeovers, and
// doesn't wait for the takeovers of the other executor's workers.
func TestWorkersExchangedBetweenUnreachableExecutors(t *testing.T) {
	checkScenario(t, scenario{baseNamed("idle"), []fault{
		{kind: blockedBothWays, node: "B", target: "C", start: -900 * ms, duration: 700 * ms},
		{kind: blockedOneWay, node: "C", target: "A", start: -300 * ms, duration: 850 * ms},
	}})
}

// An executor gives a task back because it has no worker for it. The coordinator then also
// crosses a worker off that still runs another of its tasks.
func TestReturnedTaskDoesNotFreeOtherWorkers(t *testing.T) {
	b := base{preferences: []string{"BA", "AB", "AB"}, work: 300 * ms, extraWork: 600 * ms, tasks: 4, jobName: "j0"}
	checkScenario(t, scenario{b, []fault{
		{kind: draining, node: "w1", start: -20 * ms},
		{kind: lostAnswers, node: "w1", duration: delayWindow},
		{kind: blockedOneWay, node: "B", target: "A", start: 20 * ms, duration: 3 * time.Second},
	}})
}

// An executor that the coordinator can't reach takes back a worker. The coordinator's own earlier
// takeover of this worker counts as the takeover after it.
func TestWorkerTakenBackWhileUnreachable(t *testing.T) {
	checkScenario(t, scenario{baseNamed("busy late"), []fault{
		{kind: blockedBothWays, node: "A", target: "B", start: ms, duration: 950 * ms},
		{kind: reassigned, node: "w1", target: "A", duration: 300 * ms},
	}})
}

// A coordinator restarts a task elsewhere that still waits in the queue of an unreachable executor,
// which then starts it too.
func TestQueuedTaskStartedAfterItsRestart(t *testing.T) {
	checkScenario(t, scenario{baseNamed("busy late"), []fault{
		{kind: blockedBothWays, node: "A", target: "C", start: 200 * ms, duration: 950 * ms},
		{kind: reassigned, node: "w3", target: "A", start: 300 * ms, duration: 400 * ms},
	}})
}

// On a reconciliation, the coordinator takes the answer of a worker's former holder for newer than
// that of the present holder.
func TestReconciliationAnsweredByFormerHolder(t *testing.T) {
	checkScenario(t, scenario{baseNamed("kept"), []fault{
		{kind: reassigned, node: "w3", target: "A", start: 150 * ms, duration: 12 * ms},
		{kind: blockedBothWays, node: "C", target: "w3", start: 300 * ms, duration: 1100 * ms},
		{kind: blockedOneWay, node: "B", target: "A", duration: 800 * ms},
	}})
}

// A caller submits its job again to another daemon while an executor behind a blocked link still runs it.
func TestCallerRetriesWhileItsRunsGoOn(t *testing.T) {
	checkScenario(t, scenario{baseNamed("busy again"), []fault{
		{kind: callerLeaves, duration: 350 * ms},
		{kind: blockedBothWays, node: "A", target: "C", start: 200 * ms, duration: 1050 * ms},
		{kind: lateDetection, node: "C", duration: 200 * ms},
	}})
}

// A coordinator takes a former holder's list of runs, which lacks a run, as proof that this run is over.
func TestFormerHolderListIsNoProofOfCompletion(t *testing.T) {
	checkScenario(t, scenario{baseNamed("kept"), []fault{
		{kind: blockedOneWay, node: "C", target: "A", start: 200 * ms, duration: 650 * ms},
		{kind: blockedBothWays, node: "B", target: "w1", duration: 850 * ms},
		{kind: reassigned, node: "w1", target: "C", start: -100 * ms, duration: 12 * ms},
	}})
}
