package ledger

import (
	"context"

	"github.com/cockroachdb/errors"
)

// Errors of a Store.
var (
	// ErrNotWritten: the store answered that it did nothing.
	ErrNotWritten = errors.New("not written")
	// ErrOutcomeUnknown: no answer; a write may have taken effect, or may yet.
	ErrOutcomeUnknown = errors.New("unknown whether written")
)

// EntryKind is the kind of an entry.
type EntryKind uint8

// Kinds of entries.
const (
	// RecordEntry: a job that has not ended, by the job's ID.
	RecordEntry EntryKind = iota + 1
	// StateEntry: the state of a job, by the job's ID.
	StateEntry
	// OwnershipEntry: an owner's title, by the owner's name.
	OwnershipEntry
)

// Key names an entry.
type Key struct {
	Kind EntryKind
	ID   string
}

// Entry is an entry of the store. Revision 0: there is none.
type Entry struct {
	Key
	Value    []byte
	Revision int64
}

// Change is a write: all of it or nothing.
type Change struct {
	// Require lists the entries that must be at these revisions; their values are not used.
	Require []Entry
	// Set lists entries to write; their revisions are not used.
	Set    []Entry
	Remove []Key
}

// Size returns the number of rows that the store counts.
func (c Change) Size() int { return len(c.Require) + len(c.Set) + len(c.Remove) }

// Result is the store's answer to a change.
type Result struct {
	// Revision is that of all entries written; 0 when the change was refused.
	Revision int64
	// Current lists the required entries as they are, where one was not as required.
	Current []Entry
}

// Store is the shared store.
type Store interface {
	// Write applies a change. Errors are ErrNotWritten or ErrOutcomeUnknown.
	Write(ctx context.Context, c Change) (Result, error)
	// Get reads one entry; its revision is 0 when there is none.
	Get(ctx context.Context, k Key) (Entry, error)
	// List reads all entries of a kind. What changes meanwhile may be shown or not.
	List(ctx context.Context, k EntryKind) ([]Entry, error)
}
