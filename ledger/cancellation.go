// Cancellations by daemons that do not own the job, and the notices by which the store tells the owner.

package ledger

import (
	"fmt"
	"strings"
	"time"

	"github.com/lavendercleat/lavendercleat/coordinator"
)

// NoticeID returns the ID of the notice to an owner that a job was canceled. The owner's notices share the
// prefix NoticePrefix.
func NoticeID(owner uint64, job string) string { return NoticePrefix(owner) + job }

// NoticePrefix returns the common prefix of the IDs of all notices to an owner.
func NoticePrefix(owner uint64) string { return fmt.Sprintf("%016x/", owner) }

// Cancellation returns the change that cancels a job of any owner, from the job's record as it was read. The
// same change writes the notice to the owner: the canceling daemon may never learn that the change was
// applied, may not reach the owner, or may die.
func Cancellation(record Entry, at time.Time) Change {
	id := record.ID
	c := Change{
		Require: []Entry{record},
		Remove:  []Key{record.Key},
		Set:     []Entry{{Key: Key{StateEntry, id}, Value: EncodeState(Canceled, 0, at)}},
	}
	if r, err := DecodeRecord(record.Value); err == nil { // no daemon runs a job with an invalid record
		c.Set = append(c.Set, Entry{Key: Key{CancellationEntry, NoticeID(r.Owner, id)}})
	}
	return c
}

// HandleCancellation drops a job whose cancellation is in the store, whatever this ledger was about to write
// for it. The event reports the job's end also where the ledger does not have the job.
func (l *Ledger) HandleCancellation(id string) Event {
	event := Event{Kind: Ended, Record: Record{Job: coordinator.Job{ID: id}}, State: Canceled}
	if j := l.jobs[id]; j != nil {
		event.Record, event.Version = j.record, j.progressVersion
		l.remove(id)
	}
	return event
}

// RemoveNotice schedules the removal of a notice to this daemon that was handled.
func (l *Ledger) RemoveNotice(now time.Duration, job string) {
	l.handledNotices = append(l.handledNotices, expiry{Key{CancellationEntry, NoticeID(l.config.Owner, job)}, now + noticeRemovalDelay})
}

// AbandonedNotices returns the keys of the notices to owners that have no ownership record. They have no jobs
// any more. The ownership records must have been listed after the notices.
func AbandonedNotices(notices, ownerships []Entry) (keys []Key) {
	owners := make(map[string]bool, len(ownerships))
	for _, o := range ownerships {
		if owner, err := DecodeOwnership(o.Value); err == nil {
			owners[NoticePrefix(owner.Incarnation)] = true
		}
	}
	for _, e := range notices {
		if !owners[e.ID[:strings.IndexByte(e.ID, '/')+1]] {
			keys = append(keys, e.Key)
		}
	}
	return keys
}
