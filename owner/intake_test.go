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
)

// writeStartedJob writes the record of a job as an entry does, and adds a run of the job's
// task to a worker as if a previous owner had started it.
func writeStartedJob(rows *standin.Rows, h *fakeWorkers, worker, id string) {
	writeLongRunningJob(rows, id)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.runs[worker][job.TaskID{
		Job: id,
	}] = 1
}

// TestOwnerLooksUpJobsOfUnknownRuns lists runs of jobs that the owner does not know. A run
// whose job has a stored record goes on, also if the first read fails. A run without a record
// is stopped.
func TestOwnerLooksUpJobsOfUnknownRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		rows := standin.NewRows()
		var away atomic.Bool
		table := rows.Table()
		feed := table.Feed
		table.Feed = func(ctx context.Context, name string, after int64, wait time.Duration) (outside.Change, error) {
			if away.Load() && name == owner.IntakeKey("s", "").Table {
				return outside.Change{}, errors.New("no answer")
			}
			return feed(ctx, name, after, wait)
		}
		h := newFakeWorkers(rows, "w0", "w1")
		e := newEntryWith(t, "a", table, alive("a"), h.deps)
		until(t, "both workers are used", func() bool { return isUsed(t, rows, "w0", "w1") })

		writeStartedJob(rows, h, "w0", "a")
		untilRuns(t, e, "a")

		away.Store(true)
		writeStartedJob(rows, h, "w1", "b")
		time.Sleep(3 * time.Second)
		is.Equal(h.stopsOf("b"), 0) // No read has confirmed yet that the record is missing.
		away.Store(false)
		untilRuns(t, e, "b")

		rows.Forget()
		writeStartedJob(rows, h, "w1", "c")
		untilRuns(t, e, "c")

		h.mu.Lock()
		h.runs["w0"][job.TaskID{
			Job: "gone",
		}] = 1
		h.mu.Unlock()
		until(t, "the run without a record is stopped", func() bool { return h.stopsOf("gone") > 0 })
		for _, id := range []string{"a", "b", "c"} {
			is.Equal(h.startsOf(id), 0)
			is.Equal(h.stopsOf(id), 0)
		}
	})
}

// untilRuns waits until the owner reports a job as running.
func untilRuns(t *testing.T, e *entry, id string) {
	t.Helper()
	until(t, "job "+id+" is reported as running", func() bool {
		duty, owns := e.keeper.Duty("s")
		if !owns {
			return false
		}
		state, found := duty.State(catalog.Caller{}, id)
		return found && state == job.Running
	})
}

// TestReplacedOwnerStartsNothingItReads covers an owner whose transactions get no answer while its
// reads of jobs work. Another entry claims the service, and the owner reads a job that is written later.
func TestReplacedOwnerStartsNothingItReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		rows := standin.NewRows()
		var down atomic.Bool
		workers := newFakeWorkers(rows, "w")
		first := newEntryWith(t, "a", withWritesDown(rows.Table(), &down), alive("a"), workers.deps)
		until(t, "the first entry owns the service", first.owns)
		duty, _ := first.keeper.Duty("s")
		rows.Write(owner.IntakeKey("s", "early"), record("early").Encode())
		until(t, "the first entry starts the job", func() bool { return workers.startsOf("early") == 1 })
		down.Store(true)
		second := newEntry(t, "b", rows, refusePing)
		until(t, "the second entry owns the service", second.owns)
		rows.Write(owner.IntakeKey("s", "late"), record("late").Encode())
		until(t, "the first entry has read the job", func() bool {
			_, known := duty.State(catalog.Caller{}, "late")
			return known
		})
		until(t, "the first entry has given up the service", func() bool { return first.lines.of("service lost") == 1 })
		is.Equal(workers.startsOf("late"), 0)
	})
}

// TestOwnerStopsOnceItReadsOfANewerOne covers an owner whose transactions get no answer and that reads
// the row of the next owner. It gives no more orders, although it has written until just before.
func TestOwnerStopsOnceItReadsOfANewerOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		rows := standin.NewRows()
		var down atomic.Bool
		workers := newFakeWorkers(rows, "w")
		first := newEntryWith(t, "a", withPartitionDown(rows, "s", &down), alive("a"), workers.deps)
		until(t, "the first entry owns the service", first.owns)
		down.Store(true)
		second := newEntry(t, "b", rows, refusePing)
		until(t, "the second entry owns the service", second.owns)
		claimed := time.Now()
		until(t, "the first entry has given up the service", func() bool { return first.lines.of("service lost") == 1 })
		is.True(time.Since(claimed) < time.Second)
	})
}
