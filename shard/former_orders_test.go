package shard_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"lemonstream.dev/lemonstream/job"
)

// longRun returns a step of one task that outlasts every lease and belongs to the worker's rack.
func longRun(f *fakeWorker) job.Step {
	s := step(1)
	s.Estimate = 30 * time.Second
	s.DataRack = f.reg.Rack
	return s
}

// newWorldWithUnansweredStart returns a world in which a start of a long task at the returned worker gets no answer
// and is carried out after the given time, also by the next incarnation and behind a cut.
func newWorldWithUnansweredStart(late time.Duration) (*world, *fakeWorker) {
	w := newWorld(2)
	w.run(clockLead)
	f := w.workers["w0"]
	w.receivedLate = true
	w.startDelay = late
	w.submit("a", longRun(f))
	w.run(2 * tick)
	w.startDelay = 0
	return w, f
}

// TestUnansweredStartRunsAtSilentIncarnation covers a start without an answer that the next incarnation of a
// worker carries out, while nobody reaches it. Its registration tells of the restart. The deadline in the start
// is a time on the former clock, so that the run lasted longer than the owner waited for it.
func TestUnansweredStartRunsAtSilentIncarnation(t *testing.T) {
	for late := 200 * time.Millisecond; late <= 6*time.Second; late += 400 * time.Millisecond {
		t.Run(fmt.Sprint(late), func(t *testing.T) {
			is := is.New(t)
			w, f := newWorldWithUnansweredStart(late)
			f.partitioned = true
			w.restartWorker(f, 0)
			w.run(late)
			is.Equal(len(f.runs), 1)
			w.run(3 * testMaxLease)
			w.check(t)
			is.Equal(f.began, 1)
			is.Equal(len(reachableWorkersOf(w, "a")), 1) // It starts elsewhere once it has lapsed.
		})
	}
}

// TestReleaseTellsOfUnansweredStartAtSilentIncarnation covers a release while such a start may run, at the time
// around which the ordinary leases at the worker lapse.
func TestReleaseTellsOfUnansweredStartAtSilentIncarnation(t *testing.T) {
	for after := time.Second; after <= 8*time.Second; after += 50 * time.Millisecond {
		t.Run(fmt.Sprint(after), func(t *testing.T) {
			is := is.New(t)
			w, f := newWorldWithUnansweredStart(200 * time.Millisecond)
			f.partitioned = true
			w.restartWorker(f, 0)
			w.run(after)
			w.release(50 * time.Millisecond)
			w.run(3 * testMaxLease)
			w.check(t)
			is.Equal(len(reachableWorkersOf(w, "a")), 1)
		})
	}
}

// TestRegistrationShowsRestartToNextOwner covers a worker that starts again and carries out a start of its former
// incarnation just before its owner dies and it is cut off. Only its registration tells the next owner.
func TestRegistrationShowsRestartToNextOwner(t *testing.T) {
	is := is.New(t)
	w, f := newWorldWithUnansweredStart(5 * tick)
	w.storeDown = true
	w.restartWorker(f, 0)
	f.partitioned = true
	w.run(5 * tick)
	is.Equal(len(f.runs), 1)
	w.storeDown = false
	w.takeOver()
	w.run(2 * testMaxLease)
	w.check(t)
}

// TestRemovedWorkerTakesFormerOrders covers a worker whose instance is taken down and that is back under its ID
// when a poll is carried out that was meant for the removed incarnation.
func TestRemovedWorkerTakesFormerOrders(t *testing.T) {
	used := 0
	for late := 2 * tick; late <= 30*tick; late += tick {
		t.Run(fmt.Sprint(late), func(t *testing.T) {
			w := newWorld(2)
			w.run(clockLead)
			f := w.workers["w0"]
			w.pollDelay = late
			w.run(2 * tick)
			w.pollDelay = 0
			w.core.RemoveTaken([]string{f.reg.Incarnation().String()}, w.now)
			w.listStale = true
			w.restartWorker(f, 10*tick)
			w.run(40 * tick)
			w.listStale = false
			w.list()
			w.run(300 * time.Millisecond)
			w.submit("a", longRun(f))
			w.run(300 * time.Millisecond)
			used += len(f.runs)
			f.partitioned = true
			w.run(2 * testMaxLease)
			w.check(t)
		})
	}
	is.New(t).True(used > 0)
}

