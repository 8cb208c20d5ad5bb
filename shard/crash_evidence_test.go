package shard_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"lemonstream.dev/lemonstream/job"
)

// besideCulprit runs a task on the only worker of a pool beside a culprit, until both have lost the
// worker twice. From then on each runs alone; the one whose job has the lower ID starts first.
func besideCulprit(t *testing.T, bystander, culprit string, estimate time.Duration) *world {
	t.Helper()
	w := newWorld(1)
	w.allowExtraStarts = true
	w.restartDelay = time.Second
	w.run(200 * time.Millisecond)
	slow := step(1)
	slow.Estimate = estimate
	w.culprits[taskOf(culprit)] = 100 * time.Millisecond
	w.submit(bystander, slow)
	w.submit(culprit, slow)
	w.runUntilCrashes(t, bystander, 2)
	return w
}

// taskOf returns the first task of a job.
func taskOf(id string) job.TaskID {
	return job.TaskID{
		Job: id,
	}
}

// runUntilCrashes runs until so many workers have crashed under the first task of a job.
func (w *world) runUntilCrashes(t *testing.T, id string, count int) {
	t.Helper()
	w.runUntil(t, func() bool { return w.crashesDuring[taskOf(id)] == count })
}

// runUntil runs until a condition holds.
func (w *world) runUntil(t *testing.T, holds func() bool) {
	t.Helper()
	for range 3000 {
		if holds() {
			return
		}
		w.run(tick)
	}
	t.Fatal("the condition does not hold after 30 s")
}

// crashAlone waits until a job's task runs and crashes its worker for a cause other than the task.
func (w *world) crashAlone(t *testing.T, id string) {
	t.Helper()
	w.runUntil(t, func() bool { return len(reachableWorkersOf(w, id)) > 0 })
	w.run(300 * time.Millisecond)
	f := reachableWorkersOf(w, id)[0]
	if len(f.runs) != 1 {
		t.Fatalf("%d tasks run on the worker of %s", len(f.runs), id)
	}
	w.crashWorker(f)
}

// checkOutcome checks that the bystander completes, and that the culprit is given up after at most
// the workers that one may take.
func (w *world) checkOutcome(t *testing.T, bystander, culprit string) {
	t.Helper()
	is := is.New(t)
	w.run(60 * time.Second)
	w.check(t)
	is.Equal(w.shown[bystander], job.Completed)
	is.Equal(w.shown[culprit], job.Failed)
	is.True(w.crashes[taskOf(culprit)] <= maxCrashesPerTask+maxExtraStarts)
}

// TestExplainedCrashesDoNotGiveUp covers a task that lost two workers beside a culprit and, after the
// culprit was given up, one alone for another cause. All three crashes counted in full.
func TestExplainedCrashesDoNotGiveUp(t *testing.T) {
	for name, takesOver := range map[string]bool{
		"same owner":                false,
		"successor reads the crash": true,
	} {
		t.Run(name, func(t *testing.T) {
			w := besideCulprit(t, "a", "culprit", 30*time.Second)
			w.addWorker("w", "r1-1")
			w.list()
			w.runUntil(t, func() bool { return w.shown["culprit"] == job.Failed })
			if takesOver {
				w.takeOver()
			}
			w.crashAlone(t, "a")
			w.checkOutcome(t, "a", "culprit")
		})
	}
}

// TestSharedCrashesDoNotGiveUp covers a task that lost two workers beside a culprit and one alone for
// another cause, before it is known which of the two tasks crashed the first two.
func TestSharedCrashesDoNotGiveUp(t *testing.T) {
	for name, takesOver := range map[string]bool{
		"same owner":                false,
		"successor reads the crash": true,
	} {
		t.Run(name, func(t *testing.T) {
			w := besideCulprit(t, "a", "culprit", 2*time.Second)
			if takesOver {
				w.run(100 * time.Millisecond)
				w.takeOver()
			}
			w.crashAlone(t, "a")
			w.checkOutcome(t, "a", "culprit")
		})
	}
}

