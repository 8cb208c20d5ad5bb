package shard_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"lemonstream.dev/lemonstream/job"
)

// newColdWorld returns a world with one warm worker, w0, and two that are cold for ten seconds.
func newColdWorld() *world {
	w := newWorld(1)
	for _, id := range []string{"a-cold", "b-cold"} {
		w.addWorker(id, "r1-1").reg.ColdLeft = 10 * time.Second
	}
	w.sendRegistrations()
	w.run(500 * time.Millisecond)
	return w
}

// TestColdWorkersAreTakenLast covers workers that are slow from their start, such as those of a
// zone whose evacuation was just taken back: all work went there at once.
func TestColdWorkersAreTakenLast(t *testing.T) {
	gang := lasting(2, 2)
	gang.Gang = true
	busy := step(1)
	busy.Estimate = 5 * time.Second
	cases := map[string]struct {
		step     job.Step
		attempts int
	}{
		"long-running":  {lasting(2, 1), 3},
		"gang":          {gang, 3},
		"last attempt":  {busy, 1},
		"any other one": {busy, 3},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newColdWorld()
			w.policy.Attempts = c.attempts
			w.submit("j", c.step)
			w.run(time.Second)
			is.Equal(len(w.workers["w0"].runs), c.step.Count)
			w.check(t)
		})
	}
}

// TestColdWorkerIsBetterThanNone covers work that does not fit on the warm workers.
func TestColdWorkerIsBetterThanNone(t *testing.T) {
	is := is.New(t)
	w := newColdWorld()
	w.submit("j", lasting(6, 1))
	w.run(2 * time.Second)
	is.Equal(w.availableRuns("j"), 6)
	is.Equal(len(w.workers["w0"].runs), 4)
	w.check(t)
}

// TestWarmedUpWorkerIsChosenAsAnyOther covers registrations that are not rewritten as a worker warms
// up: of equal workers, the one with the lowest ID is chosen.
func TestWarmedUpWorkerIsChosenAsAnyOther(t *testing.T) {
	is := is.New(t)
	w := newColdWorld()
	w.run(5 * time.Second)
	w.sendRegistrations()
	w.run(6 * time.Second)
	w.submit("j", lasting(1, 1))
	w.run(time.Second)
	is.Equal(len(w.workers["a-cold"].runs), 1)
	w.check(t)
}
