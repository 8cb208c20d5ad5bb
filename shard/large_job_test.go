package shard_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"lemonstream.dev/lemonstream/job"
	"lemonstream.dev/lemonstream/shard"
)

// short returns a step of count tasks that each run for a tenth of a second on a tenth of a core.
func short(count int, after ...int) job.Step {
	s := step(count, after...)
	s.Need = job.Room{
		MilliCPU: 100,
		MemoryMB: 1,
	}
	s.Estimate = 100 * time.Millisecond
	return s
}

// chain returns steps of one task each, of which each waits for the one before.
func chain(length int) []job.Step {
	steps := []job.Step{short(1)}
	for i := 1; i < length; i++ {
		steps = append(steps, short(1, i-1))
	}
	return steps
}

// repeating returns a job whose occurrences are due at the given interval, the first at the given time.
func repeating(count int, first time.Time, interval time.Duration, steps ...job.Step) job.Spec {
	return job.Spec{
		Steps:    steps,
		FirstRun: first,
		Interval: interval,
		Repeats:  count,
	}
}

// submitSpec stores a job as an entry does, and tells the owner.
func (w *world) submitSpec(id string, spec job.Spec) {
	record := w.record(id)
	record.Spec = spec
	w.store(record)
	w.core.Accept(record, w.version, true, w.now)
}

// runsOnWorkers returns how many tasks run.
func (w *world) runsOnWorkers() int {
	count := 0
	for _, f := range w.workers {
		count += len(f.runs)
	}
	return count
}

// TestOwnerHoldsWhatCanRun guards against an owner whose memory follows from what its jobs ask for: with a
// state for each task of each occurrence that was due, one job took each owner in turn over its memory.
// What an owner holds beside its runs may be a few times as much as its workers have room for.
func TestOwnerHoldsWhatCanRun(t *testing.T) {
	const workers, occurrences = 4, 10_000
	start := time.UnixMilli(1_000_000)
	overdue := start.Add(-occurrences * time.Second)
	speculative := short(100)
	speculative.Speculative = true
	gang := short(100)
	gang.Gang = true
	huge := short(2000)
	huge.Gang = true
	spread := short(100)
	spread.PerWorker = 1
	one := func(spec job.Spec) func(*world) {
		return func(w *world) { w.submitSpec("a", spec) }
	}
	for _, c := range []struct {
		name   string
		submit func(w *world)
	}{
		{
			name:   "all overdue",
			submit: one(repeating(occurrences, overdue, time.Second, short(100))),
		},
		{
			name:   "due faster than they end",
			submit: one(repeating(occurrences, start, time.Millisecond, step(2))),
		},
		{
			name:   "steps",
			submit: one(repeating(occurrences, overdue, time.Second, chain(job.MaxSteps)...)),
		},
		{
			name:   "copies",
			submit: one(repeating(occurrences, overdue, time.Second, speculative)),
		},
		{
			name:   "gangs",
			submit: one(repeating(occurrences, overdue, time.Second, gang)),
		},
		{
			name:   "gangs that do not fit",
			submit: one(repeating(occurrences, overdue, time.Second, huge)),
		},
		{
			name:   "one task a worker",
			submit: one(repeating(occurrences, overdue, time.Second, spread)),
		},
		{
			name: "many large jobs",
			submit: func(w *world) {
				for i := range 50 {
					w.submit(fmt.Sprintf("j%d", i), short(job.MaxTasks/2), short(job.MaxTasks/2, 0))
				}
			},
		},
		{
			name: "many repeating jobs",
			submit: func(w *world) {
				for i := range 50 {
					w.submitSpec(fmt.Sprintf("j%d", i), repeating(100, overdue, time.Second, short(100)))
				}
			},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(workers)
			w.run(200 * time.Millisecond)
			c.submit(w)
			check := func(when string) {
				held := w.core.Held()
				room := workers * 40
				t.Logf("%s: %+v, %d runs", when, held, w.runsOnWorkers())
				is.True(held.Tasks <= w.runsOnWorkers()+2*room)
				is.True(held.Occurrences <= held.Jobs+w.runsOnWorkers()+2*room)
			}
			check("handed in")
			w.run(2 * time.Second)
			check("running")
			w.takeOver()
			check("taken over")
			w.run(3 * time.Second)
			check("running under the next owner")
			w.check(t)
		})
	}
}

