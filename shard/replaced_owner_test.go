package shard_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"lemonstream.dev/lemonstream/internal/prove"
	"lemonstream.dev/lemonstream/job"
	"lemonstream.dev/lemonstream/shard"
)

// TestJobReadByAReplacedOwnerStartsOnce covers an owner that still reads the rows of new jobs after
// its service was claimed. A job whose record is younger than the claim is started at once by the
// next owner, beside a worker that only the replaced owner reaches.
func TestJobReadByAReplacedOwnerStartsOnce(t *testing.T) {
	for name, written := range map[string]func(w *world){
		"written by an entry": func(w *world) {
			w.submit("a", step(2))
		},
		"submitted to the next owner": func(w *world) {
			w.submitToOwner("a", step(2))
			w.run(50 * time.Millisecond)
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(3)
			w.run(200 * time.Millisecond)
			f := w.workers["w0"]
			w.takeOverFromPartitioned(2*time.Second, f)
			w.run(200 * time.Millisecond)
			written(w)
			w.zombies[0].core.Accept(w.records["a"], w.version, false, w.now)
			w.run(1500 * time.Millisecond)
			f.partitioned = false
			w.run(10 * time.Second)
			w.check(t)
			is.Equal(w.shown["a"], job.Completed)
		})
	}
}

// TestConfirmedReadsCarryTakeovers lets owners read the rows of new jobs at any moment, also after
// their service was claimed, while some workers are reached by one of them only. Without the
// confirmation, an owner starts what it has read at once.
func TestConfirmedReadsCarryTakeovers(t *testing.T) {
	prove.Guard(t, prove.AtMostOnce, "reads-are-confirmed", func(on bool) func(*rapid.T) {
		return func(t *rapid.T) {
			w := newWorld(4)
			w.run(200 * time.Millisecond)
			for i := range rapid.IntRange(3, 8).Draw(t, "events") {
				id := fmt.Sprintf("j%d", i)
				switch rapid.IntRange(0, 5).Draw(t, "event") {
				case 0:
					w.takeOverFromPartitioned(time.Duration(rapid.IntRange(10, 325).Draw(t, "acts on"))*tick, drawWorker(t, w))
				case 1:
					drawWorker(t, w).partitioned = false
				case 2:
					w.submitToOwner(id, step(rapid.IntRange(1, 3).Draw(t, "tasks")))
				default:
					w.submit(id, step(rapid.IntRange(1, 3).Draw(t, "tasks")))
				}
				w.run(time.Duration(rapid.IntRange(1, 60).Draw(t, "wait")) * tick)
				for _, z := range w.zombies {
					readIntake(w, z.core, on)
				}
			}
			for _, f := range w.workers {
				f.partitioned = false
			}
			w.run(15 * time.Second)
			for id := range w.records {
				t.Errorf("job %s has not ended: %s", id, w.shown[id])
			}
			w.check(t)
		}
	})
}

// readIntake makes an owner read the rows of all jobs. Unless confirmed is set, the owner takes the
// read for a proof that it still owns the service.
func readIntake(w *world, core *shard.Shard, confirmed bool) {
	for _, id := range walk(w, w.records) {
		core.Accept(w.records[id], w.version, false, w.now)
	}
	if !confirmed {
		core.Confirm(shard.WorkerRows{}, w.now)
	}
}

// drawWorker draws one of the workers.
func drawWorker(t *rapid.T, w *world) *fakeWorker {
	return w.workers[fmt.Sprintf("w%d", rapid.IntRange(0, len(w.workers)-1).Draw(t, "worker"))]
}

// TestWaitEndsWithThePreviousOwner lets a successor learn that the process of the owner before has
// ended. What that owner started on a worker that nobody reaches is waited for a lease longer, and the
// wait for the owner before it remains.
func TestWaitEndsWithThePreviousOwner(t *testing.T) {
	for name, earlier := range map[string]time.Duration{
		"after one lease":                  0,
		"not before the owner before that": 6 * time.Second,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(3)
			w.run(200 * time.Millisecond)
			w.submit("a", lasting(1, 1))
			w.run(time.Second)
			f := reachableWorkersOf(w, "a")[0]
			f.partitioned = true
			w.handover.UnobservedFor = earlier
			w.takeOverFromActive(3 * time.Second)
			w.zombies = nil
			w.run(tick)
			w.core.PreviousOwnerEnded(w.now)
			w.run(max(earlier, testLease))
			is.Equal(len(reachableWorkersOf(w, "a")), 0)
			w.run(testLease/10 + earlier/10)
			is.Equal(len(reachableWorkersOf(w, "a")), 1)
			w.check(t)
		})
	}
}
