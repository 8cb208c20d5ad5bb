package shard_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"lemonstream.dev/lemonstream/internal/prove"
	"lemonstream.dev/lemonstream/job"
)

func TestJobRunsToItsEnd(t *testing.T) {
	is := is.New(t)
	w := newWorld(3)
	w.run(200 * time.Millisecond)
	w.submit("a", step(4), step(2, 0))
	w.run(3 * time.Second)
	w.check(t)
	is.Equal(w.shown["a"], job.Completed)
	is.Equal(len(w.records), 0) // The record is removed when the final state is stored.
}

func TestCompletedIsShownOnlyOnceWritten(t *testing.T) {
	is := is.New(t)
	w := newWorld(2)
	w.run(200 * time.Millisecond)
	w.submit("a", step(1))
	w.storeDown = true
	w.run(3 * time.Second)
	is.Equal(w.shown["a"], job.Running) // The task has ended, but its end is not stored.
	w.storeDown = false
	w.run(500 * time.Millisecond)
	is.Equal(w.shown["a"], job.Completed)
	w.check(t)
}

func TestLeaseOfSilentWorkerLapses(t *testing.T) {
	is := is.New(t)
	w := newWorld(2)
	w.run(200 * time.Millisecond)
	w.submit("a", lasting(2, 1))
	w.run(time.Second)
	for _, f := range w.workers {
		if len(f.runs) > 0 {
			f.partitioned = true
		}
	}
	w.run(testLease + 2*time.Second)
	running := 0
	for _, f := range w.workers {
		if !f.partitioned {
			running += len(f.runs)
		}
	}
	is.Equal(running, 2) // Failed polls must not extend the lease.
	w.check(t)
}

func TestLongRunningTaskStaysWhileAnotherIsOnSilentWorker(t *testing.T) {
	is := is.New(t)
	w := newWorld(3)
	one := lasting(2, 1)
	one.PerWorker = 1
	w.run(200 * time.Millisecond)
	w.submit("a", one)
	w.run(2 * time.Second)
	holders := w.holders()
	is.Equal(len(holders), 2)
	w.workers[holders[0]].down = true
	w.run(time.Second) // The worker does not answer, and its lease has not lapsed.
	for i := 0; i < 20; i++ {
		w.core.SetClosed([]string{holders[1]}, w.now)
		w.run(100 * time.Millisecond)
	}
	is.Equal(len(w.workers[holders[1]].runs), 1) // Stopping this run would leave no task available.
	w.check(t)
}

func TestFailedEndsCountOnceAcrossOwners(t *testing.T) {
	is := is.New(t)
	w := newWorld(1)
	poison := step(1)
	poison.Label = "poison"
	w.workers["w0"].reg.Labels = append(w.workers["w0"].reg.Labels, "poison")
	w.list()
	w.run(200 * time.Millisecond)
	w.submit("a", poison)
	w.run(1100 * time.Millisecond)
	w.takeOver() // The end may be stored but not yet acknowledged.
	w.run(300 * time.Millisecond)
	is.True(w.shown["a"] != job.Failed)
	w.run(10 * time.Second)
	is.Equal(w.shown["a"], job.Failed)
	w.check(t)
}

func TestGangFailsAsOne(t *testing.T) {
	is := is.New(t)
	w := newWorld(2)
	poison := step(2)
	poison.Label = "poison"
	poison.Gang = true
	for _, f := range w.workers {
		f.reg.Labels = append(f.reg.Labels, "poison")
	}
	w.list()
	w.run(200 * time.Millisecond)
	w.submit("a", poison)
	w.run(1500 * time.Millisecond)
	is.Equal(w.shown["a"], job.Running)
	w.takeOver() // Failures of the members are added up across owners.
	w.run(20 * time.Second)
	is.Equal(w.shown["a"], job.Failed)
	ends := 0
	for _, f := range w.workers {
		ends += int(f.number)
	}
	is.Equal(ends, 2*w.policy.Attempts) // Both members of three runs.
}

