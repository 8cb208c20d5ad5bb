package shard_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"lemonstream.dev/lemonstream/internal/prove"
	"lemonstream.dev/lemonstream/job"
)

// TestTaskThatCrashesItsWorkersIsGivenUp covers tasks that crash every worker that starts them. A
// run that was lost with its worker was not counted, so such a task was started again for as long
// as its job existed: two of them crashed twelve workers of a pool of a dozen in eleven seconds,
// with 176 runs. All starts of one task came from the same owner, and its worker ended some 11 ms
// after each of them. Bystanders were started beside such a task again: one bystander lost four
// workers.
func TestTaskThatCrashesItsWorkersIsGivenUp(t *testing.T) {
	for _, test := range []struct {
		name string

		// after is how long a culprit runs before the crash, back how long the worker is away.
		after, back time.Duration
		speculative bool
	}{
		{
			name:  "at once",
			after: tick,
			back:  3 * time.Second,
		},
		{
			name:  "after a while",
			after: 700 * time.Millisecond,
			back:  3 * time.Second,
		},
		{
			name:  "away for longer than a lease",
			after: tick,
			back:  2 * testLease,
		},
		{
			name:        "with copies",
			after:       tick,
			back:        3 * time.Second,
			speculative: true,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(12)
			w.restartDelay = test.back
			w.run(200 * time.Millisecond)
			bad := step(3)
			bad.Speculative = test.speculative
			innocent := step(4)
			innocent.Speculative = test.speculative
			for i := range 8 {
				w.submit(fmt.Sprintf("good%d", i), innocent)
			}
			for _, name := range []string{"bad1", "bad2"} {
				w.culprits[job.TaskID{
					Job:   name,
					Index: 1,
				}] = test.after
				w.submit(name, bad)
			}
			for i := range 40 {
				w.run(time.Second)
				w.submit(fmt.Sprintf("later%d", i), innocent)
			}
			w.run(10 * time.Second)
			w.check(t)
			for id, state := range w.shown {
				if id == "bad1" || id == "bad2" {
					is.Equal(state, job.Failed) // The job of a culprit is given up.
					continue
				}
				is.Equal(state, job.Completed) // No other job is.
			}
		})
	}
}

// TestRecordedCrashesOutlastTheirOwner replaces the owner after each crash. Crashes are stored in
// the job's row, so that the next owner counts them.
func TestRecordedCrashesOutlastTheirOwner(t *testing.T) {
	is := is.New(t)
	w := newWorld(6)
	w.restartDelay = 2 * time.Second
	w.culprits[job.TaskID{
		Job: "bad",
	}] = tick
	w.run(200 * time.Millisecond)
	w.submit("bad", step(1))
	for range 8 {
		w.run(4 * time.Second)
		w.takeOver()
	}
	w.run(4 * time.Second)
	w.check(t)
	is.Equal(w.shown["bad"], job.Failed)
}

// TestTaskBesideNewerOnesOutlastsThirdCrash crashes the only worker three times under a task, twice
// right after another task has started there. The newer tasks are more likely to be the cause.
func TestTaskBesideNewerOnesOutlastsThirdCrash(t *testing.T) {
	is := is.New(t)
	w := newWorld(1)
	w.restartDelay = time.Second
	w.run(200 * time.Millisecond)
	slow := step(1)
	slow.Estimate = 20 * time.Second
	w.submit("a", slow)
	for i := range 3 {
		w.run(4 * time.Second)
		newer := fmt.Sprint("newer", i)
		w.submit(newer, step(1))
		w.run(2 * tick)
		for _, f := range reachableWorkersOf(w, "a") {
			w.crashWorker(f)
		}
		w.run(4 * time.Second)
		w.core.Cancel(newer, w.now, func() {})
	}
	is.Equal(w.maxCrashes("a"), 3)
	w.run(60 * time.Second)
	w.check(t)
	is.Equal(w.shown["a"], job.Completed)
}

// TestWorkerThatAnswersAgainHasNotCrashed covers partitions that outlast a lease. They never count
// as a crash under the tasks of the partitioned worker, however often they occur.
func TestWorkerThatAnswersAgainHasNotCrashed(t *testing.T) {
	is := is.New(t)
	w := newWorld(4)
	w.run(200 * time.Millisecond)
	slow := step(1)
	slow.Estimate = 60 * time.Second
	w.submit("a", slow)
	for range 5 {
		w.run(time.Second)
		f := reachableWorkersOf(w, "a")[0]
		f.partitioned = true
		w.run(testLease + 2*time.Second)
		f.partitioned = false
	}
	w.run(70 * time.Second)
	w.check(t)
	is.Equal(w.shown["a"], job.Completed)
}

// TestAnnouncedEndIsNoCrash ends every worker of a task, either after the worker has started to
// drain or after its registration was removed without a drain. Neither counts as a crash.
func TestAnnouncedEndIsNoCrash(t *testing.T) {
	for name, announce := range map[string]func(f *fakeWorker){
		"drains":               func(f *fakeWorker) { f.reg.Draining = true },
		"registration is gone": func(f *fakeWorker) { f.unlisted = true },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(4)
			w.restartDelay = time.Second
			w.run(200 * time.Millisecond)
			slow := step(1)
			slow.Estimate = 20 * time.Second
			w.submit("a", slow)
			for range 5 {
				w.run(time.Second)
				f := reachableWorkersOf(w, "a")[0]
				announce(f)
				w.list()
				w.run(time.Second)
				w.failWorker(f)
				w.run(4 * time.Second)
			}
			w.run(30 * time.Second)
			w.check(t)
			is.Equal(w.shown["a"], job.Completed)
		})
	}
}

