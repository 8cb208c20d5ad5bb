package shard_test

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"lemonstream.dev/lemonstream/internal/prove"
	"lemonstream.dev/lemonstream/job"
	"lemonstream.dev/lemonstream/shard"
)

// tiny returns a step of count tasks of which thousands fit on one worker.
func tiny(count int) job.Step {
	s := short(count)
	s.Need.MilliCPU = 1
	s.Need.MemoryMB = 0
	return s
}

// failing makes the runs of some jobs fail on all workers.
func (w *world) failing(jobs ...string) {
	for _, f := range w.workers {
		f.fails = func(id job.TaskID) bool {
			for _, failing := range jobs {
				if id.Job == failing {
					return true
				}
			}
			return false
		}
	}
}

// totalBegan returns how many runs all workers have started.
func (w *world) totalBegan() int {
	sum := 0
	for _, f := range w.workers {
		sum += f.began
	}
	return sum
}

// TestJobThatFailsInManyTasksEnds guards against a row that lists the failed runs of each task by name: it
// outgrew what the store takes, and no job of the service began any more. The job fails, across owners
// too, after each of its tasks has used its attempts at the most, and a job beside it is completed.
func TestJobThatFailsInManyTasksEnds(t *testing.T) {
	const tasks = 5600
	for _, takeovers := range []int{0, 3} {
		t.Run(fmt.Sprintf("%d takeovers", takeovers), func(t *testing.T) {
			is := is.New(t)
			w := newWorld(2)
			w.run(200 * time.Millisecond)
			w.failing("large")
			large := tiny(tasks)
			large.Estimate = time.Second
			w.submit("large", large)
			for range takeovers {
				w.run(700 * time.Millisecond)
				w.takeOver()
			}
			w.submit("small", short(2))
			for range 200 {
				w.run(100 * time.Millisecond)
				if w.shown["large"].Final() && w.shown["small"].Final() {
					break
				}
			}
			is.Equal(w.shown["large"], job.Failed)
			is.Equal(w.shown["small"], job.Completed)
			is.Equal(len(w.progress["large"].Failure.FailedRuns), w.policy.Attempts)
			is.Equal(w.progress["large"].Failure.RowBytes, 0) // Not because its row is too large.
			is.True(w.totalBegan() <= w.policy.Attempts*tasks+2)
			w.check(t)
		})
	}
}

// TestListedHistoryOfManyTasksIsRead guards against attempts that are forgotten after an update of the
// program: rows of earlier versions list failed runs and crashes by task, however many.
func TestListedHistoryOfManyTasksIsRead(t *testing.T) {
	const tasks = 2000
	is := is.New(t)
	w := newWorld(6)
	record := w.record("a", tiny(tasks))
	w.store(record)
	before := shard.Progress{
		State:   job.Running,
		Failed:  make(map[string][]int64),
		Crashed: make(map[string][]string),
	}
	for i := range tasks {
		before.Failed[fmt.Sprintf("0.0.%d", i)] = []int64{1, 2}
		if i%3 == 0 {
			before.Crashed[fmt.Sprintf("0.0.%d", i)] = []string{"gone"}
		}
	}
	w.progress["a"] = before
	w.failing("a")
	w.takeOver()
	w.run(10 * time.Second)
	is.Equal(w.shown["a"], job.Failed)
	is.True(w.totalBegan() <= tasks)
	w.check(t)
}

// listedHistory returns what a row says of the tasks of a job by task, whether it lists or packs that.
func listedHistory(t *rapid.T, p shard.Progress, spec job.Spec) map[string][]string {
	listed := make(map[string][]string)
	for key, runs := range p.Failed {
		for _, run := range runs {
			listed[key] = append(listed[key], fmt.Sprint("run ", run))
		}
	}
	for kind, marks := range []map[string][]string{p.Crashed, p.BesideCrashes, p.PossibleCrashes, p.SharedCrashes} {
		for key, workers := range marks {
			for _, worker := range workers {
				listed[key] = append(listed[key], fmt.Sprint(worker, " ", kind))
			}
		}
	}
	add := func(tasks []byte, entry string) {
		for _, number := range numbersIn(t, tasks) {
			step, index := 0, number%spec.Tasks()
			for index >= spec.Steps[step].Count {
				index -= spec.Steps[step].Count
				step++
			}
			key := fmt.Sprintf("%d.%d.%d", number/spec.Tasks(), step, index)
			listed[key] = append(listed[key], entry)
		}
	}
	if p.History != nil {
		for run, tasks := range p.History.Failed {
			add(tasks, fmt.Sprint("run ", run))
		}
		for _, mark := range p.History.Marks {
			for kind := range 4 {
				if mark.Kinds&(1<<kind) != 0 {
					add(mark.Tasks, fmt.Sprint(mark.Worker, " ", kind))
				}
			}
		}
	}
	for _, entries := range listed {
		slices.Sort(entries)
	}
	return listed
}