func TestCancelledJobStopsEverywhere(t *testing.T) {
	is := is.New(t)
	w := newWorld(3)
	w.run(200 * time.Millisecond)
	w.submit("a", lasting(4, 1))
	w.run(time.Second)
	written := false
	is.True(w.core.Cancel("a", w.now, func() { written = true }))
	w.run(time.Second)
	is.True(written)
	for _, f := range w.workers {
		is.Equal(len(f.runs), 0)
	}
	is.Equal(w.shown["a"], job.Cancelled)
	w.check(t)
}

func TestNewOwnerWaitsForWorkerItCannotReach(t *testing.T) {
	w := newWorld(3)
	w.run(200 * time.Millisecond)
	long := step(3)
	long.Estimate = 20 * time.Second
	w.submit("a", long)
	w.run(500 * time.Millisecond)
	for _, f := range w.workers {
		f.partitioned = len(f.runs) > 0
	}
	w.takeOver()
	w.run(10 * time.Second)
	w.check(t) // The oracle reports a second run beside the one on the partitioned worker.
}

// TestShardUnderFaults runs random jobs under random faults. The oracle of the simulated world
// knows only the published rules.
func TestShardUnderFaults(t *testing.T) {
	prove.Property(t, func(t *rapid.T) { underFaults(t, newWorld(4)) })
}

// underFaults runs random jobs under random faults in a world of four workers.
func underFaults(t *rapid.T, w *world) {
	w.run(200 * time.Millisecond)
	names := []string{"w0", "w1", "w2", "w3"}
	count := rapid.IntRange(5, 25).Draw(t, "rounds")
	for i := 0; i < count; i++ {
		f := w.workers[rapid.SampledFrom(names).Draw(t, "worker")]
		id := fmt.Sprintf("j%d", i)
		switch rapid.IntRange(0, 17).Draw(t, "what") {
		case 0:
			f.partitioned = true
		case 1:
			f.partitioned = false
		case 2:
			w.takeOver()
		case 3:
			w.startDelay = time.Duration(rapid.IntRange(1, 5).Draw(t, "late")) * time.Second
		case 4:
			w.startDelay = 0
		case 5:
			w.storeDown = rapid.Bool().Draw(t, "down")
		case 6:
			w.core.SetClosed([]string{f.reg.ID}, w.now)
		case 7:
			w.standbyOn = rapid.Bool().Draw(t, "standby on")
			w.storeDown = w.standbyOn || w.storeDown
		case 8:
			w.standbyDown = rapid.Bool().Draw(t, "standby away")
		case 9, 10:
			w.release(time.Duration(rapid.IntRange(0, 50).Draw(t, "free for")) * tick)
			w.storeDown = rapid.Bool().Draw(t, "down after it")
		case 11:
			beside := f
			if !rapid.Bool().Draw(t, "beside") {
				beside = nil
			}
			w.takeOverFromPartitioned(time.Duration(rapid.IntRange(1, 300).Draw(t, "acts on"))*tick, beside)
		case 12:
			names = append(names, w.replaceWorker(f, rapid.Bool().Draw(t, "taken")))
		default:
			s := step(rapid.IntRange(1, 5).Draw(t, "tasks"))
			s.PerWorker = rapid.IntRange(0, 2).Draw(t, "per worker")
			if rapid.Bool().Draw(t, "at the owner") {
				w.submitToOwner(id, s, step(2, 0))
			}
			if rapid.Bool().Draw(t, "at an entry") && !w.stored[id] {
				// Its caller submits it again before the owner has stored it.
				w.submit(id, s, step(2, 0))
			}
		}
		w.run(time.Duration(rapid.IntRange(1, 150).Draw(t, "wait")) * tick)
	}
	w.startDelay = 0
	w.storeDown = false
	w.standbyDown = false
	for _, f := range w.workers {
		f.partitioned = false
	}
	w.run(30 * time.Second)
	for id := range w.records {
		t.Errorf("job %s has not ended: %s", id, w.shown[id])
	}
	if left := len(w.standbyRecords) + len(w.standbyEnded); left > 0 {
		t.Errorf("%d rows are left in the standby partition", left)
	}
	w.check(t)
}

