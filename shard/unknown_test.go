package shard_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"lemonstream.dev/lemonstream/internal/prove"
	"lemonstream.dev/lemonstream/job"
	"lemonstream.dev/lemonstream/shard"
)

// acceptAtDeposedOwner stores the record of a job and makes the previous owner, which is still
// running, start the job.
func acceptAtDeposedOwner(w *world, id string, steps ...job.Step) {
	record := w.record(id, steps...)
	w.store(record)
	startUnconfirmed(w, w.zombies[len(w.zombies)-1].core, record)
}

// startUnconfirmed makes an owner start a job although it can't confirm that it still owns the
// service, as owners of earlier versions do.
func startUnconfirmed(w *world, core *shard.Shard, record shard.Record) {
	core.Accept(record, w.version, true, w.now)
	core.Confirm(shard.WorkerRows{}, w.now)
}

// newWorldWithDeposedOwner returns a world in which a deposed owner runs on for 2 s and the next
// owner has not polled any worker yet.
func newWorldWithDeposedOwner() *world {
	w := newWorld(3)
	w.run(200 * time.Millisecond)
	w.standbyDown = true
	w.takeOverFromActive(2 * time.Second)
	w.run(100 * time.Millisecond)
	return w
}

// TestJobSubmittedAgainToNextOwnerRunsOnce covers a caller that submits its job again to the next
// owner, which matches the runs that it finds to this submission. When its write reveals that
// the record is already stored, it must not start the tasks beside the runs that it has found.
func TestJobSubmittedAgainToNextOwnerRunsOnce(t *testing.T) {
	for name, order := range map[string]struct{ before, after time.Duration }{
		"before its runs are found": {before: 300 * time.Millisecond, after: 0},
		"after its runs are found":  {before: 0, after: 100 * time.Millisecond},
		"after its runs have ended": {before: 0, after: 1500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newWorldWithDeposedOwner()
			w.lookupsFail = true // Only the write reveals that the record is stored.
			acceptAtDeposedOwner(w, "a", step(4))
			w.run(order.before + 100*time.Millisecond)
			if order.before > 0 {
				w.submitToOwner("a", step(4))
			}
			w.standbyDown = false
			w.run(order.after + 50*time.Millisecond)
			if order.after > 0 {
				w.submitToOwner("a", step(4))
			}
			w.run(10 * time.Second)
			w.check(t)
			is.True(w.taken["a"])
			is.Equal(w.shown["a"], job.Completed)
		})
	}
}

// TestNextOwnerLooksUpJobsOfUnknownRuns covers a job that is not announced to the next owner, so
// that the next owner has to look up its record.
func TestNextOwnerLooksUpJobsOfUnknownRuns(t *testing.T) {
	is := is.New(t)
	w := newWorldWithDeposedOwner()
	acceptAtDeposedOwner(w, "a", step(4))
	w.run(100 * time.Millisecond)
	w.standbyDown = false
	w.run(10 * time.Second)
	w.check(t)
	is.Equal(w.shown["a"], job.Completed)
}

// TestRunsOfAJobWithoutARecordAreStopped checks that workers do not keep runs and ends of a job
// whose record was removed.
func TestRunsOfAJobWithoutARecordAreStopped(t *testing.T) {
	for name, sight := range map[string]time.Duration{
		"its runs go on":      100 * time.Millisecond,
		"its runs have ended": 1500 * time.Millisecond,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newWorldWithDeposedOwner()
			acceptAtDeposedOwner(w, "a", step(4))
			w.run(sight)
			delete(w.records, "a")
			w.standbyDown = false
			w.run(700 * time.Millisecond)
			for _, f := range w.workers {
				is.Equal(len(f.runs), 0) // Each run is stopped.
				is.Equal(len(f.ends), 0) // Each end is acknowledged.
			}
			w.submit("b", step(8))
			w.run(5 * time.Second)
			is.Equal(w.shown["b"], job.Completed)
			w.check(t)
		})
	}
}

