// Conversion between the types of the state machines and the frames that peers exchange.

package node

import (
	"math"
	"time"

	"github.com/lavendercleat/lavendercleat/capacity"
	"github.com/lavendercleat/lavendercleat/coordinator"
	"github.com/lavendercleat/lavendercleat/executor"
	"github.com/lavendercleat/lavendercleat/member"
	"github.com/lavendercleat/lavendercleat/schema"
	"github.com/lavendercleat/lavendercleat/task"
)

func idToWire(i task.ID) *schema.TaskID {
	return &schema.TaskID{Job: i.Job, Occurrence: i.Occurrence, Step: i.Step, Index: i.Index}
}

func idFromWire(i *schema.TaskID) task.ID {
	return task.ID{Job: i.GetJob(), Occurrence: i.GetOccurrence(), Step: i.GetStep(), Index: i.GetIndex()}
}

func idsToWire(ids []task.ID) []*schema.TaskID {
	out := make([]*schema.TaskID, len(ids))
	for i, id := range ids {
		out[i] = idToWire(id)
	}
	return out
}

func idsFromWire(ids []*schema.TaskID) []task.ID {
	out := make([]task.ID, len(ids))
	for i, id := range ids {
		out[i] = idFromWire(id)
	}
	return out
}

// tasksToWire converts times to durations from now, as daemons have no common clock.
func tasksToWire(now time.Duration, tasks []task.Task) []*schema.TaskOrder {
	out := make([]*schema.TaskOrder, len(tasks))
	for i, t := range tasks {
		out[i] = &schema.TaskOrder{
			Id: idToWire(t.ID), Run: t.Run, Service: t.Service, Label: t.Label, Payload: t.Payload,
			MilliCpu: t.Demand.MilliCPU, MemoryMb: t.Demand.MemoryMB, Gpus: t.Demand.GPUs,
			Priority: int32(t.Priority), ExpectedMs: t.ExpectedRunTime.Milliseconds(),
			StartByMs: (t.StartBy - now).Milliseconds(), DueMs: (t.Due - now).Milliseconds(), Avoid: t.Avoid,
			Kept: t.Durable, PerWorker: uint32(t.PerWorker), OnlyNow: t.NoWait, Queue: t.Queue, Surplus: t.OverShare,
			Tenures: t.MaxEpoch, OwnedSince: t.OwnedSince,
		}
	}
	return out
}

func tasksFromWire(now time.Duration, tasks []*schema.TaskOrder) []task.Task {
	out := make([]task.Task, len(tasks))
	for i, t := range tasks {
		out[i] = task.Task{
			ID: idFromWire(t.GetId()), Run: t.GetRun(), Service: t.GetService(), Label: t.GetLabel(), Payload: t.GetPayload(),
			Demand:   capacity.Vector{MilliCPU: t.GetMilliCpu(), MemoryMB: t.GetMemoryMb(), GPUs: t.GetGpus()},
			Priority: int(t.GetPriority()), ExpectedRunTime: ms(t.GetExpectedMs()),
			StartBy: now + ms(t.GetStartByMs()), Due: now + ms(t.GetDueMs()), Avoid: t.GetAvoid(),
			Durable: t.GetKept(), PerWorker: int(t.GetPerWorker()), NoWait: t.GetOnlyNow(), Queue: t.GetQueue(), OverShare: t.GetSurplus(),
			MaxEpoch: t.GetTenures(), OwnedSince: t.GetOwnedSince(),
		}
	}
	return out
}

