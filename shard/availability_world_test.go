package shard_test

import (
	"time"

	"lemonstream.dev/lemonstream/job"
)

// noticeBound is how long a task of a lasting step has to be missing to count as away when
// nobody ordered its end: the platform's notice_ms.
const noticeBound = 4500 * time.Millisecond

// presence is what the oracle knows of one task of a lasting step.
type presence struct {
	// last is when the task was last at work; zero where it never was.
	last time.Time

	// ordered says that an order ended it since then.
	ordered bool
}

// watchPresence notes which lasting tasks are at work.
func (w *world) watchPresence() {
	for _, f := range w.workers {
		if f.down {
			continue
		}
		for id, r := range f.runs {
			if r.step.Lasting && w.works(r) {
				p := w.presenceOf(id)
				p.last = w.now
				p.ordered = false
			}
		}
	}
}

func (w *world) presenceOf(id job.TaskID) *presence {
	p, found := w.presences[id]
	if !found {
		p = &presence{}
		w.presences[id] = p
	}
	return p
}

// works reports whether a run counts as at work.
func (w *world) works(r *fakeRun) bool {
	return r.stopAt.IsZero() && w.now.Sub(r.began) >= atWork
}

// judgeOrdered notes that an order ends a run, and whether more others of its step are away
// by then than it may miss: those that an order ended, and those that have been missing for
// long whatever the cause. An order that was held up is not judged, and what it ends is away
// all the same.
func (w *world) judgeOrdered(f *fakeWorker, id job.TaskID, r *fakeRun, cause string, heldUp bool) {
	record, known := w.recordOf(id.Job)
	state, _ := w.core.Known(id.Job)
	if !known || state.Final() || !r.step.Lasting || !r.step.HasMayMiss || !w.works(r) {
		return
	}
	p := w.presenceOf(id)
	p.last = w.now
	p.ordered = true
	if away := w.othersAway(id, record.Spec.Steps[id.Step].Count); !heldUp && !f.reg.Draining && away >= max(1, r.step.MayMiss) {
		w.fault("%s is ended on %s by %s while %d others of its step are away, and %d may be", id, f.reg.ID, cause, away, r.step.MayMiss)
	}
}

// othersAway counts the others of a task's step that are away.
func (w *world) othersAway(id job.TaskID, count int) int {
	away := 0
	for index := range count {
		other := id
		other.Index = index
		p, found := w.presences[other]
		if index == id.Index || !found || w.isAtWork(other) {
			continue
		}
		if p.ordered || w.now.Sub(p.last) >= noticeBound {
			away++
		}
	}
	return away
}

// isAtWork reports whether a worker that lives has the task at work.
func (w *world) isAtWork(id job.TaskID) bool {
	for _, f := range w.workers {
		if r, found := f.runs[id]; found && !f.down && w.works(r) {
			return true
		}
	}
	return false
}
