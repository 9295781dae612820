// The HTTP headers of the calls to backend servers.

package backend

// Headers of the backend server interface.
const (
	// HeaderSubmission carries the identifier of the submission.
	HeaderSubmission = "Lavendercleat-Submission"
	// HeaderTask carries the index of the task within its job.
	HeaderTask = "Lavendercleat-Task"
	// HeaderRemaining carries the milliseconds left until the deadline.
	HeaderRemaining = "Lavendercleat-Remaining-Ms"
	// HeaderNotRun with value 1 on a 503 reply reports that the worker refused the task before its start.
	HeaderNotRun = "Lavendercleat-Not-Run"
	// HeaderLeaving with value 1 reports that the worker is leaving.
	HeaderLeaving = "Lavendercleat-Leaving"
)
