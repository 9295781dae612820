// Writes of durable jobs to the store, and the handling of their results.

package node

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/lavendercleat/lavendercleat/coordinator"
	"github.com/lavendercleat/lavendercleat/executor"
	"github.com/lavendercleat/lavendercleat/internal/mesh"
	"github.com/lavendercleat/lavendercleat/ledger"
	"github.com/lavendercleat/lavendercleat/schema"
)

const (
	// writeShare is the part of the store's writes that durable jobs may use. The rest is for the
	// daemons' entries and for takeovers.
	writeShare = 0.75
	// writeBurst is the number of writes that may start at once after a pause.
	writeBurst = 4
	// maxWrites bounds the writes in flight. A slow store needs more of them for the same number of
	// jobs. They are for different jobs, so they don't conflict.
	maxWrites = 4
	// writeRetryDelay is the pause after a failed write.
	writeRetryDelay = 100 * time.Millisecond
)

// updateProgress passes the progress of a durable job to the ledger.
func (n *Node) updateProgress(now time.Duration, id string) {
	version, tasks := n.coordinator.Progress(id)
	if tasks == nil {
		return // the job has its answer, which ends it
	}
	n.durable.ledger.UpdateProgress(now, id, version, tasks)
}

// endDurable passes the end of a durable job to the ledger.
func (n *Node) endDurable(now time.Duration, a coordinator.Answer) {
	state := ledger.Completed
	if a.Status != coordinator.Completed {
		state = ledger.Failed
	}
	n.durable.ledger.SetFinalState(now, a.Job, state)
}

// startWrites starts the writes that are due. The caller holds the lock.
func (n *Node) startWrites(now time.Duration) {
	d := &n.durable
	gap := n.writeInterval()
	for d.writesInFlight < maxWrites && now >= d.nextWriteAt-writeBurst*gap {
		b, ok := d.ledger.NextBatch(now)
		if !ok {
			return
		}
		d.nextWriteAt = max(d.nextWriteAt, now) + gap
		d.writesInFlight++
		n.wg.Go(func() { n.write(b) })
	}
}

// writeInterval is the mean time between this daemon's writes, by its share of the writes that the
// store accepts.
func (n *Node) writeInterval() time.Duration {
	if n.config.StoreWritesPerSecond <= 0 {
		return 0
	}
	members := float64(max(len(n.fleet.peers), len(n.fleet.daemons)) + 1)
	return time.Duration(members / (n.config.StoreWritesPerSecond * writeShare) * float64(time.Second))
}

// write writes one batch and passes the result to the ledger.
func (n *Node) write(b ledger.Batch) {
	startedAt := n.clock.now()
	r, err := n.platform.Ledger.Write(n.ctx, b.Change)
	if err != nil && n.ctx.Err() == nil {
		n.storeFailed("write", err)
	}
	n.update(func(now time.Duration) {
		d := &n.durable
		d.writesInFlight--
		var events []ledger.Event
		var fenced bool
		switch {
		case err == nil:
			if r.Revision > 0 && b.OwnershipRevision() == d.ledger.OwnershipRevision() {
				d.ownership.confirm(startedAt)
			}
			events, fenced = d.ledger.HandleResult(now, b, r)
		case errors.Is(err, ledger.ErrNotWritten):
			events = d.ledger.HandleNotWritten(now, b)
		default:
			events = d.ledger.HandleNoAnswer(now, b)
		}
		if err != nil {
			d.nextWriteAt = max(d.nextWriteAt, now) + writeRetryDelay + writeBurst*n.writeInterval()
		}
		if fenced {
			n.handleFenced(now)
		}
		n.applyLedgerEvents(now, events)
	})
}

// applyLedgerEvents handles the results of writes for jobs, and reports states to peers. The caller
// holds the lock.
func (n *Node) applyLedgerEvents(now time.Duration, events []ledger.Event) {
	var reported []*schema.JobState
	for _, event := range events {
		id := event.Record.Job.ID
		n.metrics.countLedgerEvent(event.Kind)
		state := n.applyLedgerEvent(now, id, event)
		n.notifyCallers(id, event.Kind)
		if state != 0 {
			n.durable.states.put(id, knownState{state, n.self.Incarnation, now}, n.config.StateRetention)
			reported = append(reported, &schema.JobState{Job: id, State: uint32(state)})
		}
	}
	if len(reported) == 0 {
		return
	}
	n.mesh.SendToAll(func() *schema.Frame {
		return &schema.Frame{Body: &schema.Frame_JobStates{JobStates: &schema.JobStates{States: reported}}}
	})
}

