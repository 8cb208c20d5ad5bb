package shard_test

import (
	"maps"
	"slices"
	"time"

	"lemonstream.dev/lemonstream/job"
)

// registrationTTL is how long a crashed worker stays registered: three heartbeat intervals of the
// platform.
const registrationTTL = 4500 * time.Millisecond

// shouldCrash reports whether a run has gone on for as long as its task takes to crash its worker.
func (w *world) shouldCrash(id job.TaskID, r *fakeRun) bool {
	after, culprit := w.culprits[id]
	return culprit && w.now.Sub(r.began) >= after
}

// crashByTask crashes a worker with all its runs because of a task.
func (w *world) crashByTask(f *fakeWorker, culprit job.TaskID) {
	w.crashes[culprit]++
	for id := range f.runs {
		w.crashesDuring[id]++
	}
	w.failWorker(f)
}

// crashWorker crashes a worker with all its runs for a cause other than its tasks.
func (w *world) crashWorker(f *fakeWorker) {
	if f.down {
		return
	}
	for id := range f.runs {
		w.crashesDuring[id]++
	}
	w.failWorker(f)
}

// maxCrashes returns the highest number of workers that crashed under one task of a job.
func (w *world) maxCrashes(id string) int {
	most := 0
	for task, count := range w.crashesDuring {
		if task.Job == id {
			most = max(most, count)
		}
	}
	return most
}

// workerIDs returns the sorted ids of all workers, including those that have ended.
func (w *world) workerIDs() []string {
	return slices.Sorted(maps.Keys(w.workers))
}

// failWorker ends a worker with all its runs without notice. If restartDelay is set, it is replaced
// after that time: by its next incarnation if sameID is set, otherwise by a worker with another id
// at the same address.
func (w *world) failWorker(f *fakeWorker) {
	f.endAtOnce()
	incarnation := f.restarts
	w.after(registrationTTL, func() {
		if f.restarts == incarnation {
			f.unlisted = true
			w.sendRegistrations()
		}
	})
	if w.restartDelay == 0 {
		return
	}
	w.after(w.restartDelay, func() {
		if w.sameID {
			w.startIncarnation(f)
			return
		}
		w.replaceAddress(f)
	})
}

// restartWorker ends a worker with all its runs and starts its next incarnation after the downtime.
func (w *world) restartWorker(f *fakeWorker, downtime time.Duration) {
	if f.down {
		return
	}
	incarnation := f.restarts
	f.endAtOnce()
	w.after(registrationTTL, func() {
		if f.restarts == incarnation {
			f.unlisted = true
			w.sendRegistrations()
		}
	})
	if downtime == 0 {
		w.startIncarnation(f)
		return
	}
	w.after(downtime, func() { w.startIncarnation(f) })
}

// startIncarnation starts the next incarnation of an ended worker, which has no earlier state.
func (w *world) startIncarnation(f *fakeWorker) {
	f.restarts++
	f.down = false
	f.crashed = false
	f.unlisted = false
	f.reg.Born = w.now
	f.clockZero = w.now.Add(-w.clockAhead)
	f.runs = make(map[job.TaskID]*fakeRun)
	f.shares = make(map[job.TaskID]int)
	f.highestRun = make(map[job.TaskID]int64)
	f.ends = nil
	f.endedAt = make(map[int64]time.Time)
	f.leaseLapsedAt = time.Time{}
	f.number = 0
	f.fence = 0
	f.leaseUntil = time.Time{}
	w.sendRegistrations()
}

// sendRegistrations sends all registrations to the owner, if there is one.
func (w *world) sendRegistrations() {
	if !w.ownerless {
		w.list()
	}
}

// checkCrashLimit reports a start of a task under which too many workers have crashed.
func (w *world) checkCrashLimit(f *fakeWorker, id job.TaskID) {
	if w.crashes[id] < maxCrashesPerTask {
		return
	}
	w.extraStarts[id]++
	if !w.allowExtraStarts || w.extraStarts[id] > maxExtraStarts {
		w.addViolation("%s starts on %s after %d workers have crashed under it", id, f.reg.ID, w.crashes[id])
	}
}
