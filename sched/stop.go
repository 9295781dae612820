package sched

import (
	"time"

	"github.com/lavendercleat/lavendercleat/verdict"
)

// PauseStarts prevents task starts until ResumeStarts. Jobs are still admitted. Use it
// while the list of workers may be badly out of date, for example after a pause of the
// process, because the slots in the list may have been assigned to other entries.
func (s *Scheduler) PauseStarts() { s.startsPaused = true }

// ResumeStarts ends PauseStarts and starts what can start.
func (s *Scheduler) ResumeStarts(now time.Duration) {
	s.startsPaused = false
	s.schedule(now)
}

// Stop ends every job with the reason Stopping. Use it when the embedder must stop now.
func (s *Scheduler) Stop() {
	for _, j := range s.jobs {
		s.failJob(j, verdict.New(j.verdict(), verdict.Stopping, "the entry stopped with %d of %d tasks complete", j.completed, j.Tasks).After(time.Second))
	}
}
