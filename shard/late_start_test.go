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

// TestLateStartIsRefusedByTheNextIncarnation covers a start that gets no answer. Its worker
// crashes, the task is started elsewhere, and the worker restarts under its id. The next
// incarnation carried the start out while its first answer was on its way, and the task ran twice
// until the owner had handled that answer and stopped the run.
func TestLateStartIsRefusedByTheNextIncarnation(t *testing.T) {
	is := is.New(t)
	w := newWorld(2)
	w.run(200 * time.Millisecond)
	long := step(1)
	long.Estimate = 8 * time.Second
	w.startDelay = 6 * time.Second
	w.submit("a", long)
	w.run(50 * time.Millisecond)
	w.startDelay = 0
	crashed := startedWorker(w, "a")
	w.restartWorker(crashed, 5500*time.Millisecond)
	w.run(5400 * time.Millisecond)
	is.Equal(len(reachableWorkersOf(w, "a")), 1) // The task runs on the other worker.
	w.lateAnswers = 800 * time.Millisecond
	w.run(300 * time.Millisecond)
	is.True(crashed.fence > 0) // The first poll has reached the next incarnation.
	w.run(time.Second)
	w.lateAnswers = 0
	w.run(10 * time.Second)
	w.check(t)
	is.Equal(crashed.began, 0)
	is.Equal(w.shown["a"], job.Completed)
}

// startedWorker returns the worker of the only start that was ordered so far.
func startedWorker(w *world, id string) *fakeWorker {
	for worker, load := range w.core.Load(w.now).Workers {
		if load.Runs > 0 {
			return w.workers[worker]
		}
	}
	panic("no task of job " + id + " was started")
}

// TestLateStartsUnderFaults restarts workers under their ids while starts get no answer and are
// carried out up to 3 s late, and answers to polls take up to 1.5 s.
func TestLateStartsUnderFaults(t *testing.T) {
	prove.Property(t, simulateLateStarts)
}

// simulateLateStarts does one such simulation run.
func simulateLateStarts(t *rapid.T) {
	w := newWorld(4)
	w.run(200 * time.Millisecond)
	names := []string{"w0", "w1", "w2", "w3"}
	count := rapid.IntRange(5, 25).Draw(t, "rounds")
	for i := 0; i < count; i++ {
		f := w.workers[rapid.SampledFrom(names).Draw(t, "worker")]
		downtime := time.Duration(rapid.IntRange(0, 100).Draw(t, "away")) * tick
		switch rapid.IntRange(0, 9).Draw(t, "what") {
		case 0:
			w.takeOver()
		case 1, 2:
			w.startDelay = time.Duration(rapid.IntRange(0, 300).Draw(t, "late starts")) * tick
		case 3, 4, 5:
			w.restartWorker(f, downtime)
		case 6:
			w.lateAnswers = time.Duration(rapid.IntRange(0, 150).Draw(t, "late answers")) * tick
		default:
			s := step(rapid.IntRange(1, 5).Draw(t, "tasks"))
			s.Estimate = time.Duration(rapid.IntRange(10, 300).Draw(t, "takes")) * tick
			w.submit(fmt.Sprintf("j%d", i), s, step(2, 0))
		}
		w.run(time.Duration(rapid.IntRange(1, 100).Draw(t, "wait")) * tick)
	}
	w.endSimulation(t)
}