// applyLedgerEvent handles the result of a write for one job. It returns the job's new state; 0
// when that is uncertain or unchanged.
func (n *Node) applyLedgerEvent(now time.Duration, id string, event ledger.Event) ledger.State {
	if event.Kind != ledger.ProgressStored {
		n.logLedgerEvent(id, event)
	}
	switch event.Kind {
	case ledger.Stored, ledger.TakenOver:
		if event.State != 0 {
			return 0 // canceled before it was stored; the next write stores its end
		}
		j := event.Record.Job
		j.OwnedSince = event.Revision
		if event.Kind == ledger.TakenOver {
			j.TakenOver, j.Progress = true, event.Record.Progress
		}
		n.coordinator.Submit(now, j)
		return ledger.Queued
	case ledger.ProgressStored:
		n.coordinator.HandlePersisted(id, event.Version, false)
	case ledger.Ended:
		if event.State == ledger.Canceled {
			n.coordinator.Cancel(now, id)
		}
		n.coordinator.HandlePersisted(id, event.Version, true)
		return event.State
	case ledger.OwnershipLost:
		n.coordinator.DropJob(id)
		n.durable.states.remove(id)
	}
	return 0
}

// handleJobStates handles a peer's report of states that it has stored. The caller holds the lock.
func (n *Node) handleJobStates(now time.Duration, p mesh.Peer, states []*schema.JobState) {
	n.markLedgerInUse()
	n.handlePendingStates(now, p, states)
	for _, s := range states {
		state := ledger.State(s.GetState())
		n.durable.states.put(s.GetJob(), knownState{state, p.Incarnation, now}, n.config.StateRetention)
		if state == ledger.Canceled && n.durable.ledger.Has(s.GetJob()) {
			n.applyCancellation(now, s.GetJob())
		}
	}
}

// lookUpJobStates reads the states of the jobs of unacknowledged completions from the store, so
// that the executor can acknowledge completions of jobs that are not durable. The caller holds the
// lock.
func (n *Node) lookUpJobStates(now time.Duration, jobs []string) {
	d := &n.durable
	if d.lookupInFlight || now < d.lookedUpAt+writeRetryDelay {
		return
	}
	d.lookupInFlight, d.lookedUpAt = true, now
	inUse := d.inUse
	n.wg.Go(func() {
		states, err := n.readJobStates(jobs, inUse)
		n.update(func(later time.Duration) {
			d.lookupInFlight = false
			if err == nil {
				if len(states) > 0 {
					n.markLedgerInUse()
				}
				n.executor.ApplyJobStates(later, now, func(job string) executor.JobState { return states[job] })
			}
		})
		if err != nil && n.ctx.Err() == nil {
			n.storeFailed("list", err)
		}
	})
}

// readJobStates lists the records of the jobs that have not ended, and reads the states of the
// other jobs one by one. A process that knows of no durable jobs lists the states as well.
func (n *Node) readJobStates(jobs []string, inUse bool) (map[string]executor.JobState, error) {
	records, err := n.platform.Ledger.List(n.ctx, ledger.RecordEntry)
	if err != nil {
		return nil, err
	}
	states := make(map[string]executor.JobState, len(records)+len(jobs))
	for _, r := range records {
		states[r.ID] = executor.JobOpen
	}
	if !inUse && len(records) == 0 {
		ended, err := n.platform.Ledger.List(n.ctx, ledger.StateEntry)
		for _, e := range ended {
			states[e.ID] = executor.JobEnded
		}
		return states, err
	}
	for _, job := range jobs {
		if _, known := states[job]; known {
			continue
		}
		e, err := n.platform.Ledger.Get(n.ctx, ledger.Key{Kind: ledger.StateEntry, ID: job})
		if err != nil {
			return nil, err
		}
		states[job] = executor.JobNotDurable
		if e.Revision > 0 {
			states[job] = executor.JobEnded
		}
	}
	return states, nil
}

func (n *Node) logLedgerEvent(id string, event ledger.Event) {
	fields := logrus.Fields{"event": "job_" + event.Kind.String(), "job": id, "route": event.Record.Route}
	if event.State != 0 {
		fields["state"] = event.State
	}
	if event.Kind == ledger.TakenOver {
		fields["progress_stored"] = len(event.Record.Progress) > 0
	}
	n.log.WithFields(fields).Info()
}
