// Tests of cancellations by other daemons, and of the notices that tell the owner.

package ledger

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lavendercleat/lavendercleat/coordinator"
)

// cancel cancels a job in the store, as another daemon does.
func cancel(t *testing.T, m *memoryStore, id string) {
	t.Helper()
	assert.Assert(t, m.write(Cancellation(m.entries[Key{RecordEntry, id}], time.Unix(5, 0))).Revision > 0)
}

// notices returns the jobs that an owner has notices of.
func (m *memoryStore) notices(owner uint64) (jobs []string) {
	prefix := NoticePrefix(owner)
	for k := range m.entries {
		if k.Kind == CancellationEntry && len(k.ID) > len(prefix) && k.ID[:len(prefix)] == prefix {
			jobs = append(jobs, k.ID[len(prefix):])
		}
	}
	return jobs
}

// A job is canceled by another daemon while its owner has a write of it in flight or unanswered, in each
// phase. The notice goes to the owner in the job's record, which must drop the job and write nothing more.
func TestNoticeReachesOwnerInEachPhase(t *testing.T) {
	phases := map[string]func(l *Ledger, m *memoryStore){
		"adding, unanswered": func(l *Ledger, m *memoryStore) {
			l.Add(0, record("a"))
			b, _ := l.NextBatch(0)
			m.write(b.Change)
			l.HandleNoAnswer(0, b)
		},
		"accepted": func(l *Ledger, m *memoryStore) {
			l.Add(0, record("a"))
			writeBatch(t, l, m, 0)
		},
		"progress in flight": func(l *Ledger, m *memoryStore) {
			l.Add(0, record("a"))
			writeBatch(t, l, m, 0)
			l.UpdateProgress(0, "a", 1, make([]coordinator.Progress, 3))
			_, ok := l.NextBatch(time.Second)
			assert.Assert(t, ok)
		},
		"taking over, unanswered": func(l *Ledger, m *memoryStore) {
			earlier := newTestLedger(m, 2)
			earlier.Add(0, record("a"))
			writeBatch(t, earlier, m, 0)
			l.TakeOver(0, record("a"), m.entries[Key{RecordEntry, "a"}].Revision)
			b, _ := l.NextBatch(0)
			m.write(b.Change)
			l.HandleNoAnswer(0, b)
		},
		"ending, unanswered": func(l *Ledger, m *memoryStore) {
			l.Add(0, record("a"))
			writeBatch(t, l, m, 0)
			l.SetFinalState(0, "a", Completed)
			b, _ := l.NextBatch(0)
			l.HandleNoAnswer(0, b)
		},
	}
	for name, prepare := range phases {
		t.Run(name, func(t *testing.T) {
			m := newMemoryStore()
			l := newTestLedger(m, 1)
			prepare(l, m)
			cancel(t, m, "a")
			assert.DeepEqual(t, m.notices(1), []string{"a"})
			event := l.HandleCancellation("a")
			assert.Equal(t, event.Kind, Ended)
			assert.Equal(t, event.State, Canceled)
			assert.Assert(t, !l.Has("a"))
			_, ok := l.NextBatch(time.Minute)
			assert.Assert(t, !ok, "nothing is left to write")
			assert.Equal(t, m.state("a"), Canceled)
		})
	}
}

// The answer to a write arrives after the job's cancellation. The job must not come back.
func TestWriteAnsweredAfterNotice(t *testing.T) {
	m := newMemoryStore()
	l := newTestLedger(m, 1)
	l.Add(0, record("a"))
	b, _ := l.NextBatch(0)
	r := m.write(b.Change)
	cancel(t, m, "a")
	l.HandleCancellation("a")
	events, fenced := l.HandleResult(0, b, r)
	assert.Assert(t, !fenced)
	assert.Equal(t, len(events), 0)
	assert.Assert(t, !l.Has("a"))
}

// A successor has listed the record of a lost owner's job, and the job is canceled before the successor
// takes it over. The successor must not own it, and the notice to the lost owner must not stay for good.
func TestCancellationBeforeTakeover(t *testing.T) {
	m := newMemoryStore()
	lost, successor := newTestLedger(m, 1), newTestLedger(m, 2)
	lost.Add(0, record("a"))
	writeBatch(t, lost, m, 0)
	listed := m.entries[Key{RecordEntry, "a"}]
	m.write(OwnershipRemoval(m.entries[lost.OwnershipKey()]))
	cancel(t, m, "a")
	successor.TakeOver(0, record("a"), listed.Revision)
	assert.Equal(t, writeBatch(t, successor, m, 0), "a=lost ")
	var notices, ownerships []Entry
	for k, e := range m.entries {
		switch k.Kind {
		case CancellationEntry:
			notices = append(notices, e)
		case OwnershipEntry:
			ownerships = append(ownerships, e)
		}
	}
	assert.DeepEqual(t, AbandonedNotices(notices, ownerships), []Key{{CancellationEntry, NoticeID(1, "a")}})
	ownerships = append(ownerships, Entry{Value: EncodeOwnership(process(1), "d")})
	assert.Equal(t, len(AbandonedNotices(notices, ownerships)), 0)
}

// Notices must not stay in the store once they are handled, also if a write that removes them fails.
func TestHandledNoticesAreRemoved(t *testing.T) {
	m := newMemoryStore()
	l := newTestLedger(m, 1)
	for _, id := range []string{"a", "b"} {
		l.Add(0, record(id))
		writeBatch(t, l, m, 0)
		cancel(t, m, id)
		l.HandleCancellation(id)
		l.RemoveNotice(0, id)
	}
	_, ok := l.NextBatch(0)
	assert.Assert(t, !ok, "removals are combined")
	b, _ := l.NextBatch(noticeRemovalDelay)
	assert.Equal(t, len(b.Change.Remove), 2)
	l.HandleNoAnswer(noticeRemovalDelay, b)
	assert.Equal(t, writeBatch(t, l, m, noticeRemovalDelay), "")
	assert.Equal(t, len(m.notices(1)), 0)
}

// The write of a job's end gets no answer and is not applied, and another daemon cancels the job. The owner
// must not take the cancellation for its own write.
func TestUnansweredEndOfCanceledJob(t *testing.T) {
	m := newMemoryStore()
	l := newTestLedger(m, 1)
	l.Add(0, record("a"))
	writeBatch(t, l, m, 0)
	l.SetFinalState(0, "a", Completed)
	b, _ := l.NextBatch(0)
	l.HandleNoAnswer(0, b)
	cancel(t, m, "a")
	b, _ = l.NextBatch(time.Second)
	events, _ := l.HandleResult(time.Second, b, m.write(b.Change))
	assert.Equal(t, summary(events), "a=ended ")
	assert.Equal(t, events[0].State, Canceled)
}
