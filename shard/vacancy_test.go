package shard_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"lemonstream.dev/lemonstream/outside"
	"lemonstream.dev/lemonstream/pool"
	"lemonstream.dev/lemonstream/shard"
)

// orderedWithin is how long after it asked for a load a holder of the instances may give an
// order by it, and orderTakes how long that may take to have its effect.
const (
	orderedWithin = time.Second
	orderTakes    = 900 * time.Millisecond
)

// TestTaskInNeedStartsOnNoWorkerThatIsGivenAway lets a holder of the instances ask for a load
// and order by it as late as it may, while lasting tasks have nowhere to go but to the worker
// that the load has shown closed and empty.
func TestTaskInNeedStartsOnNoWorkerThatIsGivenAway(t *testing.T) {
	is := is.New(t)
	w := newWorld(2)
	w.run(200 * time.Millisecond)
	w.submit("a", lasting(2, 1))
	w.run(2 * time.Second)
	is.Equal(w.atWorkOf("a"), 2)
	holder := holderOf(w, "a")[0]
	var last *fakeWorker
	for _, f := range w.workers {
		if f != holder {
			last = f
		}
	}
	w.crashUnder(holder)
	w.emptyAndTake(last, 20*time.Second)
	w.check(t)
}

// A holder of the instances asks an owner for its load, announces its orders in a row, and gives
// them. Where the owner was succeeded meanwhile, its successor knew nothing of what was closed,
// and started tasks on a worker that the load had shown closed and empty: the order to its
// instance ended them, more of a step at once than may be missing. A successor that claims
// after the announcement reads it, or knows that it can't; before it, the holder finds another
// owner and gives no order.
func TestSuccessorStartsNothingOnAWorkerThatIsGivenAway(t *testing.T) {
	for name, succeed := range map[string]func(*world){
		"died":     func(w *world) { w.takeOver() },
		"released": func(w *world) { w.release(10 * tick) },
		"can't read": func(w *world) {
			w.givingUnread = true
			w.takeOver()
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for at := time.Duration(0); at < 600*time.Millisecond; at += 2 * tick {
				w, free := closedAndEmpty(is)
				w.giving = []string{free.reg.ID}
				w.run(at)
				w.submit("a", lasting(2, 1))
				succeed(w)
				w.run(orderedWithin + orderTakes - at)
				w.take(free)
				w.check(t)
			}
		})
	}
}

// TestSuccessorUsesWorkersThatWereNotGivenAway covers the end of such a wait: the holder of the
// instances says what is closed, or its orders must have had their effect.
func TestSuccessorUsesWorkersThatWereNotGivenAway(t *testing.T) {
	for name, tell := range map[string]func(*world){
		"told":     func(w *world) { w.core.SetClosed(nil, w.now) },
		"not told": func(w *world) { w.run(2 * time.Second) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w, free := closedAndEmpty(is)
			w.giving = []string{free.reg.ID}
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

// closedAndEmpty returns a world whose only worker that takes tasks is closed, and taken for
// empty by the pool.
func closedAndEmpty(is *is.I) (*world, *fakeWorker) {
	w := newWorld(2)
	w.run(200 * time.Millisecond)
	free := w.workers["w1"]
	w.workers["w0"].unlisted = true
	w.list()
	for range 4 {
		w.core.SetClosed([]string{free.reg.ID}, w.now)
		w.run(100 * time.Millisecond)
	}
	is.True(givenAway(w, free))
	return w, free
}

// emptyAndTake has a worker emptied for a while, and gives an order to its instance by each
// load that lets the pool take it for empty, as late as it may have its effect.
func (w *world) emptyAndTake(f *fakeWorker, d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end) && !f.down; {
		w.core.SetClosed([]string{f.reg.ID}, w.now)
		if givenAway(w, f) {
			w.after(orderedWithin+orderTakes, func() { w.take(f) })
		}
		w.run(200 * time.Millisecond)
	}
}

// givenAway reports whether the pool takes a worker for one that nothing runs on, nor will, by
// its owner's word.
func givenAway(w *world, f *fakeWorker) bool {
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
