package owner_test

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"lemonstream.dev/lemonstream/internal/standin"
	"lemonstream.dev/lemonstream/job"
	"lemonstream.dev/lemonstream/outside"
	"lemonstream.dev/lemonstream/owner"
	"lemonstream.dev/lemonstream/shard"
)

// rejectingRows returns a table that never takes a transaction with a row of which reject reports true.
func rejectingRows(table outside.Table, reject func(outside.Put) bool) outside.Table {
	transact := table.Transact
	table.Transact = func(ctx context.Context, tx outside.Transaction) (outside.Receipt, error) {
		for _, put := range tx.Puts {
			if reject(put) {
				return outside.Receipt{}, &outside.NotDoneError{
					Call:   "transaction",
					Status: http.StatusBadRequest,
					Reason: "row " + put.Key.Name,
				}
			}
		}
		return transact(ctx, tx)
	}
	return table
}

// recordOfTwoSteps returns a job of two tasks, one after the other, so that a row is due when the first ends.
func recordOfTwoSteps(id string) shard.Record {
	two := record(id)
	two.Spec.Steps = append(two.Spec.Steps, job.Step{
		Count: 1,
		After: []int{0},
	})
	return two
}

// storedState returns the state in the row of a job's progress; empty if there is none.
func storedState(t *testing.T, rows *standin.Rows, id string) job.State {
	t.Helper()
	row, err := rows.Table().Row(t.Context(), owner.ProgressKey("s", id))
	if err != nil || row == nil {
		return ""
	}
	progress, err := shard.DecodeProgress(row.Value)
	if err != nil {
		t.Fatal(err)
	}
	return progress.State
}

// TestRejectedTransactionStopsNoService guards against one row that the store rejects and that is written
// again with everything else: no job of the service began, and each next owner met the same.
func TestRejectedTransactionStopsNoService(t *testing.T) {
	is := is.New(t)
	rows := standin.NewRows()
	workers := newFakeWorkers(rows, "w0")
	table := rejectingRows(rows.Table(), func(put outside.Put) bool {
		if put.Key != owner.ProgressKey("s", "bad") {
			return false
		}
		progress, err := shard.DecodeProgress(put.Value)
		return err != nil || !progress.State.Final()
	})
	e := newEntryWith(t, "a", table, alive("a"), workers.deps)
	until(t, "the worker is polled", func() bool { return workers.pollsOf("w0") > 0 })
	duty, _ := e.keeper.Duty("s")
	is.NoErr(duty.Submit(t.Context(), recordOfTwoSteps("bad")))
	is.NoErr(duty.Submit(t.Context(), record("a")))
	until(t, "both run", func() bool { return workers.startsOf("bad") == 1 && workers.startsOf("a") == 1 })
	workers.finish("w0") // The row of bad says that its first step has ended, and is rejected.
	for i := range 5 {
		id := fmt.Sprintf("later%d", i)
		is.NoErr(duty.Submit(t.Context(), record(id)))
		until(t, id+" runs", func() bool { return workers.startsOf(id) == 1 })
	}
	until(t, "the job that can't be stored has failed", func() bool { return storedState(t, rows, "bad") == job.Failed })
}

// TestStoreThatRejectsEverythingFailsNoJob guards against jobs that are given up for a row that is not at
// fault.
func TestStoreThatRejectsEverythingFailsNoJob(t *testing.T) {
	is := is.New(t)
	rows := standin.NewRows()
	workers := newFakeWorkers(rows, "w0")
	var rejects atomic.Bool
	var rejected atomic.Int32
	table := rejectingRows(rows.Table(), func(put outside.Put) bool {
		if !rejects.Load() || put.Key.Part != "s" {
			return false
		}
		rejected.Add(1)
		return true
	})
	e := newEntryWith(t, "a", table, alive("a"), workers.deps)
	until(t, "the worker is polled", func() bool { return workers.pollsOf("w0") > 0 })
	duty, _ := e.keeper.Duty("s")
	is.NoErr(duty.Submit(t.Context(), recordOfTwoSteps("a")))
	until(t, "it runs", func() bool { return workers.startsOf("a") == 1 })
	rejects.Store(true)
	workers.finish("w0")
	until(t, "the store has rejected several transactions", func() bool { return rejected.Load() >= 5 })
	rejects.Store(false)
	until(t, "the second step runs", func() bool { return workers.startsOf("a") == 2 })
	workers.finish("w0")
	until(t, "the job is completed", func() bool { return storedState(t, rows, "a") == job.Completed })
}
