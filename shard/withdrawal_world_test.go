package shard_test

import (
	"time"
)

// cancel withdraws a job at its owner; the caller is answered once that is written.
func (w *world) cancel(id string) bool {
	return w.core.Cancel(id, w.now, func() { w.acknowledgeCancel(id) })
}

// cancelByRow withdraws a job as an entry does that could not ask the owner: the row
// stands, and the owner finds it later.
func (w *world) cancelByRow(id string) {
	w.cancelRows[id] = true
	w.acknowledgeCancel(id)
	core := w.core
	w.after(feedPause, func() {
		if w.core == core && !w.ownerless && w.cancelRows[id] {
			w.readCancelRow(id)
		}
	})
}

// readCancelRow lets the owner read the row of a cancellation; a forgetful one passes
// over that of a job that it does not know.
func (w *world) readCancelRow(id string) {
	if _, known := w.core.Known(id); known || !w.forgetful {
		w.core.CancelByRow(id, w.now)
	}
}

func (w *world) acknowledgeCancel(id string) {
	if _, found := w.withdrawn[id]; !found {
		w.withdrawn[id] = w.now
	}
}

// judgeWithdrawn notes a run of a withdrawn job that goes on for longer than the
// platform's rule allows. What keeps an owner from its work puts that off, a late order
// does not: its run counts from its own start.
func (w *world) judgeWithdrawn() {
	if w.storeDown || w.standbyAway || w.ownerless || w.frozen || len(w.zombies) > 0 {
		w.disturbed = w.now
	}
	for _, f := range w.workers {
		if f.cut {
			f.disturbed = w.now
		}
		for id, r := range f.runs {
			at, withdrawn := w.withdrawn[id.Job]
			if f.down || !withdrawn {
				continue
			}
			since := latest(at.Add(cancelBound), r.began.Add(contactBound), w.disturbed.Add(cancelBound), f.disturbed.Add(cancelBound))
			if w.now.Sub(since) > stopBound {
				w.fault("run %d of %s goes on on %s, and its job was withdrawn at %v", r.number, id, f.reg.ID, at.Sub(w.start))
				delete(w.withdrawn, id.Job)
			}
		}
	}
}

// latest returns the latest of some instants.
func latest(first time.Time, others ...time.Time) time.Time {
	for _, other := range others {
		if other.After(first) {
			first = other
		}
	}
	return first
}
