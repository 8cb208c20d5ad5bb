package shard_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"lemonstream.dev/lemonstream/internal/prove"
	"lemonstream.dev/lemonstream/job"
	"lemonstream.dev/lemonstream/underway"
)

// newBoundedWorld returns a world whose owner may have so many orders of each kind, and runs, under way.
// It is the only service of its entry, so that it gets half of each bound.
func newBoundedWorld(workers, orders, runs int) *world {
	w := newWorld(workers)
	w.limits = &underway.Limits{
		Starts: underway.NewBound(2 * orders),
		Stops:  underway.NewBound(2 * orders),
		Paces:  underway.NewBound(2 * orders),
		Polls:  underway.NewBound(2 * orders),
		Runs:   underway.NewBound(2 * runs),
	}
	w.epoch = 0
	w.takeOver()
	return w
}

// TestOrdersUnderWayAreBounded guards against an owner that has an order under way for each task that it
// starts or stops at once: jobs of 5,000 tasks that came together took each owner over its memory.
func TestOrdersUnderWayAreBounded(t *testing.T) {
	const workers, orders, runs = 8, 20, 100_000
	gang := short(200)
	gang.Gang = true
	for name, submit := range map[string]func(w *world){
		"one large job": func(w *world) { w.submit("a", short(2000)) },
		"many jobs": func(w *world) {
			for i := range 40 {
				w.submit(fmt.Sprintf("a%d", i), short(50))
			}
		},
		"gang":        func(w *world) { w.submit("a", gang) },
		"lasting job": func(w *world) { w.submit("a", lasting(60, 60)) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newBoundedWorld(workers, orders, runs)
			w.run(200 * time.Millisecond)
			submit(w)
			w.run(time.Second)
			for id := range w.records {
				w.cancel(id)
			}
			w.run(3 * time.Second)
			is.Equal(w.runsOnWorkers(), 0)
			w.check(t)
			t.Logf("most unanswered: %v", w.mostUnanswered)
			is.True(w.mostUnanswered["starts"] <= orders)
			is.True(w.mostUnanswered["stops"] <= orders)
			is.True(w.mostUnanswered["polls"] <= orders)
			for kind, use := range w.limits.Uses() {
				t.Logf("%s: %+v", kind, use)
				is.True(use.Taken == 0 || kind == "polls")
			}
		})
	}
}

// TestOrdersWithoutBounds shows that the jobs of the test above need the bounds.
func TestOrdersWithoutBounds(t *testing.T) {
	is := is.New(t)
	w := newWorld(8)
	w.run(200 * time.Millisecond)
	w.submit("a", short(2000))
	w.run(100 * time.Millisecond)
	is.True(w.mostUnanswered["starts"] >= 8*40)
}

// TestRunsAreBounded guards against an owner whose memory follows from the runs that fit on its workers:
// jobs wait for runs to end, and the last of them end too.
func TestRunsAreBounded(t *testing.T) {
	const workers, runs = 8, 100
	is := is.New(t)
	w := newBoundedWorld(workers, 1000, runs)
	w.run(200 * time.Millisecond)
	for i := range 10 {
		w.submit(fmt.Sprintf("a%d", i), short(100))
	}
	most := 0
	for range 600 {
		w.run(tick)
		most = max(most, w.runsOnWorkers())
	}
	t.Logf("most runs: %d", most)
	is.True(most <= runs)
	is.True(most >= runs*8/10)
	for i := range 10 {
		is.Equal(w.shown[fmt.Sprintf("a%d", i)], job.Completed)
	}
	is.Equal(w.limits.Runs.Use().Taken, 0)
	w.check(t)
}

// TestSmallJobBeginsBesideLongRuns guards against a large job whose long tasks take all runs that the
// owner may follow, so that a job that comes later waits although workers have room.
func TestSmallJobBeginsBesideLongRuns(t *testing.T) {
	is := is.New(t)
	w := newBoundedWorld(8, 1000, 100)
	w.run(200 * time.Millisecond)
	long := short(2000)
	long.Estimate = time.Hour
	w.submit("long", long)
	w.run(2 * time.Second)
	w.submit("small", short(10))
	w.run(time.Second)
	is.Equal(w.shown["small"], job.Completed)
	is.Equal(w.shown["long"], job.Running)
	w.check(t)
}

