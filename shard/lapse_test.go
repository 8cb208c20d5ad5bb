package shard_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestWorkerIsAskedOnceMoreAfterItsLease lets a worker fall silent, end its task well
// meanwhile, and answer again just before its lease is over, at different points of a
// look that is under way then: the task is not started again.
func TestWorkerIsAskedOnceMoreAfterItsLease(t *testing.T) {
	for early := 100 * time.Millisecond; early <= 700*time.Millisecond; early += 2 * tick {
		t.Run(fmt.Sprint(early), func(t *testing.T) {
			is := is.New(t)
			w := newWorld(2)
			w.run(200 * time.Millisecond)
			w.submit("a", step(1))
			w.run(300 * time.Millisecond)
			f := holderOf(w, "a")[0]
			f.cut = true
			w.run(testLease - early)
			f.cut = false
			w.run(3 * time.Second)
			is.Equal(starts(w), 1)
			w.check(t)
		})
	}
}

// TestSlowOwnerTakesNoWorkerForLost covers an owner that notices the silence of its
// looks two seconds late: its own want of processor time may be all that is silent.
func TestSlowOwnerTakesNoWorkerForLost(t *testing.T) {
	is := is.New(t)
	w := newWorld(2)
	w.run(200 * time.Millisecond)
	w.submit("a", lasting(1, 1))
	w.run(time.Second)
	w.lookFails = 2 * time.Second
	holderOf(w, "a")[0].cut = true
	w.run(2 * testLease)
	is.Equal(starts(w), 1)
	w.lookFails = 600 * time.Millisecond
	w.run(4 * time.Second)
	is.Equal(starts(w), 2)
	w.check(t)
}

// starts counts the runs that workers have begun.
func starts(w *world) int {
	sum := 0
	for _, f := range w.workers {
		sum += f.began
	}
	return sum
}

// TestLateOwnerGivesNothingUp covers an owner whose starts are answered at once and
// taken in late: it gives up no worker meanwhile, and does once it is in time again.
func TestLateOwnerGivesNothingUp(t *testing.T) {
	is := is.New(t)
	w := newWorld(3)
	w.run(200 * time.Millisecond)
	w.submit("a", lasting(1, 1))
	w.run(time.Second)
	silent := holderOf(w, "a")[0]
	silent.cut = true
	w.startAnswers = 400 * time.Millisecond
	for i := range 20 {
		w.submit(fmt.Sprintf("b%d", i), step(1))
		w.run(testLease / 8)
	}
	is.Equal(silent.began, 1)
	is.Equal(len(holderOf(w, "a")), 0)
	w.startAnswers = tick
	w.run(5 * time.Second)
	is.Equal(len(holderOf(w, "a")), 1)
	w.check(t)
}
