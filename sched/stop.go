package sched

// This file pauses task starts and stops the scheduler.

import (
	"time"

	"github.com/lavendercleat/lavendercleat/verdict"
)

// PauseStarts prevents task starts until ResumeStarts. The scheduler still admits jobs. Use
// it while the list of workers may be badly out of date, for example after a pause of the
// process, because the slots in the list may belong to other entries by now.
func (s *Scheduler) PauseStarts() { s.startsPaused = true }

// ResumeStarts ends PauseStarts and starts what can start.
func (s *Scheduler) ResumeStarts(now time.Duration) {
	s.startsPaused = false
	s.schedule(now)
}

// Stop ends every job with the reason Stopping. Use it when the embedder must stop now.
func (s *Scheduler) Stop() {
	for _, j := range s.jobs {
		s.failJob(j, verdict.New(j.verdict(), verdict.Stopping, "the entry stopped with %d of %d tasks complete", j.completed, j.Tasks).WithRetryAfter(time.Second))
	}
}
