package shard_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"lemonstream.dev/lemonstream/job"
	"lemonstream.dev/lemonstream/outside"
)

// running returns the number of runs of a job on all workers.
func (w *world) running(id string) int {
	count := 0
	for _, f := range w.workers {
		for task := range f.runs {
			if task.Job == id {
				count++
			}
		}
	}
	return count
}

// TestStandbyJobIsCancelledByRow covers a cancellation that is stored as a row while the job's
// record is in the standby partition. The owner reads that partition later than the row.
func TestStandbyJobIsCancelledByRow(t *testing.T) {
	for name, before := range map[string]bool{
		"cancelled before the takeover":                         true,
		"cancelled after it, and before the partition was read": false,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(2)
			w.run(200 * time.Millisecond)
			w.storeDown = true
			w.standbyOn = true
			w.submitToOwner("a", lasting(2, 1))
			w.run(time.Second)
			is.Equal(w.running("a"), 2)
			w.removeOwner()
			w.storeDown = false
			w.standbyDown = true
			w.run(500 * time.Millisecond)
			if before {
				w.cancelByRow("a")
			}
			w.takeOver()
			w.run(100 * time.Millisecond)
			if !before {
				w.cancelByRow("a")
			}
			w.run(1500 * time.Millisecond) // The owner has read the row by now.
			w.standbyDown = false
			w.run(5 * time.Second)
			is.Equal(w.running("a"), 0)
			is.Equal(w.shown["a"], job.Cancelled)
			is.Equal(len(w.cancelRows), 0) // The row is removed with the final state.
			w.check(t)
		})
	}
}

// TestCancellationReadBeforeItsJob covers an owner that has lost the history of the rows and reads
// all of them. Rows are read in the order of their keys, and cancellations sort before many jobs.
func TestCancellationReadBeforeItsJob(t *testing.T) {
	is := is.New(t)
	w := newWorld(2)
	w.run(200 * time.Millisecond)
	record := w.record("f", lasting(1, 1))
	w.store(record)
	w.cancelRows["f"] = true
	w.confirmCancel("f")
	w.core.CancelByRow("f", w.now)
	w.core.Accept(record, w.version, false, w.now)
	w.run(5 * time.Second)
	is.Equal(w.running("f"), 0)
	is.Equal(w.shown["f"], job.Cancelled)
	is.Equal(len(w.records)+len(w.cancelRows), 0)
	w.check(t)
}

// TestCancellationReadBeforeItsJobIsSubmitted covers the same with a caller that submits the job
// again to the owner, which has not read its record.
func TestCancellationReadBeforeItsJobIsSubmitted(t *testing.T) {
	is := is.New(t)
	w := newWorld(2)
	w.run(200 * time.Millisecond)
	w.cancelRows["f"] = true
	w.core.CancelByRow("f", w.now)
	w.submitToOwner("f", lasting(1, 1))
	w.run(5 * time.Second)
	is.True(w.taken["f"])
	is.Equal(w.running("f"), 0)
	is.Equal(w.shown["f"], job.Cancelled)
	is.Equal(len(w.records)+len(w.cancelRows), 0)
	w.check(t)
}

// TestRefusedRetryDoesNotRuleOutFirstStart covers an unanswered start whose retry is refused after
// the job was cancelled. The first start may still take effect, unless the worker is told to stop
// the run.
func TestRefusedRetryDoesNotRuleOutFirstStart(t *testing.T) {
	for name, answer := range map[string]error{
		"no room": &outside.WorkerRefusedError{
			Reason: outside.RefusedRoom,
		},
		"unhealthy": &outside.WorkerRefusedError{
			Reason: outside.RefusedUnhealthy,
		},
		"nobody listens": &outside.NotDoneError{
			Call: "test",
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(1)
			w.run(200 * time.Millisecond)
			w.startDelay = 2 * time.Second
			w.submit("a", lasting(1, 1))
			w.run(600 * time.Millisecond)
			w.startError = answer
			w.run(120 * time.Millisecond) // The first start was not answered; its retry is in flight.
			is.True(w.cancel("a"))
			w.run(10 * time.Second)
			is.Equal(w.workers["w0"].began, 0) // A stopped run does not start.
			w.check(t)
		})
	}
}

// TestListedRunIsKeptWhenItsRetriedStartFails covers an unanswered start that takes effect while
// its retry is in flight. A poll lists the run, and then the retry gets no answer or is refused.
func TestListedRunIsKeptWhenItsRetriedStartFails(t *testing.T) {
	for name, answer := range map[string]error{
		"no answer": errNoAnswer,
		"unhealthy": &outside.WorkerRefusedError{
			Reason: outside.RefusedUnhealthy,
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(1)
			w.run(200 * time.Millisecond)
			w.startDelay = time.Second
			w.submit("a", lasting(2, 0))
			w.run(600 * time.Millisecond)
			w.startError = answer
			w.startErrorDelay = 700 * time.Millisecond
			w.run(5 * time.Second)
			is.Equal(w.running("a"), 2)
			is.Equal(w.workers["w0"].began, 2)
			w.check(t) // The oracle reports stops while too many others are unavailable.
		})
	}
}

// TestStopIsRetriedWhileItsRunIsListed covers a worker that confirms a stop without executing it.
func TestStopIsRetriedWhileItsRunIsListed(t *testing.T) {
	is := is.New(t)
	w := newWorld(1)
	w.run(200 * time.Millisecond)
	w.submit("a", lasting(1, 1))
	w.run(time.Second)
	w.workers["w0"].ignoreStops = 1
	is.True(w.cancel("a"))
	w.run(4 * time.Second)
	is.Equal(w.running("a"), 0)
	w.check(t)
}