// TestCulpritBesideUnresolvedTaskIsGivenUp covers a culprit whose first crash no owner has seen, and whose
// next two are shared with a task that ends without a verdict. It took six workers: the two counted
// only towards the limit for losses of every kind.
func TestCulpritBesideUnresolvedTaskIsGivenUp(t *testing.T) {
	is := is.New(t)
	w := newWorld(1)
	w.allowExtraStarts = true
	w.restartDelay = time.Second
	w.run(200 * time.Millisecond)
	slow := step(1)
	slow.Estimate = 2 * time.Second
	w.culprits[taskOf("culprit")] = 100 * time.Millisecond
	w.submit("culprit", slow)
	w.runUntilCrashes(t, "culprit", 1)
	w.takeOver()
	w.submit("a", slow)
	w.runUntil(t, func() bool { return len(w.progress["a"].Crashed["0.0.0"]) == 2 })
	w.core.Cancel("a", w.now, func() {})
	w.run(60 * time.Second)
	w.check(t)
	is.Equal(w.shown["culprit"], job.Failed)
	is.True(w.crashes[taskOf("culprit")] <= maxCrashesPerTask+maxExtraStarts)
}

// TestSharedCrashCountsOnceTheOthersHaveSucceeded covers a culprit whose first two crashes hit another
// task as well. Once that one has succeeded, all crashes are the culprit's, which is given up after
// the third.
func TestSharedCrashCountsOnceTheOthersHaveSucceeded(t *testing.T) {
	is := is.New(t)
	w := besideCulprit(t, "a", "culprit", 2*time.Second)
	w.runUntil(t, func() bool { return w.shown["a"] == job.Completed })
	w.checkOutcome(t, "a", "culprit")
	is.Equal(w.crashes[taskOf("culprit")], maxCrashesPerTask)
}

// TestSuspectIsNotBlamedForUnrecordedNeighbours covers a task that loses a worker alone for another
// cause, then one beside a culprit under which none has crashed yet, and then one alone again. The
// owner dies soon after the second crash. The task's possible crash there was stored at its start,
// and nothing of the culprit, so that the next owner blamed the task alone.
func TestSuspectIsNotBlamedForUnrecordedNeighbours(t *testing.T) {
	for after := range 30 {
		t.Run(fmt.Sprintf("owner dies after %v", time.Duration(after)*tick), func(t *testing.T) {
			w := newWorld(1)
			w.allowExtraStarts = true
			w.restartDelay = time.Second
			w.run(200 * time.Millisecond)
			slow := step(1)
			slow.Estimate = 2 * time.Second
			w.submit("a", slow)
			w.crashAlone(t, "a")
			w.runUntil(t, func() bool { return len(reachableWorkersOf(w, "a")) > 0 })
			w.run(60 * time.Millisecond)
			w.culprits[taskOf("culprit")] = 300 * time.Millisecond
			w.submit("b", slow)
			w.submit("c", slow)
			w.submit("culprit", slow)
			w.runUntilCrashes(t, "a", 2)
			// The rows of the tasks don't fit in one batch.
			for i := range testBatchEntries {
				w.submitToOwner(fmt.Sprint("aa", i), slow)
			}
			w.run(time.Duration(after) * tick)
			w.takeOver()
			w.crashAlone(t, "a")
			w.checkOutcome(t, "a", "culprit")
		})
	}
}

// TestCrashesBesideCancelledTaskDoNotGiveUp covers a task that lost two workers beside a culprit and one
// alone for another cause, after the culprit's job was cancelled: that it is no longer suspected proves
// nothing against the task beside it.
func TestCrashesBesideCancelledTaskDoNotGiveUp(t *testing.T) {
	for name, takesOver := range map[string]bool{
		"same owner":                    false,
		"successor knows no second job": true,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := besideCulprit(t, "a", "culprit", 2*time.Second)
			w.core.Cancel("culprit", w.now, func() {})
			w.run(100 * time.Millisecond)
			if takesOver {
				w.takeOver()
			}
			w.crashAlone(t, "a")
			w.run(60 * time.Second)
			w.check(t)
			is.Equal(w.shown["a"], job.Completed)
		})
	}
}