func TestNewWorkerIsUsedOnlyUnderConfirmedOwnership(t *testing.T) {
	is := is.New(t)
	w := newWorld(1)
	w.run(200 * time.Millisecond)
	w.frozen = true
	w.addWorker("late", "r0-1")
	w.list()
	w.submit("a", step(6))
	w.run(500 * time.Millisecond)
	// A next owner may have read the list of workers before this one registered.
	is.Equal(len(w.workers["late"].runs), 0)
	w.frozen = false
	w.run(500 * time.Millisecond)
	is.True(len(w.workers["late"].runs) > 0)
	w.check(t)
}

// TestNewOwnerNeedNotWaitForLapsedWorker lets the previous owner hand over that the lease of a
// worker has lapsed.
func TestNewOwnerNeedNotWaitForLapsedWorker(t *testing.T) {
	is := is.New(t)
	w := newWorld(3)
	w.run(200 * time.Millisecond)
	w.workers["w0"].down = true
	w.run(testLease + 2*time.Second)
	is.Equal(w.core.BuildHandover(w.now, false, testHandoverBytes).Idle, []string{"w0"})
	w.submit("a", step(4), step(2, 0))
	w.run(500 * time.Millisecond)
	lapsed := w.core.BuildHandover(w.now, false, testHandoverBytes)
	w.workers["w0"].down = false // The worker is listed again but still unreachable.
	w.workers["w0"].partitioned = true
	w.takeOverWith(lapsed)
	w.run(3 * time.Second)
	is.Equal(w.shown["a"], job.Completed)
	w.check(t)
}

// TestRegainedWorkerIsUsedOnlyOnceItIsNotInHandover guards against starting a task on a worker
// that the last stored handover lists as idle.
func TestRegainedWorkerIsUsedOnlyOnceItIsNotInHandover(t *testing.T) {
	is := is.New(t)
	w := newWorld(1)
	w.run(200 * time.Millisecond)
	w.workers["w0"].partitioned = true
	w.run(testLease + 2*time.Second)
	is.Equal(w.core.BuildHandover(w.now, false, testHandoverBytes).Idle, []string{"w0"})
	w.frozen = true
	w.workers["w0"].partitioned = false
	w.submit("a", step(1))
	w.run(time.Second)
	is.Equal(len(w.workers["w0"].runs), 0)
	w.frozen = false
	w.run(500 * time.Millisecond)
	is.Equal(len(w.workers["w0"].runs), 1)
	w.check(t)
}

// TestNewOwnerCountsStopsOfPreviousOwner covers an owner that dies right after it has evicted a
// long-running task. The next owner still finds the run and must count its stop.
func TestNewOwnerCountsStopsOfPreviousOwner(t *testing.T) {
	w := newWorld(2)
	w.run(200 * time.Millisecond)
	w.submit("a", lasting(4, 1))
	w.run(2 * time.Second)
	for id, f := range w.workers {
		if len(f.runs) == 4 {
			w.core.SetClosed([]string{id}, w.now)
			w.run(2 * tick) // One stop has reached its worker.
			w.takeOver()
			for i := 0; i < 30; i++ {
				w.core.SetClosed([]string{id}, w.now)
				w.run(100 * time.Millisecond)
			}
			break
		}
	}
	w.check(t)
}

func TestUnlistedWorkerIsHandedOver(t *testing.T) {
	w := newWorld(2)
	w.run(200 * time.Millisecond)
	long := step(6)
	long.Estimate = 20 * time.Second
	w.submit("a", long)
	w.run(500 * time.Millisecond)
	f := w.workers["w0"]
	f.unlisted = true
	w.list()
	w.takeOver()
	w.run(3 * time.Second)
	w.check(t) // If the new owner does not poll w0, its tasks run a second time.
}

