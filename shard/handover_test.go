package shard_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"lemonstream.dev/lemonstream/job"
	"lemonstream.dev/lemonstream/shard"
)

// ownerChanges is a number of successive owners, of one second each, that outlasts a lease.
const ownerChanges = 8

// reachableWorkersOf returns the reachable workers that run a task of a job.
func reachableWorkersOf(w *world, id string) []*fakeWorker {
	var list []*fakeWorker
	for _, f := range w.workers {
		for task := range f.runs {
			if task.Job == id && !f.partitioned && !f.down {
				list = append(list, f)
			}
		}
	}
	return list
}

// TestReleaseHandsOverIdleWorkers ends an idle worker just before a release. The next owner starts
// a task at once, since it knows that nothing runs on that worker.
func TestReleaseHandsOverIdleWorkers(t *testing.T) {
	is := is.New(t)
	w := newWorld(2)
	w.run(200 * time.Millisecond)
	w.workers["w0"].down = true
	w.store(w.record("a", lasting(1, 1)))
	w.release(0)
	w.run(200 * time.Millisecond)
	is.Equal(len(reachableWorkersOf(w, "a")), 1)
	w.check(t)
}

// TestHandoverOutlastsOwnerThatNeverWrote covers an owner that takes over and ends before its first
// transaction.
func TestHandoverOutlastsOwnerThatNeverWrote(t *testing.T) {
	is := is.New(t)
	w := newWorld(2)
	w.run(200 * time.Millisecond)
	w.workers["w0"].down = true
	w.store(w.record("a", lasting(1, 1)))
	w.frozen = true
	w.handover = w.writeAndHandOver()
	w.takeOver()
	w.run(time.Second)
	is.Equal(len(reachableWorkersOf(w, "a")), 0) // The next owner would not know of the start.
	w.frozen = false
	w.takeOver()
	w.run(200 * time.Millisecond)
	is.Equal(len(reachableWorkersOf(w, "a")), 1)
	w.check(t)
}

// TestInheritedWaitIsNotRestarted replaces owners faster than a lease lapses, with and without
// releases. The task on the silent worker starts elsewhere once its lease has lapsed. After a
// release, all other tasks start at once.
func TestInheritedWaitIsNotRestarted(t *testing.T) {
	next := map[string]func(w *world){
		"released": func(w *world) { w.release(5 * tick) },
		"died":     func(w *world) { w.takeOver() },
	}
	for name, succeed := range next {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(3)
			w.run(200 * time.Millisecond)
			w.submit("a", lasting(1, 1))
			w.run(time.Second)
			reachableWorkersOf(w, "a")[0].partitioned = true
			partitioned := w.now
			for i := range ownerChanges {
				waiting := fmt.Sprintf("b%d", i)
				w.store(w.record(waiting, lasting(1, 1)))
				succeed(w)
				w.run(time.Second)
				is.True(name == "died" || len(reachableWorkersOf(w, waiting)) == 1)
				if w.now.Sub(partitioned) > testLease+2*time.Second {
					break
				}
			}
			is.Equal(len(reachableWorkersOf(w, "a")), 1)
			w.check(t)
		})
	}
}

// TestUnansweredStartIsHandedOver covers a start that gets no answer and is carried out three
// seconds later by a worker that the next owner can't reach.
func TestUnansweredStartIsHandedOver(t *testing.T) {
	is := is.New(t)
	w := newWorld(2)
	w.run(200 * time.Millisecond)
	w.startDelay = 3 * time.Second
	w.submit("a", lasting(1, 1))
	w.run(2 * tick)
	w.startDelay = 0
	for _, f := range w.workers {
		f.partitioned = true
	}
	w.addWorker("w2", "r0-1")
	w.release(0)
	w.run(3*time.Second - 3*tick)
	for _, f := range w.workers {
		f.partitioned = false
	}
	w.run(2 * time.Second)
	is.Equal(len(reachableWorkersOf(w, "a")), 1)
	w.check(t) // The task must not have started on the third worker before that.
}

// TestWorkerInHandoverIsNotRenewedBeforeATransaction covers an owner that reaches a worker again,
// while its last stored handover still says for how long tasks may run there. The owner may not
// renew that worker before a transaction has stored a newer handover.
func TestWorkerInHandoverIsNotRenewedBeforeATransaction(t *testing.T) {
	is := is.New(t)
	w := newWorld(2)
	w.run(200 * time.Millisecond)
	w.submit("a", lasting(1, 1))
	w.run(time.Second)
	f := reachableWorkersOf(w, "a")[0]
	f.partitioned = true
	w.takeOver()
	w.run(time.Second) // The owner knows that the worker is silent and names it in the handover.
	oldHandover := w.handover
	is.Equal(len(oldHandover.Leased), 1)
	w.frozen = true
	f.partitioned = false
	w.run(3 * time.Second)
	f.partitioned = true
	w.frozen = false
	w.takeOverWith(oldHandover)
	w.run(testLease)
	is.Equal(len(reachableWorkersOf(w, "a")), 1)
	w.check(t)
}

