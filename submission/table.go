package submission

import (
	"crypto/sha256"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lavendercleat/lavendercleat/verdict"
)

// shardCount is the number of shards of the table. Each shard has its own lock.
const shardCount = 64

// Digest is the SHA-256 digest of the body of a request.
type Digest [sha256.Size]byte

// Response is the final response to a submission. Each submission has exactly one.
type Response struct {
	// Status is the HTTP status.
	Status int
	// Body is the JSON text of the answer.
	Body []byte
	// RetryAfter is how long the caller should wait before a new submission; 0 means
	// unspecified.
	RetryAfter time.Duration
	// BadRequest is set when the request itself was at fault. The caller may send a
	// corrected request under the same identifier.
	BadRequest bool
}

// Record is one submission. It is running until Done is closed, and ended after that.
type Record struct {
	ID   string
	Team string
	// Digest is the digest of the request's body. The table refuses another body under
	// the same identifier.
	Digest Digest

	// canceledEarly is set when the submission was canceled before its request arrived.
	canceledEarly bool
	mintedAt      time.Duration
	done          chan struct{}
	response      Response
	// keepUntil is the time after which Sweep drops the record; 0 while it is running.
	keepUntil time.Duration
}

// MintedAt returns the time at which this process minted the identifier, or 0 for a record
// that it took over.
func (r *Record) MintedAt() time.Duration { return r.mintedAt }

// Done returns a channel that is closed once the submission has ended.
func (r *Record) Done() <-chan struct{} { return r.done }

// Response returns the final response. It is valid only once Done is closed.
func (r *Record) Response() Response { return r.response }

// Matches returns an IdentifierReused failure (NotRun) unless digest is the digest of the
// record's own request. Any request matches a record that was canceled early.
func (r *Record) Matches(digest Digest) *verdict.Failure {
	if r.Digest == digest || r.canceledEarly {
		return nil
	}
	return verdict.New(verdict.NotRun, verdict.IdentifierReused,
		"this identifier was already used with another request body; reserve a new identifier")
}

// TableConfig holds the settings of a table.
type TableConfig struct {
	// Window is the time after minting within which an identifier must be used first.
	Window time.Duration
	// Retention is the time for which the answer of an ended submission is kept.
	Retention time.Duration
	// MaxBytes bounds the total size of kept answers.
	MaxBytes int64
}

// Table holds the records of submissions, divided into shards. It is safe for concurrent
// use.
type Table struct {
	config  TableConfig
	bytes   atomic.Int64
	count   atomic.Int64
	running atomic.Int64
	shards  [shardCount]tableShard
}

// tableShard is one shard of a Table.
type tableShard struct {
	mu      sync.Mutex
	records map[string]*Record
	// sealed prevents the creation of records.
	sealed bool
}

// NewTable returns an empty table.
func NewTable(c TableConfig) *Table {
	t := &Table{config: c}
	for i := range t.shards {
		t.shards[i].records = make(map[string]*Record)
	}
	return t
}

func (t *Table) shard(id string) *tableShard {
	return &t.shards[xxhash.Sum64String(id)%shardCount]
}

// Begin returns the record of a verified identifier and creates it if it is missing. first
// reports that Begin created it: the caller then has the right to start the tasks of the
// submission and must call End. If the request of a record ended with BadRequest, a
// request with another body replaces the record.
//
// Errors: IdentifierReused (NotRun) for another body under the identifier;
// IdentifierExpired (MayHaveRun) if there is no record and the window is over;
// AnswersFull (MayHaveRun) when the kept answers have reached MaxBytes: Begin then records
// nothing, so a late copy of the request may still be accepted; Stopping (NotRun) after
// Seal.
func (t *Table) Begin(id ID, team string, digest Digest, now time.Duration) (r *Record, first bool, err *verdict.Failure) {
	text := id.String()
	s := t.shard(text)
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.records[text]
	if old == nil {
		return t.create(s, id, team, digest, now)
	}
	if !old.response.BadRequest || old.Digest == digest {
		return old, false, old.Matches(digest)
	}
	if r, first, err = t.create(s, id, team, digest, now); first {
		t.bytes.Add(-int64(len(old.response.Body)))
		t.count.Add(-1)
	}
	return r, first, err
}

// BeginCancel returns the record of a verified identifier, or creates one for a
// cancellation that arrived before its request. The errors are those of Begin. Without
// the record, the delayed request would start after its caller was told that it was
// canceled.
func (t *Table) BeginCancel(id ID, team string, now time.Duration) (r *Record, first bool, err *verdict.Failure) {
	text := id.String()
	s := t.shard(text)
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.records[text]; r != nil {
		return r, false, nil
	}
	r, first, err = t.create(s, id, team, Digest{}, now)
	if first {
		r.canceledEarly = true
	}
	return r, first, err
}