// TestWorkerWithoutRegistrationTakesNothingNew covers a worker that leaves without notice: its
// registration disappears, but it keeps answering for a while.
func TestWorkerWithoutRegistrationTakesNothingNew(t *testing.T) {
	is := is.New(t)
	w := newWorld(1)
	w.run(200 * time.Millisecond)
	w.workers["w0"].unlisted = true
	w.list()
	w.submit("a", step(1))
	w.run(time.Second)
	is.Equal(w.shown["a"], job.Queued)
	// After an outage of the store a missing registration says nothing about the worker.
	w.regained = w.now
	w.list()
	w.run(3 * time.Second)
	is.Equal(w.shown["a"], job.Completed)
	w.check(t)
}

// TestNewOwnerNeedNotWaitForEndedWorker covers a worker whose instance was moved recently and
// whose registration is still stored.
func TestNewOwnerNeedNotWaitForEndedWorker(t *testing.T) {
	is := is.New(t)
	w := newWorld(3)
	w.run(200 * time.Millisecond)
	w.core.RemoveTaken([]string{"w0"}, w.now)
	w.submit("a", step(4), step(2, 0))
	w.run(200 * time.Millisecond)
	is.True(!w.hasRow("w0")) // The next transaction removes its row.
	w.workers["w0"].partitioned = true
	w.takeOver()
	w.run(3 * time.Second)
	is.Equal(w.shown["a"], job.Completed)
	w.check(t)
}

// TestTakenInstanceIsKnownBeforeItsWorkerIsListed covers a next owner that is told that an
// instance was taken down before it first reads the registration of the worker.
func TestTakenInstanceIsKnownBeforeItsWorkerIsListed(t *testing.T) {
	is := is.New(t)
	w := newWorld(3)
	w.run(200 * time.Millisecond)
	w.submit("a", step(4), step(2, 0))
	w.run(200 * time.Millisecond)
	f := w.workers["w0"]
	f.partitioned = true
	f.unlisted = true
	w.takeOver()
	w.core.RemoveTaken([]string{"w0"}, w.now)
	f.unlisted = false
	w.list()
	w.run(3 * time.Second)
	is.Equal(w.shown["a"], job.Completed)
}

// TestEachEvictedTaskNeedsCapacityOfItsOwn covers two closed workers whose long-running tasks may
// both be unavailable, and a single other worker that has capacity for only one of them.
func TestEachEvictedTaskNeedsCapacityOfItsOwn(t *testing.T) {
	is := is.New(t)
	w := newWorld(4)
	one := lasting(3, 2)
	one.PerWorker = 1
	w.run(200 * time.Millisecond)
	w.submit("a", one)
	w.run(2 * time.Second)
	holders := w.holders()
	is.Equal(len(holders), 3)
	for i := 0; i < 30; i++ {
		w.core.SetClosed(holders[:2], w.now)
		w.run(100 * time.Millisecond)
	}
	running := 0
	for _, f := range w.workers {
		running += len(f.runs)
	}
	is.Equal(running, 3) // No task is evicted without a worker that can run it.
	w.check(t)
}

// TestStuckLongRunningTaskStartsOnClosedWorker covers a long-running task whose worker has ended
// while the only other worker with capacity is closed and not empty.
func TestStuckLongRunningTaskStartsOnClosedWorker(t *testing.T) {
	is := is.New(t)
	w := newWorld(2)
	w.run(200 * time.Millisecond)
	long := step(2)
	long.PerWorker = 1
	long.Estimate = time.Hour
	w.submit("b", long)
	w.run(500 * time.Millisecond)
	w.submit("a", lasting(1, 1))
	w.run(time.Second)
	for id, f := range w.workers {
		if len(f.runs) == 1 {
			for i := 0; i < 80; i++ {
				w.core.SetClosed([]string{id}, w.now)
				if i == 10 {
					w.core.RemoveTaken([]string{otherOf(w, id)}, w.now)
					w.workers[otherOf(w, id)].down = true
				}
				w.run(100 * time.Millisecond)
			}
			is.Equal(len(f.runs), 2)
			break
		}
	}
	w.check(t)
}

// otherOf returns the ID of the other of two workers.
func otherOf(w *world, id string) string {
	for other := range w.workers {
		if other != id {
			return other
		}
	}
	return ""
}