// TestEndOfAnUnknownJobIsHandedOver covers an owner that stops before it could look up the job of
// an end. It must not hand the worker over as idle: the next owner would start the task before
// it reads the end.
func TestEndOfAnUnknownJobIsHandedOver(t *testing.T) {
	is := is.New(t)
	w := newWorldWithDeposedOwner()
	w.lookupsFail = true
	acceptAtDeposedOwner(w, "a", step(4))
	w.run(1500 * time.Millisecond)
	w.standbyDown = false
	w.run(200 * time.Millisecond)
	for _, f := range w.workers {
		f.partitioned = len(f.ends) > 0
	}
	w.release(0)
	w.run(time.Second)
	for _, f := range w.workers {
		f.partitioned = false
	}
	w.run(10 * time.Second)
	w.check(t)
	is.Equal(w.shown["a"], job.Completed)
}

// TestCancelledUnknownJobIsStopped covers a cancellation that arrives before the record of its
// job.
func TestCancelledUnknownJobIsStopped(t *testing.T) {
	is := is.New(t)
	w := newWorldWithDeposedOwner()
	w.lookupsFail = true
	acceptAtDeposedOwner(w, "a", lasting(3, 1))
	w.run(200 * time.Millisecond)
	w.standbyDown = false
	w.run(200 * time.Millisecond)
	w.cancelRows["a"] = true
	w.readCancelRow("a")
	w.lookupsFail = false
	w.run(2 * time.Second)
	is.Equal(len(w.holders()), 0)
	is.Equal(w.shown["a"], job.Cancelled)
	w.check(t)
}

// TestJobsAcceptedByDeposedOwnersRunOnce lets entries pass jobs to deposed owners at any moment.
// Next owners learn of these jobs from a stored row, from the caller, or not at all.
func TestJobsAcceptedByDeposedOwnersRunOnce(t *testing.T) {
	prove.Property(t, func(t *rapid.T) {
		w := newWorld(4)
		w.run(200 * time.Millisecond)
		count := rapid.IntRange(3, 15).Draw(t, "rounds")
		for i := 0; i < count; i++ {
			id := fmt.Sprintf("j%d", i)
			f := w.workers[fmt.Sprintf("w%d", rapid.IntRange(0, 3).Draw(t, "worker"))]
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0:
				f.partitioned = !f.partitioned
			case 1:
				w.standbyDown = rapid.Bool().Draw(t, "standby away")
			case 2:
				w.lookupsFail = rapid.Bool().Draw(t, "lookups fail")
			case 3:
				w.lookupDelay = time.Duration(rapid.IntRange(0, 100).Draw(t, "lookups take")) * tick
			case 4:
				w.release(time.Duration(rapid.IntRange(0, 50).Draw(t, "free for")) * tick)
			case 5, 6:
				w.takeOverFromActive(time.Duration(rapid.IntRange(1, 300).Draw(t, "acts on")) * tick)
			default:
				s := step(rapid.IntRange(1, 5).Draw(t, "tasks"))
				if len(w.zombies) == 0 {
					w.submit(id, s, step(2, 0))
					break
				}
				acceptAtDeposedOwner(w, id, s, step(2, 0))
				if rapid.Bool().Draw(t, "handed in again") {
					w.run(time.Duration(rapid.IntRange(0, 150).Draw(t, "after")) * tick)
					w.submitToOwner(id, s, step(2, 0))
				}
			}
			w.run(time.Duration(rapid.IntRange(1, 150).Draw(t, "wait")) * tick)
		}
		w.standbyDown = false
		w.lookupsFail = false
		for _, f := range w.workers {
			f.partitioned = false
		}
		// The owner learns of jobs without runs from their stored records.
		for id, record := range w.records {
			w.core.Accept(record, w.version, false, w.now)
			if w.progress[id].State.Final() {
				t.Errorf("job %s has ended but its record is still stored", id)
			}
		}
		w.run(30 * time.Second)
		for id := range w.records {
			t.Errorf("job %s has not ended: %s", id, w.shown[id])
		}
		w.check(t)
	})
}
