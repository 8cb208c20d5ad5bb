package shard_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"lemonstream.dev/lemonstream/job"
	"lemonstream.dev/lemonstream/outlier"
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

// TestEjectedWorkerTakesProbesOnly guards against an ejected worker being filled, and against a probe
// that is the last attempt of its task, a long-running task or a member of a gang.
func TestEjectedWorkerTakesProbesOnly(t *testing.T) {
	is := is.New(t)
	w := newWorld(4)
	bad := w.workers["w1"]
	bad.fails = always
	w.policy.Attempts = 2
	ejectedAt := time.Time{}
	probes := 0
	began := 0
	w.logEvent = func(event string, fields ...any) {
		switch {
		case event == outlier.EventEjected && ejectedAt.IsZero():
			ejectedAt = w.now
		case event == "start ordered" && fields[5] == "w1" && !ejectedAt.IsZero():
			probes++
		}
	}
	w.run(200 * time.Millisecond)
	for i := range 600 {
		if i%8 == 0 {
			w.submit(fmt.Sprintf("a%d", i), step(1))
		}
		if i%40 == 20 {
			gang := step(2)
			gang.Gang = true
			w.submit(fmt.Sprintf("g%d", i), gang)
			w.submit(fmt.Sprintf("l%d", i), lasting(1, 1))
			w.cancel(fmt.Sprintf("l%d", i-40))
		}
		w.run(2 * tick)
		if ejectedAt.IsZero() || w.now.Sub(ejectedAt) < 2*time.Second {
			began = probes
			continue
		}
		is.True(len(bad.runs) <= 1) // It takes one probe at a time.
		for id := range bad.runs {
			is.True(id.Job[0] == 'a')                           // Neither of a gang nor long-running.
			is.Equal(len(w.progress[id.Job].Failed["0.0.0"]), 0) // Not the last attempt.
		}
	}
	is.True(probes > began) // Probes go on.
	w.check(t)
}
