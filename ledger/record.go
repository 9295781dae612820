// Records and states of durable jobs, and their stored forms.

package ledger

import (
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/lavendercleat/lavendercleat/capacity"
	"github.com/lavendercleat/lavendercleat/coordinator"
	"github.com/lavendercleat/lavendercleat/schema"
)

// State is the state of a job.
type State uint8

// States.
const (
	// Queued: the job is accepted, and no task has started as far as the reporting daemon knows.
	Queued State = iota + 1
	Running
	// Completed: all tasks are done.
	Completed
	// Failed: a task has failed as often as it may.
	Failed
	Canceled
)

// Final reports whether the state is final.
func (s State) Final() bool { return s >= Completed }

// String returns the state's name in logs.
func (s State) String() string {
	names := [...]string{"unknown", "queued", "running", "completed", "failed", "canceled"}
	if int(s) < len(names) {
		return names[s]
	}
	return names[0]
}

// Record is a durable job that has not ended.
type Record struct {
	// Job is the job as its coordinator needs it, without a deadline. Its progress is in Progress.
	Job coordinator.Job
	// Route is the name of the job's queue.
	Route string
	// Owner is the incarnation of the daemon that runs the job to its end.
	Owner uint64
	// Progress is the progress of each task, in the order of the steps; empty before the first progress.
	Progress []coordinator.Progress
}

// Encode returns the record in its stored form.
func (r Record) Encode() []byte {
	k := &schema.KeptJob{
		Id: r.Job.ID, Route: r.Route, Service: r.Job.Service, Payload: r.Job.Payload, Attempts: uint32(r.Job.Attempts),
		Priority: int32(r.Job.Priority), Stretch: r.Job.Stretch, TargetMs: r.Job.Target.Milliseconds(), Owner: r.Owner,
	}
	for _, s := range r.Job.Steps {
		step := &schema.KeptStep{
			Count: uint32(s.Count), MilliCpu: s.Demand.MilliCPU, MemoryMb: s.Demand.MemoryMB, Gpus: s.Demand.GPUs,
			Label: s.Label, ExpectedMs: s.ExpectedRunTime.Milliseconds(), PerWorker: uint32(s.PerWorker),
		}
		for _, a := range s.After {
			step.After = append(step.After, uint32(a))
		}
		k.Steps = append(k.Steps, step)
	}
	for _, t := range r.Progress {
		k.Tasks = append(k.Tasks, &schema.KeptTask{Done: t.Done, FailedRuns: t.FailedRuns, Run: t.LastRun})
	}
	return encode(k)
}

// DecodeRecord decodes the stored form of a record.
func DecodeRecord(b []byte) (Record, error) {
	var k schema.KeptJob
	if err := proto.Unmarshal(b, &k); err != nil {
		return Record{}, errors.Wrap(err, "decoding the record of a durable job")
	}
	r := Record{Route: k.GetRoute(), Owner: k.GetOwner(), Job: coordinator.Job{
		ID: k.GetId(), Service: k.GetService(), Queue: k.GetRoute(), Payload: k.GetPayload(), Attempts: int(k.GetAttempts()),
		Priority: int(k.GetPriority()), Stretch: k.GetStretch(), Target: time.Duration(k.GetTargetMs()) * time.Millisecond, Durable: true,
	}}
	tasks := 0
	for _, s := range k.GetSteps() {
		step := coordinator.Step{
			Count: int(s.GetCount()), Label: s.GetLabel(), ExpectedRunTime: time.Duration(s.GetExpectedMs()) * time.Millisecond,
			Demand:    capacity.Vector{MilliCPU: s.GetMilliCpu(), MemoryMB: s.GetMemoryMb(), GPUs: s.GetGpus()},
			PerWorker: int(s.GetPerWorker()),
		}
		for _, a := range s.GetAfter() {
			step.After = append(step.After, int(a))
		}
		tasks += step.Count
		r.Job.Steps = append(r.Job.Steps, step)
	}
	for _, t := range k.GetTasks() {
		r.Progress = append(r.Progress, coordinator.Progress{Done: t.GetDone(), FailedRuns: t.GetFailedRuns(), LastRun: t.GetRun()})
	}
	if len(r.Progress) > 0 && len(r.Progress) != tasks {
		return r, errors.Newf("record of job %s: progress of %d tasks, but its steps have %d", r.Job.ID, len(r.Progress), tasks)
	}
	return r, nil
}

// EncodeState returns a state in its stored form. A final state includes the time of the end.
func EncodeState(s State, owner uint64, at time.Time) []byte {
	k := &schema.KeptState{State: uint32(s), Owner: owner}
	if s.Final() {
		k.EndedS = at.Unix()
	}
	return encode(k)
}

// ExpiredStates returns the keys of the states of jobs that ended before a time. Daemons remove the
// states that they wrote; this function finds those that removed daemons have left behind.
func ExpiredStates(states []Entry, before time.Time) (keys []Key) {
	for _, e := range states {
		var k schema.KeptState
		if err := proto.Unmarshal(e.Value, &k); err == nil && k.GetEndedS() > 0 && k.GetEndedS() < before.Unix() {
			keys = append(keys, e.Key)
		}
	}
	return keys
}

// DecodeState decodes the stored form of a state.
func DecodeState(b []byte) (s State, owner uint64, err error) {
	var k schema.KeptState
	if err := proto.Unmarshal(b, &k); err != nil {
		return 0, 0, errors.Wrap(err, "decoding the state of a job")
	}
	return State(k.GetState()), k.GetOwner(), nil
}

// encode encodes a message for the store. It cannot fail, because the messages contain valid UTF-8 and
// have no required fields.
func encode(m proto.Message) []byte {
	b, err := proto.Marshal(m)
	if err != nil {
		panic(errors.Wrap(err, "encoding a record for the store"))
	}
	return b
}
