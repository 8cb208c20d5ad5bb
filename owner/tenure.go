package owner

import (
	"context"
	"errors"
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
)

// LostError reports that a tenure ended because another owner was seen or the
// store could not be written for too long.
type LostError struct {
	Part   string
	Reason string
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

// noteWrite notes that a transaction sent at the instant was applied.
func (t *tenure) noteWrite(sent time.Time) {
	t.lastWrite = sent
	t.wrote.Store(clock.Millis(sent))
}

// transaction builds the next transaction. The beat carries what a successor has
// to know; its epoch and sequence are filled in here. release says in it that the owner
// gives no more orders.
func (t *tenure) transaction(beat Beat, puts []outside.Put, removes []outside.Key, release bool) outside.Transaction {
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
		Removes: removes,
	}
	if release {
		tx.Puts = append(tx.Puts, outside.Put{
			Key: ownerKey(t.part),
			Value: encodeRow(Ownership{
				Epoch:    t.epoch,
				Released: true,
			}),
		})
	}
	tx.Puts = append(tx.Puts, puts...)
	return tx
}

// write sends a transaction until its fate is known, and returns the version of
// its rows. Every try carries the same conditions, so that it takes effect once
// at the most; a conflict in which the beat already shows this transaction's
// number is the success of an earlier try.
func (t *tenure) write(ctx context.Context, tx outside.Transaction) (int64, error) {
	want := string(tx.Puts[0].Value)
	for {
		receipt, err := t.table.Transact(ctx, tx)
		if err == nil {
			return receipt.Version, nil
		}
		var conflict *outside.ConflictError
		if errors.As(err, &conflict) {
			row, found := conflict.Find(beatKey(t.part))
			if found && string(row.Value) == want {
				return row.Version, nil
			}
			return 0, &LostError{
				Part:   t.part,
				Reason: "the table names another owner",
			}
		}
		t.log.Warn("transaction without success", "part", t.part, "epoch", t.epoch, "error", err.Error())
		if !clock.Sleep(ctx, commitRetry) {
			return 0, ctx.Err()
		}
	}
}
