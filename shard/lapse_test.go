package shard_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestWorkerIsPolledOnceMoreAfterItsLease covers a worker that stops answering, completes its task
// in the meantime, and answers again just before its lease lapses, at different points of a poll
// that is open then. The task is not started again.
func TestWorkerIsPolledOnceMoreAfterItsLease(t *testing.T) {
	for early := 100 * time.Millisecond; early <= 700*time.Millisecond; early += 2 * tick {
		t.Run(fmt.Sprint(early), func(t *testing.T) {
			is := is.New(t)
			w := newWorld(2)
			w.run(200 * time.Millisecond)
			w.submit("a", step(1))
			w.run(300 * time.Millisecond)
			f := reachableWorkersOf(w, "a")[0]
			f.partitioned = true
			w.run(testLease - early)
			f.partitioned = false
			w.run(3 * time.Second)
			is.Equal(totalStarts(w), 1)
			w.check(t)
		})
	}
}

// TestSlowOwnerDoesNotLoseWorkers covers an owner that notices two seconds late that its polls got
// no answer. The cause may be its own lack of processor time, so it treats no worker as lost.
func TestSlowOwnerDoesNotLoseWorkers(t *testing.T) {
	is := is.New(t)
	w := newWorld(2)
	w.run(200 * time.Millisecond)
	w.submit("a", lasting(1, 1))
	w.run(time.Second)
	w.pollTimeout = 2 * time.Second
	reachableWorkersOf(w, "a")[0].partitioned = true
	w.run(2 * testLease)
	is.Equal(totalStarts(w), 1)
	w.pollTimeout = 600 * time.Millisecond
	w.run(4 * time.Second)
	is.Equal(totalStarts(w), 2)
	w.check(t)
}

// totalStarts counts the runs that all workers have started.
func totalStarts(w *world) int {
	sum := 0
	for _, f := range w.workers {
		sum += f.began
	}
	return sum
}

// TestLateOwnerDoesNotLoseWorkers covers an owner whose starts are answered at once but that
// handles the answers late. It treats no worker as lost until it handles answers in time again.
func TestLateOwnerDoesNotLoseWorkers(t *testing.T) {
	is := is.New(t)
	w := newWorld(3)
	w.run(200 * time.Millisecond)
	w.submit("a", lasting(1, 1))
	w.run(time.Second)
	silent := reachableWorkersOf(w, "a")[0]
	silent.partitioned = true
	w.startAnswerDelay = 400 * time.Millisecond
	for i := range 20 {
		w.submit(fmt.Sprintf("b%d", i), step(1))
		w.run(testLease / 8)
	}
	is.Equal(silent.began, 1)
	is.Equal(len(reachableWorkersOf(w, "a")), 0)
	w.startAnswerDelay = tick
	w.run(5 * time.Second)
	is.Equal(len(reachableWorkersOf(w, "a")), 1)
	w.check(t)
}
