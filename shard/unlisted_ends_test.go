package shard_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"lemonstream.dev/lemonstream/internal/prove"
	"lemonstream.dev/lemonstream/job"
	"lemonstream.dev/lemonstream/outside"
	"lemonstream.dev/lemonstream/shard"
)

const (
	// testListedEnds is how many ends a worker lists at once in these tests.
	testListedEnds = 3

	// unlistedTasks is how many tasks end at one time, several times as many as are listed.
	unlistedTasks = 12
)

// newWorldWithShortLists returns a world whose workers list few ends at once.
func newWorldWithShortLists() *world {
	w := newWorld(2)
	w.maxListedEnds = testListedEnds
	w.run(200 * time.Millisecond)
	return w
}

// small returns a step of short tasks of which a worker has room for many.
func small(count int) job.Step {
	s := step(count)
	s.Need.MilliCPU = 100
	s.Need.MemoryMB = 10
	s.Estimate = 500 * time.Millisecond
	return s
}

// runUntilEnds runs until a worker has at least the given number of ends, and returns that worker.
func (w *world) runUntilEnds(count int) *fakeWorker {
	for range 1000 {
		w.run(tick)
		for _, f := range w.workers {
			if len(f.ends) >= count {
				return f
			}
		}
	}
	panic("no worker has that many ends")
}

// checkStartedOnce checks that the job completes and that each of its tasks has started once.
func checkStartedOnce(t *testing.T, w *world, id string, tasks int) {
	t.Helper()
	is := is.New(t)
	w.run(10 * time.Second)
	w.check(t)
	is.Equal(w.shown[id], job.Completed)
	is.Equal(totalStarts(w), tasks)
	for _, f := range w.workers {
		is.Equal(len(f.ends), 0) // Each end is acknowledged.
	}
}

// TestStoreOutageDoesNotLoseUnlistedEnds ends more tasks on a worker than it lists while their ends
// can't be acknowledged.
func TestStoreOutageDoesNotLoseUnlistedEnds(t *testing.T) {
	w := newWorldWithShortLists()
	w.submit("a", small(unlistedTasks))
	w.run(100 * time.Millisecond)
	w.storeDown = true
	w.runUntilEnds(unlistedTasks)
	w.run(2 * time.Second)
	w.storeDown = false
	checkStartedOnce(t, w, "a", unlistedTasks)
}

// TestTakeoverDoesNotLoseUnlistedEnds covers owners that find a full list at their first poll. None
// of them may take what it reads first for all that earlier owners have started.
func TestTakeoverDoesNotLoseUnlistedEnds(t *testing.T) {
	for name, pauses := range map[string][]time.Duration{
		"one owner":                   {0},
		"a chain of owners":           {time.Second, time.Second, time.Second},
		"an owner longer than leases": {2 * testLease},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorldWithShortLists()
			w.submit("a", small(unlistedTasks))
			w.run(100 * time.Millisecond)
			w.storeDown = true
			w.runUntilEnds(unlistedTasks)
			for _, pause := range pauses {
				w.takeOver()
				w.run(pause)
			}
			w.storeDown = false
			checkStartedOnce(t, w, "a", unlistedTasks)
		})
	}
}

// TestHandoverNamesUnlistedEnds replaces owners that have seen some of the ends of a worker. The last
// of them releases the service. The next owner does not reach the worker for a while and may not
// start its tasks elsewhere.
func TestHandoverNamesUnlistedEnds(t *testing.T) {
	release := func(w *world) { w.release(0) }
	for name, changes := range map[string][]func(w *world){
		"released":            {release},
		"released twice":      {release, release},
		"died, then released": {(*world).takeOver, release},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorldWithShortLists()
			w.submit("a", small(unlistedTasks))
			f := w.runUntilEnds(unlistedTasks)
			for _, change := range changes {
				f.partitioned = false
				w.run(2 * tick) // A poll has listed the first ends.
				f.partitioned = true
				change(w)
			}
			w.run(500 * time.Millisecond)
			f.partitioned = false
			checkStartedOnce(t, w, "a", unlistedTasks)
		})
	}
}

// TestUnknownJobDoesNotLoseUnlistedEnds covers an end of a job that the owner does not know and can't
// look up. No end behind it is acknowledged.
func TestUnknownJobDoesNotLoseUnlistedEnds(t *testing.T) {
	is := is.New(t)
	w := newWorldWithDeposedOwner()
	w.maxListedEnds = testListedEnds
	w.lookupsFail = true
	acceptAtDeposedOwner(w, "unknown", small(1))
	w.run(1500 * time.Millisecond)
	w.submit("a", small(unlistedTasks))
	w.standbyDown = false
	w.run(4 * time.Second)
	w.lookupsFail = false
	checkStartedOnce(t, w, "a", unlistedTasks+1)
	is.Equal(w.shown["unknown"], job.Completed)
}

