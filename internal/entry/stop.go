// The planned stop of an entry: finishing jobs, handing over answers and finishing requests.

package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/lavendercleat/lavendercleat/internal/clock"
	"github.com/lavendercleat/lavendercleat/verdict"
)

const (
	// stopPollInterval is the time between a stopping entry's checks whether its work is done.
	stopPollInterval = 10 * time.Millisecond
	// finishTimeout bounds each step that remains after the stop time-out: the handover, and the replies to
	// waiting callers.
	finishTimeout = 3 * time.Second
	// flushTimeout bounds the time for sending the last replies.
	flushTimeout = 500 * time.Millisecond
)

// Stop stops the entry gracefully, in this order:
//
//  1. The entry reports that it is not ready. It still serves requests that arrive within the stop delay,
//     because the load balancer has not noticed yet.
//  2. The entry starts no jobs any more, under any identifier, and finishes those in flight. As soon as none
//     of their tasks waits for a slot, the peers get its slots.
//  3. The entry hands its answers over to a successor, and announces the successor to the peers.
//  4. The entry finishes the requests of callers and peers that are in progress.
//
// After the stop time-out, jobs that still run end with a failure. Their callers get it before the process
// ends.
func (e *Entry) Stop(ctx context.Context) error {
	e.stopping.Store(true)
	e.log.WithField("event", "stopping").Info("planned stop begins")
	clock.Sleep(ctx, e.settings.StopDelay)
	e.sealed.Store(true)
	e.router.submissions.table.Seal()
	stopCtx, cancel := context.WithTimeout(ctx, e.settings.StopTimeout)
	defer cancel()
	if e.finishJobs(ctx, stopCtx) {
		e.handOver(ctx, stopCtx)
	}
	err := e.finishAndClose(ctx)
	e.log.WithField("event", "stopped").Info("entry stopped")
	return err
}

// finishJobs waits for the jobs in flight, and ends them when stopCtx ends, which bounds the stop. ctx lasts
// longer, so that the callers still get their failures. finishJobs returns whether every submission has
// ended. Otherwise nothing may be handed over: a successor would report that a submission without an answer
// never started.
func (e *Entry) finishJobs(ctx, stopCtx context.Context) bool {
	d := e.router.submissions.dispatcher
	running := e.router.submissions.table.Running
	// The entry keeps its slots while tasks wait for them. Without the slots, the jobs in flight could not be
	// finished.
	pollUntil(stopCtx, func() bool { return d.load().Waiting == 0 })
	e.members.releaseSlots(ctx)
	if pollUntil(stopCtx, func() bool { return running() == 0 }) {
		return true
	}
	e.log.WithFields(logrus.Fields{"event": "stop_timeout", "jobs": running()}).Warn("stop time-out: ending the jobs in flight")
	finishCtx, cancel := context.WithTimeout(ctx, finishTimeout)
	defer cancel()
	return pollUntil(finishCtx, func() bool {
		d.stopJobs() // repeated, because a job may have been accepted only just before
		return running() == 0
	})
}

// handOver hands the answers over, which takes milliseconds if there is a successor. Without a peer, the
// entry serves its answers until the stop time-out. It returns at once if it has no answers.
func (e *Entry) handOver(ctx, stopCtx context.Context) {
	for first := true; ; first = false {
		attemptCtx, cancel := context.WithTimeout(ctx, finishTimeout)
		done := e.handover.handOverToAny(attemptCtx)
		cancel()
		if done || e.nothingToHandOver() {
			return
		}
		if first {
			e.log.WithFields(logrus.Fields{"event": "no_successor", "answers": e.router.submissions.table.Len()}).
				Warn("no entry accepts the answers; serving them here until the stop time-out")
		}
		if !clock.Sleep(stopCtx, handoverRetryPause) {
			e.log.WithFields(logrus.Fields{"event": "answers_lost", "answers": e.router.submissions.table.Len()}).
				Warn("no entry accepted the answers; they are lost when this process ends")
			return
		}
	}
}

// nothingToHandOver reports whether there is no answer that a caller could request, and no peer that should
// know so.
func (e *Entry) nothingToHandOver() bool {
	return e.router.submissions.table.Len() == 0 && len(e.members.successorCandidates()) == 0
}

// finishAndClose finishes the requests in progress and closes everything.
func (e *Entry) finishAndClose(ctx context.Context) error {
	finishCtx, cancel := context.WithTimeout(ctx, finishTimeout)
	defer cancel()
	e.finishRequests(finishCtx)
	err := e.servers.peer.Shutdown(finishCtx)
	return errors.CombineErrors(err, e.close())
}

// finishRequests accepts no further requests of callers and waits for those in progress.
func (e *Entry) finishRequests(ctx context.Context) {
	flushed := make(chan struct{})
	go func() {
		defer close(flushed)
		// net/http also waits for connections that never carried a request. To wait for its return alone would
		// delay the stop for seconds.
		_ = e.servers.callerHTTP.Stop(ctx) // the only error is the end of the context
	}()
	if !pollUntil(ctx, func() bool { return e.inFlight.Load() == 0 }) {
		// The remaining requests wait for other entries, which own their submissions. Their callers are told to
		// ask again.
		e.log.WithFields(logrus.Fields{"event": "requests_sent_away", "requests": e.inFlight.Load()}).Warn("telling the callers of the remaining requests to ask another entry")
		e.cancelRequests()
	}
	select {
	case <-flushed:
	case <-time.After(flushTimeout):
	}
}

// pollUntil waits until done returns true, and returns false if the context ends first.
func pollUntil(ctx context.Context, done func() bool) bool {
	for !done() {
		if !clock.Sleep(ctx, stopPollInterval) {
			return done()
		}
	}
	return true
}

// trackRequests counts the callers' requests in progress. While the entry is stopping, replies have the
// header "Connection: close". A caller's next request then needs a new connection, which the load balancer
// directs to another entry. If the entry closed the connections instead, requests that are being sent on
// them would be cut off.
func (e *Entry) trackRequests(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		e.inFlight.Add(1)
		defer e.inFlight.Add(-1)
		next.ServeHTTP(w, r)
	})
}

// checkAcceptsWork returns the reason why new work of callers is refused, or nil if it is accepted. During
// the stop delay, a stopping entry is not ready but still accepts work.
func (e *Entry) checkAcceptsWork() *verdict.Failure {
	if e.sealed.Load() {
		return verdict.New(verdict.NotRun, verdict.Stopping, "this entry is stopping; ask another").WithRetryAfter(time.Second)
	}
	return e.checkCanServe()
}
