package shard_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestDrainStopsOneTaskOfAStepAtATime covers two workers that drain at once. All long-running tasks
// on both were stopped at that moment, as if no other task of their step ran on the other worker,
// although there are seconds to move one after the other.
func TestDrainStopsOneTaskOfAStepAtATime(t *testing.T) {
	is := is.New(t)
	w, one, other := newThreeTaskStep(is)
	w.addWorker("w9", "r1-1")
	w.drain(5*time.Second, one, other)
	for range 400 {
		w.run(tick)
		is.True(w.availableRuns("a") >= 2)
	}
	is.Equal(len(one.runs)+len(other.runs), 0)
	is.Equal(w.availableRuns("a"), 3)
	w.check(t)
}

// TestTaskIsStoppedBeforeItsDrainingWorkerEnds covers a step that may not miss the task during the
// whole drain. The task ends with its worker in any case, and starts elsewhere sooner if it is
// stopped before.
func TestTaskIsStoppedBeforeItsDrainingWorkerEnds(t *testing.T) {
	is := is.New(t)
	w, one, other := newThreeTaskStep(is)
	other.partitioned = true // Its task may still run, but the owner can't tell.
	w.run(time.Second)
	w.drain(3*time.Second, one)
	w.run(1800 * time.Millisecond)
	is.Equal(len(one.runs), 1)
	w.run(1100 * time.Millisecond)
	is.Equal(len(one.runs), 0)
}

// drain lets workers announce that they drain and end after the remaining time.
func (w *world) drain(remaining time.Duration, list ...*fakeWorker) {
	for _, f := range list {
		f.reg.Draining = true
		f.reg.Remaining = remaining
	}
	w.list()
}
