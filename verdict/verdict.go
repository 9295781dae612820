package verdict

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// Verdict says whether a failed request may have run.
type Verdict uint8

const (
	// MayHaveRun is the zero value, so that a forgotten verdict is never read as a
	// proof that nothing ran.
	MayHaveRun Verdict = iota
	// NotRun means that the request certainly did not run.
	NotRun
)

// String returns the verdict as callers see it.
func (v Verdict) String() string {
	if v == NotRun {
		return "not-run"
	}
	return "may-have-run"
}

// Failure is a failed step, with its verdict, its reason and when to come back.
type Failure struct {
	Verdict Verdict
	Reason  Reason
	// Message says what went wrong and what to do, for a person.
	Message string
	// RetryAfter is the time to wait before coming back; 0 means no advice.
	RetryAfter time.Duration
	cause      error
}

// New returns a failure.
func New(v Verdict, r Reason, format string, args ...any) *Failure {
	return &Failure{Verdict: v, Reason: r, Message: fmt.Sprintf(format, args...)}
}

// Wrap returns a failure caused by err.
func Wrap(err error, v Verdict, r Reason, format string, args ...any) *Failure {
	f := New(v, r, format, args...)
	f.cause = err
	return f
}

// WithRetryAfter returns a copy of the failure that tells the caller when to come back.
func (f *Failure) WithRetryAfter(d time.Duration) *Failure {
	c := *f
	c.RetryAfter = d
	return &c
}

// Error implements error.
func (f *Failure) Error() string {
	if f.cause == nil {
		return fmt.Sprintf("%s (%s): %s", f.Reason, f.Verdict, f.Message)
	}
	return fmt.Sprintf("%s (%s): %s: %v", f.Reason, f.Verdict, f.Message, f.cause)
}

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.cause }

// FromError returns the failure in err's chain. An error without one is MayHaveRun with
// reason Internal, for nothing is known about it.
func FromError(err error) *Failure {
	var f *Failure
	if errors.As(err, &f) {
		return f
	}
	return Wrap(err, MayHaveRun, Internal, "internal error")
}

// ResubmitSafety says whether a new submission of the same job is harmless.
func (f *Failure) ResubmitSafety(idempotent bool) string {
	if f.Verdict == NotRun || idempotent {
		return "safe"
	}
	return "unsafe"
}