func ms(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

func reportToWire(r task.Report) *schema.Report {
	return &schema.Report{Id: idToWire(r.ID), Run: r.Run, Outcome: uint32(r.Outcome), Worker: r.Worker, Reason: r.Reason, Token: r.Token}
}

func reportFromWire(r *schema.Report) task.Report {
	return task.Report{
		ID: idFromWire(r.GetId()), Run: r.GetRun(), Outcome: task.Outcome(r.GetOutcome()), Worker: r.GetWorker(), Reason: r.GetReason(),
		Token: r.GetToken(),
	}
}

func runsToWire(runs []task.RunningTask) []*schema.ListedRun {
	out := make([]*schema.ListedRun, len(runs))
	for i, r := range runs {
		out[i] = &schema.ListedRun{Id: idToWire(r.ID), Run: r.Run, Done: r.Done, Failed: r.Failed}
	}
	return out
}

func runsFromWire(runs []*schema.ListedRun) []task.RunningTask {
	out := make([]task.RunningTask, len(runs))
	for i, r := range runs {
		out[i] = task.RunningTask{ID: idFromWire(r.GetId()), Run: r.GetRun(), Done: r.GetDone(), Failed: r.GetFailed()}
	}
	return out
}

func takeoverToWire(t executor.Takeover) *schema.Frame {
	return &schema.Frame{Body: &schema.Frame_Takeover{Takeover: &schema.Takeover{
		Worker: t.Worker, Running: runsToWire(t.Running), Ended: runsToWire(t.Completed),
		Tenure: t.Epoch, Token: t.Token, Recalled: t.Reconciliation, Incomplete: t.Incomplete,
	}}}
}

func takeoverFromWire(t *schema.Takeover) executor.Takeover {
	return executor.Takeover{
		Worker: t.GetWorker(), Running: runsFromWire(t.GetRunning()), Completed: runsFromWire(t.GetEnded()),
		Epoch: t.GetTenure(), Token: t.GetToken(), Reconciliation: t.GetRecalled(), Incomplete: t.GetIncomplete(),
	}
}

func messageToWire(now time.Duration, m coordinator.Message) *schema.Frame {
	switch {
	case m.Claims != nil:
		return &schema.Frame{Body: &schema.Frame_Claims{Claims: &schema.Claims{
			Worker: m.Claims.Worker, Tasks: tasksToWire(now, m.Claims.Tasks),
		}}}
	case m.Offer != nil:
		return &schema.Frame{Body: &schema.Frame_Offer{Offer: &schema.Offer{Tasks: tasksToWire(now, m.Offer)}}}
	case m.Reclaim != nil:
		return &schema.Frame{Body: &schema.Frame_Withdrawal{Withdrawal: &schema.Withdrawal{Tasks: idsToWire(m.Reclaim), OnlyWaiting: true}}}
	case m.WithdrawDurable != nil:
		return &schema.Frame{Body: &schema.Frame_Withdrawal{Withdrawal: &schema.Withdrawal{Tasks: idsToWire(m.WithdrawDurable), HoldEnds: true}}}
	case m.ConfirmStored != nil:
		return &schema.Frame{Body: &schema.Frame_Settlement{Settlement: &schema.Settlement{Runs: runRefsToWire(m.ConfirmStored)}}}
	case m.Superseded != nil:
		return &schema.Frame{Body: &schema.Frame_Settlement{Settlement: &schema.Settlement{Runs: runRefsToWire(m.Superseded), LapseFirst: true}}}
	case m.Reserve != nil || m.Unreserve != nil:
		return &schema.Frame{Body: &schema.Frame_Reservation{Reservation: &schema.Reservation{Tasks: tasksToWire(now, m.Reserve), Dropped: idsToWire(m.Unreserve)}}}
	case m.Reconcile != nil:
		return &schema.Frame{Body: &schema.Frame_Recall{Recall: ownedJobsToWire(m.Reconcile)}}
	default:
		return &schema.Frame{Body: &schema.Frame_Withdrawal{Withdrawal: &schema.Withdrawal{Tasks: idsToWire(m.Withdraw), Confirm: m.Confirm}}}
	}
}

func ownedJobsToWire(jobs []task.OwnedJob) *schema.Recall {
	out := new(schema.Recall)
	for _, j := range jobs {
		out.Jobs, out.OwnedSince = append(out.Jobs, j.ID), append(out.OwnedSince, j.OwnedSince)
	}
	return out
}

// ownedJobsFromWire returns the jobs of a recall. Daemons of earlier versions give no revisions.
func ownedJobsFromWire(r *schema.Recall) []task.OwnedJob {
	out := make([]task.OwnedJob, len(r.GetJobs()))
	for i, id := range r.GetJobs() {
		out[i].ID = id
		if i < len(r.GetOwnedSince()) {
			out[i].OwnedSince = r.GetOwnedSince()[i]
		}
	}
	return out
}

func runRefsToWire(runs []task.RunRef) []*schema.SettledRun {
	out := make([]*schema.SettledRun, len(runs))
	for i, r := range runs {
		out[i] = &schema.SettledRun{Id: idToWire(r.ID), Run: r.Run}
	}
	return out
}

func runRefsFromWire(runs []*schema.SettledRun) []task.RunRef {
	out := make([]task.RunRef, len(runs))
	for i, r := range runs {
		out[i] = task.RunRef{ID: idFromWire(r.GetId()), Run: r.GetRun()}
	}
	return out
}

// slowdownToWire converts a slowdown to percent; 0: not known.
func slowdownToWire(slowdown float64) uint32 {
	return uint32(min(max(math.Round(100*slowdown), 0), maxSlowdownPercent))
}

// maxSlowdownPercent bounds the slowdown that heartbeats report. A worker that takes a hundred
// times as long as declared is as useless as a slower one.
const maxSlowdownPercent = 10000

// executorFromHeartbeat returns the state of a peer's executor, by its heartbeat.
func executorFromHeartbeat(p member.Process, distance int, heartbeat *schema.Pulse) coordinator.ExecutorState {
	state := coordinator.ExecutorState{
		Process: p, Distance: distance, Leaving: heartbeat.GetLeaving() || !heartbeat.GetServing(),
		Backlog: make(map[string]executor.Backlog), ReportInterval: ms(heartbeat.GetNextMs()), Demands: demandsFromHeartbeat(heartbeat),
		Workers: make([]executor.WorkerCapacity, 0, len(heartbeat.GetRooms())),
	}
	for _, r := range heartbeat.GetRooms() {
		state.Workers = append(state.Workers, executor.WorkerCapacity{
			Worker: r.GetWorker(), Service: r.GetService(), Open: r.GetOpen(), Usable: r.GetUsable(),
			Free:     capacity.Vector{MilliCPU: r.GetMilliCpu(), MemoryMB: r.GetMemoryMb(), GPUs: r.GetGpus()},
			Total:    capacity.Vector{MilliCPU: r.GetTotalMilliCpu(), MemoryMB: r.GetTotalMemoryMb(), GPUs: r.GetTotalGpus()},
			Slowdown: float64(r.GetPacePercent()) / 100, Epoch: r.GetTenure(), Token: r.GetToken(),
		})
	}
	for _, b := range heartbeat.GetBacklogs() {
		var backlog executor.Backlog
		copy(backlog.WithinShare(), b.GetCoreMs())
		copy(backlog.OverShare(), b.GetSurplusCoreMs())
		state.Backlog[b.GetService()] = backlog
	}
	return state
}
