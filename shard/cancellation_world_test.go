package shard_test

import (
	"time"
)

// cancel cancels a job at its owner and reports whether the owner knows the job. The cancellation
// is confirmed once it is written.
func (w *world) cancel(id string) bool {
	return w.core.Cancel(id, w.now, func() { w.confirmCancel(id) })
}

// cancelByRow cancels a job as an entry does that can't reach the owner: it writes a row, which
// the owner reads later.
func (w *world) cancelByRow(id string) {
	w.cancelRows[id] = true
	w.confirmCancel(id)
	core := w.core
	w.after(feedDelay, func() {
		if w.core == core && !w.ownerless && w.cancelRows[id] {
			w.readCancelRow(id)
		}
	})
}

// readCancelRow makes the owner read the row of a cancellation. With skipUnknownCancels, the row
// of a job that the owner does not know is skipped.
func (w *world) readCancelRow(id string) {
	if _, known := w.core.JobState(id); known || !w.skipUnknownCancels {
		w.core.CancelByRow(id, w.now)
	}
}

// confirmCancel records when a cancellation was first confirmed to a caller.
func (w *world) confirmCancel(id string) {
	if _, found := w.cancelled[id]; !found {
		w.cancelled[id] = w.now
	}
}

// checkCancelled reports a violation if a run of a cancelled job continues for longer than the
// platform's rule allows. The time counts from the last fault that hindered the owner or the
// partition of the worker, if that is later. For a run of a delayed start, it also counts from
// the start of the run.
func (w *world) checkCancelled() {
	if w.storeDown || w.standbyDown || w.ownerless || w.frozen || len(w.zombies) > 0 {
		w.disturbed = w.now
	}
	for _, f := range w.workers {
		if f.partitioned {
			f.disturbed = w.now
		}
		for id, r := range f.runs {
			at, cancelled := w.cancelled[id.Job]
			if f.down || !cancelled {
				continue
			}
			since := latest(at.Add(maxCancelDelay), r.began.Add(maxContactDelay), w.disturbed.Add(maxCancelDelay), f.disturbed.Add(maxCancelDelay))
			if w.now.Sub(since) > maxStopDelay {
				w.addViolation("run %d of %s still runs on %s, but its job was cancelled at %v", r.number, id, f.reg.ID, at.Sub(w.start))
				delete(w.cancelled, id.Job)
			}
		}
	}
}

// latest returns the latest of the given times.
func latest(first time.Time, others ...time.Time) time.Time {
	for _, other := range others {
		if other.After(first) {
			first = other
		}
	}
	return first
}
