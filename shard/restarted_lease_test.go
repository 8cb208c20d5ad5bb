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

// clockLead is how long the first incarnations of the workers have run before one starts again, so that
// their deadlines are beyond the longest lease on the clock of the next incarnation.
const clockLead = 30 * time.Second

// TestRunOutlivesLeaseOfRestartedWorker covers a worker that starts again and receives an order that was
// meant for its former incarnation. The deadline in it, a time on the former clock, extends the lease there
// to the longest one. The owner counted an ordinary lease, and started the task of a run there elsewhere
// once the worker had been cut off for that long.
func TestRunOutlivesLeaseOfRestartedWorker(t *testing.T) {
	cut := func(w *world) { w.workers["w0"].partitioned = true }
	for name, lose := range map[string]func(w *world){
		"one owner": cut,
		"a new owner that reaches the worker": func(w *world) {
			w.takeOver()
			w.run(200 * time.Millisecond)
			cut(w)
		},
		"a new owner that does not reach the worker": func(w *world) {
			cut(w)
			w.takeOver()
		},
		"a new owner after the cut was noticed": func(w *world) {
			cut(w)
			w.run(2 * time.Second)
			w.takeOver()
		},
		"two new owners that do not reach the worker": func(w *world) {
			cut(w)
			w.takeOver()
			w.run(500 * time.Millisecond)
			w.takeOver()
		},
		"two new owners, the first reaches the worker": func(w *world) {
			w.takeOver()
			w.run(200 * time.Millisecond)
			cut(w)
			w.takeOver()
		},
		"an owner that is replaced while it reaches the worker": func(w *world) {
			w.takeOverFromPartitioned(maxActiveAfterClaim, w.workers["w0"])
		},
		"a release to an owner that reaches the worker": func(w *world) {
			w.release(50 * time.Millisecond)
			w.run(200 * time.Millisecond)
			cut(w)
		},
		"a release to an owner that does not reach the worker": func(w *world) {
			w.release(50 * time.Millisecond)
			cut(w)
			w.core.Depose()
			w.takeOver()
		},
		"a release after the cut": func(w *world) {
			cut(w)
			w.run(time.Second)
			w.release(50 * time.Millisecond)
		},
		"a release and a new owner": func(w *world) {
			cut(w)
			w.release(50 * time.Millisecond)
			w.run(300 * time.Millisecond)
			w.takeOver()
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newWorldWithLongRun(is, func(w *world) { w.restartWorker(w.workers["w0"], 0) })
			lose(w)
			w.run(2 * testMaxLease)
			w.check(t)
			w.workers["w0"].partitioned = false
			w.run(40 * time.Second)
			w.check(t)
			is.Equal(w.shown["a"], job.Completed)
		})
	}
}

// newWorldWithLongRun returns a world in which a long task has just started on w0, soon after restart has
// started that worker again.
func newWorldWithLongRun(is *is.I, restart func(w *world)) *world {
	w := newWorld(2)
	w.run(clockLead)
	restart(w)
	w.run(300 * time.Millisecond)
	long := step(1)
	long.Estimate = 15 * time.Second
	long.DataRack = w.workers["w0"].reg.Rack
	w.submit("a", long)
	w.run(500 * time.Millisecond)
	is.Equal(reachableWorkersOf(w, "a"), []*fakeWorker{w.workers["w0"]})
	return w
}

// TestLatePollExtendsLeaseOfNextIncarnation covers polls that get no answer and that the next incarnation
// carries out after it has answered.
func TestLatePollExtendsLeaseOfNextIncarnation(t *testing.T) {
	for late := 300 * time.Millisecond; late <= 2500*time.Millisecond; late += 100 * time.Millisecond {
		t.Run(fmt.Sprint(late), func(t *testing.T) {
			is := is.New(t)
			w := newWorldWithLongRun(is, func(w *world) {
				w.pollDelay = late
				w.run(300 * time.Millisecond)
				w.pollDelay = 0
				w.restartWorker(w.workers["w0"], 100*time.Millisecond)
				w.run(700 * time.Millisecond) // The poll in flight fails, and the next one is answered.
			})
			w.run(late)
			w.workers["w0"].partitioned = true
			w.run(2 * testMaxLease)
			w.check(t)
		})
	}
}

