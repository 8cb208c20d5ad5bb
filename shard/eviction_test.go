package shard_test

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestUnansweredStopIsNotRetriedWhileOthersAreUnavailable covers a long-running task that is to be
// evicted. The stop gets no answer, and before it is retried another task of the step loses its
// worker, so that no task may be evicted. The stop was retried all the same, while two other tasks
// of the step were unavailable.
func TestUnansweredStopIsNotRetriedWhileOthersAreUnavailable(t *testing.T) {
	is := is.New(t)
	w, emptied, keepClosed := newUnansweredStop(is, time.Minute)
	keepClosed(3 * time.Second)
	w.check(t)
	keepClosed(12 * time.Second)
	w.check(t)
	is.Equal(len(emptied.runs), 0) // Once the others were available, the task was stopped.
}

// TestUnansweredStopMayTakeEffectLate covers the stop of a long-running task that got no answer and
// was not retried, because other tasks of its step were unavailable by then. The owner treated the
// task as running, but the worker carried the stop out seconds later. In between the owner stopped
// another task of the step, so that two were unavailable where the step may miss one.
func TestUnansweredStopMayTakeEffectLate(t *testing.T) {
	const late = 4 * time.Second
	for wait := late - time.Second; wait < late+time.Second; wait += tick {
		w, emptied, _ := newUnansweredStop(is.New(t), late)
		w.core.SetClosed(nil, w.now) // The worker no longer has to be emptied.
		w.run(wait)
		for _, f := range w.workers {
			if f != emptied && len(f.runs) > 0 {
				w.closeFor(f, time.Second)
				break
			}
		}
		w.run(2 * time.Second)
		w.check(t)
	}
}

// TestIneffectiveStopIsNotRetriedWhileOthersAreUnavailable covers a worker that answers the stop of
// a long-running task and keeps running it. After the stop timeout the owner ordered another stop
// without checking how many other tasks of the step were unavailable.
func TestIneffectiveStopIsNotRetriedWhileOthersAreUnavailable(t *testing.T) {
	is := is.New(t)
	w, emptied, other := newThreeTaskStep(is)
	emptied.ignoreStops = 1
	w.closeFor(emptied, 100*time.Millisecond)
	is.Equal(emptied.ignoreStops, 0)
	w.restartWorker(other, 3*time.Second)
	w.closeFor(emptied, 3*time.Second)
	w.check(t)
	w.closeFor(emptied, 12*time.Second)
	w.check(t)
	is.Equal(len(emptied.runs), 0) // Once the others were available, the task was stopped.
}

// TestExpiredStopIsAbandoned covers an unanswered stop that never takes effect. The step may not
// miss the task for longer than an order can be delayed, so the stop is abandoned and the task
// keeps running.
func TestExpiredStopIsAbandoned(t *testing.T) {
	is := is.New(t)
	w, emptied, _ := newUnansweredStop(is, time.Hour)
	w.core.SetClosed(nil, w.now)
	for _, f := range w.workers {
		f.partitioned = f != emptied && len(f.runs) == 0 // The lost task can start nowhere.
	}
	w.run(20 * time.Second)
	for _, f := range w.workers {
		f.partitioned = false
	}
	w.run(5 * time.Second)
	w.check(t)
	is.Equal(w.availableRuns("a"), 3)
	is.Equal(emptied.began, 1)
	is.Equal(len(emptied.runs), 1)
}

// TestUnansweredStopOfACancelledJobIsRetried cancels the job of a task whose stop got no answer.
// The stop is retried even though the step may not miss the task.
func TestUnansweredStopOfACancelledJobIsRetried(t *testing.T) {
	is := is.New(t)
	w, emptied, keepClosed := newUnansweredStop(is, time.Minute)
	is.True(w.cancel("a"))
	keepClosed(3 * time.Second)
	w.check(t)
	is.Equal(len(emptied.runs), 0)
}

// newUnansweredStop returns a world in which the stop of a long-running task on a closed worker has
// just got no answer, and another task of its step has lost its worker. It also returns the closed
// worker and a function that keeps it closed. The stop takes effect after the given delay.
func newUnansweredStop(is *is.I, late time.Duration) (*world, *fakeWorker, func(time.Duration)) {
	w, emptied, other := newThreeTaskStep(is)
	closeFor := func(d time.Duration) { w.closeFor(emptied, d) }
	w.unansweredStopEvery = 1
	w.stopDelay = late
	closeFor(100 * time.Millisecond)
	is.Equal(len(emptied.runs), 1)
	w.stopDelay = 0
	w.restartWorker(other, time.Second)
	return w, emptied, closeFor
}

// newThreeTaskStep returns a world of four workers, three of which run one long-running task each
// of a step that may miss one task. It also returns two of those three workers.
func newThreeTaskStep(is *is.I) (w *world, one, other *fakeWorker) {
	w = newWorld(4)
	w.checkRetriedStops = true
	w.run(200 * time.Millisecond)
	s := lasting(3, 1)
	s.PerWorker = 1
	w.submit("a", s)
	w.run(5 * time.Second)
	is.Equal(w.availableRuns("a"), 3)
	holders := w.holders()
	slices.Sort(holders)
	return w, w.workers[holders[0]], w.workers[holders[1]]
}

// closeFor keeps a worker closed for a while, so that its long-running tasks are evicted.
func (w *world) closeFor(f *fakeWorker, d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.core.SetClosed([]string{f.reg.ID}, w.now)
		w.run(100 * time.Millisecond)
	}
}
