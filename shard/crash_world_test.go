package shard_test

import (
	"fmt"
	"time"

	"lemonstream.dev/lemonstream/job"
)

// registrationKept is how long the registration of a crashed worker stands: three
// heartbeats of the platform.
const registrationKept = 4500 * time.Millisecond

// crashesNow reports whether a run has gone on for as long as its task takes to crash
// its worker.
func (w *world) crashesNow(id job.TaskID, r *fakeRun) bool {
	after, culprit := w.culprits[id]
	return culprit && w.now.Sub(r.began) >= after
}

// crash ends the life of a worker with all that runs there, because of a task.
func (w *world) crash(f *fakeWorker, culprit job.TaskID) {
	w.crashes[culprit]++
	w.loseWorker(f)
}

// loseWorker ends the life of a worker. Where workers come back, another life answers at
// its address after a while.
func (w *world) loseWorker(f *fakeWorker) {
	f.down = true
	f.crashed = true
	f.runs = make(map[job.TaskID]*fakeRun)
	w.after(registrationKept, func() {
		f.unlisted = true
		w.listToOwner()
	})
	if w.backAfter == 0 {
		return
	}
	w.after(w.backAfter, func() {
		f.reborn = true
		w.addWorker(fmt.Sprintf("w%d", len(w.workers)), f.reg.Rack)
		w.listToOwner()
	})
}

// listToOwner tells the owner of every registration, if there is one.
func (w *world) listToOwner() {
	if !w.ownerless {
		w.list()
	}
}
