package owner

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync/atomic"
	"time"

	"lemonstream.dev/lemonstream/clock"
	"lemonstream.dev/lemonstream/outside"
)

const (
	// beatPause is the longest time between two transactions of an owner; its
	// successors take over when they miss a few.
	beatPause = 500 * time.Millisecond

	// commitRetry is the pause before a refused transaction is sent again.
	commitRetry = 60 * time.Millisecond

	// failingAfter is how many tries in a row without success mean that the store
	// takes nothing at the moment. Where it loses a third of its answers, one
	// transaction in thirty meets that.
	failingAfter = 3
)

// tenureEntries is the most entries of a transaction that the tenure itself takes:
// two conditions, the beat, and the owner's row at a release.
const tenureEntries = 4

// ExistsError reports that a transaction was not applied, although the part is
// still owned, because rows stood that it was to create.
type ExistsError struct {
	Part string
	Rows []outside.Row
}

// LostError reports that a tenure ended because another owner was seen or the
// store could not be written for too long.
type LostError struct {
	Part   string
	Reason string
}

// Error implements error.
func (e *ExistsError) Error() string {
	return fmt.Sprintf("part %s: %d rows stand already", e.Part, len(e.Rows))
}

// Error implements error.
func (e *LostError) Error() string {
	return e.Part + " is no longer owned: " + e.Reason
}

// tenure is the time for which this entry owns a part of the table. Every
// transaction of it checks the owner's row and the row of the transaction
// before, so that nothing of a deposed owner takes effect.
type tenure struct {
	table outside.Table
	clock clock.Clock
	log   *slog.Logger
	part  string
	epoch int64

	// ownerVersion and beatVersion are what the next transaction checks.
	ownerVersion int64
	beatVersion  int64
	sequence     int64

	// lastWrite is when the last transaction that was applied was sent; wrote
	// is the same in milliseconds, for those who ask.
	lastWrite time.Time
	wrote     atomic.Int64

	// failures counts the tries without success since the last one with it.
	failures atomic.Int64

	// turnedAway is since when the store has turned away every try, in milliseconds; 0 where
	// the last one had another outcome.
	turnedAway atomic.Int64

	// successor is the entry that the part is released for; nil before one was
	// chosen.
	successor atomic.Pointer[string]
}

func newTenure(deps Deps, part string, won claim, now time.Time) *tenure {
	t := &tenure{
		table:        deps.Table,
		clock:        deps.Clock,
		log:          deps.Log,
		part:         part,
		epoch:        won.epoch,
		ownerVersion: won.version,
		beatVersion:  won.version,
	}
	t.noteWrite(now)
	return t
}

// age returns how long ago the last transaction that was applied was sent.
func (t *tenure) age() time.Duration {
	return t.clock.Now().Sub(clock.FromMillis(t.wrote.Load()))
}

// failing reports whether the store takes nothing at the moment: single answers
// may be lost.
func (t *tenure) failing() bool {
	return t.failures.Load() >= failingAfter
}

// away returns for how long the store has turned away every try.
func (t *tenure) away() time.Duration {
	since := t.turnedAway.Load()
	if since == 0 {
		return 0
	}
	return t.clock.Now().Sub(clock.FromMillis(since))
}

// noteOutcome notes whether the store turned a try away.
func (t *tenure) noteOutcome(err error) {
	if outside.IsTurnedAway(err) {
		t.turnedAway.CompareAndSwap(0, clock.Millis(t.clock.Now()))
		return
	}
	t.turnedAway.Store(0)
}

// noteWrite notes that a transaction sent at the instant was applied.
func (t *tenure) noteWrite(sent time.Time) {
	t.lastWrite = sent
	t.wrote.Store(clock.Millis(sent))
}

// rowChanges are the rows of one transaction, besides those of the tenure.
type rowChanges struct {
	puts    []outside.Put
	removes []outside.Key

	// creates names the rows among puts that must not stand yet.
	creates []outside.Key
}