// create adds a record, or returns the reason for which it must not. The caller holds the
// shard's lock.
func (t *Table) create(s *tableShard, id ID, team string, digest Digest, now time.Duration) (*Record, bool, *verdict.Failure) {
	// Without this check, a late copy of a request would start the tasks again once the
	// table has dropped the record. It keeps a record until the window is over, so a copy
	// finds either the record or an expired identifier. The verdict is MayHaveRun because
	// an earlier request may have run and its record may have been dropped. With NotRun
	// the caller would submit the same work again.
	if now > id.MintedAt+t.config.Window {
		return nil, false, verdict.New(verdict.MayHaveRun, verdict.IdentifierExpired,
			"the identifier expired %s after it was issued; this request started nothing, but an earlier one may have; if there was no earlier one, reserve a new identifier", t.config.Window)
	}
	if s.sealed {
		return nil, false, FailureNeverStarted()
	}
	if t.bytes.Load() >= t.config.MaxBytes {
		return nil, false, verdict.New(verdict.MayHaveRun, verdict.AnswersFull,
			"kept answers have %d bytes of at most %d; this request started nothing; retry later", t.bytes.Load(), t.config.MaxBytes).WithRetryAfter(t.config.Retention / 8)
	}
	r := &Record{ID: id.String(), Team: team, Digest: digest, mintedAt: id.MintedAt, done: make(chan struct{})}
	s.records[r.ID] = r
	t.count.Add(1)
	t.running.Add(1)
	return r, true, nil
}

// Get returns the record of an identifier, or nil when there is none.
func (t *Table) Get(id string) *Record {
	s := t.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.records[id]
}

// End ends a record with its final response. It returns false and changes nothing if the
// record has already ended.
func (t *Table) End(r *Record, response Response, now time.Duration) bool {
	s := t.shard(r.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.keepUntil != 0 {
		return false
	}
	r.response = response
	r.keepUntil = max(now+t.config.Retention, r.mintedAt+t.config.Window)
	t.bytes.Add(int64(len(response.Body)))
	t.running.Add(-1)
	close(r.done)
	return true
}

// Seal prevents the creation of records. Once it has returned, nothing will ever start
// under an identifier that is within its window and has no record, whichever process is
// asked.
func (t *Table) Seal() {
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		s.sealed = true
		s.mu.Unlock()
	}
}

// FailureNeverStarted returns the failure for a request under an identifier whose process
// stopped before the identifier was used.
func FailureNeverStarted() *verdict.Failure {
	return verdict.New(verdict.NotRun, verdict.Stopping,
		"the entry that issued this identifier has stopped and started nothing under it; reserve a new identifier")
}

// TakeOver stores the ended record of a process that stopped. An existing record is kept.
func (t *Table) TakeOver(id, team string, digest Digest, response Response, keep, now time.Duration) {
	s := t.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.records[id] != nil {
		return
	}
	r := &Record{ID: id, Team: team, Digest: digest, done: make(chan struct{}), response: response, keepUntil: now + keep}
	// An early cancellation has no request digest. Without this mark, the late request
	// would be refused as a reuse of the identifier, although the caller has received
	// the answer that the submission was canceled.
	r.canceledEarly = digest == Digest{}
	close(r.done)
	s.records[id] = r
	t.bytes.Add(int64(len(response.Body)))
	t.count.Add(1)
}

// Sweep drops the records whose keep time is over and returns their number.
func (t *Table) Sweep(now time.Duration) int {
	dropped := 0
	for i := range t.shards {
		dropped += t.sweepShard(&t.shards[i], now)
	}
	return dropped
}

func (t *Table) sweepShard(s *tableShard, now time.Duration) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	dropped := 0
	for id, r := range s.records {
		if r.keepUntil == 0 || now <= r.keepUntil {
			continue
		}
		delete(s.records, id)
		t.bytes.Add(-int64(len(r.response.Body)))
		t.count.Add(-1)
		dropped++
	}
	return dropped
}

// EachEnded calls fn for each ended record, with the time for which it must still be kept.
// fn runs under the lock of the record's shard.
func (t *Table) EachEnded(now time.Duration, fn func(r *Record, keep time.Duration)) {
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		for _, r := range s.records {
			if r.keepUntil > now {
				fn(r, r.keepUntil-now)
			}
		}
		s.mu.Unlock()
	}
}

// Running returns the number of records that have not ended.
func (t *Table) Running() int { return int(t.running.Load()) }

// MaxBytes returns the maximum total size of kept answers.
func (t *Table) MaxBytes() int64 { return t.config.MaxBytes }

// Len returns the number of records.
func (t *Table) Len() int { return int(t.count.Load()) }

// Bytes returns the total size of kept answers.
func (t *Table) Bytes() int64 { return t.bytes.Load() }
