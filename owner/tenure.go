package owner

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync/atomic"
	"time"

	"lemonstream.dev/lemonstream/clock"
	"lemonstream.dev/lemonstream/kernel"
	"lemonstream.dev/lemonstream/outside"
)

const (
	// beatInterval is the longest time between two transactions of an owner. Other entries
	// take over when it misses a few.
	beatInterval = 500 * time.Millisecond

	// commitRetryInterval is the time before a failed transaction is sent again.
	commitRetryInterval = 60 * time.Millisecond

	// minFailedWrites is how many attempts in a row must fail before the store counts as
	// failing. If the store loses a third of its answers, this happens to one transaction
	// in thirty.
	minFailedWrites = 3
)

// maxTenureEntries is how many entries of a transaction the tenure itself uses at most: two
// checks, the heartbeat and, at a release, the owner's row.
const maxTenureEntries = 4

// ExistsError reports that a transaction was not applied because rows that it was to create
// already exist, or because a fence was raised. The part is still owned.
type ExistsError struct {
	Part string
	Rows []outside.Row
}

// LostError reports that a tenure has ended because there is another owner, or because nothing
// could be written to the store for too long.
type LostError struct {
	Part   string
	Reason string
}

// Error implements error.
func (e *ExistsError) Error() string {
	return fmt.Sprintf("part %s: rows already exist, or a fence was raised; %d checked rows exist", e.Part, len(e.Rows))
}

// Error implements error.
func (e *LostError) Error() string {
	return e.Part + " is no longer owned: " + e.Reason
}

// tenure is the period for which this entry owns a part of the table. Each of its transactions
// checks the versions of the owner's row and of the heartbeat row that the previous transaction
// wrote, so that no transaction of a replaced owner takes effect.
type tenure struct {
	table outside.Table
	clock clock.Clock
	group *kernel.Group
	log   *slog.Logger
	count func(name, outcome string)
	part  string
	epoch int64

	// promises are those of the witnesses that the heartbeat row names.
	promises promises

	// ownerVersion and beatVersion are the row versions that the next transaction checks;
	// sequence is the number of the last transaction.
	ownerVersion int64
	beatVersion  int64
	sequence     int64

	// lastWrite is when the last applied transaction was sent. lastWriteMillis is the same
	// time in milliseconds, for reads by other goroutines.
	lastWrite       time.Time
	lastWriteMillis atomic.Int64

	// failures counts the failed attempts since the last answer from the store that was a
	// success or a conflict.
	failures atomic.Int64

	// attemptSince is since when an attempt has been in flight, in milliseconds; 0 if none is.
	attemptSince atomic.Int64

	// rejectedSince is since when the store has rejected every attempt, in milliseconds; 0 if
	// the last attempt had another outcome.
	rejectedSince atomic.Int64

	// replaced is set once this entry has read the row of a newer owner.
	replaced atomic.Bool

	// successor is the entry that the part is released for; nil until one is chosen.
	successor atomic.Pointer[string]
}

func newTenure(deps Deps, part string, won claim, now time.Time) *tenure {
	t := &tenure{
		table:        deps.Table,
		clock:        deps.Clock,
		group:        deps.Group,
		log:          deps.Log,
		count:        deps.Count,
		part:         part,
		epoch:        won.epoch,
		ownerVersion: won.version,
		beatVersion:  won.version,
	}
	t.recordWrite(now)
	return t
}

// age returns the time since the last applied transaction was sent.
func (t *tenure) age() time.Duration {
	return t.clock.Now().Sub(clock.FromMillis(t.lastWriteMillis.Load()))
}

// failing reports whether the last attempts have all failed. Fewer than minFailedWrites don't
// count, because single answers may be lost.
func (t *tenure) failing() bool {
	return t.failures.Load() >= minFailedWrites
}

// rejectedFor returns for how long the store has rejected every attempt.
func (t *tenure) rejectedFor() time.Duration {
	since := t.rejectedSince.Load()
	if since == 0 {
		return 0
	}
	return t.clock.Now().Sub(clock.FromMillis(since))
}

// trackRejection updates rejectedSince from the result of an attempt.
func (t *tenure) trackRejection(err error) {
	if outside.IsUnavailable(err) {
		t.rejectedSince.CompareAndSwap(0, clock.Millis(t.clock.Now()))
		return
	}
	t.rejectedSince.Store(0)
}

// recordWrite records the time at which an applied transaction was sent.
func (t *tenure) recordWrite(sent time.Time) {
	t.lastWrite = sent
	t.lastWriteMillis.Store(clock.Millis(sent))
	t.promises.applied()
}