// TestSilentUnlistedWorkerIsPolledAgain covers a worker that is partitioned until its registration
// is removed and its lease has expired, and then returns as the same incarnation.
func TestSilentUnlistedWorkerIsPolledAgain(t *testing.T) {
	is := is.New(t)
	w := newWorld(1)
	w.run(200 * time.Millisecond)
	f := w.workers["w0"]
	f.partitioned = true
	f.unlisted = true
	w.list()
	w.run(testLease + 4*time.Second)
	is.True(!w.hasRow("w0")) // The owner assumes that the worker has ended.
	f.partitioned = false
	f.unlisted = false
	w.list()
	w.run(200 * time.Millisecond)
	w.submit("a", step(1))
	w.run(3 * time.Second)
	is.Equal(w.shown["a"], job.Completed)
	is.True(w.hasRow("w0"))
	w.check(t)
}

// TestCancelledJobEndsAfterOwnerChange covers an owner that is removed with starts in flight. The
// job is cancelled before the removal, without an owner (by a row), or after the takeover.
func TestCancelledJobEndsAfterOwnerChange(t *testing.T) {
	for _, late := range []time.Duration{0, 2 * time.Second, 3 * time.Second, 12 * time.Second} {
		for _, when := range []string{"before", "without an owner", "after"} {
			t.Run(fmt.Sprintf("starts %v late, cancelled %s", late, when), func(t *testing.T) {
				is := is.New(t)
				w := newWorld(3)
				w.run(200 * time.Millisecond)
				w.startDelay = late
				w.submit("a", lasting(4, 1))
				w.run(30 * time.Millisecond)
				if when == "before" {
					is.True(w.cancel("a"))
					w.run(50 * time.Millisecond)
				}
				w.removeOwner()
				w.run(500 * time.Millisecond)
				if when == "without an owner" {
					w.cancelByRow("a")
				}
				w.startDelay = 0
				w.takeOver()
				if when == "after" {
					w.run(100 * time.Millisecond)
					is.True(w.cancel("a"))
				}
				w.run(20 * time.Second)
				is.Equal(w.running("a"), 0)
				is.Equal(w.shown["a"], job.Cancelled)
				w.check(t)
			})
		}
	}
}

// TestLateStartIsFoundInEveryWorkerState covers a start that takes effect after it timed out at
// the owner, on a worker that is idle, unlisted, draining or closed.
func TestLateStartIsFoundInEveryWorkerState(t *testing.T) {
	faults := map[string]func(w *world, f *fakeWorker){
		"idle": func(*world, *fakeWorker) {},
		"unlisted": func(w *world, f *fakeWorker) {
			f.unlisted = true
			w.list()
		},
		"draining": func(w *world, f *fakeWorker) {
			f.reg.Draining = true
			w.list()
		},
		"closed": func(w *world, f *fakeWorker) {
			w.core.SetClosed([]string{f.reg.ID}, w.now)
		},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(1)
			w.run(200 * time.Millisecond)
			f := w.workers["w0"]
			w.startDelay = 3 * time.Second
			w.unansweredStopEvery = 1
			w.stopDelay = 12 * time.Second // The stops that would prevent the run arrive even later.
			w.submit("a", lasting(1, 1))
			w.run(20 * time.Millisecond)
			is.True(w.cancel("a"))
			fault(w, f)
			w.run(2500 * time.Millisecond)
			w.startDelay = 0
			w.run(600 * time.Millisecond)
			w.stopDelay = 0
			w.run(8 * time.Second)
			is.True(f.began > 0)
			is.Equal(w.running("a"), 0)
			w.check(t)
		})
	}
}

// TestRunsOfCancelledJobUseCapacityUntilTheyEnd covers an owner that is removed with stops in
// flight, after the job's record was removed with its final state. The next owner finds the runs
// and does not know their resources.
func TestRunsOfCancelledJobUseCapacityUntilTheyEnd(t *testing.T) {
	is := is.New(t)
	w := newWorld(1)
	w.run(200 * time.Millisecond)
	w.submit("a", lasting(4, 1)) // The whole capacity of the worker.
	w.run(time.Second)
	is.Equal(w.running("a"), 4)
	w.unansweredStopEvery = 1
	w.stopDelay = 12 * time.Second
	is.True(w.cancel("a"))
	w.run(100 * time.Millisecond)
	is.Equal(len(w.records), 0)
	w.removeOwner()
	w.stopDelay = 0
	w.takeOver()
	w.submit("b", step(4))
	w.run(5 * time.Second)
	is.Equal(w.shown["b"], job.Completed)
	w.check(t) // The oracle reports a worker whose capacity is exceeded.
}

// TestStopIsRetriedWithBackoff covers a worker that answers polls but refuses every stop for a
// while. The owner ordered the stop again after each refusal, every 1.5 ms:
//
//	54.29349 stop ordered run=7 worker=m-0-5 reason="job failed"
//	54.29530 stop ordered run=7 worker=m-0-5 reason="job failed"
//	54.29674 stop ordered run=7 worker=m-0-5 reason="job failed"
func TestStopIsRetriedWithBackoff(t *testing.T) {
	is := is.New(t)
	w := newWorld(1)
	w.run(200 * time.Millisecond)
	w.submit("a", lasting(1, 1))
	w.run(time.Second)
	w.workers["w0"].unhealthy = true
	is.True(w.cancel("a"))
	w.run(2 * time.Second)
	t.Logf("stops=%d", w.stops)
	is.True(w.stops > 1)
	is.True(w.stops <= 12) // A backoff that grows from 60 ms to 400 ms allows 8 stops.
	w.workers["w0"].unhealthy = false
	w.run(time.Second)
	is.Equal(len(w.workers["w0"].runs), 0)
	w.check(t)
}
