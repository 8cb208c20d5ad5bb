package shard_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestWorkerThatReturnsAfterItsRemovalIsWaitedFor covers a worker that is cut off until its leases have
// lapsed, and whose registration lapses as well. The owner removes it, and names it as one on which
// nothing runs until its row is deleted, which an outage of the store delays. The worker comes back,
// is used again, and is cut off again. Two owners that have not seen the outage follow quickly.
func TestWorkerThatReturnsAfterItsRemovalIsWaitedFor(t *testing.T) {
	for name, succeed := range map[string]func(*world){
		"died":     func(w *world) { w.takeOver() },
		"released": func(w *world) { w.release(0) },
		"cut off":  func(w *world) { w.takeOverFromActive(maxActiveAfterClaim) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			used := 0
			for after := time.Duration(0); after <= 300*time.Millisecond; after += 3 * tick {
				w := newWorld(3)
				w.run(200 * time.Millisecond)
				f := w.workers["w0"]
				f.partitioned = true
				w.run(testLease)
				w.changeRegistration(f, false)
				w.storeDown = true
				w.run(maxStoreOutage)
				f.partitioned = false
				w.regained = w.now
				w.changeRegistration(f, true)
				long := step(12)
				long.Estimate = 15 * time.Second
				w.submit("a", long)
				w.run(100 * time.Millisecond)
				is.Equal(len(f.runs), 0) // Its row is not stored.
				w.storeDown = false
				w.run(after)
				used += len(f.runs)
				f.partitioned = true
				w.regained = time.Time{}
				for range 2 {
					succeed(w)
					w.run(150 * time.Millisecond)
				}
				w.run(15 * time.Second)
				w.check(t)
			}
			is.True(used > 0)
		})
	}
}

// changeRegistration lists a worker or removes its registration.
func (w *world) changeRegistration(f *fakeWorker, listed bool) {
	f.unlisted = !listed
	w.list()
}