// TestRestartedWorkerWithAFullListLosesNoEnds covers a worker that starts again under its ID while a
// poll is open, so that the owner starts tasks at the next incarnation before it knows of that one.
// The first answer of the incarnation lists some of their ends.
func TestRestartedWorkerWithAFullListLosesNoEnds(t *testing.T) {
	w := newWorld(1)
	w.maxListedEnds = testListedEnds
	w.run(200 * time.Millisecond)
	w.pollDelay = time.Second
	w.pollTimeout = time.Second
	w.run(300 * time.Millisecond) // A poll is open that gets no answer.
	w.pollDelay = 0
	w.listStale = true
	w.restartWorker(w.workers["w0"], 0)
	w.run(2 * tick)
	w.submit("a", small(unlistedTasks))
	w.run(2 * time.Second)
	w.listStale = false
	w.list()
	checkStartedOnce(t, w, "a", unlistedTasks)
}

// TestStoppedRunWithUnlistedEndIsNotStartedAgain covers starts that get no answer, so that the owner
// stops the runs. They have ended before their stops.
func TestStoppedRunWithUnlistedEndIsNotStartedAgain(t *testing.T) {
	w := newWorldWithShortLists()
	w.storeDown = true
	w.startDelay = 100 * time.Millisecond
	w.submit("a", small(unlistedTasks))
	w.run(100 * time.Millisecond)
	w.startDelay = 0
	w.run(4 * time.Second)
	w.storeDown = false
	checkStartedOnce(t, w, "a", unlistedTasks)
}

// TestLongRunningTaskWithUnlistedEndStartsAgainAtOnce covers long-running tasks that fail while their
// ends are not listed. They are never done, so that nothing speaks against starting them again.
func TestLongRunningTaskWithUnlistedEndStartsAgainAtOnce(t *testing.T) {
	is := is.New(t)
	w := newWorldWithShortLists()
	w.submit("b", lasting(2, 1))
	w.submit("a", small(unlistedTasks))
	w.run(100 * time.Millisecond)
	w.storeDown = true
	f := w.runUntilEnds(unlistedTasks)
	w.run(200 * time.Millisecond)
	is.Equal(len(f.runs), 2)
	for id := range f.runs {
		f.endRun(id, outside.EndFailed, w.now)
	}
	w.run(500 * time.Millisecond)
	is.Equal(len(reachableWorkersOf(w, "b")), 2)
	w.check(t)
}

// TestFullListIsReadOnWithoutPauses covers the polls of a worker with more ends than it lists. They
// don't wait there once ends can be acknowledged, and don't follow each other at once before that.
func TestFullListIsReadOnWithoutPauses(t *testing.T) {
	is := is.New(t)
	w := newWorldWithShortLists()
	w.submit("a", small(unlistedTasks))
	w.run(100 * time.Millisecond)
	w.storeDown = true
	f := w.runUntilEnds(unlistedTasks)
	w.run(time.Second)
	polls := 0
	w.polled = func(p shard.Poll) {
		if p.Worker.ID != f.reg.ID {
			return
		}
		polls++
		is.True(len(f.ends) < testListedEnds || p.Renewal.Wait == 0)
	}
	w.run(3 * time.Second)
	is.True(polls <= 12) // Several a second; one that is answered at once takes 10 ms.
	w.storeDown = false
	w.run(200 * time.Millisecond)
	is.Equal(len(f.ends), 0)
	w.check(t)
}

// TestInstanceOfWorkerWithUnlistedEndsIsNotTaken covers an owner that has seen some of the ends of a
// worker. It may not tell the instance controller that earlier owners have left nothing there.
func TestInstanceOfWorkerWithUnlistedEndsIsNotTaken(t *testing.T) {
	is := is.New(t)
	w := newWorldWithShortLists()
	w.submit("a", small(unlistedTasks))
	w.run(100 * time.Millisecond)
	w.storeDown = true
	f := w.runUntilEnds(unlistedTasks)
	w.takeOver()
	w.run(500 * time.Millisecond)
	load := w.core.Load(w.now).Workers[f.reg.ID]
	is.True(load.Reached)
	is.True(!load.Known)
	w.storeDown = false
	w.run(500 * time.Millisecond)
	is.True(w.core.Load(w.now).Workers[f.reg.ID].Known)
	w.check(t)
}