// TestEndedTasksAreNotHeld guards against an owner that keeps the states of tasks that are done until
// their job is forgotten.
func TestEndedTasksAreNotHeld(t *testing.T) {
	is := is.New(t)
	w := newWorld(4)
	w.run(200 * time.Millisecond)
	w.submitSpec("a", repeating(200, w.now.Add(-time.Hour), time.Second, short(4), short(2, 0)))
	w.submit("b", short(500), short(10, 0))
	w.run(6 * time.Second)
	w.check(t)
	is.Equal(w.shown["a"], job.Completed)
	is.Equal(w.shown["b"], job.Completed)
	is.Equal(w.core.Held(), shard.Held{
		Jobs: 2,
	})
}

// TestLargeJobUsesTheRoomThereIs guards against a bound on open occurrences that leaves workers idle.
func TestLargeJobUsesTheRoomThereIs(t *testing.T) {
	const workers, slots = 4, 4 * 40
	spread := short(10)
	spread.PerWorker = 1
	for name, steps := range map[string][]job.Step{
		"one task":          {short(1)},
		"many tasks":        {short(100)},
		"one task a worker": {spread},
		"chain":             chain(20),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(workers)
			w.run(200 * time.Millisecond)
			w.submitSpec("a", repeating(10_000, w.now.Add(-10_000*time.Second), time.Second, steps...))
			w.run(time.Second)
			busy := 0
			for range 50 {
				w.run(tick)
				busy = max(busy, w.runsOnWorkers())
			}
			is.Equal(busy, slots)
			w.check(t)
		})
	}
}

// TestLargeJobEndsAcrossOwners guards against tasks that are lost or run again where an owner holds only
// a part of a job: all occurrences end, in order, whatever owner runs them, and each row fits the
// platform's bound.
func TestLargeJobEndsAcrossOwners(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.IntRange(1, 4).Draw(t, "workers"))
		w.run(200 * time.Millisecond)
		var steps []job.Step
		for i := range rapid.IntRange(1, 4).Draw(t, "steps") {
			s := short(rapid.IntRange(1, 12).Draw(t, "count"))
			if i > 0 && rapid.Bool().Draw(t, "after") {
				s.After = []int{rapid.IntRange(0, i-1).Draw(t, "earlier")}
			}
			s.Gang = rapid.IntRange(0, 3).Draw(t, "gang") == 0
			s.Speculative = rapid.IntRange(0, 3).Draw(t, "speculative") == 0
			s.Estimate = time.Duration(rapid.IntRange(2, 40).Draw(t, "length")) * tick
			steps = append(steps, s)
		}
		count := rapid.IntRange(1, 60).Draw(t, "occurrences")
		first := w.now.Add(time.Duration(rapid.IntRange(-60, 1).Draw(t, "first")) * time.Second)
		w.submitSpec("a", repeating(count, first, time.Duration(rapid.IntRange(1, 1000).Draw(t, "interval"))*time.Millisecond, steps...))
		for range rapid.IntRange(0, 6).Draw(t, "takeovers") {
			w.run(time.Duration(rapid.IntRange(1, 100).Draw(t, "until")) * tick)
			w.storeDown = rapid.IntRange(0, 5).Draw(t, "outage") == 0
			w.run(time.Duration(rapid.IntRange(0, 20).Draw(t, "then")) * tick)
			w.storeDown = false
			w.takeOver()
		}
		for range 120 {
			w.run(time.Second)
			if w.shown["a"].Final() {
				break
			}
		}
		if state := w.shown["a"]; state != job.Completed {
			t.Fatalf("job is shown as %q", state)
		}
		for occurrence := range count {
			for i, s := range steps {
				for index := range s.Count {
					id := job.TaskID{
						Job:        "a",
						Occurrence: occurrence,
						Step:       i,
						Index:      index,
					}
					if w.started[id].IsZero() {
						t.Fatalf("task %s never started", id)
					}
				}
			}
		}
		w.check(t)
	})
}

