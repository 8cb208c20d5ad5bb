package shard_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"lemonstream.dev/lemonstream/job"
)

// waitBound is how long an isolated task may wait until it runs when no worker becomes empty and
// none is added: the limit of the wait for a dedicated worker, and the time that a start takes.
const waitBound = 10 * time.Second

// crashTwice crashes the worker of a job's only task twice, for a cause other than the task.
func crashTwice(w *world, id string) {
	for range 2 {
		for len(reachableWorkersOf(w, id)) == 0 {
			w.run(tick)
		}
		w.run(300 * time.Millisecond)
		w.crashWorker(reachableWorkersOf(w, id)[0])
		w.run(time.Second)
	}
}

// TestIsolatedTaskWaitIsBounded covers a task that was on two workers when they crashed for another
// cause. From then on the task started on an empty worker only, and there was none: each worker
// ran a long-running task. Nothing moved these tasks, and no instance was requested, since the
// pool saw free capacity. The task waited from its second crash until the end of the simulation
// run, more than 30 s later.
func TestIsolatedTaskWaitIsBounded(t *testing.T) {
	for name, perWorker := range map[string]int{
		"lasting tasks can be moved":    0,
		"lasting tasks can't be moved":  1,
		"one worker for all of a group": 2,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(3)
			w.restartDelay = 500 * time.Millisecond
			w.run(200 * time.Millisecond)
			filler := lasting(3, 1)
			filler.PerWorker = 1
			w.submit("lasting", filler)
			w.run(3 * time.Second) // From here on, crashes no longer count against these tasks.
			if perWorker != 1 {
				spread := lasting(3, 1)
				spread.PerWorker = perWorker
				w.submit("more", spread)
				w.run(3 * time.Second)
			}
			long := step(1)
			long.Estimate = 3 * time.Second
			w.submit("a", long)
			crashTwice(w, "a")
			waited := time.Duration(0)
			for ; len(reachableWorkersOf(w, "a")) == 0 && waited < 30*time.Second; waited += tick {
				w.run(tick)
			}
			t.Logf("waited=%v", waited)
			is.True(waited < waitBound)
			w.run(5 * time.Second)
			is.Equal(w.shown["a"], job.Completed)
			w.check(t)
		})
	}
}

// TestIsolatedTaskAddsAWholeWorkerToTheLoad checks that an isolated task that waits adds the
// capacity of a whole worker to the reported load, so that the pool adds an instance.
func TestIsolatedTaskAddsAWholeWorkerToTheLoad(t *testing.T) {
	is := is.New(t)
	w := newWorld(3)
	w.restartDelay = 500 * time.Millisecond
	w.run(200 * time.Millisecond)
	filler := lasting(3, 1)
	filler.PerWorker = 1
	w.submit("lasting", filler)
	w.run(3 * time.Second)
	long := step(1)
	long.Estimate = 3 * time.Second
	w.submit("a", long)
	crashTwice(w, "a")
	w.run(500 * time.Millisecond)
	is.Equal(len(reachableWorkersOf(w, "a")), 0)
	is.Equal(w.core.Load(w.now).Waiting.MilliCPU, 4000+long.Charge().MilliCPU)
}

// TestDedicatedWorkerIsNoEvictionTarget covers a closed worker with a long-running task beside the
// dedicated worker of an isolated task. The dedicated worker has free capacity but accepts no task.
// It was counted as a place for the long-running task, which was stopped and then ran nowhere.
func TestDedicatedWorkerIsNoEvictionTarget(t *testing.T) {
	is := is.New(t)
	w := newWorld(2)
	w.restartDelay = 500 * time.Millisecond
	w.run(200 * time.Millisecond)
	long := step(1)
	long.Estimate = 20 * time.Second
	w.submit("a", long)
	crashTwice(w, "a")
	w.run(4 * time.Second)
	is.Equal(len(reachableWorkersOf(w, "a")), 1)
	w.submit("lasting", lasting(1, 1))
	w.run(2 * time.Second)
	is.Equal(len(reachableWorkersOf(w, "lasting")), 1)
	holder := reachableWorkersOf(w, "lasting")[0]
	for range 30 {
		w.core.SetClosed([]string{holder.reg.ID}, w.now)
		w.run(100 * time.Millisecond)
	}
	is.Equal(len(reachableWorkersOf(w, "lasting")), 1)
	is.Equal(totalStarts(w), 4) // Three starts of the isolated task, and one of the long-running task.
	w.check(t)
}

// TestWaitReasonsAreReported checks that the log says why a task has no worker, and that a counter
// counts the seconds of the wait by reason.
func TestWaitReasonsAreReported(t *testing.T) {
	is := is.New(t)
	w := newWorld(3)
	var reported []any
	w.logEvent = func(event string, fields ...any) {
		if event == "task waits" {
			reported = fields
		}
	}
	w.run(200 * time.Millisecond)
	labelled := step(1)
	labelled.Label = "r1-1"
	blocker := labelled
	blocker.Need.MilliCPU = 4000
	blocker.Estimate = 20 * time.Second
	w.submit("blocker", blocker)
	w.run(500 * time.Millisecond)
	w.submit("a", labelled)
	w.run(4 * time.Second)
	is.True(len(reported) > 0)
	is.Equal(reported[len(reported)-6:], []any{"workers", 3, "label", 2, "room", 1})
	// Reported after 2, 3 and 4 s.
	is.Equal(w.waitReasons, map[string]int{
		"label": 3,
		"room":  3,
	})
}
