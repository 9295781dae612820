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
	// Queued: accepted; no task has started, as far as the one who says so knows.
	Queued State = iota + 1
	Running
	// Completed: all tasks are done.
	Completed
	// Failed: a task has failed as often as it may.
	Failed
	Canceled
)

// Final reports whether the state is an end.
func (s State) Final() bool { return s >= Completed }

// String returns the state's name in logs.
func (s State) String() string {
	names := [...]string{"unknown", "queued", "running", "completed", "failed", "canceled"}
	if int(s) < len(names) {
		return names[s]
	}
	return names[0]
}

// Record is an accepted job that has not ended.
type Record struct {
	// Job is what its coordinator needs; its deadline and progress are not part of it.
	Job coordinator.Job
	// Route is the name of its queue.
	Route string
	// Owner is the incarnation of the daemon that brings it to its end.
	Owner uint64
	// Progress is the progress, step after step; empty before the first.
	Progress []coordinator.Progress
}

// Encode returns the record as it is stored.
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

// DecodeRecord decodes what Encode returned.
func DecodeRecord(b []byte) (Record, error) {
	var k schema.KeptJob
	if err := proto.Unmarshal(b, &k); err != nil {
		return Record{}, errors.Wrap(err, "decoding a kept job")
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
		return r, errors.Newf("kept job %s: progress of %d tasks for %d", r.Job.ID, len(r.Progress), tasks)
	}
	return r, nil
}

// EncodeState returns a state as it is stored, and for a final one the time.
func EncodeState(s State, owner uint64, at time.Time) []byte {
	k := &schema.KeptState{State: uint32(s), Owner: owner}
	if s.Final() {
		k.EndedS = at.Unix()
	}
	return encode(k)
}

// ExpiredStates returns the keys of states of jobs that had ended before a time. Daemons remove
// the states that they wrote themselves; these are left by daemons that are gone.
func ExpiredStates(states []Entry, before time.Time) (keys []Key) {
	for _, e := range states {
		var k schema.KeptState
		if err := proto.Unmarshal(e.Value, &k); err == nil && k.GetEndedS() > 0 && k.GetEndedS() < before.Unix() {
			keys = append(keys, e.Key)
		}
	}
	return keys
}

// DecodeState decodes what EncodeState returned.
func DecodeState(b []byte) (s State, owner uint64, err error) {
	var k schema.KeptState
	if err := proto.Unmarshal(b, &k); err != nil {
		return 0, 0, errors.Wrap(err, "decoding a job's state")
	}
	return State(k.GetState()), k.GetOwner(), nil
}

// encode never fails: the messages hold valid text and no required fields.
func encode(m proto.Message) []byte {
	b, err := proto.Marshal(m)
	if err != nil {
		panic(errors.Wrap(err, "encoding for the store"))
	}
	return b
}