// TestLateStartExtendsLeaseOfNextIncarnation covers starts that get no answer and that the next incarnation
// refuses later, because their runs were stopped there. They set the deadline all the same.
func TestLateStartExtendsLeaseOfNextIncarnation(t *testing.T) {
	for late := 200 * time.Millisecond; late <= 3*time.Second; late += 200 * time.Millisecond {
		t.Run(fmt.Sprint(late), func(t *testing.T) {
			is := is.New(t)
			w := newWorldWithLongRun(is, func(w *world) {
				w.startDelay = late
				short := step(1)
				short.DataRack = w.workers["w0"].reg.Rack
				w.submit("late", short)
				w.run(50 * time.Millisecond)
				w.startDelay = 0
				w.restartWorker(w.workers["w0"], 0)

			})
			w.run(late)
			w.workers["w0"].partitioned = true
			w.run(2 * testMaxLease)
			w.check(t)
		})
	}
}

// TestUnreportedRestartBeforeTakeover covers a worker that starts again and carries out an order for its
// former incarnation just before its owner dies, so that no row tells of the restart. The next owner reaches
// the worker once.
func TestUnreportedRestartBeforeTakeover(t *testing.T) {
	for reached := 20 * time.Millisecond; reached <= 600*time.Millisecond; reached += 20 * time.Millisecond {
		t.Run(fmt.Sprint(reached), func(t *testing.T) {
			is := is.New(t)
			w := newWorld(2)
			w.run(clockLead)
			f := w.workers["w0"]
			w.storeDown = true
			w.restartWorker(f, 0)
			w.run(reached)
			w.storeDown = false
			w.takeOver()
			long := step(1)
			long.Estimate = 15 * time.Second
			long.DataRack = f.reg.Rack
			w.run(100 * time.Millisecond)
			w.submit("a", long)
			w.run(500 * time.Millisecond)
			is.Equal(len(f.runs), 1)
			f.partitioned = true
			w.run(2 * testMaxLease)
			w.check(t)
		})
	}
}

// TestRestartedAndCutOffUnderFaults starts workers again and cuts them off soon after, at random, while long
// tasks run, amid takeovers, releases, zombies, outages of the store, and polls and starts that are carried out
// late. Clocks of incarnations differ at random.
func TestRestartedAndCutOffUnderFaults(t *testing.T) {
	prove.Property(t, simulateCutRestarts)
}

// simulateCutRestarts does one such simulation run.
func simulateCutRestarts(t *rapid.T) {
	w := newWorld(4)
	w.run(time.Duration(rapid.IntRange(1, 30).Draw(t, "clock lead")) * time.Second)
	names := []string{"w0", "w1", "w2", "w3"}
	count := rapid.IntRange(5, 25).Draw(t, "rounds")
	for i := 0; i < count; i++ {
		f := w.workers[rapid.SampledFrom(names).Draw(t, "worker")]
		switch rapid.IntRange(0, 17).Draw(t, "what") {
		case 0:
			w.takeOver()
		case 1:
			w.release(time.Duration(rapid.IntRange(0, 50).Draw(t, "free for")) * tick)
		case 2:
			w.takeOverFromPartitioned(maxActiveAfterClaim, f)
		case 3:
			w.pollDelay = time.Duration(rapid.IntRange(0, 300).Draw(t, "late polls")) * tick
		case 4:
			w.pollDelay = 0
		case 5:
			w.storeDown = rapid.Bool().Draw(t, "down")
		case 6:
			w.lateAnswers = time.Duration(rapid.IntRange(0, 60).Draw(t, "late answers")) * tick
		case 7:
			f.partitioned = true
		case 8, 9:
			f.partitioned = false
		case 10, 11, 12, 13:
			w.clockAhead = time.Duration(rapid.IntRange(0, 60).Draw(t, "next clock")) * time.Second
			w.restartWorker(f, time.Duration(rapid.IntRange(0, 60).Draw(t, "away"))*tick)
			w.run(time.Duration(rapid.IntRange(1, 250).Draw(t, "cut after")) * tick)
			f.partitioned = true
		default:
			s := step(rapid.IntRange(1, 5).Draw(t, "tasks"))
			s.Estimate = time.Duration(rapid.IntRange(100, 1500).Draw(t, "takes")) * tick
			w.submit(fmt.Sprintf("j%d", i), s)
		}
		w.run(time.Duration(rapid.IntRange(1, 400).Draw(t, "wait")) * tick)
	}
	w.endSimulation(t)
}