// TestManyWorkersKeepTheirLeases guards against leases that lapse because more workers have to be polled
// than polls may be under way.
func TestManyWorkersKeepTheirLeases(t *testing.T) {
	const workers, orders = 100, 10
	is := is.New(t)
	w := newBoundedWorld(workers, orders, 100_000)
	w.run(500 * time.Millisecond)
	w.submit("a", lasting(workers, 1))
	w.run(2 * time.Second)
	is.Equal(w.runsOnWorkers(), workers)
	before := len(w.started)
	w.run(5 * testLease)
	is.Equal(w.runsOnWorkers(), workers)
	is.Equal(len(w.started), before)
	is.True(w.mostUnanswered["polls"] <= orders)
	w.check(t)
}

// TestStopsDoNotWaitForStarts guards against stops behind the starts of a burst: a job that is cancelled
// beside one has no runs any more once its stops are answered.
func TestStopsDoNotWaitForStarts(t *testing.T) {
	is := is.New(t)
	w := newBoundedWorld(8, 4, 100_000)
	w.startAnswerDelay = 500 * time.Millisecond
	w.run(200 * time.Millisecond)
	long := short(4)
	long.Estimate = time.Hour
	w.submit("a", long)
	w.run(2 * time.Second)
	is.Equal(w.runsOnWorkers(), 4)
	w.submit("burst", short(2000))
	w.run(200 * time.Millisecond)
	w.cancel("a")
	w.run(600 * time.Millisecond)
	for _, f := range w.workers {
		for id := range f.runs {
			is.True(id.Job != "a")
		}
	}
	w.check(t)
}

// TestBoundsUnderFaults draws jobs, cancellations, lost workers, outages and takeovers for an owner that
// may have little under way. Each rule holds, and each job ends.
func TestBoundsUnderFaults(t *testing.T) {
	prove.Property(t, func(t *rapid.T) {
		w := newBoundedWorld(4, rapid.IntRange(1, 8).Draw(t, "orders"), rapid.IntRange(12, 60).Draw(t, "runs"))
		w.run(200 * time.Millisecond)
		var ids []string
		for i := range rapid.IntRange(4, 16).Draw(t, "rounds") {
			f := w.workers[fmt.Sprint("w", rapid.IntRange(0, 3).Draw(t, "worker"))]
			switch rapid.IntRange(0, 7).Draw(t, "what") {
			case 0:
				f.partitioned = !f.partitioned
			case 1:
				w.takeOver()
			case 2:
				w.storeDown = !w.storeDown
			case 3:
				if len(ids) > 0 {
					w.cancel(ids[rapid.IntRange(0, len(ids)-1).Draw(t, "job")])
				}
			default:
				s := short(rapid.IntRange(1, 12).Draw(t, "tasks"))
				s.Gang = rapid.IntRange(0, 3).Draw(t, "gang") == 0
				s.Speculative = rapid.IntRange(0, 3).Draw(t, "speculative") == 0
				id := fmt.Sprintf("j%d", i)
				ids = append(ids, id)
				w.submit(id, s, short(1, 0))
			}
			w.run(time.Duration(rapid.IntRange(1, 80).Draw(t, "until")) * tick)
		}
		for _, f := range w.workers {
			f.partitioned = false
		}
		w.storeDown = false
		w.run(30 * time.Second)
		for _, id := range ids {
			if state := w.shown[id]; !state.Final() {
				t.Fatalf("job %s is shown as %q", id, state)
			}
		}
		if use := w.limits.Runs.Use(); use.Taken != 0 {
			t.Fatalf("runs are still counted: %+v", use)
		}
		w.check(t)
	})
}
