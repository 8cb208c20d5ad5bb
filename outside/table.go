// Package outside holds the seams to everything that is not lemonstream: the
// table that lasts, the workers, the instances and the advice service. Each is a
// concrete type whose operations are function fields, so that the real, the
// faulty and the in-memory version have the same shape.
package outside

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// MaxEntries is the most checks, puts and removes that one transaction may
// hold; it is the platform's own limit.
const MaxEntries = 100

// Change is a page of a table's changes.
type Change struct {
	// Rows are in order of version; a deleted row has Gone set.
	Rows []Row

	// Version is where the next call continues.
	Version int64

	// Relayed says that another entry told the changes.
	Relayed bool
}

// Check is a condition of a transaction.
type Check struct {
	Key Key

	// Version is what the row must have; 0 means that it must not exist.
	Version int64
}

// Key names a row. A transaction touches rows of a single part only.
type Key struct {
	Table string
	Part  string
	Name  string
}

// Page is a part of a table as of one moment.
type Page struct {
	Rows []Row

	// More says that rows follow after the last one.
	More bool

	// Version is the newest version of the whole store at that moment.
	Version int64

	// Now is the store's steady clock.
	Now time.Duration
}

// Put is a row to write.
type Put struct {
	Key   Key
	Value []byte
}

// Receipt is the outcome of a transaction that took effect.
type Receipt struct {
	// Version is what every row written has from then on.
	Version int64
	Now     time.Duration
}

// Row is one row as it stands.
type Row struct {
	Key     Key
	Value   []byte
	Version int64

	// Gone marks a deleted row in a page of changes.
	Gone bool
}

// Table is the platform's transactional store.
type Table struct {
	// Feed waits for changes of a table after a version, at most for wait. It
	// returns a *HistoryGoneError where they are no longer known.
	Feed func(ctx context.Context, table string, after int64, wait time.Duration) (Change, error)

	// Get returns rows of one part from the given key on, at most limit of them where
	// that is not 0.
	Get func(ctx context.Context, table, part, from string, limit int) (Page, error)

	// Row returns one row, or nil where it does not exist.
	Row func(ctx context.Context, key Key) (*Row, error)

	// Transact applies a transaction or nothing of it. It returns a
	// *ConflictError or a *NotDoneError when nothing was done, and an
	// *UncertainError when it may have been done or may yet be.
	Transact func(ctx context.Context, tx Transaction) (Receipt, error)
}

// Transaction is applied as a whole or not at all.
type Transaction struct {
	Checks  []Check
	Puts    []Put
	Removes []Key
}

// ConflictError reports a check that did not hold. Nothing was done.
type ConflictError struct {
	// Rows are the checked rows as they stand; those that don't exist are
	// absent.
	Rows []Row
}

// HistoryGoneError reports that changes since a version are no longer known;
// the table has to be read anew.
type HistoryGoneError struct {
	Table string
	After int64
}

// NotDoneError reports a call that certainly had no effect.
type NotDoneError struct {
	Call   string
	Status int
	Reason string
}

// UncertainError reports a call without an answer. It may have been done, and
// may yet be done seconds later.
type UncertainError struct {
	Call  string
	Cause error
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("a condition did not hold; %d rows stand otherwise", len(e.Rows))
}

// Error implements error.
func (e *HistoryGoneError) Error() string {
	return fmt.Sprintf("changes of table %s after %d are no longer known", e.Table, e.After)
}

// Error implements error.
func (e *NotDoneError) Error() string {
	return fmt.Sprintf("%s was refused with status %d: %s", e.Call, e.Status, e.Reason)
}

// Error implements error.
func (e *UncertainError) Error() string {
	return fmt.Sprintf("%s got no answer: %v", e.Call, e.Cause)
}

// Unwrap returns the cause.
func (e *UncertainError) Unwrap() error {
	return e.Cause
}

// IsNotDone reports whether an error says that a call certainly had no effect.
// An uncertain error may wrap the refusal that it came from, and does not count.
func IsNotDone(err error) bool {
	var notDone *NotDoneError
	return !IsUncertain(err) && errors.As(err, &notDone)
}

// IsUncertain reports whether an error leaves open if a call was done.
func IsUncertain(err error) bool {
	var uncertain *UncertainError
	return errors.As(err, &uncertain)
}

// Find returns the row of the given key.
func (e *ConflictError) Find(key Key) (Row, bool) {
	for _, row := range e.Rows {
		if row.Key == key {
			return row, true
		}
	}
	return Row{}, false
}
