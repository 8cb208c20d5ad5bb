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

// stalling returns a table over the rows whose transactions are held while stalled is set, and then
// rejected, as are those that come while away is set.
func stalling(rows *standin.Rows, stalled, away *atomic.Bool) outside.Table {
	table := rejecting(rows, away)
	write := table.Transact
	table.Transact = func(ctx context.Context, tx outside.Transaction) (outside.Receipt, error) {
		if !stalled.Load() {
			return write(ctx, tx)
		}
		for stalled.Load() && ctx.Err() == nil {
			time.Sleep(10 * time.Millisecond)
		}
		return outside.Receipt{}, &outside.NotDoneError{
			Call:   "transact",
			Status: http.StatusServiceUnavailable,
		}
	}
	return table
}

// TestAcceptedJobIsForgottenByItsOwner covers an owner whose transactions get no answer for a while and
// are rejected then. Meanwhile an entry stores the record of a job that was submitted to the owner, and
// tells its caller that the job is accepted. The owner reads the record once.
func TestAcceptedJobIsForgottenByItsOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		rows := standin.NewRows()
		var stalled, away atomic.Bool
		workers := newFakeWorkers(rows, "w")
		e := newEntryWith(t, "a", stalling(rows, &stalled, &away), alive("a"), workers.deps)
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
		is.True(outside.IsNotDone(<-results["in a transaction"]))
		is.True(outside.IsNotDone(<-results["refused"]))
		accepted := <-results["accepted"]
		away.Store(false)
		time.Sleep(2 * time.Second)
		is.Equal(workers.startsOf("accepted"), 1)
		is.NoErr(accepted)
		is.Equal(workers.startsOf("refused"), 0)
		is.True(!isStored(t, rows, "refused"))
		is.Equal(e.lines.of("service lost"), 0) // No other owner has read the record.
	})
}