// rowChanges are the changes to rows in one transaction, besides the tenure's own rows.
type rowChanges struct {
	puts    []outside.Put
	removes []outside.Key

	// creates holds the keys of puts whose rows must not exist yet.
	creates []outside.Key

	// checks holds further conditions.
	checks []outside.Check
}

// transaction builds the next transaction. beat holds what the next owner needs to know; its
// epoch, sequence and witnesses are set here. With release, the transaction also releases the part: the
// owner sends no more orders.
func (t *tenure) transaction(beat Beat, rows rowChanges, release bool) outside.Transaction {
	t.sequence++
	beat.Epoch = t.epoch
	beat.Sequence = t.sequence
	beat.Witnesses = t.promises.name()
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
	tx.Checks = append(tx.Checks, rows.checks...)
	if release {
		tx.Puts = append(tx.Puts, outside.Put{
			Key:   ownerKey(t.part),
			Value: encodeRow(t.releasedRow()),
		})
	}
	tx.Puts = append(tx.Puts, rows.puts...)
	return tx
}

// releasedRow returns the owner's row that releases the part.
func (t *tenure) releasedRow() Ownership {
	o := Ownership{
		Epoch:    t.epoch,
		Released: true,
	}
	if next := t.successor.Load(); next != nil {
		o.Next = *next
	}
	return o
}

// write sends a transaction until its result is known, and returns the version of its rows.
// Every attempt has the same checks, so the transaction takes effect at most once. A conflict in
// which the heartbeat row already is that of this transaction means that an earlier attempt
// succeeded. A conflict about other rows only is returned as an *ExistsError, a replaced owner
// as a *LostError.
func (t *tenure) write(ctx context.Context, tx outside.Transaction) (int64, error) {
	for {
		version, err := t.writeOnce(ctx, tx)
		if err == nil || !needsRetry(err) {
			return version, err
		}
		if !clock.Sleep(ctx, commitRetryInterval) {
			return 0, ctx.Err()
		}
	}
}

// writeOrGiveUp is like write, for a transaction that can be rebuilt later. It returns a
// *outside.NotDoneError if the store is failing and no attempt can have taken effect.
func (t *tenure) writeOrGiveUp(ctx context.Context, tx outside.Transaction) (int64, error) {
	certain := true
	for {
		version, err := t.writeOnce(ctx, tx)
		if err == nil || !needsRetry(err) {
			return version, err
		}
		certain = certain && outside.IsNotDone(err)
		if certain && t.failing() {
			return 0, err
		}
		if !clock.Sleep(ctx, commitRetryInterval) {
			return 0, ctx.Err()
		}
	}
}

// lostError returns the error of a tenure that may not act any more.
func (t *tenure) lostError() *LostError {
	if t.replaced.Load() {
		return &LostError{
			Part:   t.part,
			Reason: "the owner's row names a newer owner",
		}
	}
	return &LostError{
		Part:   t.part,
		Reason: "nothing could be written for " + t.age().String(),
	}
}

// needsRetry reports whether a transaction with this error has to be sent again, either because
// it was not applied or because its result is not known. A rejected one is never applied.
func needsRetry(err error) bool {
	return (outside.IsNotDone(err) && !outside.IsRejected(err)) || outside.IsUncertain(err)
}

// writeOnce sends a transaction once.
func (t *tenure) writeOnce(ctx context.Context, tx outside.Transaction) (int64, error) {
	t.attemptSince.Store(clock.Millis(t.clock.Now()))
	receipt, err := t.table.Transact(ctx, tx)
	t.attemptSince.Store(0)
	t.trackRejection(err)
	if err == nil {
		t.failures.Store(0)
		return receipt.Version, nil
	}
	var conflict *outside.ConflictError
	if errors.As(err, &conflict) {
		t.failures.Store(0)
		return t.resolveConflict(conflict, string(tx.Puts[0].Value))
	}
	if outside.IsRejected(err) {
		// The store serves this entry, but never takes this transaction.
		t.failures.Store(0)
		return 0, err
	}
	t.failures.Add(1)
	t.log.Warn("transaction without success", "part", t.part, "epoch", t.epoch, "error", err.Error())
	if !needsRetry(err) {
		// An answer that can't be decoded does not show whether the transaction was applied.
		err = &outside.UncertainError{
			Call:  "transaction",
			Cause: err,
		}
	}
	return 0, err
}

// resolveConflict returns the result of a transaction that met a conflict; want is the
// heartbeat that the transaction writes.
func (t *tenure) resolveConflict(conflict *outside.ConflictError, want string) (int64, error) {
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
