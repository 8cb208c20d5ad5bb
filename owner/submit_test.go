package owner_test

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"lemonstream.dev/lemonstream/catalog"
	"lemonstream.dev/lemonstream/internal/standin"
	"lemonstream.dev/lemonstream/job"
	"lemonstream.dev/lemonstream/outside"
	"lemonstream.dev/lemonstream/owner"
	"lemonstream.dev/lemonstream/shard"
)

func record(id string) shard.Record {
	return shard.Record{
		ID: id,
		Policy: catalog.Policy{
			Attempts: 1,
		},
		Spec: job.Spec{
			Steps: []job.Step{{
				Count: 1,
			}},
		},
	}
}

func isStored(t *testing.T, rows *standin.Rows, id string) bool {
	t.Helper()
	row, err := rows.Table().Row(context.Background(), owner.IntakeKey("s", id))
	if err != nil {
		t.Fatal(err)
	}
	return row != nil
}

// TestSubmittedJobIsStoredOrRefused has a store that rejects all transactions for a while. A
// job whose record was certainly not written is refused at once, also if a transaction already
// contains it.
func TestSubmittedJobIsStoredOrRefused(t *testing.T) {
	is := is.New(t)
	rows := standin.NewRows()
	var away atomic.Bool
	e := newEntryOn(t, "a", rejecting(rows, &away), alive("a"))
	until(t, "the entry owns the service", e.owns)
	duty, _ := e.keeper.Duty("s")
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	is.NoErr(duty.Submit(ctx, record("a")))
	is.True(isStored(t, rows, "a"))
	away.Store(true)
	for _, id := range []string{"b", "c"} {
		var notDone *outside.NotDoneError
		is.True(errors.As(duty.Submit(ctx, record(id)), &notDone))
		is.True(!isStored(t, rows, id))
	}
	away.Store(false)
	until(t, "the owner accepts jobs again", func() bool { return duty.Submit(ctx, record("b")) == nil })
	is.True(isStored(t, rows, "b"))
	is.True(!isStored(t, rows, "c")) // A refused job is never written.
}

// TestJobInAnUnansweredTransactionIsNotRefused has a store that stops answering. Whether the
// record will be stored is uncertain until the duty ends.
func TestJobInAnUnansweredTransactionIsNotRefused(t *testing.T) {
	is := is.New(t)
	rows := standin.NewRows()
	var silent atomic.Bool
	table := rows.Table()
	write := table.Transact
	table.Transact = func(ctx context.Context, tx outside.Transaction) (outside.Receipt, error) {
		if silent.Load() {
			return outside.Receipt{}, &outside.UncertainError{
				Call: "transact",
			}
		}
		return write(ctx, tx)
	}
	e := newEntryOn(t, "a", table, alive("a"))
	until(t, "the entry owns the service", e.owns)
	duty, _ := e.keeper.Duty("s")
	silent.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	err := duty.Submit(ctx, record("a"))
	is.True(outside.IsUncertain(err))
}

// TestRejectedOwnerDoesNotFloodStore counts the transactions that an owner sends in a second
// while the store rejects all of them. The owner builds a new transaction in place of one that
// it gave up, and must not send it at once.
func TestRejectedOwnerDoesNotFloodStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		rows := standin.NewRows()
		var away atomic.Bool
		var calls atomic.Int64
		table := rows.Table()
		write := table.Transact
		table.Transact = func(ctx context.Context, tx outside.Transaction) (outside.Receipt, error) {
			if !away.Load() {
				return write(ctx, tx)
			}
			calls.Add(1)
			return outside.Receipt{}, &outside.NotDoneError{
				Call: "transact",
			}
		}
		e := newEntryOn(t, "a", table, alive("a"))
		until(t, "the entry owns the service", e.owns)
		duty, _ := e.keeper.Duty("s")
		away.Store(true)
		time.Sleep(2 * time.Second) // By now the owner has detected the rejections.
		calls.Store(0)
		for range 100 {
			err := duty.Submit(t.Context(), record("a"))
			is.True(err != nil)
			time.Sleep(10 * time.Millisecond)
		}
		// One transaction every 60 ms to each of the two partitions of the service.
		is.True(calls.Load() > 10)
		is.True(calls.Load() <= 40)
	})
}