// numbersIn decodes a set of numbers: gaps, ranges, or a bitmap.
func numbersIn(t *rapid.T, encoded []byte) []int {
	var numbers []int
	next, left := 0, encoded[1:]
	number := func() int {
		value, size := binary.Uvarint(left)
		left = left[size:]
		return int(value)
	}
	switch encoded[0] {
	case 0, 1:
		for len(left) > 0 {
			next += number()
			length := 1
			if encoded[0] == 1 {
				length += number()
			}
			for range length {
				numbers = append(numbers, next)
				next++
			}
		}
	case 2:
		first := number()
		for i := range 8 * len(left) {
			if left[i/8]&(1<<(i%8)) != 0 {
				numbers = append(numbers, first+i)
			}
		}
	default:
		t.Fatalf("unknown form %d", encoded[0])
	}
	return numbers
}

// TestHistoryIsKeptAcrossOwners draws the history of the tasks of a job. The row that the next owner
// writes says the same, also when it packs what the row before listed, and so does that of the owner after
// it. No row is too large.
func TestHistoryIsKeptAcrossOwners(t *testing.T) {
	prove.Property(t, func(t *rapid.T) {
		tasks := rapid.SampledFrom([]int{20, 300, 2000, job.MaxTasks/2 - 2}).Draw(t, "tasks")
		share := rapid.IntRange(1, 100).Draw(t, "share")
		runs := rapid.IntRange(1, 4).Draw(t, "runs")
		crashed := rapid.IntRange(0, 4).Draw(t, "crashed workers")
		occurrences := rapid.SampledFrom([]int{1, 3, 500}).Draw(t, "occurrences")
		if occurrences > 3 {
			tasks = 20 // No owner opens that many occurrences of more tasks.
		}
		random := rand.New(rand.NewPCG(1, rapid.Uint64().Draw(t, "seed")))
		nowhere := tiny(tasks)
		nowhere.Label = "nowhere"
		w := newWorld(1)
		record := w.record("a", nowhere, tiny(2), nowhere)
		if occurrences > 1 {
			record.Spec.FirstRun = w.now.Add(-time.Hour)
			record.Spec.Interval = time.Second
			record.Spec.Repeats = occurrences
		}
		row := shard.Progress{
			State:           job.Running,
			Failed:          make(map[string][]int64),
			Crashed:         make(map[string][]string),
			BesideCrashes:   make(map[string][]string),
			PossibleCrashes: make(map[string][]string),
		}
		for i := range tasks {
			if random.IntN(100) >= share {
				continue
			}
			key := fmt.Sprintf("%d.%d.%d", random.IntN(occurrences), 2*random.IntN(2), i)
			row.Failed[key] = []int64{int64(1 + random.IntN(runs))}
			if crashed > 0 {
				worker := fmt.Sprintf("i-%08x", random.IntN(crashed))
				row.Crashed[key] = []string{worker}
				if random.IntN(2) == 0 {
					row.BesideCrashes[key] = []string{worker}
				}
				row.PossibleCrashes[key] = []string{worker + "-other"}
			}
		}
		w.store(record)
		w.progress["a"] = row
		want := listedHistory(t, row, record.Spec)
		for owner := range 2 {
			w.takeOver()
			w.run(300 * time.Millisecond)
			// The step between the two others has ended, so that the row was written.
			now := w.progress["a"]
			if len(now.Done) == 0 {
				t.Fatalf("owner %d has written no row", owner)
			}
			if got := listedHistory(t, now, record.Spec); !reflect.DeepEqual(got, want) {
				t.Fatalf("owner %d writes %v, not %v", owner, got, want)
			}
			if size := len(now.Encode()); size > maxRowBytes {
				t.Fatalf("the row has %d bytes", size)
			}
		}
	})
}

// TestRowsOfABatchFitIntoATransaction guards against a transaction that grows with the rows in it: the
// store rejects one beyond its bytes. Each job's turn comes.
func TestRowsOfABatchFitIntoATransaction(t *testing.T) {
	is := is.New(t)
	w := newWorld(8)
	w.run(200 * time.Millisecond)
	var large []string
	for i := range 24 {
		large = append(large, fmt.Sprintf("large%02d", i))
	}
	w.failing(large...)
	for _, id := range large {
		w.submit(id, tiny(1000))
	}
	w.run(500 * time.Millisecond)
	w.submit("zz", short(2))
	w.run(20 * time.Second)
	for _, id := range large {
		is.Equal(w.shown[id], job.Failed)
	}
	is.Equal(w.shown["zz"], job.Completed)
	w.check(t)
}
