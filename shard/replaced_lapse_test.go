package shard_test

import (
	"testing"
	"time"
)

// TestReplacedOwnerDoesNotCountTheLeasesOfTheNext covers an owner that has lost a worker, then the store,
// and is replaced. The next owner reaches that worker, finds the run and renews its lease. The replaced
// one, within the time that it may act without the store, takes the lease for lapsed, and starts the task
// on a worker that the next one does not reach.
func TestReplacedOwnerDoesNotCountTheLeasesOfTheNext(t *testing.T) {
	for before := 1200 * time.Millisecond; before <= 4200*time.Millisecond; before += 500 * time.Millisecond {
		t.Run(before.String(), func(t *testing.T) {
			w := newWorld(2)
			w.run(200 * time.Millisecond)
			w.submit("a", lasting(1, 1))
			w.run(time.Second)
			f := reachableWorkersOf(w, "a")[0]
			other := w.workers["w0"]
			if other == f {
				other = w.workers["w1"]
			}
			f.partitioned = true
			w.run(before)
			w.takeOverFromPartitioned(3250*time.Millisecond, other)
			w.run(time.Second) // An owner acts that long at least before it is replaced.
			f.partitioned = false
			w.run(10 * time.Second)
			w.check(t)
		})
	}
}

// TestReplacedOwnerDoesNotCountItsInheritedWait covers the same for a worker that the replaced owner has
// never reached.
func TestReplacedOwnerDoesNotCountItsInheritedWait(t *testing.T) {
	for before := 500 * time.Millisecond; before <= 4500*time.Millisecond; before += 500 * time.Millisecond {
		t.Run(before.String(), func(t *testing.T) {
			w := newWorld(2)
			w.run(200 * time.Millisecond)
			w.submit("a", lasting(1, 1))
			w.run(time.Second)
			f := reachableWorkersOf(w, "a")[0]
			other := w.workers["w0"]
			if other == f {
				other = w.workers["w1"]
			}
			f.partitioned = true
			w.takeOver()
			w.run(before)
			w.takeOverFromPartitioned(3250*time.Millisecond, other)
			w.run(200 * time.Millisecond)
			f.partitioned = false
			w.run(10 * time.Second)
			w.check(t)
		})
	}
}
