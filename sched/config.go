package sched

import "time"

// Config holds the settings of a scheduler.
type Config struct {
	// MaxAttempts bounds the starts of one task, refused ones included.
	MaxAttempts int
	// RefusalPause is the time for which a worker that refused a task gets no other.
	RefusalPause time.Duration
	// DefaultRunTime is the expected run time of a task whose kind declares none.
	DefaultRunTime time.Duration
}

// DefaultConfig returns the settings for tasks of 50 ms to a second.
func DefaultConfig() Config {
	return Config{
		MaxAttempts:    8,
		RefusalPause:   20 * time.Millisecond,
		DefaultRunTime: 200 * time.Millisecond,
	}
}
