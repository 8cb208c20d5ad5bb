package owner_test

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"lemonstream.dev/lemonstream/internal/standin"
	"lemonstream.dev/lemonstream/outside"
	"lemonstream.dev/lemonstream/owner"
)

// stalling returns a table over the rows whose transactions are held while stalled is set, and then fail
// without effect, as do those that come while away is set: with the given error in the service's own
// partition, and rejected in the standby partition.
func stalling(rows *standin.Rows, stalled, away *atomic.Bool, failure error) outside.Table {
	table := rows.Table()
	write := table.Transact
	table.Transact = func(ctx context.Context, tx outside.Transaction) (outside.Receipt, error) {
		held := stalled.Load()
		for stalled.Load() && ctx.Err() == nil {
			time.Sleep(10 * time.Millisecond)
		}
		switch {
		case !held && !away.Load():
			return write(ctx, tx)
		case tx.Puts[0].Key.Part == "s":
			return outside.Receipt{}, failure
		default:
			return outside.Receipt{}, &outside.NotDoneError{
				Call: "transact",
			}
		}
	}
	return table
}

// TestAcceptedJobIsForgottenByItsOwner covers an owner whose transactions get no answer for a while and
// fail then. Meanwhile an entry stores the record of a job that was submitted to the owner, and tells its
// caller that the job is accepted. The owner reads the record once.
func TestAcceptedJobIsForgottenByItsOwner(t *testing.T) {
	for name, failure := range map[string]error{
		"rejected": &outside.NotDoneError{
			Call:   "transact",
			Status: http.StatusServiceUnavailable,
		},
		"unanswered": &outside.UncertainError{
			Call: "transact",
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { forgetAcceptedJob(t, failure) })
		})
	}
}

// forgetAcceptedJob plays TestAcceptedJobIsForgottenByItsOwner with transactions that fail with the given
// error.
func forgetAcceptedJob(t *testing.T, failure error) {
	is := is.New(t)
	rows := standin.NewRows()
	var stalled, away atomic.Bool
	workers := newFakeWorkers(rows, "w")
	e := newEntryWith(t, "a", stalling(rows, &stalled, &away, failure), alive("a"), workers.deps)
	until(t, "the worker is used", func() bool { return isUsed(t, rows, "w") })
	duty, _ := e.keeper.Duty("s")
	results := make(map[string]chan error)
	submit := func(id string) {
		result := make(chan error, 1)
		results[id] = result
		go func() { result <- duty.Submit(t.Context(), record(id)) }()
		time.Sleep(50 * time.Millisecond)
	}
	stalled.Store(true)
	submit("in a transaction")
	submit("accepted")
	submit("refused")
	rows.Write(owner.IntakeKey("s", "accepted"), record("accepted").Encode())
	time.Sleep(1500 * time.Millisecond) // The owner reads the rows of new jobs each second.
	away.Store(true)
	stalled.Store(false)
	is.True(outside.IsNotDone(<-results["refused"]))
	accepted := <-results["accepted"]
	away.Store(false)
	// A transaction that may have had an effect is sent until it has an answer.
	is.Equal(<-results["in a transaction"] == nil, outside.IsUncertain(failure))
	time.Sleep(2 * time.Second)
	is.Equal(workers.startsOf("accepted"), 1)
	is.NoErr(accepted)
	is.Equal(workers.startsOf("refused"), 0)
	is.True(!isStored(t, rows, "refused"))
	is.Equal(e.lines.of("service lost"), 0) // No other owner has read the record.
}
