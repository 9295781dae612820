// Reasons of failures, as callers and metrics show them.

package verdict

// Reason is the reason why a request was refused, retried or failed. The metrics count each reason.
type Reason string

// Reasons for refusing a request because of its contents.
const (
	BadRequest        Reason = "bad_request"
	Unauthorized      Reason = "unauthorized"
	UnknownKind       Reason = "unknown_kind"
	TooManyTasks      Reason = "too_many_tasks"
	TooLarge          Reason = "too_large"
	CannotRun         Reason = "cannot_run"
	DeadlineTooShort  Reason = "deadline_too_short"
	IdentifierBad     Reason = "identifier_bad"
	IdentifierExpired Reason = "identifier_expired"
	IdentifierUnknown Reason = "identifier_unknown"
	IdentifierReused  Reason = "identifier_reused"
	ReserveFirst      Reason = "reserve_first"
	NotFound          Reason = "not_found"
	MethodNotAllowed  Reason = "method_not_allowed"
)

// Reasons for refusing a request because there is no capacity for it now.
const (
	OverQuota     Reason = "over_quota"
	Overloaded    Reason = "overloaded"
	NoWorkers     Reason = "no_workers"
	AnswersFull   Reason = "answers_full"
	Stopping      Reason = "stopping"
	NotReady      Reason = "not_ready"
	DomainRetired Reason = "domain_retired"
	KindHeld      Reason = "kind_held"
)

// Reasons why a request to the entry that owns an identifier failed.
const (
	OwnerUnreachable Reason = "owner_unreachable"
	OwnerGone        Reason = "owner_gone"
)

// Reasons why a task was retried or its job failed.
const (
	DialFailed       Reason = "dial_failed"
	NothingSent      Reason = "nothing_sent"
	WorkerRefused    Reason = "worker_refused"
	WorkerLeaving    Reason = "worker_leaving"
	TaskFailed       Reason = "task_failed"
	TaskTimeout      Reason = "task_timeout"
	ConnectionLost   Reason = "connection_lost"
	ReplyTooLarge    Reason = "reply_too_large"
	DeadlineExceeded Reason = "deadline_exceeded"
	RetriesExhausted Reason = "retries_exhausted"
	Canceled         Reason = "canceled"
	Internal         Reason = "internal"
)
