// Package outside defines the interfaces to external systems: the durable table store, the
// workers, the instances and the advice service. Each is a concrete type whose operations are
// function fields, so that the real, the fault-injecting and the in-memory implementation have
// the same type.
package outside

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"
)

// MaxEntries is the maximum number of checks, puts and removes in one transaction. The
// platform sets this limit.
const MaxEntries = 100

// Change is a page of a table's changes.
type Change struct {
	// Rows are in order of version; a deleted row has Gone set.
	Rows []Row

	// Version is the version after which the next call continues.
	Version int64

	// Relayed is set if the changes came from another entry instead of the store.
	Relayed bool

	// Confirmed is an instant at which the store certainly had no other changes. It is zero if
	// whoever returns the page does not know.
	Confirmed time.Time
}

// Check is a condition of a transaction.
type Check struct {
	Key Key

	// Version is the required version of the row; 0 means that the row must not exist.
	Version int64
}

// Key names a row. A transaction touches rows of a single part only.
type Key struct {
	Table string
	Part  string
	Name  string
}

// Page holds some rows of a part of a table as of one moment.
type Page struct {
	Rows []Row

	// More is set if there are rows after the last one.
	More bool

	// Version is the newest version of the whole store at that moment.
	Version int64

	// Now is the time of the store's monotonic clock.
	Now time.Duration
}

// Put is a row to write.
type Put struct {
	Key   Key
	Value []byte
}

// Receipt is the outcome of a transaction that took effect.
type Receipt struct {
	// Version is the new version of every row written.
	Version int64
	Now     time.Duration
}

// Row is one row with its current value and version.
type Row struct {
	Key     Key
	Value   []byte
	Version int64

	// Gone marks a deleted row in a page of changes.
	Gone bool
}

// Table is the platform's transactional store.
type Table struct {
	// Feed waits at most for wait for changes of a table after a version. It returns a
	// *HistoryGoneError if the store no longer has them.
	Feed func(ctx context.Context, table string, after int64, wait time.Duration) (Change, error)

	// Get returns rows of one part, starting at the key from. It returns at most limit rows;
	// a limit of 0 means no limit.
	Get func(ctx context.Context, table, part, from string, limit int) (Page, error)

	// Row returns one row, or nil if it does not exist.
	Row func(ctx context.Context, key Key) (*Row, error)

	// Transact applies a transaction atomically. It returns a *ConflictError or a
	// *NotDoneError if the transaction was not applied, and an *UncertainError if it may have
	// been applied or may still be.
	Transact func(ctx context.Context, tx Transaction) (Receipt, error)
}

// Transaction is applied as a whole or not at all.
type Transaction struct {
	Checks  []Check
	Puts    []Put
	Removes []Key
}

// ConflictError reports that a check of a transaction failed. The transaction was not applied.
type ConflictError struct {
	// Rows are the current versions of the checked rows, without those that don't exist.
	Rows []Row
}

// HistoryGoneError reports that the store no longer has the changes since a version, so the
// caller has to read the whole table again.
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

// UncertainError reports a call without an answer. The call may have taken effect, or may still
// take effect seconds later.
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

// IsNotDone reports whether err means that a call certainly had no effect. It returns false for
// an *UncertainError, even one that wraps a *NotDoneError.
func IsNotDone(err error) bool {
	var notDone *NotDoneError
	return !IsUncertain(err) && errors.As(err, &notDone)
}

// IsRejected reports whether err means that the other side rejects a call for what it says, so that it will
// never take it.
func IsRejected(err error) bool {
	var notDone *NotDoneError
	return IsNotDone(err) && errors.As(err, &notDone) && notDone.Status == http.StatusBadRequest
}

// IsUncertain reports whether err means that a call may or may not have taken effect.
func IsUncertain(err error) bool {
	var uncertain *UncertainError
	return errors.As(err, &uncertain)
}

// Find returns the checked row with the given key, if it exists.
func (e *ConflictError) Find(key Key) (Row, bool) {
	for _, row := range e.Rows {
		if row.Key == key {
			return row, true
		}
	}
	return Row{}, false
}
