package shard_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"lemonstream.dev/lemonstream/internal/prove"
)

// TestWaitForAnOwnerThatLivesOutlastsItsSuccessor lets an owner be cut off from the
// store and from the others, but not from a worker beside it, which it renews as long as
// an owner goes on without the store. Its successor knows how long that can take, and
// ends soon: before it has looked at the worker or after, and before it has written
// anything or after. The one after that may not start the task elsewhere any sooner.
func TestWaitForAnOwnerThatLivesOutlastsItsSuccessor(t *testing.T) {
	next := map[string]func(w *world){
		"released": func(w *world) { w.release(0) },
		"died":     func(w *world) { w.takeOver() },
		"died twice": func(w *world) {
			w.takeOver()
			w.takeOver()
		},
	}
	for name, succeed := range next {
		for _, acts := range []time.Duration{0, time.Second} {
			for _, looks := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s after %v, looks %v", name, acts, looks), func(t *testing.T) {
					outlasts(t, acts, looks, succeed)
				})
			}
		}
	}
}

// outlasts lets the owner in the middle act for a while, with looks or without.
func outlasts(t *testing.T, acts time.Duration, looks bool, succeed func(w *world)) {
	t.Helper()
	const actsOn = 3250 * time.Millisecond // What BlindFor reckons with after a claim.
	is := is.New(t)
	w := newWorld(3)
	w.run(200 * time.Millisecond)
	w.submit("a", lasting(1, 1))
	w.run(time.Second)
	f := holderOf(w, "a")[0]
	first := w.epoch
	f.cut = true // From all but the owner before.
	until := w.now.Add(actsOn)
	goOn := func(d time.Duration) {
		for end := w.now.Add(d); w.now.Before(end); {
			if w.now.Before(until) {
				f.renew(w, first, w.now.Sub(w.start)+testLease)
			}
			w.run(tick)
		}
	}
	w.takeOverFromLiving(actsOn)
	w.standbyAway = !looks // No worker is looked at before that part is read.
	goOn(acts)
	succeed(w)
	w.standbyAway = false
	goOn(10 * time.Second)
	is.Equal(len(holderOf(w, "a")), 1)
	w.check(t)
}

// TestHandedOverWaitsCarryTakeovers takes away what owners hand over of a living owner
// before them. That is cut off with one worker, and up to three follow it quickly.
func TestHandedOverWaitsCarryTakeovers(t *testing.T) {
	prove.Guard(t, prove.AtMostOnce, "wait-outlasts-its-owner", func(on bool) func(*rapid.T) {
		return func(t *rapid.T) {
			w := newWorld(3)
			w.waitless = !on
			w.run(200 * time.Millisecond)
			w.submit("a", lasting(rapid.IntRange(1, 3).Draw(t, "tasks"), 1))
			w.run(time.Second)
			f := holderOf(w, "a")[0]
			on := time.Duration(rapid.IntRange(100, 325).Draw(t, "acts on")) * tick
			w.takeOverFromBeside(on, f)
			for range rapid.IntRange(1, 3).Draw(t, "quick takeovers") {
				w.standbyAway = rapid.Bool().Draw(t, "standby away")
				w.run(time.Duration(rapid.IntRange(0, 150).Draw(t, "works for")) * tick)
				if rapid.Bool().Draw(t, "released") {
					w.release(time.Duration(rapid.IntRange(0, 20).Draw(t, "free for")) * tick)
				} else {
					w.takeOver()
				}
			}
			w.standbyAway = false
			w.run(12 * time.Second)
			w.check(t)
		}
	})
}
