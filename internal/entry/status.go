package entry

import (
	"net/http"

	"github.com/lavendercleat/lavendercleat/verdict"
)

// statuses gives the HTTP status of the reasons that have one of their own.
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

// statusOf returns the HTTP status of a failure: 4xx when the request is at fault,
// 503 when it did not run, 504 when time ran out and 502 otherwise.
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
