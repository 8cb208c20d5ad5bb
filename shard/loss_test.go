package shard_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"lemonstream.dev/lemonstream/internal/prove"
	"lemonstream.dev/lemonstream/job"
)

// TestJobOnCutOffWorkersIsNotFailed cuts off one worker of a task after another for longer than its
// lease and its registration last.
func TestJobOnCutOffWorkersIsNotFailed(t *testing.T) {
	is := is.New(t)
	w := newWorld(6)
	w.run(200 * time.Millisecond)
	slow := step(1)
	slow.Estimate = 20 * time.Second
	w.submit("a", slow)
	for range 4 {
		w.run(time.Second)
		for _, f := range reachableWorkersOf(w, "a") {
			w.cutOff(f, 30*time.Second)
		}
		w.run(9 * time.Second)
	}
	w.run(40 * time.Second)
	w.check(t)
	is.Equal(w.shown["a"], job.Completed)
}

// TestOrderlyEndsDoNotFailJobs ends one worker of a task after another without a crash, in ways that
// the owner learns of late or not at all.
func TestOrderlyEndsDoNotFailJobs(t *testing.T) {
	for name, end := range map[string]func(w *world, f *fakeWorker){
		"announced while the registrations can't be read": func(w *world, f *fakeWorker) {
			w.listStale = true
			w.run(2 * time.Second)
			w.leave(f, false)
			w.run(lingerTime + 2*time.Second)
			w.listStale = false
			w.sendRegistrations()
		},
		"announced while there is no owner": func(w *world, f *fakeWorker) {
			f.partitioned = true
			w.run(2 * time.Second)
			w.removeOwner()
			w.leave(f, false)
			w.run(lingerTime + time.Second)
			w.takeOver()
		},
		"announced, and the registration of the next incarnation comes before its answer": func(w *world, f *fakeWorker) {
			f.reg.Draining = true
			f.reg.Remaining = lingerTime
			w.sendRegistrations()
			w.run(lingerTime)
			f.endAtOnce()
			w.run(time.Second)
			f.reg.Draining = false
			w.startIncarnation(f)
		},
		"instance taken, and the notice comes after another worker": func(w *world, f *fakeWorker) {
			w.takeInstance(f, testMoveTime+time.Second)
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(8)
			w.run(200 * time.Millisecond)
			slow := step(1)
			slow.Estimate = 20 * time.Second
			w.submit("a", slow)
			for range 4 {
				w.run(time.Second)
				for _, f := range reachableWorkersOf(w, "a") {
					end(w, f)
				}
				w.run(9 * time.Second)
			}
			w.run(40 * time.Second)
			w.check(t)
			is.Equal(w.shown["a"], job.Completed)
		})
	}
}

// TestNextIncarnationOfTakenWorkerIsUsed takes the instance of a worker that a new owner knows by its id
// alone, because its registration is gone. The worker comes back under that id.
func TestNextIncarnationOfTakenWorkerIsUsed(t *testing.T) {
	is := is.New(t)
	w := newWorld(2)
	w.run(200 * time.Millisecond)
	f := w.workers["w0"]
	taken := f.reg.Incarnation().String()
	f.down = true
	f.unlisted = true
	w.takeOver()
	w.run(100 * time.Millisecond)
	w.core.RemoveTaken([]string{taken}, w.now)
	w.run(testMoveTime)
	w.startIncarnation(f)
	w.run(time.Second)
	w.submit("a", step(8))
	w.run(500 * time.Millisecond)
	is.Equal(len(f.runs), 4)
	w.run(3 * time.Second)
	w.check(t)
	is.Equal(w.shown["a"], job.Completed)
}

// TestFailedJobHasACause combines every way in which a worker may disappear with takeovers and
// registrations that can't be read. No job is shown as failed before two workers have crashed under
// one of its tasks.
func TestFailedJobHasACause(t *testing.T) {
	prove.Property(t, func(t *rapid.T) {
		w := newWorld(8)
		w.restartDelay = time.Duration(rapid.IntRange(50, 900).Draw(t, "back after")) * tick
		w.run(200 * time.Millisecond)
		for i := range rapid.IntRange(10, 40).Draw(t, "rounds") {
			id := fmt.Sprintf("j%d", i)
			f := w.workers[rapid.SampledFrom(w.busyOrAny()).Draw(t, "worker")]
			switch rapid.IntRange(0, 13).Draw(t, "what") {
			case 0, 1, 2:
				w.cutOff(f, time.Duration(rapid.IntRange(50, 1500).Draw(t, "cut for"))*tick)
			case 3, 4:
				w.leave(f, rapid.Bool().Draw(t, "without a word"))
			case 5, 6:
				w.takeInstance(f, time.Duration(rapid.IntRange(0, 400).Draw(t, "told after"))*tick)
			case 7, 8:
				if rapid.Bool().Draw(t, "released") {
					w.release(time.Duration(rapid.IntRange(0, 50).Draw(t, "free for")) * tick)
				} else {
					w.takeOver()
				}
			case 9:
				w.listStale = rapid.Bool().Draw(t, "stale")
				w.sendRegistrations()
			case 10:
				if rapid.Bool().Draw(t, "crash") {
					w.crashWorker(f)
				}
			default:
				s := step(rapid.IntRange(1, 4).Draw(t, "tasks"))
				s.Estimate = time.Duration(rapid.IntRange(1, 20).Draw(t, "seconds")) * time.Second
				w.submit(id, s)
			}
			w.run(time.Duration(rapid.IntRange(1, 200).Draw(t, "wait")) * tick)
		}
		w.listStale = false
		w.sendRegistrations()
		w.run(90 * time.Second)
		w.check(t)
		for id, state := range w.shown {
			if !state.Final() {
				t.Errorf("job %s has not ended: %s", id, state)
			}
			if state == job.Failed && w.maxCrashes(id) < minCrashesToFail {
				t.Errorf("job %s is shown as failed after %d crashes", id, w.maxCrashes(id))
			}
		}
	})
}
