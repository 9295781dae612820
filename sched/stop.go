package sched

import (
	"time"

	"github.com/lavendercleat/lavendercleat/verdict"
)

// PauseStarts keeps tasks from being started until ResumeStarts; jobs are still admitted. Use it
// while the list of workers may be badly out of date, for instance after a pause of
// the process: its slots may have been given to others.
func (s *Scheduler) PauseStarts() { s.startsPaused = true }

// ResumeStarts ends PauseStarts and starts what can start.
func (s *Scheduler) ResumeStarts(now time.Duration) {
	s.startsPaused = false
	s.schedule(now)
}

// Stop ends every job with reason Stopping, for an embedder that must end now.
func (s *Scheduler) Stop() {
	for _, j := range s.jobs {
		s.failJob(j, verdict.New(j.verdict(), verdict.Stopping, "the entry stopped before the job was done").After(time.Second))
	}
}
