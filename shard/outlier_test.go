package shard_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"lemonstream.dev/lemonstream/job"
	"lemonstream.dev/lemonstream/outlier"
	"lemonstream.dev/lemonstream/outside"
)

// always makes all runs of a worker fail.
func always(job.TaskID) bool {
	return true
}

// fill occupies a worker of four cores for the given time.
func fill(on string, takes time.Duration) job.Step {
	s := step(4)
	s.Label = on
	s.Estimate = takes
	return s
}

// TestLastAttemptWaitsForProvenWorker guards against the last attempt of a task on a worker that
// nobody has seen succeed, while a proven one has room a little later.
func TestLastAttemptWaitsForProvenWorker(t *testing.T) {
	for name, share := range map[string]float64{
		"held back": outlier.DefaultShare,
		"off":       0,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(2)
			w.ejectShare = share
			w.takeOver()
			w.run(5 * time.Second)
			w.policy.Attempts = 2
			w.workers["w1"].fails = always
			w.submit("warm", fill("r0-1", time.Second))
			w.run(1300 * time.Millisecond)
			w.submit("first", fill("r0-1", 900*time.Millisecond))
			w.run(100 * time.Millisecond)
			w.submit("a", step(1)) // Only w1 has room.
			w.run(900 * time.Millisecond)
			w.submit("second", fill("r0-1", 1300*time.Millisecond))
			w.addWorker("w2", "r2-1").fails = always
			w.list()
			w.run(10 * time.Second)
			w.check(t)
			is.Equal(w.shown["a"] == job.Completed, share > 0)
		})
	}
}

// TestEjectionOutlastsItsOwner guards against a successor that fills a worker again which fails all
// that it starts.
func TestEjectionOutlastsItsOwner(t *testing.T) {
	for name, dropped := range map[string]bool{
		"handed over": false,
		"dropped":     true,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(4)
			w.workers["w1"].fails = always
			w.dropEvidence = dropped
			w.policy.Attempts = 4
			w.run(200 * time.Millisecond)
			for i := range 12 {
				w.submit(fmt.Sprintf("a%d", i), step(1))
			}
			w.run(6 * time.Second)
			is.True(w.core.Load(w.now).Workers["w1"].Ejected)
			is.Equal(w.core.Ejected(), 1)
			w.takeOver()
			w.run(500 * time.Millisecond)
			is.Equal(w.core.Load(w.now).Workers["w1"].Ejected, !dropped)
			w.run(10 * time.Second)
			w.check(t)
		})
	}
}

// TestProbesRiskNothingElse guards against several probes at a time, and against one with a task that must
// not be risked, on an ejected worker that alone has room. Such a task waits at first.
func TestProbesRiskNothingElse(t *testing.T) {
	pair := step(2)
	pair.Gang = true
	for name, c := range map[string]struct {
		step     job.Step
		attempts int
		starts   int
	}{
		"tasks with two attempts": {
			step:     step(3),
			attempts: 2,
			starts:   1,
		},
		"last attempt": {
			step:     step(1),
			attempts: 1,
		},
		"gang": {
			step:     pair,
			attempts: 2,
		},
		"long-running task": {
			step:     lasting(1, 1),
			attempts: 2,
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(2)
			bad := w.workers["w1"]
			bad.fails = always
			w.policy.Attempts = 10
			w.run(200 * time.Millisecond)
			w.submit("good", fill("r0-1", time.Second))
			for i := range 4 {
				w.submit(fmt.Sprintf("bad%d", i), fill("r1-1", 300*time.Millisecond))
			}
			for !w.core.Load(w.now).Workers["w1"].Ejected {
				w.run(tick)
			}
			bad.reg.Labels = nil // The jobs above don't start there any more.
			w.list()
			w.submit("filled", fill("r0-1", 20*time.Second))
			w.run(2500 * time.Millisecond)
			is.Equal(len(w.workers["w0"].runs), 4)
			began := bad.began
			w.policy.Attempts = c.attempts
			w.submit("probe", c.step)
			w.run(1500 * time.Millisecond)
			is.Equal(bad.began-began, c.starts)
		})
	}
}

