package owner_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"lemonstream.dev/lemonstream/internal/standin"
	"lemonstream.dev/lemonstream/outside"
	"lemonstream.dev/lemonstream/owner"
	"lemonstream.dev/lemonstream/shard"
)

// TestSubmitDuringRelease submits 3000 jobs while an owner releases its service. These are many
// more than the transactions of a release hold. Each job has to be stored, or be refused with
// an error that rules out a later write, so that it may be submitted to the next owner at once.
func TestSubmitDuringRelease(t *testing.T) {
	is := is.New(t)
	rows := standin.NewRows()
	slow := rows.Table()
	write := slow.Transact
	slow.Transact = func(ctx context.Context, tx outside.Transaction) (outside.Receipt, error) {
		time.Sleep(20 * time.Millisecond)
		if ctx.Err() != nil {
			return outside.Receipt{}, &outside.UncertainError{
				Call:  "transact",
				Cause: ctx.Err(),
			}
		}
		return write(ctx, tx)
	}
	e := newEntryOn(t, "a", slow, alive("a"))
	until(t, "the entry owns the service", e.owns)
	duty, _ := e.keeper.Duty("s")
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	var all sync.WaitGroup
	var open, refused atomic.Int64
	for i := range 3000 {
		all.Go(func() {
			id := fmt.Sprint(i)
			err := duty.Submit(ctx, record(id))
			var left *owner.NotServingError
			switch {
			case err == nil && !isStored(t, rows, id):
				t.Errorf("job %s was accepted, but is not stored", id)
			case err == nil:
			case errors.As(err, &left):
				refused.Add(1)
				if isStored(t, rows, id) {
					t.Errorf("job %s was refused, but is stored", id)
				}
			default:
				open.Add(1)
			}
		})
	}
	e.keeper.Release(ctx, waitTimeout)
	all.Wait()
	is.Equal(open.Load(), int64(0))
	is.True(refused.Load() > 0)
}

// TestNothingIsWrittenAfterARelease counts the transactions that an owner sends after the
// transaction that released its service. They could not take effect.
func TestNothingIsWrittenAfterARelease(t *testing.T) {
	is := is.New(t)
	rows := standin.NewRows()
	table := rows.Table()
	write := table.Transact
	var after atomic.Int64
	var over atomic.Bool
	table.Transact = func(ctx context.Context, tx outside.Transaction) (outside.Receipt, error) {
		if over.Load() {
			after.Add(1)
		}
		receipt, err := write(ctx, tx)
		for _, put := range tx.Puts {
			if put.Key.Table == "owner" && len(tx.Puts) > 1 && err == nil {
				over.Store(over.Load() || released(string(put.Value)))
			}
		}
		return receipt, err
	}
	e := newEntryOn(t, "a", table, alive("a"))
	until(t, "the entry owns the service", e.owns)
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	e.keeper.Release(ctx, waitTimeout)
	until(t, "the service is released", over.Load)
	until(t, "the duty has ended", func() bool { return !e.owns() })
	e.group.Stop() // All transactions that were sent have been counted.
	is.Equal(after.Load(), int64(0))
}

// TestJobWaitsWhileAnOwnerReadsItsRows submits a job to an owner that has claimed its service
// and still reads the rows. The job has to be accepted once they are read, and not be refused
// before.
func TestJobWaitsWhileAnOwnerReadsItsRows(t *testing.T) {
	is := is.New(t)
	rows := standin.NewRows()
	reading := make(chan struct{})
	table := rows.Table()
	read := table.Get
	table.Get = func(ctx context.Context, name, part, from string, limit int) (outside.Page, error) {
		if name == "intake.s" {
			<-reading
		}
		return read(ctx, name, part, from, limit)
	}
	e := newEntryOn(t, "a", table, alive("a"))
	var duty *owner.Duty
	until(t, "the entry has claimed the service", func() bool {
		var held bool
		duty, held = e.keeper.Held("s")
		return held
	})
	_, loaded := e.keeper.Duty("s")
	is.True(!loaded)
	answer := make(chan error, 1)
	go func() { answer <- duty.Submit(context.Background(), record("a")) }()
	select {
	case err := <-answer:
		t.Fatalf("answered before the rows were read: %v", err)
	case <-time.After(50 * time.Millisecond):
	}
	close(reading)
	is.NoErr(<-answer)
	is.True(isStored(t, rows, "a"))
}

// TestJobIsRefusedWhenLoadingTakesTooLong has an owner that reads its rows for longer than a
// submitted job waits. The jobs are refused and never written.
func TestJobIsRefusedWhenLoadingTakesTooLong(t *testing.T) {
	is := is.New(t)
	rows := standin.NewRows()
	reading := make(chan struct{})
	table := rows.Table()
	read := table.Get
	table.Get = func(ctx context.Context, name, part, from string, limit int) (outside.Page, error) {
		if name == "intake.s" {
			<-reading
		}
		return read(ctx, name, part, from, limit)
	}
	e := newEntryOn(t, "a", table, alive("a"))
	var duty *owner.Duty
	until(t, "the entry has claimed the service", func() bool {
		var held bool
		duty, held = e.keeper.Held("s")
		return held
	})
	errs := duty.SubmitAll(context.Background(), []shard.Record{record("a"), record("b")})
	close(reading)
	until(t, "the owner accepts jobs", func() bool { return duty.Submit(context.Background(), record("c")) == nil })
	for i, id := range []string{"a", "b"} {
		var left *owner.NotServingError
		is.True(errors.As(errs[i], &left))
		is.True(!isStored(t, rows, id)) // A refused job is never written.
	}
}

// released reports whether the value of an owner row marks its service as released.
func released(value string) bool {
	var o owner.Ownership
	return cbor.Unmarshal([]byte(value), &o) == nil && o.Released
}

// TestReleaseEndsWhoseAnswerIsLate covers a release whose answer comes after the next owner has claimed
// the service. The release ends with the answer, and the service does not count as lost.
func TestReleaseEndsWhoseAnswerIsLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const late = 1500 * time.Millisecond
		rows := standin.NewRows()
		var slow atomic.Bool
		table := rows.Table()
		write := table.Transact
		table.Transact = func(ctx context.Context, tx outside.Transaction) (outside.Receipt, error) {
			receipt, err := write(ctx, tx)
			if slow.Load() {
				time.Sleep(late)
			}
			return receipt, err
		}
		e := newEntryOn(t, "a", table, alive("a"))
		until(t, "the entry owns the service", e.owns)
		time.Sleep(time.Second)
		next := newEntryOn(t, "b", rows.Table(), alive("a"))
		time.Sleep(300 * time.Millisecond)
		slow.Store(true)
		began := time.Now()
		e.keeper.Release(context.Background(), 8*time.Second)
		is.True(time.Since(began) < 4*time.Second)
		is.Equal(e.lines.of("service lost"), 0)
		until(t, "the next entry owns the service", next.owns)
	})
}
