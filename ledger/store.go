// The interface of the store that all daemons share.

package ledger

import (
	"context"

	"github.com/cockroachdb/errors"
)

// Errors of a Store.
var (
	// ErrNotWritten: the store answered that it did not apply the change.
	ErrNotWritten = errors.New("the store did not apply the change")
	// ErrOutcomeUnknown: the store did not answer. A write may have been applied, or may be applied later.
	ErrOutcomeUnknown = errors.New("no answer from the store: the change may have been applied")
)

// EntryKind is the kind of an entry.
type EntryKind uint8

// Kinds of entries.
const (
	// RecordEntry: the record of a job that has not ended, by the job's ID.
	RecordEntry EntryKind = iota + 1
	// StateEntry: the state of a job, by the job's ID.
	StateEntry
	// OwnershipEntry: a daemon's ownership record, by its ID.
	OwnershipEntry
	// CancellationEntry: a notice to a job's owner that the job was canceled, by NoticeID.
	CancellationEntry
)

// Key identifies an entry.
type Key struct {
	Kind EntryKind
	ID   string
}

// Entry is an entry of the store. Revision 0: the entry does not exist.
type Entry struct {
	Key
	Value    []byte
	Revision int64
}

// Change is an atomic write: the store applies all of it or nothing.
type Change struct {
	// Require lists entries that must be at the given revisions. Their values are ignored.
	Require []Entry
	// Set lists the entries to write. Their revisions are ignored.
	Set []Entry
	// Remove lists the entries to remove.
	Remove []Key
}

// Size returns the number of rows by which the store counts the change.
func (c Change) Size() int { return len(c.Require) + len(c.Set) + len(c.Remove) }

// Result is the store's answer to a change.
type Result struct {
	// Revision is the new revision of all written entries; 0 if the change was refused.
	Revision int64
	// Current lists the required entries as they are in the store, if one of them was not as required.
	Current []Entry
}

// Store is the shared store.
type Store interface {
	// Write applies a change. Errors are ErrNotWritten or ErrOutcomeUnknown.
	Write(ctx context.Context, c Change) (Result, error)
	// Get reads one entry. Its revision is 0 if it does not exist.
	Get(ctx context.Context, k Key) (Entry, error)
	// List reads all entries of a kind. It may or may not show changes made during the read.
	List(ctx context.Context, k EntryKind) ([]Entry, error)
}