// TestDoubtedAndNewWorkersAreBounded guards against many more starts on a worker that has just failed
// a run, and on one that nobody has seen succeed while another one is ejected.
func TestDoubtedAndNewWorkersAreBounded(t *testing.T) {
	for name, c := range map[string]struct {
		share  float64
		fails  int
		starts int
	}{
		"doubted": {
			share:  outlier.DefaultShare,
			fails:  1,
			starts: outlier.MaxFew,
		},
		"new beside an ejected one": {
			share:  outlier.DefaultShare,
			fails:  4,
			starts: 8, // Half of its room.
		},
		"off": {
			fails:  4,
			starts: 12,
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(2)
			w.ejectShare = c.share
			w.takeOver()
			w.workers["w1"].fails = always
			w.policy.Attempts = 10
			w.run(5 * time.Second)
			w.submit("good", fill("r0-1", 100*time.Millisecond))
			w.run(time.Second)
			large := "w1"
			if c.fails > 1 {
				large = "w2"
			}
			for i := range c.fails {
				one := step(1)
				one.Label = "r1-1"
				one.Estimate = 100 * time.Millisecond
				w.submit(fmt.Sprintf("bad%d", i), one)
			}
			w.run(150 * time.Millisecond)
			for i := range c.fails {
				w.cancel(fmt.Sprintf("bad%d", i))
			}
			f := w.workers[large]
			if f == nil {
				f = w.addWorker(large, "r2-1")
			}
			f.reg.Labels = []string{"large"}
			f.reg.Capacity = job.Room{
				MilliCPU: 16_000,
				MemoryMB: 16_000,
			}
			w.list()
			w.run(600 * time.Millisecond)
			many := step(12)
			many.Label = "large"
			many.Estimate = 10 * time.Second
			began := f.began
			w.submit("many", many)
			w.run(time.Second)
			is.Equal(f.began-began, c.starts)
		})
	}
}

// TestHangingRunCountsOnce guards against a worker that keeps runs without end passing for a good one,
// and against one run that counts again and again.
func TestHangingRunCountsOnce(t *testing.T) {
	is := is.New(t)
	w := newWorld(2)
	w.run(200 * time.Millisecond)
	hangs := 0
	w.logEvent = func(event string, _ ...any) {
		if event == "run hangs" {
			hangs++
		}
	}
	w.submit("usual", step(8))
	w.run(2 * time.Second)
	w.submit("a", step(1))
	w.run(100 * time.Millisecond)
	worker := startedWorker(w, "a")
	worker.runs[job.TaskID{
		Job: "a",
	}].workLeft = time.Minute
	w.run(5 * time.Second)
	is.Equal(hangs, 0)
	w.run(10 * time.Second)
	is.Equal(hangs, 1)
	evidence := w.core.BuildHandover(w.now, false, testHandoverBytes).Evidence
	is.Equal(len(evidence), 1)
	is.Equal(outside.ParseIncarnation(evidence[0].Worker).Worker, worker.reg.ID)
}

// TestRefusedStartsCount guards against a worker that refuses all starts as unhealthy passing for a
// good one.
func TestRefusedStartsCount(t *testing.T) {
	is := is.New(t)
	w := newWorld(1)
	w.run(200 * time.Millisecond)
	w.startError = &outside.WorkerRefusedError{
		Reason: outside.RefusedUnhealthy,
	}
	w.submit("a", step(1))
	w.run(5 * time.Second)
	is.Equal(len(w.core.BuildHandover(w.now, false, testHandoverBytes).Evidence), 1)
	w.startError = nil
	w.run(5 * time.Second)
	is.Equal(w.shown["a"], job.Completed)
}

// TestFailedRunCountsOnceAcrossOwners guards against a failed run that counts again at a successor, which
// gets its end from the worker and from the evidence of the previous owner.
func TestFailedRunCountsOnceAcrossOwners(t *testing.T) {
	is := is.New(t)
	w := newWorld(2)
	w.workers["w1"].fails = always
	w.policy.Attempts = 10
	w.run(200 * time.Millisecond)
	one := step(1)
	one.Label = "r1-1"
	one.Estimate = 2 * time.Second
	w.submit("a", one)
	failed := func() int {
		count := 0
		for _, e := range w.core.BuildHandover(w.now, false, testHandoverBytes).Evidence {
			count += e.Failed
		}
		return count
	}
	for failed() == 0 {
		w.run(tick)
	}
	is.True(len(w.workers["w1"].ends) > 0) // Not acknowledged yet.
	w.takeOverWith(w.writeAndHandOver())
	w.run(time.Second)
	is.Equal(failed(), 1)
}
