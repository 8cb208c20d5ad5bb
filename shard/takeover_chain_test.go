package shard_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"lemonstream.dev/lemonstream/internal/prove"
)

// TestWaitForDeposedOwnerOutlastsItsSuccessor cuts an owner off from the store and from all workers
// but one, whose lease it renews for as long as an owner stays active without the store. The next
// owner knows how long that can take, but ends soon: before or after it has polled the worker,
// and before or after its first write. The owner after that may not start the task elsewhere any
// sooner.
func TestWaitForDeposedOwnerOutlastsItsSuccessor(t *testing.T) {
	next := map[string]func(w *world){
		"released": func(w *world) { w.release(0) },
		"died":     func(w *world) { w.takeOver() },
		"died twice": func(w *world) {
			w.takeOver()
			w.takeOver()
		},
	}
	for name, succeed := range next {
		for _, activeFor := range []time.Duration{0, time.Second} {
			for _, polls := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s after %v, polls %v", name, activeFor, polls), func(t *testing.T) {
					checkWaitOutlasts(t, activeFor, polls, succeed)
				})
			}
		}
	}
}

// checkWaitOutlasts does one run in which the second owner is active for a while and polls workers
// or not.
func checkWaitOutlasts(t *testing.T, activeFor time.Duration, polls bool, succeed func(w *world)) {
	t.Helper()
	const actsOn = 3250 * time.Millisecond // How long a deposed owner can stay active.
	is := is.New(t)
	w := newWorld(3)
	w.run(200 * time.Millisecond)
	w.submit("a", lasting(1, 1))
	w.run(time.Second)
	f := reachableWorkersOf(w, "a")[0]
	first := w.epoch
	f.partitioned = true // Only the first owner still reaches the worker.
	until := w.now.Add(actsOn)
	runFor := func(d time.Duration) {
		for end := w.now.Add(d); w.now.Before(end); {
			if w.now.Before(until) {
				f.renewLease(w, first, w.now.Sub(w.start)+testLease)
			}
			w.run(tick)
		}
	}
	w.takeOverFromActive(actsOn)
	w.standbyDown = !polls // No worker is polled before the standby partition is read.
	runFor(activeFor)
	succeed(w)
	w.standbyDown = false
	runFor(10 * time.Second)
	is.Equal(len(reachableWorkersOf(w, "a")), 1)
	w.check(t)
}

// TestHandedOverWaitsCarryTakeovers removes from handovers how long earlier owners may stay active.
// The first owner is cut off together with one worker, and up to three owners follow it quickly.
func TestHandedOverWaitsCarryTakeovers(t *testing.T) {
	prove.Guard(t, prove.AtMostOnce, "wait-outlasts-its-owner", func(on bool) func(*rapid.T) {
		return func(t *rapid.T) {
			w := newWorld(3)
			w.dropHandoverWait = !on
			w.run(200 * time.Millisecond)
			w.submit("a", lasting(rapid.IntRange(1, 3).Draw(t, "tasks"), 1))
			w.run(time.Second)
			f := reachableWorkersOf(w, "a")[0]
			on := time.Duration(rapid.IntRange(100, 325).Draw(t, "acts on")) * tick
			w.takeOverFromPartitioned(on, f)
			for range rapid.IntRange(1, 3).Draw(t, "quick takeovers") {
				w.standbyDown = rapid.Bool().Draw(t, "standby away")
				w.run(time.Duration(rapid.IntRange(0, 150).Draw(t, "works for")) * tick)
				if rapid.Bool().Draw(t, "released") {
					w.release(time.Duration(rapid.IntRange(0, 20).Draw(t, "free for")) * tick)
				} else {
					w.takeOver()
				}
			}
			w.standbyDown = false
			w.run(12 * time.Second)
			w.check(t)
		}
	})
}
