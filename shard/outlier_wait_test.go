package shard_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"lemonstream.dev/lemonstream/job"
)

// withEjected returns a world of two workers: w1 is ejected and fails nothing more, w0 is full for 40 s.
func withEjected(t *testing.T) *world {
	t.Helper()
	is := is.New(t)
	w := newWorld(2)
	w.workers["w1"].fails = always
	w.policy.Attempts = 10
	w.run(200 * time.Millisecond)
	w.submit("good", fill("r0-1", time.Second))
	for i := range 4 {
		w.submit(fmt.Sprintf("bad%d", i), fill("r1-1", 300*time.Millisecond))
	}
	for !w.core.Load(w.now).Workers["w1"].Ejected {
		w.run(tick)
	}
	for i := range 4 {
		w.cancel(fmt.Sprintf("bad%d", i))
	}
	w.submit("filled", fill("r0-1", 40*time.Second))
	w.run(2500 * time.Millisecond)
	is.Equal(len(w.workers["w0"].runs), 4)
	is.Equal(len(w.workers["w1"].runs), 0)
	w.workers["w1"].fails = nil
	return w
}

// TestLastAttemptsUseEjectedWorker guards against last attempts that never run although an ejected worker
// is empty, and against a worker that never returns because there is no other work.
func TestLastAttemptsUseEjectedWorker(t *testing.T) {
	is := is.New(t)
	w := withEjected(t)
	bad := w.workers["w1"]
	began := bad.began
	w.policy.Attempts = 1
	for i := range 6 {
		w.submit(fmt.Sprintf("a%d", i), step(1))
	}
	w.run(5 * time.Second)
	is.Equal(bad.began, began)
	w.run(1500 * time.Millisecond)
	is.Equal(bad.began, began+1) // One at a time.
	w.run(20 * time.Second)
	w.check(t)
	is.Equal(w.core.Ejected(), 0)
	for i := range 6 {
		is.Equal(w.shown[fmt.Sprintf("a%d", i)], job.Completed)
	}
}

// TestStepsWithConstraintsUseEjectedWorker guards against last attempts spent on an ejected worker while
// another one is merely full, and against tasks that wait one after the other for the only worker that
// may ever take them.
func TestStepsWithConstraintsUseEjectedWorker(t *testing.T) {
	for name, c := range map[string]struct {
		label  string
		starts int
	}{
		"other worker is full": {
			label: "both",
		},
		"no other worker": {
			label:  "r1-1",
			starts: 3,
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := withEjected(t)
			for _, f := range w.workers {
				f.reg.Labels = append(f.reg.Labels, "both")
			}
			w.list()
			w.run(time.Second)
			w.policy.Attempts = 1
			bad := w.workers["w1"]
			began := bad.began
			labelled := step(3)
			labelled.Label = c.label
			labelled.Estimate = 10 * time.Second
			w.submit("labelled", labelled)
			w.run(3500 * time.Millisecond)
			is.Equal(bad.began-began, c.starts)
		})
	}
}

// TestGangWaitsForProvenWorkersOnlyForATime guards against a gang with one attempt left that never runs
// because its only worker is not proven while another one is.
func TestGangWaitsForProvenWorkersOnlyForATime(t *testing.T) {
	is := is.New(t)
	w := newWorld(2)
	bad := w.workers["w1"]
	bad.fails = always
	w.policy.Attempts = 2
	w.run(5 * time.Second)
	for i := range 20 {
		w.submit(fmt.Sprintf("proof%d", i), fill("r0-1", time.Second))
	}
	w.run(1200 * time.Millisecond)
	gang := step(2)
	gang.Gang = true
	gang.Label = "r1-1"
	gang.Estimate = 500 * time.Millisecond
	w.submit("gang", gang)
	w.run(800 * time.Millisecond)
	is.Equal(bad.began, 2)
	bad.fails = nil
	w.run(1500 * time.Millisecond)
	is.Equal(bad.began, 2)
	w.run(3 * time.Second)
	is.Equal(w.shown["gang"], job.Completed)
}

// BenchmarkHeldLastAttempts measures a placement pass in which 200 last attempts of different jobs are
// held for a proven worker, at 150 workers.
func BenchmarkHeldLastAttempts(b *testing.B) {
	const workers, jobs = 150, 200
	w := newWorld(workers)
	w.policy.Attempts = 2
	for _, f := range w.workers {
		f.fails = func(id job.TaskID) bool { return strings.HasPrefix(id.Job, "failing") }
	}
	w.run(5 * time.Second)
	once := step(1)
	once.Estimate = time.Second
	for i := range jobs {
		w.submit(fmt.Sprintf("failing%d", i), once)
	}
	w.run(200 * time.Millisecond)
	free := step(workers*workerTasks - jobs)
	free.Estimate = 300 * time.Millisecond
	w.submit("proof", free)
	w.run(400 * time.Millisecond)
	free.Estimate = time.Minute
	w.submit("filled", free)
	w.run(1200 * time.Millisecond)
	starts := 0
	for b.Loop() {
		orders, _ := w.core.Next(w.now)
		starts += len(orders.Starts)
	}
	if starts > 0 {
		b.Fatalf("%d held tasks started", starts)
	}
}
