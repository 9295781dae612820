// The list of single faults from which the search makes scenarios, and the reduction of a scenario that
// violates to its simplest form.

package interleave

import (
	"slices"
	"time"
)

const ms = time.Millisecond

// faultTimes are the start times and lengths of faults. All messages of the job arrive within some
// 15 ms of its arrival. The early start times let a daemon detect within these 15 ms that a link,
// which a fault blocked before, is lost.
type faultTimes struct {
	linkFaults, workerOrders, otherFaults []time.Duration
	lengths                               []time.Duration
}

// regularTimes are the fault times of the regular run, fineTimes those of the long one.
func regularTimes() faultTimes {
	return faultTimes{
		linkFaults:   []time.Duration{-900 * ms, -600 * ms, -300 * ms, -100 * ms, 2 * ms, 5 * ms, 12 * ms, 200 * ms, 450 * ms},
		workerOrders: []time.Duration{2 * ms, 6 * ms, 320 * ms}, otherFaults: []time.Duration{-200 * ms, 2 * ms, 6 * ms, 300 * ms},
		lengths: []time.Duration{150 * ms, 1100 * ms, 2500 * ms},
	}
}

func fineTimes() faultTimes {
	times := faultTimes{lengths: []time.Duration{60 * ms, 150 * ms, 450 * ms, 900 * ms, 1100 * ms, 1400 * ms, 3 * time.Second}}
	for at := -1000 * ms; at <= 1000*ms; at += 50 * ms {
		times.linkFaults = append(times.linkFaults, at)
	}
	times.otherFaults = []time.Duration{-700 * ms, -400 * ms, -250 * ms, -130 * ms, -60 * ms, 100 * ms, 300 * ms, 450 * ms, 600 * ms}
	times.workerOrders = []time.Duration{310 * ms, 320 * ms, 460 * ms, 470 * ms, 610 * ms}
	for at := ms; at <= 21*ms; at += 3 * ms {
		times.linkFaults, times.workerOrders, times.otherFaults = append(times.linkFaults, at), append(times.workerOrders, at), append(times.otherFaults, at)
	}
	return times
}

// singleFaults lists all faults that a scenario of a base can have at the given times.
func singleFaults(times faultTimes, b *base) (list []fault) {
	add := func(k faultKind, node, target string, start, duration time.Duration) {
		list = append(list, fault{k, node, target, start, duration})
	}
	var names, workers []string
	for i := range b.preferences[0] {
		names = append(names, daemonName(i))
	}
	for i := range b.preferences {
		workers = append(workers, workerName(i))
	}
	for _, start := range times.linkFaults {
		for _, duration := range times.lengths {
			for i, a := range names {
				for _, d := range names[i+1:] {
					add(blockedBothWays, a, d, start, duration)
					add(blockedOneWay, a, d, start, duration)
					add(blockedOneWay, d, a, start, duration)
				}
			}
		}
	}
	for _, start := range times.otherFaults {
		for _, a := range names {
			for _, duration := range []time.Duration{200 * ms, 450 * ms, time.Second} {
				add(paused, a, "", start, duration)
			}
			add(lateHeartbeats, a, "", start, 500*ms)
		}
		for _, k := range workers {
			add(draining, k, "", start, 0)
			for _, d := range names {
				for _, duration := range []time.Duration{100 * ms, 400 * ms, 3 * time.Second} {
					add(reassigned, k, d, start, duration)
				}
				add(blockedBothWays, d, k, start, 700*ms)
				add(blockedBothWays, d, k, start, 1500*ms)
			}
		}
	}
	for _, start := range times.workerOrders {
		for _, k := range workers {
			add(lostAnswers, k, "", start, delayWindow)
			for _, late := range []time.Duration{90 * ms, 400 * ms, 3 * time.Second} {
				add(lateOrders, k, "", start, late)
			}
		}
	}
	for _, a := range names {
		for _, duration := range []time.Duration{100 * ms, 200 * ms, 300 * ms} {
			add(lateDetection, a, "", 0, duration)
		}
	}
	if b.callerRetries {
		for _, start := range times.otherFaults {
			if start > 0 {
				for _, noticeDelay := range []time.Duration{0, 600 * ms, 1200 * ms, 1300 * ms} {
					add(callerLeaves, "", "", start, noticeDelay)
				}
			}
		}
	}
	return list
}

// compareComplexity orders scenarios by the number of their faults, then by how long these last and
// how far they are from the job's arrival.
func compareComplexity(a, b scenario) int {
	size := func(s scenario) (n time.Duration) {
		n = time.Duration(len(s.faults)) * time.Hour
		for _, f := range s.faults {
			n += f.duration + f.start.Abs()
		}
		return n
	}
	return int(size(a) - size(b))
}

// minimize drops and shortens faults of a scenario as long as it still has the same violation.
func minimize(s scenario, violates func(scenario) bool) scenario {
	for changed := true; changed; {
		changed = false
		for i := range s.faults {
			var candidates []scenario
			candidates = append(candidates, scenario{s.base, slices.Delete(slices.Clone(s.faults), i, i+1)})
			f := s.faults[i]
			for _, g := range []fault{
				{f.kind, f.node, f.target, f.start, f.duration / 2 / ms * ms}, {f.kind, f.node, f.target, f.start, f.duration - 50*ms}, {f.kind, f.node, f.target, f.start.Round(100 * ms), f.duration},
				{f.kind, f.node, f.target, f.start.Round(10 * ms), f.duration}, {f.kind, f.node, f.target, f.start / 2 / ms * ms, f.duration}, {f.kind, f.node, f.target, f.start, f.duration.Round(100 * ms)},
			} {
				if g.duration >= 0 {
					q := scenario{s.base, slices.Clone(s.faults)}
					q.faults[i] = g
					candidates = append(candidates, q)
				}
			}
			for _, q := range candidates {
				if compareComplexity(q, s) < 0 && violates(q) {
					s, changed = q, true
					break
				}
			}
			if changed {
				break
			}
		}
	}
	return s
}