// transaction builds the next transaction. The beat carries what a successor has
// to know; its epoch and sequence are filled in here. release says in it that the owner
// gives no more orders.
func (t *tenure) transaction(beat Beat, rows rowChanges, release bool) outside.Transaction {
	t.sequence++
	beat.Epoch = t.epoch
	beat.Sequence = t.sequence
	tx := outside.Transaction{
		Checks: []outside.Check{{
			Key:     ownerKey(t.part),
			Version: t.ownerVersion,
		}, {
			Key:     beatKey(t.part),
			Version: t.beatVersion,
		}},
		Puts: []outside.Put{{
			Key:   beatKey(t.part),
			Value: encodeRow(beat),
		}},
		Removes: rows.removes,
	}
	for _, key := range rows.creates {
		tx.Checks = append(tx.Checks, outside.Check{
			Key: key,
		})
	}
	if release {
		tx.Puts = append(tx.Puts, outside.Put{
			Key:   ownerKey(t.part),
			Value: encodeRow(t.released()),
		})
	}
	tx.Puts = append(tx.Puts, rows.puts...)
	return tx
}

// released returns the owner's row that gives the part up.
func (t *tenure) released() Ownership {
	o := Ownership{
		Epoch:    t.epoch,
		Released: true,
	}
	if next := t.successor.Load(); next != nil {
		o.Next = *next
	}
	return o
}

// write sends a transaction until its fate is known, and returns the version of
// its rows. Every try carries the same conditions, so that it takes effect once
// at the most; a conflict in which the beat already shows this transaction's
// number is the success of an earlier try. A conflict about other rows only is an
// *ExistsError.
func (t *tenure) write(ctx context.Context, tx outside.Transaction) (int64, error) {
	for {
		version, err := t.writeOnce(ctx, tx)
		if err == nil || !isOpen(err) {
			return version, err
		}
		if !clock.Sleep(ctx, commitRetry) {
			return 0, ctx.Err()
		}
	}
}

// writeOrGiveUp is write for a transaction that may be made anew: it returns a
// *outside.NotDoneError where the store takes nothing and no try can have had an
// effect.
func (t *tenure) writeOrGiveUp(ctx context.Context, tx outside.Transaction) (int64, error) {
	certain := true
	for {
		version, err := t.writeOnce(ctx, tx)
		if err == nil || !isOpen(err) {
			return version, err
		}
		certain = certain && outside.IsNotDone(err)
		if certain && t.failing() {
			return 0, err
		}
		if !clock.Sleep(ctx, commitRetry) {
			return 0, ctx.Err()
		}
	}
}

// isOpen reports whether a transaction has to be sent again for its fate to be
// known.
func isOpen(err error) bool {
	return outside.IsNotDone(err) || outside.IsUncertain(err)
}

// writeOnce sends a transaction once.
func (t *tenure) writeOnce(ctx context.Context, tx outside.Transaction) (int64, error) {
	receipt, err := t.table.Transact(ctx, tx)
	t.noteOutcome(err)
	if err == nil {
		t.failures.Store(0)
		return receipt.Version, nil
	}
	var conflict *outside.ConflictError
	if errors.As(err, &conflict) {
		t.failures.Store(0)
		return t.conflicted(conflict, string(tx.Puts[0].Value))
	}
	t.failures.Add(1)
	t.log.Warn("transaction without success", "part", t.part, "epoch", t.epoch, "error", err.Error())
	if !isOpen(err) {
		// An answer that can't be read says nothing of the transaction.
		err = &outside.UncertainError{
			Call:  "transaction",
			Cause: err,
		}
	}
	return 0, err
}

// conflicted tells what a conflict means for a transaction whose beat is want.
func (t *tenure) conflicted(conflict *outside.ConflictError, want string) (int64, error) {
	beat, _ := conflict.Find(beatKey(t.part))
	if string(beat.Value) == want {
		return beat.Version, nil
	}
	owner, _ := conflict.Find(ownerKey(t.part))
	if owner.Version == t.ownerVersion && beat.Version == t.beatVersion {
		return 0, &ExistsError{
			Part: t.part,
			Rows: conflict.Rows,
		}
	}
	return 0, &LostError{
		Part:   t.part,
		Reason: "the table names another owner",
	}
}
