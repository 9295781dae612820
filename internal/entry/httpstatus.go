// The HTTP status of a failure.

package entry

import (
	"net/http"

	"github.com/lavendercleat/lavendercleat/verdict"
)

// reasonStatuses holds the HTTP status of the reasons that have their own.
var reasonStatuses = map[verdict.Reason]int{
	verdict.BadRequest:        http.StatusBadRequest,
	verdict.IdentifierBad:     http.StatusBadRequest,
	verdict.Unauthorized:      http.StatusUnauthorized,
	verdict.IdentifierUnknown: http.StatusNotFound,
	verdict.NotFound:          http.StatusNotFound,
	verdict.MethodNotAllowed:  http.StatusMethodNotAllowed,
	verdict.IdentifierReused:  http.StatusConflict,
	verdict.IdentifierExpired: http.StatusGone,
	verdict.Canceled:          http.StatusGone,
	verdict.TooLarge:          http.StatusRequestEntityTooLarge,
	verdict.UnknownKind:       http.StatusUnprocessableEntity,
	verdict.TooManyTasks:      http.StatusUnprocessableEntity,
	verdict.CannotRun:         http.StatusUnprocessableEntity,
	verdict.DeadlineTooShort:  http.StatusUnprocessableEntity,
	verdict.ReserveFirst:      http.StatusUnprocessableEntity,
	verdict.OverQuota:         http.StatusTooManyRequests,
}

// httpStatus returns the HTTP status of a failure: 4xx if the request is invalid, 503 if nothing ran, 504
// if a time-out passed, and 502 otherwise.
func httpStatus(f *verdict.Failure) int {
	if status, ok := reasonStatuses[f.Reason]; ok {
		return status
	}
	switch {
	case f.Verdict == verdict.NotRun:
		return http.StatusServiceUnavailable
	case f.Reason == verdict.DeadlineExceeded || f.Reason == verdict.TaskTimeout:
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}
