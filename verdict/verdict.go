// Failures and their verdicts.

package verdict

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// Verdict tells whether a failed request may have run.
type Verdict uint8

const (
	// MayHaveRun is the zero value, so that a verdict that was not set is never taken for a proof that
	// nothing ran.
	MayHaveRun Verdict = iota
	// NotRun: the request certainly did not run.
	NotRun
)

// String returns the verdict in the form that callers receive.
func (v Verdict) String() string {
	if v == NotRun {
		return "not-run"
	}
	return "may-have-run"
}

// Failure is the error of a failed step, with its verdict and its reason.
type Failure struct {
	Verdict Verdict
	Reason  Reason
	// Message describes the failure and what to do about it, for people.
	Message string
	// RetryAfter is the time to wait before a retry; 0 means no advice.
	RetryAfter time.Duration
	// cause is the wrapped error, or nil.
	cause error
}

// New returns a failure without a cause.
func New(v Verdict, r Reason, format string, args ...any) *Failure {
	return &Failure{Verdict: v, Reason: r, Message: fmt.Sprintf(format, args...)}
}

// Wrap returns a failure whose cause is err.
func Wrap(err error, v Verdict, r Reason, format string, args ...any) *Failure {
	f := New(v, r, format, args...)
	f.cause = err
	return f
}

// WithRetryAfter returns a copy of the failure that advises the caller to retry after d.
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

// FromError returns the failure in err's chain. For an error without one it returns a failure with the
// verdict MayHaveRun and the reason Internal, because nothing is known about the error.
func FromError(err error) *Failure {
	var f *Failure
	if errors.As(err, &f) {
		return f
	}
	return Wrap(err, MayHaveRun, Internal, "internal error")
}

// ResubmitSafety returns "safe" if a new submission of the same job does no harm, and otherwise "unsafe".
func (f *Failure) ResubmitSafety(idempotent bool) string {
	if f.Verdict == NotRun || idempotent {
		return "safe"
	}
	return "unsafe"
}
