package shard_test

import (
	"time"

	"lemonstream.dev/lemonstream/job"
)

// noticeBound is how long a task of a long-running step has to be missing to count as unavailable
// when no order ended it: the platform's notice_ms.
const noticeBound = 4500 * time.Millisecond

// presence is the oracle's record of one task of a long-running step.
type presence struct {
	// lastAvailable is when the task was last available; zero if it never was.
	lastAvailable time.Time

	// endedByOrder says that an order has ended the task since then.
	endedByOrder bool
}

// recordPresence records which long-running tasks are available.
func (w *world) recordPresence() {
	for _, f := range w.workers {
		if f.down {
			continue
		}
		for id, r := range f.runs {
			if r.step.Lasting && w.isRunAvailable(r) {
				p := w.presenceOf(id)
				p.lastAvailable = w.now
				p.endedByOrder = false
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

// isRunAvailable reports whether a run counts as available.
func (w *world) isRunAvailable(r *fakeRun) bool {
	return r.stopAt.IsZero() && w.now.Sub(r.began) >= availableAfter
}

// checkOrderedEnd records that an order ends a run. It reports a violation if the step already
// misses as many other tasks as it may: those that an order ended, and those that have been
// missing for noticeBound for any cause. An order that was delayed is not checked, but the task
// that it ends counts as unavailable.
func (w *world) checkOrderedEnd(f *fakeWorker, id job.TaskID, r *fakeRun, cause string, delayed bool) {
	record, known := w.recordOf(id.Job)
	state, _ := w.core.JobState(id.Job)
	if !known || state.Final() || !r.step.Lasting || !r.step.HasMayMiss || !w.isRunAvailable(r) {
		return
	}
	p := w.presenceOf(id)
	p.lastAvailable = w.now
	p.endedByOrder = true
	if unavailable := w.otherUnavailable(id, record.Spec.Steps[id.Step].Count); !delayed && !f.reg.Draining && unavailable >= max(1, r.step.MayMiss) {
		w.addViolation("%s is ended on %s by %s while %d other tasks of its step are unavailable, and it may miss %d", id, f.reg.ID, cause, unavailable, r.step.MayMiss)
	}
}

// otherUnavailable counts the unavailable tasks of a step other than the given one.
func (w *world) otherUnavailable(id job.TaskID, count int) int {
	unavailable := 0
	for index := range count {
		other := id
		other.Index = index
		p, found := w.presences[other]
		if index == id.Index || !found || w.isTaskAvailable(other) {
			continue
		}
		if p.endedByOrder || w.now.Sub(p.lastAvailable) >= noticeBound {
			unavailable++
		}
	}
	return unavailable
}

// isTaskAvailable reports whether the task is available on a worker that has not ended.
func (w *world) isTaskAvailable(id job.TaskID) bool {
	for _, f := range w.workers {
		if r, found := f.runs[id]; found && !f.down && w.isRunAvailable(r) {
			return true
		}
	}
	return false
}
