// Handover of answers at a planned stop: sending them to a successor, and taking over those of a peer.

package entry

import (
	"context"
	"encoding/json"
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/lavendercleat/lavendercleat/internal/clock"
	"github.com/lavendercleat/lavendercleat/internal/peer"
	"github.com/lavendercleat/lavendercleat/member"
	"github.com/lavendercleat/lavendercleat/schema"
	"github.com/lavendercleat/lavendercleat/submission"
	"github.com/lavendercleat/lavendercleat/verdict"
)

const (
	// handoverPartBytes is the size at which a part of a handover is sent. One larger answer makes a larger
	// part.
	handoverPartBytes = 4 << 20
	// handoverCallTimeout bounds the wait for a successor's reply to one part.
	handoverCallTimeout = 3 * time.Second
	// handoverRetryPause is the time between attempts to find a successor.
	handoverRetryPause = 200 * time.Millisecond
)

// handover sends the answers of a stopping process to a successor, and takes over the answers of peers
// that stop. Before the answers are sent, the table must be sealed and every record must have ended, so
// that the handover is complete.
type handover struct {
	clock        *clock.Clock
	submissions  *submissions
	predecessors *submission.Predecessors
	members      *membership
	client       *peer.Client
	log          logrus.FieldLogger
	metrics      *Metrics
	// stopping reports whether this entry is stopping itself.
	stopping func() bool
}

// handOverToAny hands the answers over to the first peer that accepts them, and announces the successor to
// the others. It returns false if no peer accepted them.
func (h *handover) handOverToAny(ctx context.Context) bool {
	for _, to := range h.members.successorCandidates() {
		n, err := h.handOverTo(ctx, to)
		if err == nil {
			h.log.WithFields(logrus.Fields{"event": "handed_over", "successor": to.Address, "answers": n}).Info("answers handed over")
			h.members.announceSuccessor(ctx, to)
			return true
		}
		h.metrics.count("handovers", "result", "failed")
		h.log.WithFields(logrus.Fields{"event": "handover_failed", "successor": to.Address}).WithError(err).Warn("the peer did not take over the answers")
	}
	return false
}

// handOverTo sends all answers to one process. A repeated or incomplete handover does no harm: a final
// response never changes, and only after the last part does the receiver reply for identifiers without a
// record.
func (h *handover) handOverTo(ctx context.Context, to member.Process) (answers int, err error) {
	now := h.clock.Now()
	newPart := func() *schema.Handover {
		return &schema.Handover{ToIncarnation: to.Incarnation, Stopped: h.stoppedProcesses(now)}
	}
	part, size := newPart(), 0
	for _, s := range h.endedSubmissions(now) {
		if size > 0 && size+len(s.GetAnswer()) > handoverPartBytes {
			if err := h.sendPart(ctx, to, part); err != nil {
				return 0, err
			}
			part, size = newPart(), 0
		}
		part.Submissions = append(part.Submissions, s)
		size += len(s.GetAnswer()) + len(s.GetId())
		answers++
	}
	part.Last = true
	return answers, h.sendPart(ctx, to, part)
}

// stoppedProcesses returns this process and the processes whose answers it has taken over.
func (h *handover) stoppedProcesses(now time.Duration) []*schema.StoppedProcess {
	all := append(h.predecessors.All(now), submission.Predecessor{
		Process: submission.Process{Owner: h.members.self.Address, Incarnation: h.members.self.Incarnation},
		Clock:   now,
		Window:  h.submissions.window,
		KeepFor: h.members.identifierLifetime(),
	})
	out := make([]*schema.StoppedProcess, len(all))
	for i, p := range all {
		out[i] = &schema.StoppedProcess{
			Address:     p.Process.Owner.String(),
			Incarnation: p.Process.Incarnation,
			ClockMs:     p.Clock.Milliseconds() + 1, // rounded up: an earlier clock would be trusted for too long
			WindowMs:    p.Window.Milliseconds(),
			KeepMs:      p.KeepFor.Milliseconds(),
		}
	}
	return out
}