// TestLongRunningTaskIsNotGivenUpAfterItHasRun crashes one worker after another under long-running
// tasks for another cause, four seconds after each start. A task was given up after the third
// crash, and the other tasks of its job were stopped all at once. A task that crashes its workers
// at the start is not started again; the other tasks of its step keep running.
func TestLongRunningTaskIsNotGivenUpAfterItHasRun(t *testing.T) {
	is := is.New(t)
	w := newWorld(6)
	w.restartDelay = time.Second
	bad := job.TaskID{
		Job:   "bad",
		Index: 1,
	}
	w.culprits[bad] = tick
	w.run(200 * time.Millisecond)
	w.submit("a", lasting(2, 1))
	w.submit("bad", lasting(3, 1))
	w.run(20 * time.Second)
	is.Equal(w.crashes[bad], 3)
	is.Equal(w.running("bad"), 2)
	for range 6 {
		w.failWorker(reachableWorkersOf(w, "a")[0])
		w.run(6 * time.Second)
	}
	is.Equal(w.shown["a"], job.Running)
	is.Equal(w.running("a"), 2)
	is.Equal(w.running("bad"), 2)
	w.takeOver()
	w.run(10 * time.Second)
	is.Equal(w.running("bad"), 2)
	is.Equal(w.crashes[bad], 3) // The next owner does not start the task either.
	w.check(t)
}

// TestCulpritsUnderFaults combines culprits of every kind with bystander jobs, crashes that have
// another cause, partitions, takeovers with and without a release, and store outages. No culprit
// is started more often than the platform allows, across owners. As the platform requires, no job
// is given up before two workers have crashed under it. Of the three recorded crashes, one may be
// of a worker that crashed before an unanswered order took effect, or after a lease had lapsed
// there.
func TestCulpritsUnderFaults(t *testing.T) {
	prove.Property(t, func(t *rapid.T) {
		w := newWorld(8)
		w.allowExtraStarts = true
		w.restartDelay = time.Duration(rapid.IntRange(50, 900).Draw(t, "back after")) * tick
		w.run(200 * time.Millisecond)
		for i := range rapid.IntRange(10, 30).Draw(t, "rounds") {
			id := fmt.Sprintf("j%d", i)
			f := w.workers[rapid.SampledFrom(w.workerIDs()).Draw(t, "worker")]
			switch rapid.IntRange(0, 13).Draw(t, "what") {
			case 0:
				f.partitioned = true
			case 1, 2:
				f.partitioned = false
			case 3, 4:
				// No owner takes over while the store is down.
				w.storeDown = false
				if rapid.Bool().Draw(t, "released") {
					w.release(time.Duration(rapid.IntRange(0, 50).Draw(t, "free for")) * tick)
				} else {
					w.takeOver()
				}
			case 5:
				w.storeDown = rapid.Bool().Draw(t, "down")
			case 6:
				w.crashWorker(f)
			default:
				s := step(rapid.IntRange(1, 4).Draw(t, "tasks"))
				s.Speculative = rapid.Bool().Draw(t, "speculative")
				s.Gang = rapid.IntRange(0, 3).Draw(t, "gang") == 0
				if rapid.IntRange(0, 3).Draw(t, "culprit") == 0 {
					w.culprits[job.TaskID{
						Job:   id,
						Index: rapid.IntRange(0, s.Count-1).Draw(t, "which"),
					}] = time.Duration(rapid.IntRange(1, 90).Draw(t, "after")) * tick
				}
				w.submit(id, s)
			}
			w.run(time.Duration(rapid.IntRange(1, 150).Draw(t, "wait")) * tick)
		}
		w.storeDown = false
		for _, f := range w.workers {
			f.partitioned = false
		}
		w.run(60 * time.Second)
		w.check(t)
		for id, state := range w.shown {
			if !state.Final() {
				t.Errorf("job %s has not ended: %s", id, state)
			}
			if state == job.Failed && w.maxCrashes(id) < minCrashesToFail {
				t.Errorf("job %s is given up after %d crashes", id, w.maxCrashes(id))
			}
		}
	})
}

// TestCrashesAreCountedAcrossOwners removes crashes or possible crashes from the rows that an owner
// reads. The owner dies each time after it has recorded a crash, or between the crash and its
// record.
func TestCrashesAreCountedAcrossOwners(t *testing.T) {
	for name, scenario := range map[string]struct {
		off func(w *world)

		// dies is how long after a crash the owner dies.
		dies time.Duration
	}{
		"marks-outlast-their-owner": {
			off:  func(w *world) { w.hideCrashes = true },
			dies: 3 * time.Second,
		},
		"trials-outlast-their-owner": {
			off:  func(w *world) { w.hidePossibleCrashes = true },
			dies: time.Second,
		},
	} {
		t.Run(name, func(t *testing.T) {
			prove.Scenario(t, prove.CrashLimit, name, func(on bool) string {
				w := newWorld(8)
				w.allowExtraStarts = true
				w.restartDelay = 2 * time.Second
				w.culprits[job.TaskID{
					Job: "bad",
				}] = tick
				if !on {
					scenario.off(w)
				}
				w.run(200 * time.Millisecond)
				w.submit("bad", step(1))
				for range 12 {
					before := w.crashes[job.TaskID{
						Job: "bad",
					}]
					for range 800 {
						w.run(tick)
						if w.crashes[job.TaskID{
							Job: "bad",
						}] > before {
							break
						}
					}
					w.run(scenario.dies)
					w.takeOver()
				}
				return strings.Join(w.violations, "; ")
			})
		})
	}
}