// TestRowOfLargeJobIsBounded guards against a row of progress that grows with the occurrences that have
// ended: the store refuses a row beyond its bound, and with it every transaction of the service.
func TestRowOfLargeJobIsBounded(t *testing.T) {
	for name, steps := range map[string][]job.Step{
		"many tasks": {short(10)},
		"steps":      {short(1), short(2, 0), short(1, 1)},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(5)
			w.run(200 * time.Millisecond)
			for i := range steps {
				steps[i].Need.MilliCPU = 20
				steps[i].Estimate = tick
			}
			w.submitSpec("a", repeating(10_000, w.now.Add(-10_000*time.Second), time.Second, steps...))
			for range 40 {
				w.run(500 * time.Millisecond)
			}
			is.Equal(w.shown["a"], job.Completed)
			w.check(t)
		})
	}
}

// TestRowOfEarlierVersionIsRead guards against tasks that run again after an update of the program: rows
// of earlier versions list the tasks that are done by step, of ended occurrences too.
func TestRowOfEarlierVersionIsRead(t *testing.T) {
	is := is.New(t)
	w := newWorld(2)
	record := w.record("a")
	record.Spec = repeating(6, w.now.Add(-time.Hour), time.Second, short(9), short(1, 0))
	w.store(record)
	w.progress["a"] = shard.Progress{
		State: job.Running,
		Done: map[string][]byte{
			"0.0": {0xff, 0x01},
			"0.1": {0x01},
			"1.0": {0xff, 0x01},
			"3.0": {0x03, 0x00},
			"4.0": {0xff, 0x01},
			"4.1": {0x01},
		},
		Failed: map[string][]int64{
			"3.0.5": {1},
			"4.0.2": {1, 2},
		},
	}
	w.takeOver()
	w.run(12 * time.Second)
	is.Equal(w.shown["a"], job.Completed)
	for id := range w.started {
		done := id.Occurrence == 0 || id.Occurrence == 4 || (id.Occurrence == 1 && id.Step == 0) ||
			(id.Occurrence == 3 && id.Step == 0 && id.Index < 2)
		is.True(!done) // The row says that the task is done.
	}
	is.Equal(len(w.started), 1+10+8+10)
	w.check(t)
}

// TestSmallJobsBeginBesideOverdueOccurrences guards against a job with many overdue occurrences that takes
// all room for as long as they last, so that no job that is handed in later begins.
func TestSmallJobsBeginBesideOverdueOccurrences(t *testing.T) {
	is := is.New(t)
	w := newWorld(4)
	w.run(200 * time.Millisecond)
	w.submitSpec("large", repeating(10_000, w.now.Add(-10_000*time.Second), time.Second, short(100)))
	w.run(time.Second)
	for i := range 10 {
		w.submit(fmt.Sprintf("small%d", i), short(1))
		w.run(200 * time.Millisecond)
	}
	w.run(500 * time.Millisecond)
	for i := range 10 {
		is.Equal(w.shown[fmt.Sprintf("small%d", i)], job.Completed)
	}
	is.Equal(w.shown["large"], job.Running)
	w.check(t)
}