// TestWorkerWithoutRowTakesFormerOrders covers a worker that is listed and starts again while its owner can't
// store a row of it, and that the next owner uses.
func TestWorkerWithoutRowTakesFormerOrders(t *testing.T) {
	is := is.New(t)
	w := newWorld(1)
	w.run(clockLead)
	w.storeDown = true
	f := w.addWorker("w1", "r1-1")
	w.list()
	w.run(testLease)
	w.restartWorker(f, 0)
	w.run(3 * tick)
	w.storeDown = false
	w.takeOver()
	w.run(100 * time.Millisecond)
	w.submit("a", longRun(f))
	w.run(300 * time.Millisecond)
	is.Equal(len(f.runs), 1)
	f.partitioned = true
	w.run(2 * testMaxLease)
	w.check(t)
}

// TestLatePollExtendsLeaseOfUnfencedIncarnation covers an incarnation that runs a task by a start of its former
// one, that answers once and is cut off. A poll that it had received before extends its lease after that.
func TestLatePollExtendsLeaseOfUnfencedIncarnation(t *testing.T) {
	cut := 0
	for reached := tick; reached <= 12*tick; reached += tick {
		t.Run(fmt.Sprint(reached), func(t *testing.T) {
			w := newWorld(2)
			w.run(clockLead)
			f := w.workers["w0"]
			w.receivedLate = true
			w.pollDelay = 4 * time.Second
			w.run(2 * tick)
			w.pollDelay = 0
			w.run(800 * time.Millisecond) // That poll fails, and the next one is answered.
			w.startDelay = 2 * tick
			w.submit("a", longRun(f))
			w.run(2 * tick)
			w.startDelay = 0
			w.restartWorker(f, 0)
			w.run(reached)
			cut += len(f.runs)
			f.partitioned = true
			w.run(2 * testMaxLease)
			w.check(t)
		})
	}
	is.New(t).True(cut > 0)
}

// TestWaitForRestartDoesNotGrowWithOwners covers a worker whose registration shows a restart and that no owner of
// a long chain reaches. Each one waits for the same orders.
func TestWaitForRestartDoesNotGrowWithOwners(t *testing.T) {
	is := is.New(t)
	w := newWorld(2)
	w.run(clockLead)
	w.restartWorker(w.workers["w0"], 0)
	w.workers["w0"].partitioned = true
	w.takeOver()
	first := w.core.UnobservedWait(w.now)
	for range 20 {
		w.run(500 * time.Millisecond)
		w.takeOver()
		is.True(w.core.UnobservedWait(w.now) <= first+testMaxLease)
	}
}

// TestNextOwnerWaitsForUnansweredStart covers such a start and the next owner, which comes at any time of the wait.
func TestNextOwnerWaitsForUnansweredStart(t *testing.T) {
	for at := 500 * time.Millisecond; at <= 9*time.Second; at += 500 * time.Millisecond {
		for name, next := range map[string]func(*world){"takeover": func(w *world) { w.takeOver() }, "release": func(w *world) { w.release(50 * time.Millisecond) }} {
			t.Run(name+fmt.Sprint(at), func(t *testing.T) {
				is := is.New(t)
				w, f := newWorldWithUnansweredStart(400 * time.Millisecond)
				f.partitioned = true
				w.restartWorker(f, 0)
				w.run(at)
				is.Equal(len(f.runs), 1)
				next(w)
				w.run(3 * testMaxLease)
				w.check(t)
			})
		}
	}
}

// TestLateStartAfterRelease covers a start that the next incarnation carries out after its owner has released the
// service.
func TestLateStartAfterRelease(t *testing.T) {
	for late := 500 * time.Millisecond; late <= 6*time.Second; late += 500 * time.Millisecond {
		t.Run(fmt.Sprint(late), func(t *testing.T) {
			is := is.New(t)
			w, f := newWorldWithUnansweredStart(late)
			w.restartWorker(f, 0)
			f.partitioned = true
			w.release(50 * time.Millisecond)
			w.run(late)
			is.Equal(len(f.runs), 1)
			w.run(3 * testMaxLease)
			w.check(t)
		})
	}
}

