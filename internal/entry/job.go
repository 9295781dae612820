// Decoding of jobs, and their checks against the configuration.

package entry

import (
	"bytes"
	"encoding/json"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lavendercleat/lavendercleat/config"
	"github.com/lavendercleat/lavendercleat/sched"
	"github.com/lavendercleat/lavendercleat/schema"
	"github.com/lavendercleat/lavendercleat/verdict"
)

// maxEchoedText bounds how much of a caller's text an error message repeats, in bytes.
const maxEchoedText = 64

// heldKindRetryAfter is the Retry-After for a job of a held kind. An operator decides when the kind is
// resumed, so earlier requests would be refused too.
const heldKindRetryAfter = 5 * time.Second

// decodeJob decodes a body that contains exactly one job.
func decodeJob(body []byte) (*schema.Job, error) {
	j := new(schema.Job)
	return j, decodeStrict(body, j)
}

// decodeStrict decodes exactly one JSON value. It rejects unknown fields and data after the value, because
// they may change the meaning of the request. The error is for the caller and does not mention types of
// this program.
func decodeStrict(body []byte, v any) error {
	dec := json.NewDecoder(bytes.NewReader(body))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return callerError(err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return errors.Newf("there is more data after the JSON value, from byte %d on", dec.InputOffset())
	}
	return nil
}

// callerError converts a decoding error to an error for the caller.
func callerError(err error) error {
	var wrongType *json.UnmarshalTypeError
	var syntax *json.SyntaxError
	switch {
	case errors.As(err, &wrongType) && wrongType.Field != "":
		return errors.Newf("%s cannot be a %s", wrongType.Field, wrongType.Value)
	case errors.As(err, &wrongType):
		return errors.Newf("a JSON object is expected, not a %s", wrongType.Value)
	case errors.As(err, &syntax):
		return errors.Newf("%s, at byte %d", syntax, syntax.Offset)
	case errors.Is(err, io.EOF):
		return errors.New("it is empty")
	case errors.Is(err, io.ErrUnexpectedEOF):
		return errors.New("it is truncated")
	}
	return errors.New(truncate(err.Error()))
}

// truncate bounds a caller's text that an error message repeats.
func truncate(s string) string {
	if len(s) <= maxEchoedText {
		return s
	}
	return s[:maxEchoedText] + "..."
}

// checkJob decodes a job and checks it against the configuration. All failures are NotRun. Except for a
// held kind, the request itself is invalid.
func checkJob(index *config.Index, body []byte) (*schema.Job, *schema.Kind, *verdict.Failure) {
	refuse := func(r verdict.Reason, format string, args ...any) (*schema.Job, *schema.Kind, *verdict.Failure) {
		return nil, nil, verdict.New(verdict.NotRun, r, format, args...)
	}
	j, err := decodeJob(body)
	if err != nil {
		return refuse(verdict.BadRequest, "the body is not one job in JSON: %s", err)
	}
	kind := index.Kind(j.Kind)
	limits := index.Document().GetLimits()
	switch {
	case kind == nil:
		return refuse(verdict.UnknownKind, "kind %q is not in the configuration; name one that is", truncate(j.Kind))
	case index.Held(j.Kind):
		held := verdict.New(verdict.NotRun, verdict.KindHeld, "an operator has put kind %q on hold; retry later", truncate(j.Kind))
		return nil, nil, held.WithRetryAfter(heldKindRetryAfter)
	case len(j.Tasks) == 0:
		return refuse(verdict.BadRequest, "the job has no tasks; send at least one")
	case len(j.Tasks) > int(limits.GetMaxTasks()):
		return refuse(verdict.TooManyTasks, "the job has %d tasks, at most %d are accepted; split it", len(j.Tasks), limits.GetMaxTasks())
	case j.DeadlineMs < 0 || j.DeadlineMs > int64(limits.GetMaxDeadlineMs()):
		return refuse(verdict.BadRequest, "deadline_ms is %d, accepted are 1 to %d, or 0 for the kind's own", j.DeadlineMs, limits.GetMaxDeadlineMs())
	}
	if _, ok := jobUrgency(j.Urgency, kind); !ok {
		return refuse(verdict.BadRequest, "urgency is %q, accepted are high, normal and low", truncate(j.Urgency))
	}
	return j, kind, nil
}

// jobUrgency returns the urgency of a job, by default that of its kind. It returns false for an unknown
// name.
func jobUrgency(name string, kind *schema.Kind) (sched.Urgency, bool) {
	switch name {
	case "high":
		return sched.High, true
	case "normal":
		return sched.Normal, true
	case "low":
		return sched.Low, true
	case "":
		return kindUrgency(kind), true
	}
	return 0, false
}

func kindUrgency(kind *schema.Kind) sched.Urgency {
	switch kind.GetUrgency() {
	case schema.Urgency_URGENCY_HIGH:
		return sched.High
	case schema.Urgency_URGENCY_LOW:
		return sched.Low
	}
	return sched.Normal
}

// payloads returns the payloads of a job's tasks. The payload of a task without one is null.
func payloads(j *schema.Job) []json.RawMessage {
	p := make([]json.RawMessage, len(j.Tasks))
	for i, t := range j.Tasks {
		p[i] = t.Payload
		if len(p[i]) == 0 {
			p[i] = json.RawMessage("null")
		}
	}
	return p
}
