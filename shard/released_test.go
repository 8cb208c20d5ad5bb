package shard_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"lemonstream.dev/lemonstream/outside"
	"lemonstream.dev/lemonstream/pool"
	"lemonstream.dev/lemonstream/shard"
)

// maxOrderDelay is the maximum time from the request for a load until the instance controller
// sends an order based on it. maxEffectDelay is the maximum time until that order takes effect.
const (
	maxOrderDelay  = time.Second
	maxEffectDelay = 900 * time.Millisecond
)

// TestStuckTaskDoesNotStartOnReleasedWorker lets the instance controller send an order as late as
// it may after its request for a load, while long-running tasks could run only on the worker
// that the load has reported as closed and empty.
func TestStuckTaskDoesNotStartOnReleasedWorker(t *testing.T) {
	is := is.New(t)
	w := newWorld(2)
	w.run(200 * time.Millisecond)
	w.submit("a", lasting(2, 1))
	w.run(2 * time.Second)
	is.Equal(w.availableRuns("a"), 2)
	running := reachableWorkersOf(w, "a")[0]
	var last *fakeWorker
	for _, f := range w.workers {
		if f != running {
			last = f
		}
	}
	w.crashWorker(running)
	w.closeAndTerminate(last, 20*time.Second)
	w.check(t)
}

// TestNextOwnerStartsNothingOnReleasedWorker guards against a next owner that starts tasks on a
// worker that the previous owner has reported as closed and empty. The instance controller
// requests the load of an owner, announces its orders in a row and then sends them, and the
// order would end more tasks of a step at once than may be unavailable. An owner that takes the
// shard after the announcement reads it, or knows that it can't. If it takes the shard earlier,
// the instance controller notices the new owner and sends no order.
func TestNextOwnerStartsNothingOnReleasedWorker(t *testing.T) {
	for name, succeed := range map[string]func(*world){
		"died":     func(w *world) { w.takeOver() },
		"released": func(w *world) { w.release(10 * tick) },
		"can't read": func(w *world) {
			w.releasedUnread = true
			w.takeOver()
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for at := time.Duration(0); at < 600*time.Millisecond; at += 2 * tick {
				w, free := newReleasedWorker(is)
				w.released = []string{free.reg.ID}
				w.run(at)
				w.submit("a", lasting(2, 1))
				succeed(w)
				w.run(maxOrderDelay + maxEffectDelay - at)
				w.terminateWorker(free)
				w.check(t)
			}
		})
	}
}

// TestNextOwnerUsesReleasedWorkerAgain covers the end of the wait for a released worker: the
// instance controller tells which workers are closed, or all its orders must have taken effect.
func TestNextOwnerUsesReleasedWorkerAgain(t *testing.T) {
	for name, tell := range map[string]func(*world){
		"told":     func(w *world) { w.core.SetClosed(nil, w.now) },
		"not told": func(w *world) { w.run(2 * time.Second) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w, free := newReleasedWorker(is)
			w.released = []string{free.reg.ID}
			w.submit("a", lasting(2, 1))
			w.takeOver()
			w.run(200 * time.Millisecond)
			is.Equal(len(free.runs), 0)
			tell(w)
			w.run(200 * time.Millisecond)
			is.Equal(len(free.runs), 2)
			w.check(t)
		})
	}
}

// newReleasedWorker returns a world and its only worker that can run tasks, which is closed and
// which the pool takes for empty.
func newReleasedWorker(is *is.I) (*world, *fakeWorker) {
	w := newWorld(2)
	w.run(200 * time.Millisecond)
	free := w.workers["w1"]
	w.workers["w0"].unlisted = true
	w.list()
	for range 4 {
		w.core.SetClosed([]string{free.reg.ID}, w.now)
		w.run(100 * time.Millisecond)
	}
	is.True(isReleased(w, free))
	return w, free
}

// closeAndTerminate closes a worker for a while. For each load by which the pool takes the worker
// for empty, it sends an order to the instance that takes effect as late as possible.
func (w *world) closeAndTerminate(f *fakeWorker, d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end) && !f.down; {
		w.core.SetClosed([]string{f.reg.ID}, w.now)
		if isReleased(w, f) {
			w.after(maxOrderDelay+maxEffectDelay, func() { w.terminateWorker(f) })
		}
		w.run(200 * time.Millisecond)
	}
}

// isReleased reports whether the load of the owner lets the pool conclude that nothing runs on a
// worker and that nothing will be started there.
func isReleased(w *world, f *fakeWorker) bool {
	wave := &pool.Wave{
		Wave: outside.Wave{
			Number:    1,
			Within:    time.Minute,
			AtOnce:    1,
			Instances: []string{"m"},
		},
		Seen: w.now,
		Done: make(map[string]bool),
	}
	plan := pool.NewSizer(testSizing).Plan(pool.View{
		Now:   w.now,
		Waves: []*pool.Wave{wave},
		Instances: []outside.Instance{{
			ID:       "m",
			Pool:     testPool,
			State:    outside.InstanceUp,
			Worker:   f.reg.ID,
			Capacity: f.reg.Capacity,
		}},
		Services: []pool.Service{{
			Name:  testPool,
			Known: true,
			Load:  loadOf(w),
		}},
	})
	return len(plan.Maintenances) > 0
}

func loadOf(w *world) shard.Load {
	return w.core.Load(w.now)
}