// TestUnlistedWorkerMayRunLateStart covers a worker whose registration shows a restart and then disappears, while a
// start without an answer may run there.
func TestUnlistedWorkerMayRunLateStart(t *testing.T) {
	for gone := 500 * time.Millisecond; gone <= 5*time.Second; gone += 500 * time.Millisecond {
		t.Run(fmt.Sprint(gone), func(t *testing.T) {
			is := is.New(t)
			w, f := newWorldWithUnansweredStart(400 * time.Millisecond)
			f.partitioned = true
			w.restartWorker(f, 0)
			w.run(gone)
			is.Equal(len(f.runs), 1)
			w.changeRegistration(f, false)
			w.run(3 * testMaxLease)
			w.check(t)
		})
	}
}

// TestAnsweredStartRunsAtNextIncarnation covers a start that the next incarnation answers before any poll reaches it.
// Only its registration, or the clock in that answer, tells of the restart.
func TestAnsweredStartRunsAtNextIncarnation(t *testing.T) {
	for _, listed := range []bool{true, false} {
		for up := tick; up <= 40*tick; up += 3 * tick {
			t.Run(fmt.Sprint(listed, up), func(t *testing.T) {
				is := is.New(t)
				w := newWorld(2)
				w.run(clockLead)
				f := w.workers["w0"]
				w.pollDelay = time.Hour // The poll in flight is lost with the former incarnation.
				w.run(2 * tick)
				w.listStale = true
				w.restartWorker(f, 0)
				w.submit("a", longRun(f))
				w.run(up)
				is.Equal(len(f.runs), 1)
				f.partitioned = true
				w.pollDelay = 0
				if listed {
					w.listStale = false
					w.list()
				}
				w.run(3 * testMaxLease)
				w.check(t)
			})
		}
	}
}

// TestAnsweredStartRunsAtNextIncarnationOfNextOwner is the same with an owner that dies afterwards.
func TestAnsweredStartRunsAtNextIncarnationOfNextOwner(t *testing.T) {
	is := is.New(t)
	w := newWorld(2)
	w.run(clockLead)
	f := w.workers["w0"]
	w.pollDelay = time.Hour
	w.run(2 * tick)
	w.listStale = true
	w.restartWorker(f, 0)
	w.submit("a", longRun(f))
	w.run(10 * tick)
	is.Equal(len(f.runs), 1)
	f.partitioned = true
	w.pollDelay = 0
	w.listStale = false
	w.list()
	w.run(6 * time.Second)
	w.takeOver()
	w.run(3 * testMaxLease)
	w.check(t)
}

// TestLateStartAfterTakeover covers a start of an owner that died, which the next incarnation of a worker carries
// out seconds after the next owner has claimed the service.
func TestLateStartAfterTakeover(t *testing.T) {
	for late := 500 * time.Millisecond; late <= 6*time.Second; late += 500 * time.Millisecond {
		t.Run(fmt.Sprint(late), func(t *testing.T) {
			is := is.New(t)
			w, f := newWorldWithUnansweredStart(late)
			w.restartWorker(f, 0)
			f.partitioned = true
			w.takeOver()
			w.run(late)
			is.Equal(len(f.runs), 1)
			w.run(3 * testMaxLease)
			w.check(t)
		})
	}
}

// TestRemovedWorkerReturnsToNextOwner covers a worker that one owner has removed and that is back under its ID at the
// next owner, when a poll of the former owner is carried out.
func TestRemovedWorkerReturnsToNextOwner(t *testing.T) {
	used := 0
	for late := 2 * tick; late <= 30*tick; late += tick {
		t.Run(fmt.Sprint(late), func(t *testing.T) {
			w := newWorld(2)
			w.run(clockLead)
			f := w.workers["w0"]
			w.pollDelay = late
			w.run(2 * tick)
			w.pollDelay = 0
			w.core.RemoveTaken([]string{f.reg.Incarnation().String()}, w.now)
			w.changeRegistration(f, false)
			w.run(5 * tick)
			w.takeOver()
			w.run(2 * tick)
			w.restartWorker(f, 0)
			w.run(300 * time.Millisecond)
			w.submit("a", longRun(f))
			w.run(300 * time.Millisecond)
			used += len(f.runs)
			f.partitioned = true
			w.run(2 * testMaxLease)
			w.check(t)
		})
	}
	is.New(t).True(used > 0)
}
