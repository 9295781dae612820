// The search: it runs the selected scenarios and reports the simplest one of each class of violation.

package interleave

import (
	"fmt"
	"iter"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

// defaultPreferences are three workers' preferences among three daemons.
var defaultPreferences = []string{"BCA", "BAC", "CBA"}

// bases are the bases of the searched scenarios. baseVariable names them.
var bases = []base{
	{name: "idle", preferences: defaultPreferences, work: time.Second},
	{name: "busy", preferences: defaultPreferences, work: time.Second, fillBefore: 300 * ms, fillWork: 450 * ms},
	{name: "busy at home", preferences: []string{"ABC", "BAC", "CBA"}, work: time.Second, fillBefore: 300 * ms, fillWork: 450 * ms},
	{name: "pair", preferences: []string{"BA", "AB"}, work: time.Second, fillBefore: 300 * ms, fillWork: 450 * ms},
	{name: "four", preferences: []string{"BCDA", "CDBA", "DABC"}, work: time.Second},
	{name: "pair three", preferences: []string{"BA", "AB"}, work: time.Second, extraWork: 400 * ms, tasks: 3},
	{name: "idle three", preferences: []string{"BCA", "CAB"}, work: time.Second, extraWork: 400 * ms, tasks: 3},
	{name: "idle late", preferences: defaultPreferences, work: time.Second, faults: []fault{{kind: lateDetection, node: "B", duration: 300 * ms}, {kind: lateDetection, node: "C", duration: 300 * ms}}},
	{name: "busy late", preferences: defaultPreferences, work: time.Second, fillBefore: 300 * ms, fillWork: 450 * ms, faults: []fault{{kind: lateDetection, node: "B", duration: 300 * ms}, {kind: lateDetection, node: "C", duration: 300 * ms}}},
	{name: "pair unanswered", preferences: []string{"BA", "AB"}, work: time.Second, fillBefore: 300 * ms, fillWork: 450 * ms, faults: []fault{{kind: lostAnswers, node: "w1", start: 300 * ms, duration: 100 * ms}}},
	{name: "idle unanswered", preferences: defaultPreferences, work: time.Second, faults: []fault{{kind: lostAnswers, node: "w1", start: 0, duration: 100 * ms}}},
	{name: "kept", preferences: defaultPreferences, work: 1500 * ms, durable: true},
	{name: "kept long", preferences: defaultPreferences, work: 5 * time.Second, durable: true},
	{name: "idle again", preferences: defaultPreferences, work: time.Second, callerRetries: true},
	{name: "busy again", preferences: defaultPreferences, work: time.Second, fillBefore: 300 * ms, fillWork: 450 * ms, callerRetries: true},
}

// search runs all scenarios. It returns by class of violation the simplest scenario and the number of
// scenarios that have a violation, and how many scenarios it ran.
func search(all iter.Seq[scenario]) (simplest map[string]scenario, counts map[string]int, total int) {
	var mu sync.Mutex
	simplest, counts = make(map[string]scenario), make(map[string]int)
	scenarios := make(chan scenario, 64)
	var wg sync.WaitGroup
	for range workerThreads() {
		wg.Go(func() {
			for s := range scenarios {
				w := runScenario(s, false)
				violates := len(w.checker.violations) > 0
				mu.Lock()
				total++
				if violates {
					class := s.class()
					counts[class]++
					if known, ok := simplest[class]; !ok || compareComplexity(s, known) < 0 {
						simplest[class] = s
					}
				}
				mu.Unlock()
			}
		})
	}
	for s := range all {
		scenarios <- s
	}
	close(scenarios)
	wg.Wait()
	return simplest, counts, total
}

// boundedScenarios returns the scenarios of the bases with up to two faults; of those with two faults,
// one in stride.
func boundedScenarios(bs []base, times faultTimes, stride int) iter.Seq[scenario] {
	return func(yield func(scenario) bool) {
		for _, b := range bs {
			list := singleFaults(times, &b)
			yield(scenario{base: b})
			for i, f := range list {
				yield(scenario{b, []fault{f}})
				for j := i + 1 + i%max(stride, 1); j < len(list) && stride > 0; j += stride {
					yield(scenario{b, []fault{f, list[j]}})
				}
			}
		}
	}
}

// class names the cause of a scenario's violation: the base, the coordinator's last event on the task
// before the second start, and the kinds of faults.
func (s scenario) class() string {
	w := runScenario(s, true)
	if len(w.checker.violations) == 0 {
		return ""
	}
	id, _, _ := strings.Cut(w.checker.violations[0], ":")
	var events []string
	for _, line := range w.trace {
		for _, event := range []string{"task_restarted", "task_offered_again", "task_claimed", "task_moves"} {
			if strings.Contains(line, event+" "+id) {
				at := strings.Index(line, "reason=")
				if at >= 0 {
					reason, _, _ := strings.Cut(line[at+len("reason="):], " ")
					event += "=" + reason
				} else if f := strings.Fields(line); event == "task_offered_again" || event == "task_claimed" {
					event += "=" + f[len(f)-1]
				}
				events = append(events, event)
			}
		}
	}
	last := "none"
	if len(events) > 0 {
		last = events[len(events)-1]
	}
	if strings.Contains(w.checker.violations[0], "after its end") {
		last += " after end"
	}
	var kinds []string
	for _, f := range s.faults {
		kinds = append(kinds, string(f.kind))
	}
	slices.Sort(kinds)
	return fmt.Sprintf("%s attempts=%d %s by %s", s.base.name, w.attempts, last, strings.Join(kinds, "+"))
}

// workerThreads is the number of scenarios that run at the same time.
func workerThreads() int {
	n := 2
	fmt.Sscan(os.Getenv("THREADS"), &n)
	return n
}

// aimedScenarios returns all combinations of one fault out of each group. A group is the beginning of
// its faults' texts.
func aimedScenarios(b base, times faultTimes, groups []string) []scenario {
	scenarios := []scenario{{base: b}}
	for _, g := range groups {
		var next []scenario
		for _, f := range singleFaults(times, &b) {
			if !strings.HasPrefix(f.String(), "{"+g) {
				continue
			}
			for _, s := range scenarios {
				next = append(next, scenario{b, append(slices.Clone(s.faults), f)})
			}
		}
		scenarios = next
	}
	return scenarios
}

// randomScenarios draws n scenarios with a number of faults each. The fixed seed gives the same ones
// every time.
func randomScenarios(bs []base, times faultTimes, n, faults int) iter.Seq[scenario] {
	return func(yield func(scenario) bool) {
		r := rand.New(rand.NewPCG(1, uint64(faults)))
		for range n {
			b := bs[r.IntN(len(bs))]
			list := singleFaults(times, &b)
			s := scenario{base: b}
			for range faults {
				s.faults = append(s.faults, list[r.IntN(len(list))])
			}
			if !yield(s) {
				return
			}
		}
	}
}

// The environment variables that select the scenarios of longer searches.
const (
	// strideVariable is the stride among the scenarios with two faults: the search runs one of so many;
	// 1 stands for all.
	strideVariable = "LAVENDERCLEAT_INTERLEAVE"
	// fineTimesVariable, if set, selects fineTimes, baseVariable the only base, by its name.
	fineTimesVariable = "LAVENDERCLEAT_INTERLEAVE_FINE"
	baseVariable      = "LAVENDERCLEAT_INTERLEAVE_BASE"
	// aimVariable lists groups of faults to combine, as String prints them, instead of all scenarios
	// with up to two faults: "silent B-A;drains w1".
	aimVariable = "LAVENDERCLEAT_INTERLEAVE_AIM"
	// drawVariable gives the number of scenarios to draw instead, and how many faults each has: "100000 4".
	drawVariable = "LAVENDERCLEAT_INTERLEAVE_DRAW"
	// regularStride is the stride of the regular run.
	regularStride = 607
)

// selectedScenarios returns the scenarios that the environment variables select.
func selectedScenarios() iter.Seq[scenario] {
	stride, times, list := regularStride, regularTimes(), slices.DeleteFunc(slices.Clone(bases), func(b base) bool { return b.callerRetries })
	_, _ = fmt.Sscan(os.Getenv(strideVariable), &stride)
	if os.Getenv(fineTimesVariable) != "" {
		times = fineTimes()
	}
	if n := os.Getenv(baseVariable); n != "" {
		list = []base{baseNamed(n)}
	}
	if text := os.Getenv(drawVariable); text != "" {
		var n, faults int
		_, _ = fmt.Sscan(text, &n, &faults)
		return randomScenarios(list, times, n, faults)
	}
	aim := os.Getenv(aimVariable)
	if aim == "" {
		return boundedScenarios(list, times, stride)
	}
	var scenarios []scenario
	for _, b := range list {
		scenarios = append(scenarios, aimedScenarios(b, times, strings.Split(aim, ";"))...)
	}
	return slices.Values(scenarios)
}

// Completions and lost links reach the coordinators in any order, late or not at all, so that a task
// runs twice at once, or again after it has completed.
func TestNoTaskRunsTwice(t *testing.T) {
	simplest, counts, total := search(selectedScenarios())
	t.Logf("%d scenarios", total)
	for _, class := range slices.Sorted(maps.Keys(simplest)) {
		s := minimize(simplest[class], func(q scenario) bool { return q.class() == class })
		t.Errorf("%s, %d scenarios", class, counts[class])
		checkScenario(t, s)
	}
}