// endedSubmissions returns the kept answers.
func (h *handover) endedSubmissions(now time.Duration) []*schema.EndedSubmission {
	var all []*schema.EndedSubmission
	h.submissions.table.EachEnded(now, func(r *submission.Record, keep time.Duration) {
		resp := r.Response()
		if len(resp.Body) > peer.MaxMessageBytes/2 {
			// The answer is too large for a message. If it were left out, the successor would report that
			// nothing started. So a failure replaces it.
			failure := verdict.New(verdict.MayHaveRun, verdict.IdentifierExpired, "the answer was too large to be kept when its entry stopped")
			body, _ := json.Marshal(failureAnswer(r.ID, failure, false)) // encoding plain strings cannot fail
			resp = submission.Response{Status: httpStatus(failure), Body: body}
		}
		all = append(all, &schema.EndedSubmission{
			Id:           r.ID,
			Team:         r.Team,
			BodyDigest:   r.Digest[:],
			Status:       int32(resp.Status),
			Answer:       resp.Body,
			RetryAfterMs: resp.RetryAfter.Milliseconds(),
			KeepMs:       keep.Milliseconds() + 1,
		})
	})
	return all
}

func (h *handover) sendPart(ctx context.Context, to member.Process, part *schema.Handover) error {
	ctx, cancel := context.WithTimeout(ctx, handoverCallTimeout)
	defer cancel()
	h.metrics.countMessage("handover")
	reply, failure := h.client.Call(ctx, to.Address, &schema.Request{Body: &schema.Request_Handover{Handover: part}})
	if failure != nil {
		return failure
	}
	if !reply.GetHandover().GetTaken() {
		return verdict.New(verdict.NotRun, verdict.Stopping, "entry %s is stopping, has no space for the answers, or has been replaced", to.Address)
	}
	return nil
}

// receivePart takes over a part of a peer's answers. It refuses if this entry is stopping itself or has no
// space for the answers; the peer then tries another entry.
func (h *handover) receivePart(part *schema.Handover) *schema.HandoverReply {
	size := int64(0)
	for _, s := range part.GetSubmissions() {
		size += int64(len(s.GetAnswer()))
	}
	table := h.submissions.table
	full := size > 0 && table.Bytes()+size > table.MaxBytes()
	if part.GetToIncarnation() != h.members.self.Incarnation || h.stopping() || full {
		return &schema.HandoverReply{}
	}
	now := h.clock.Now()
	for _, s := range part.GetSubmissions() {
		h.takeOverSubmission(s, now)
	}
	for _, p := range part.GetStopped() {
		h.takeOverProcess(p, part.GetLast(), now)
	}
	return &schema.HandoverReply{Taken: true}
}

func (h *handover) takeOverSubmission(s *schema.EndedSubmission, now time.Duration) {
	var d submission.Digest
	copy(d[:], s.GetBodyDigest())
	resp := submission.Response{
		Status:     int(s.GetStatus()),
		Body:       s.GetAnswer(),
		RetryAfter: time.Duration(s.GetRetryAfterMs()) * time.Millisecond,
	}
	h.submissions.table.TakeOver(s.GetId(), s.GetTeam(), d, resp, time.Duration(s.GetKeepMs())*time.Millisecond, now)
}

func (h *handover) takeOverProcess(p *schema.StoppedProcess, last bool, now time.Duration) {
	address, err := netip.ParseAddrPort(p.GetAddress())
	if err != nil {
		return
	}
	stopped := submission.Predecessor{
		Process: submission.Process{Owner: address, Incarnation: p.GetIncarnation()},
		Clock:   time.Duration(p.GetClockMs()) * time.Millisecond,
		Window:  time.Duration(p.GetWindowMs()) * time.Millisecond,
		KeepFor: time.Duration(p.GetKeepMs()) * time.Millisecond,
	}
	h.predecessors.Add(stopped, last, now)
	if !last {
		return
	}
	h.metrics.count("handovers", "result", "taken")
	h.log.WithFields(logrus.Fields{"event": "took_over", "from": address}).Info("took over the answers of a stopped entry")
	h.members.withView(func(v *member.View) {
		v.SetSuccessor(now, member.Process{Address: address, Incarnation: p.GetIncarnation()}, h.members.self, stopped.KeepFor)
	})
}