// TestLateSmallJobsBeginBesideLargeOnes guards against small jobs that have become late, as after an outage,
// and wait for the end of large ones that are late as well.
func TestLateSmallJobsBeginBesideLargeOnes(t *testing.T) {
	for name, spec := range map[string]job.Spec{
		"repeating": repeating(10_000, time.UnixMilli(1_000_000).Add(-10_000*time.Second), time.Second, short(100)),
		"one step": {
			Steps: []job.Step{short(job.MaxTasks)},
		},
		"on time for long": repeating(10_000, time.UnixMilli(1_000_000), time.Millisecond, chain(256)...),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(4)
			w.run(200 * time.Millisecond)
			submitLate := func(id string, late time.Duration, spec job.Spec) {
				record := w.record(id)
				record.Spec = spec
				record.AcceptedMillis = w.now.Add(-late).UnixMilli()
				w.store(record)
				w.core.Accept(record, w.version, true, w.now)
			}
			for i := range 10 {
				submitLate(fmt.Sprintf("large%d", i), 2*time.Minute, spec)
			}
			w.run(3 * time.Second)
			is.True(w.runsOnWorkers() >= 4*40/2)
			for i := range 20 {
				submitLate(fmt.Sprintf("small%d", i), time.Minute, job.Spec{
					Steps: []job.Step{short(2), short(1, 0)},
				})
			}
			w.run(2 * time.Second)
			for i := range 20 {
				is.Equal(w.shown[fmt.Sprintf("small%d", i)], job.Completed)
			}
			w.check(t)
		})
	}
}

// TestGangsThatDoNotFitCostOneLook guards against an owner that spends each round on gangs for which there is
// no room, task by task, until another entry replaces it.
func TestGangsThatDoNotFitCostOneLook(t *testing.T) {
	is := is.New(t)
	const workers, gangs = 8, 16
	w := newWorld(workers)
	w.run(200 * time.Millisecond)
	gang := short(job.MaxTasks)
	gang.Need.MilliCPU = 2
	gang.Need.MemoryMB = 0
	gang.Gang = true
	gang.SameRack = true
	for i := range gangs {
		w.submit(fmt.Sprintf("gang%d", i), gang)
	}
	w.evacuations.checks = 0
	w.core.Next(w.now)
	t.Logf("%d looks at workers", w.evacuations.checks)
	is.True(w.evacuations.checks <= 5*workers*gangs)
	w.submit("small", short(1))
	w.run(time.Second)
	is.Equal(w.shown["small"], job.Completed)
	w.check(t)
}

// BenchmarkOverdueJob measures what an owner holds and how long its rounds take by the number of overdue
// occurrences of a job, each with 100 tasks.
func BenchmarkOverdueJob(b *testing.B) {
	for _, occurrences := range []int{10, 100, 1000, 10_000} {
		b.Run(fmt.Sprintf("%d", occurrences), func(b *testing.B) {
			benchmarkLargeJobs(b, 1, repeating(occurrences, time.UnixMilli(1_000_000-int64(occurrences)*1000), time.Second, short(100)))
		})
	}
}

// BenchmarkLargeJobs measures the same by the number of jobs with 20,000 tasks each.
func BenchmarkLargeJobs(b *testing.B) {
	for _, count := range []int{1, 10, 100} {
		b.Run(fmt.Sprintf("%d", count), func(b *testing.B) {
			benchmarkLargeJobs(b, count, job.Spec{
				Steps: []job.Step{short(job.MaxTasks)},
			})
		})
	}
}

// benchmarkLargeJobs measures rounds of an owner with 8 workers that has the given job, count times.
func benchmarkLargeJobs(b *testing.B, count int, spec job.Spec) {
	w := newWorld(8)
	w.run(200 * time.Millisecond)
	before := heapBytes()
	for i := range count {
		w.submitSpec(fmt.Sprintf("j%d", i), spec)
	}
	w.run(500 * time.Millisecond)
	held := heapBytes() - before
	for b.Loop() {
		w.core.Next(w.now)
	}
	b.ReportMetric(float64(held)/1024, "held-KiB")
	b.ReportMetric(float64(held)/float64(count*spec.Tasks()*spec.Occurrences()), "B/task")
}

// heapBytes returns the bytes of live objects.
func heapBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
