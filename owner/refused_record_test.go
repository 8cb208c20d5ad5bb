package owner_test

import (
	"context"
	"net/netip"
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
)

// withFullStore returns a table over the rows that rejects all transactions while full is set, after
// a time in which the owner reads the changes of its jobs.
func withFullStore(rows *standin.Rows, full *atomic.Bool) outside.Table {
	table := rows.Table()
	write := table.Transact
	table.Transact = func(ctx context.Context, tx outside.Transaction) (outside.Receipt, error) {
		if full.Load() {
			time.Sleep(400 * time.Millisecond)
			return outside.Receipt{}, &outside.NotDoneError{
				Call:   "transact",
				Status: 429,
			}
		}
		return write(ctx, tx)
	}
	return table
}

// submitStoredJob submits a job to an owner whose transactions the store rejects, and stores it meanwhile
// as an entry does. The owner reads the row while the job waits there to be written.
func submitStoredJob(t *testing.T, rows *standin.Rows, full *atomic.Bool, duty *owner.Duty, id string) {
	t.Helper()
	full.Store(true)
	defer full.Store(false)
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	answered := make(chan error, 1)
	go func() { answered <- duty.Submit(ctx, record(id)) }()
	time.Sleep(10 * time.Millisecond)
	rows.Write(owner.IntakeKey("s", id), record(id).Encode())
	t.Log("submitted to the owner:", <-answered) // It is stored, whatever the answer is.
}

// TestStoredJobRunsAfterItsSubmissionWasRefused covers a job that an entry has stored. The owner read
// the row while the same job waited there to be written, and then refused the latter.
func TestStoredJobRunsAfterItsSubmissionWasRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := standin.NewRows()
		var full atomic.Bool
		h := newFakeWorkers(rows, "w0")
		e := newEntryWith(t, "a", withFullStore(rows, &full), alive("a"), h.deps)
		until(t, "the worker is used", func() bool { return isUsed(t, rows, "w0") })
		duty, _ := e.keeper.Duty("s")
		submitStoredJob(t, rows, &full, duty, "j")
		until(t, "the job runs", func() bool { return h.startsOf("j") == 1 })
	})
}

// TestEndOfStoredJobCountsAfterItsSubmissionWasRefused covers the same job, which the owner before has
// run on a worker that this owner reaches only later. The owner found no record of the job any more,
// let the worker forget the end, and started the task again once the job was submitted again.
func TestEndOfStoredJobCountsAfterItsSubmissionWasRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		rows := standin.NewRows()
		var full atomic.Bool
		h := newFakeWorkers(rows, "w0", "w1")
		first := newEntryWith(t, "a", rows.Table(), alive("a"), h.deps)
		until(t, "both workers are used", func() bool { return isUsed(t, rows, "w0", "w1") })
		first.group.Stop()
		h.cutOff("w1")
		second := newEntryWith(t, "b", withFullStore(rows, &full), func(context.Context, netip.AddrPort, string) (owner.Pong, error) {
			return owner.Pong{}, &outside.NotDoneError{
				Call: "ping",
			}
		}, h.deps)
		until(t, "the next entry owns the service", second.owns)
		duty, _ := second.keeper.Duty("s")
		submitStoredJob(t, rows, &full, duty, "j")
		h.mu.Lock()
		h.runs["w1"][job.TaskID{
			Job: "j",
		}] = 1
		h.down["w1"] = false
		h.mu.Unlock()
		h.finish("w1")
		time.Sleep(3 * time.Second)
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		defer cancel()
		is.NoErr(duty.Submit(ctx, record("other"))) // Ends are acknowledged after the next write.
		until(t, "the end is acknowledged", func() bool { return h.ackedOf("w1") == 1 })
		is.NoErr(duty.Submit(ctx, record("j")))
		time.Sleep(3 * time.Second)
		is.Equal(h.startsOf("j"), 0) // Its only task has ended well.
		state, _ := duty.State(catalog.Caller{}, "j")
		is.Equal(state, job.Completed)
	})
}
