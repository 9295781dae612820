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
	// handoverPart is the size in bytes at which a part of a handover is sent.
	handoverPartBytes = 4 << 20
	// handoverCallTimeout bounds the wait for a successor's answer to one part.
	handoverCallTimeout = 3 * time.Second
	// handoverRetry is the pause before looking for a successor again.
	handoverRetryPause = 200 * time.Millisecond
)

// handover gives the ended answers of a stopping process to a successor, and takes
// those of others. The table must be sealed and every record ended before giving, so
// that what is handed over is complete.
type handover struct {
	clock        *clock.Clock
	submissions  *submissions
	predecessors *submission.Predecessors
	members      *membership
	client       *peer.Client
	log          logrus.FieldLogger
	metrics      *Metrics
	// refuses tells whether this entry is stopping itself.
	stopping func() bool
}

// give hands over to the first peer that takes the answers, and tells the others. It
// returns false when none did.
func (h *handover) handOverToAny(ctx context.Context) bool {
	for _, to := range h.members.successorCandidates() {
		n, err := h.handOverTo(ctx, to)
		if err == nil {
			h.log.WithFields(logrus.Fields{"event": "handed_over", "successor": to.Address, "answers": n}).Info("answers handed over")
			h.members.announceSuccessor(ctx, to)
			return true
		}
		h.metrics.count("handovers", "result", "failed")
		h.log.WithFields(logrus.Fields{"event": "handover_failed", "successor": to.Address}).WithError(err).Warn("no handover to this entry")
	}
	return false
}

// giveTo sends everything to one process. A repeated or half-done handover is
// harmless: endings never change, and only the last part makes the receiver answer
// for identifiers without a record.
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

// stopped returns this process and those that handed over to it.
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
			ClockMs:     p.Clock.Milliseconds() + 1, // rounded up: an earlier clock would be believed for too long
			WindowMs:    p.Window.Milliseconds(),
			KeepMs:      p.KeepFor.Milliseconds(),
		}
	}
	return out
}

// ended returns the kept answers.
func (h *handover) endedSubmissions(now time.Duration) []*schema.EndedSubmission {
	var all []*schema.EndedSubmission
	h.submissions.table.EachEnded(now, func(r *submission.Record, keep time.Duration) {
		resp := r.Response()
		if len(resp.Body) > peer.MaxMessageBytes/2 {
			// It can't be sent. Without a record the successor would say that nothing
			// started.
			failure := verdict.New(verdict.MayHaveRun, verdict.IdentifierExpired, "the answer was too large to be kept when its entry stopped")
			body, _ := json.Marshal(failureAnswer(r.ID, failure, false)) // plain strings always encode
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
		return verdict.New(verdict.NotRun, verdict.Stopping, "entry %s is stopping, full or replaced", to.Address)
	}
	return nil
}

// take takes a part of a peer's answers. An entry that stops itself, or has no room,
// refuses, and the peer asks another.
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
	h.log.WithFields(logrus.Fields{"event": "took_over", "from": address}).Info("answers of a stopped entry taken over")
	h.members.withView(func(v *member.View) {
		v.SetSuccessor(now, member.Process{Address: address, Incarnation: p.GetIncarnation()}, h.members.self, stopped.KeepFor)
	})
}