// TestWorkerInHandoverIsRenewedAfterATransaction covers the same case with a store that accepts the
// transaction.
func TestWorkerInHandoverIsRenewedAfterATransaction(t *testing.T) {
	is := is.New(t)
	w := newWorld(2)
	w.run(200 * time.Millisecond)
	w.submit("a", lasting(1, 1))
	w.run(time.Second)
	f := reachableWorkersOf(w, "a")[0]
	f.partitioned = true
	w.takeOver()
	w.run(time.Second)
	f.partitioned = false
	w.run(2 * testLease)
	is.Equal(reachableWorkersOf(w, "a"), []*fakeWorker{f})
	is.Equal(f.number, int64(0)) // No run has ended on the worker.
	w.check(t)
}

// TestHandoverFitsItsRow truncates the handover to the size of its row. The next owner waits for
// the workers that are left out.
func TestHandoverFitsItsRow(t *testing.T) {
	is := is.New(t)
	w := newWorld(2)
	w.run(200 * time.Millisecond)
	w.submit("a", lasting(4, 1))
	w.run(time.Second)
	busy := w.holders()
	is.Equal(len(busy), 1) // Tasks are placed on the fullest workers first.
	idle := otherOf(w, busy[0])
	all := w.core.BuildHandover(w.now, true, testHandoverBytes)
	is.Equal(all.Idle, []string{idle})
	is.Equal(len(all.Leased), 1)
	is.Equal(len(all.Leased[0].Tasks), 4)
	is.Equal(w.core.BuildHandover(w.now, true, 50), shard.Handover{
		Idle: []string{idle},
	})
	is.Equal(w.core.BuildHandover(w.now, true, 0), shard.Handover{})
}

// TestBatchIsCompleteOnceItHoldsEveryEnd covers the condition for a release: the batch is complete
// only if it holds every remaining end.
func TestBatchIsCompleteOnceItHoldsEveryEnd(t *testing.T) {
	is := is.New(t)
	w := newWorld(4)
	w.run(200 * time.Millisecond)
	w.storeDown = true
	w.standbyDown = true
	for i := range 6 {
		record := w.record(fmt.Sprintf("j%d", i), step(1))
		w.store(record)
		w.core.Accept(record, w.version, true, w.now)
	}
	w.run(1500 * time.Millisecond)
	w.applyBatch() // Applies the batch that is already being written.
	var whole []bool
	for {
		b, found := w.core.NextBatch(3, w.now) // The limit leaves room for one progress row.
		if !found {
			break
		}
		whole = append(whole, b.IsComplete())
		w.batch = &b
		w.applyBatch()
	}
	is.True(len(whole) > 1)
	for i, last := range whole {
		is.Equal(last, i == len(whole)-1)
	}
	for i := range 6 {
		is.Equal(w.shown[fmt.Sprintf("j%d", i)], job.Completed)
	}
}

// TestInheritedLeaseOutlastsAnOwnerThatWritesFirst covers an inherited lease that is longer than the wait
// for the owner before, and an heir that writes its first handover before a look at the worker has failed,
// and ends.
func TestInheritedLeaseOutlastsAnOwnerThatWritesFirst(t *testing.T) {
	for _, works := range []time.Duration{0, tick, 3 * tick, 100 * time.Millisecond, 300 * time.Millisecond, time.Second} {
		t.Run(works.String(), func(t *testing.T) {
			is := is.New(t)
			w := newWorld(3)
			w.run(200 * time.Millisecond)
			w.submit("a", lasting(1, 1))
			w.run(time.Second)
			f := reachableWorkersOf(w, "a")[0]
			f.renewLease(w, w.epoch, w.now.Sub(w.start)+testMaxLease-500*time.Millisecond)
			f.partitioned = true
			h := w.writeAndHandOver()
			h.Leased = []shard.Leased{{
				Worker:    f.reg.ID,
				Remaining: testMaxLease,
				Tasks: []job.TaskID{{
					Job: "a",
				}},
			}}
			w.takeOverWith(h)
			w.run(works)
			w.takeOver()
			w.run(12 * time.Second)
			w.check(t)
			is.Equal(len(reachableWorkersOf(w, "a")), 1)
		})
	}
}
