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

// TestShrunkCapacityStopsNewStarts shrinks the capacity of every worker below the resources that
// its runs take. Runs continue, and no task is started until enough of them have ended.
func TestShrunkCapacityStopsNewStarts(t *testing.T) {
	is := is.New(t)
	w := newWorld(2)
	w.run(200 * time.Millisecond)
	w.submit("a", step(6))
	w.run(100 * time.Millisecond)
	is.Equal(totalStarts(w), 6)
	for _, f := range w.workers {
		f.reg.Capacity.MilliCPU = 2000
	}
	w.list()
	w.submit("b", step(2))
	w.run(500 * time.Millisecond)
	is.Equal(totalStarts(w), 6)
	w.run(time.Second)
	is.Equal(totalStarts(w), 8)
	w.run(3 * time.Second)
	is.Equal(w.shown["a"], job.Completed)
	is.Equal(w.shown["b"], job.Completed)
	w.check(t)
}

// TestNoStartExceedsChangingCapacity changes capacities at any moment, amid takeovers. The
// oracle reports a start that exceeds the capacity that the worker itself reports.
func TestNoStartExceedsChangingCapacity(t *testing.T) {
	prove.Property(t, func(t *rapid.T) {
		w := newWorld(4)
		w.run(200 * time.Millisecond)
		for i := range rapid.IntRange(5, 25).Draw(t, "rounds") {
			f := w.workers[fmt.Sprint("w", rapid.IntRange(0, 3).Draw(t, "worker"))]
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0, 1:
				f.reg.Capacity = job.Room{
					MilliCPU: 1000 * rapid.IntRange(0, 6).Draw(t, "cores"),
					MemoryMB: 100 * rapid.IntRange(0, 40).Draw(t, "memory"),
				}
				w.list()
			case 2:
				w.takeOver()
			default:
				s := step(rapid.IntRange(1, 6).Draw(t, "tasks"))
				s.Gang = rapid.Bool().Draw(t, "gang")
				w.submit(fmt.Sprintf("j%d", i), s)
			}
			w.run(time.Duration(rapid.IntRange(1, 150).Draw(t, "wait")) * tick)
		}
		w.check(t)
	})
}
