package shard_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Two workers drained at once, and all that lasts on them was stopped at that moment, as if
// nothing else of its step were on the other one. There are seconds to move one after the other:
//
//	21.278 stop ordered task=21 worker=i-9f9f6a8685 reason="worker drains" away=3 may_miss=3
//	21.278 stop ordered task=11 worker=i-3bf15cd071 reason="worker drains" away=3 may_miss=3
//	21.278 stop ordered task=2 worker=i-9f9f6a8685 reason="worker drains" away=3 may_miss=3
func TestDrainingWorkersAreEmptiedOneTaskOfAStepAtATime(t *testing.T) {
	is := is.New(t)
	w, one, other := stepOnThree(is)
	w.addWorker("w9", "r1-1")
	w.drain(5*time.Second, one, other)
	for range 400 {
		w.run(tick)
		is.True(w.atWorkOf("a") >= 2)
	}
	is.Equal(len(one.runs)+len(other.runs), 0)
	is.Equal(w.atWorkOf("a"), 3)
	w.check(t)
}

// TestTaskIsStoppedBeforeItsDrainingWorkerEnds covers a step that can't spare the task all the
// while: it ends with its worker in any case, and starts elsewhere sooner if it is stopped.
func TestTaskIsStoppedBeforeItsDrainingWorkerEnds(t *testing.T) {
	is := is.New(t)
	w, one, other := stepOnThree(is)
	other.cut = true // It may run its task, and nobody knows.
	w.run(time.Second)
	w.drain(3*time.Second, one)
	w.run(1800 * time.Millisecond)
	is.Equal(len(one.runs), 1)
	w.run(1100 * time.Millisecond)
	is.Equal(len(one.runs), 0)
}

// drain lets workers announce that they end after a while.
func (w *world) drain(remaining time.Duration, list ...*fakeWorker) {
	for _, f := range list {
		f.reg.Draining = true
		f.reg.Remaining = remaining
	}
	w.list()
}