// TestTasksOfSilentWorkerWithUnlistedEndsStartElsewhere covers a worker that falls silent for good
// after a new owner has seen some of its ends.
func TestTasksOfSilentWorkerWithUnlistedEndsStartElsewhere(t *testing.T) {
	is := is.New(t)
	w := newWorldWithShortLists()
	w.submit("a", small(unlistedTasks))
	w.run(100 * time.Millisecond)
	w.storeDown = true
	f := w.runUntilEnds(unlistedTasks)
	w.takeOver()
	w.run(500 * time.Millisecond)
	f.partitioned = true
	w.storeDown = false
	w.run(2 * time.Second)
	is.Equal(totalStarts(w), unlistedTasks)
	w.run(2 * testLease)
	w.check(t)
	is.Equal(w.shown["a"], job.Completed)
}

// TestQuotaCountsWorkerWithUnlistedEnds covers an owner that has seen some of the ends of a worker.
// What earlier owners may have there still counts against the limit of their organisation.
func TestQuotaCountsWorkerWithUnlistedEnds(t *testing.T) {
	is := is.New(t)
	w := newWorldWithShortLists()
	w.quota = newQuota()
	w.takeOver()
	w.submit("a", small(unlistedTasks))
	w.run(100 * time.Millisecond)
	w.storeDown = true
	w.runUntilEnds(unlistedTasks)
	w.takeOver()
	w.run(500 * time.Millisecond)
	more := lasting(1, 1)
	w.submit("b", more)
	w.core.Confirm(shard.WorkerRows{}, w.now) // Only batches fail.
	w.run(100 * time.Millisecond)
	is.True(w.core.Usages()[0].Used.MilliCPU > more.Need.MilliCPU)
	w.storeDown = false
	w.run(time.Second)
	is.Equal(w.core.Usages()[0].Used, more.Need)
	w.check(t)
}

// TestUnlistedEndsUnderFaults lets workers list few ends at once, amid outages of the store and of
// lookups, takeovers, releases, restarts and network partitions. If workers don't tell that more ends
// may be unread, tasks run twice.
func TestUnlistedEndsUnderFaults(t *testing.T) {
	prove.Guard(t, prove.AtMostOnce, "full-lists-hide-ends", func(on bool) func(*rapid.T) {
		return func(t *rapid.T) { simulateUnlistedEnds(t, on) }
	})
}

// simulateUnlistedEnds does one simulation run with short lists. If told is false, workers do not
// tell that their lists are full.
func simulateUnlistedEnds(t *rapid.T, told bool) {
	w := newWorld(4)
	w.maxListedEnds = rapid.IntRange(1, 4).Draw(t, "listed")
	w.hideMoreEnds = !told
	w.run(200 * time.Millisecond)
	names := []string{"w0", "w1", "w2", "w3"}
	count := rapid.IntRange(5, 25).Draw(t, "rounds")
	for i := 0; i < count; i++ {
		f := w.workers[rapid.SampledFrom(names).Draw(t, "worker")]
		switch rapid.IntRange(0, 15).Draw(t, "what") {
		case 0, 1:
			f.partitioned = !f.partitioned
		case 2:
			w.takeOver()
		case 3:
			w.takeOverFromActive(time.Duration(rapid.IntRange(1, 300).Draw(t, "acts on")) * tick)
		case 4, 5:
			w.release(time.Duration(rapid.IntRange(0, 50).Draw(t, "free for")) * tick)
		case 6, 7:
			w.storeDown = rapid.Bool().Draw(t, "down")
		case 8:
			w.lookupsFail = rapid.Bool().Draw(t, "lookups fail")
		case 9:
			w.restartWorker(f, time.Duration(rapid.IntRange(0, 600).Draw(t, "away"))*tick)
		case 10:
			w.lateAnswers = time.Duration(rapid.IntRange(0, 40).Draw(t, "late answers")) * tick
		default:
			s := small(rapid.IntRange(1, 20).Draw(t, "tasks"))
			s.Estimate = time.Duration(rapid.IntRange(10, 300).Draw(t, "takes")) * tick
			w.submit(fmt.Sprintf("j%d", i), s, small(2))
		}
		w.run(time.Duration(rapid.IntRange(1, 150).Draw(t, "wait")) * tick)
	}
	w.lookupsFail = false
	w.endSimulation(t)
}
