package sched_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/lavendercleat/lavendercleat/sched"
)

// BenchmarkTask measures the cost of one task, from its part of Submit to HandleOutcome,
// while jobs of 10 tasks from several teams wait.
func BenchmarkTask(b *testing.B) {
	for _, workers := range []int{50, 200, 950} {
		for _, jobs := range []int{0, 50, 500} {
			b.Run(fmt.Sprintf("workers=%d/waiting=%d", workers, jobs), func(b *testing.B) {
				benchmarkTask(b, workers, jobs)
			})
		}
	}
}

func benchmarkTask(b *testing.B, workers, waiting int) {
	const slots, tasks = 4, 10
	s := sched.New(sched.DefaultConfig())
	var list []sched.Worker
	for i := range workers {
		list = append(list, sched.Worker{Address: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250), Domain: "a", Slots: slots})
	}
	s.SetWorkers(0, list)
	var running []sched.Start
	next := sched.JobKey(0)
	now := time.Duration(0)
	submit := func() {
		next++
		s.Submit(now, sched.Job{
			Key: next, Kind: "quote", Team: fmt.Sprint(next % 10), Tasks: tasks,
			Deadline: now + 24*time.Hour, RunTime: 100 * time.Millisecond,
		})
		running = append(running, s.Ready().Starts...)
	}
	for range workers*slots/tasks/2 + waiting + min(waiting, 1)*workers*slots/tasks/2 {
		submit()
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		now += 100 * time.Microsecond
		if i%tasks == 0 {
			submit()
		}
		s.HandleOutcome(now, running[0], sched.Outcome{})
		running = append(running[1:], s.Ready().Starts...)
	}
}
