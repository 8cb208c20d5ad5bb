package shard_test

import (
	"time"

	"lemonstream.dev/lemonstream/job"
	"lemonstream.dev/lemonstream/outside"
)

// tester receives the violations; both testing.T and rapid.T implement it.
type tester interface {
	Error(args ...any)
	Helper()
}

// checkReported reports a violation if a job's state differs from the final state that callers
// saw. States are not shown to callers before the owner has read the standby partition.
func (w *world) checkReported() {
	if !w.standbyRead {
		return
	}
	for id, end := range w.reported {
		if now := w.shown[id]; now != end.state {
			w.addViolation("job %s is shown as %q after %q", id, now, end.state)
			delete(w.reported, id)
		}
	}
}

// checkAcked reports a violation if an end is acknowledged although its task was started again
// after the end. If the worker's lease has expired since the end, this is no violation.
func (w *world) checkAcked(f *fakeWorker, end outside.End) {
	at := f.endedAt[end.Number]
	if again := w.started[end.Task]; again.After(at) && !f.leaseLapsedAt.After(at) && !w.stepOf(end.Task).Speculative {
		w.addViolation("end of %s on %s at %v is acknowledged after the task was started again at %v", end.Task, f.reg.ID, at.Sub(w.start), again.Sub(w.start))
	}
}

// checkStart reports every rule that a start violates. A delayed start may take effect after an
// end that was acknowledged since the order was sent. No owner can revoke it, and the platform's
// rule on starts after an acknowledged end exempts such orders.
func (w *world) checkStart(f *fakeWorker, id job.TaskID, step job.Step, sent time.Time) {
	if !w.stored[id.Job] {
		w.addViolation("%s starts on %s before its record is stored", id, f.reg.ID)
	}
	if end, reported := w.reported[id.Job]; reported && !sent.Before(end.at) {
		w.addViolation("%s starts on %s after its job was shown as %s", id, f.reg.ID, end.state)
	}
	if at, acked := w.acked[id]; acked && !sent.Before(at) {
		w.addViolation("%s starts on %s, but its end was acknowledged at %v", id, f.reg.ID, at.Sub(w.start))
	}
	w.checkCrashLimit(f, id)
	w.checkEvacuated(f, id, sent)
	if at, found := w.cancelled[id.Job]; found && sent.Sub(latest(at, w.disturbed)) > maxCancelDelay {
		w.addViolation("%s starts on %s, but its job was cancelled at %v", id, f.reg.ID, at.Sub(w.start))
	}
	used := step.Charge()
	same := 1
	for other, r := range f.runs {
		used = used.Add(r.step.Charge())
		if isOfStep(other, id) {
			same++
		}
	}
	if !f.reg.Capacity.Fits(used) {
		w.addViolation("%s exceeds the capacity of %s", id, f.reg.ID)
	}
	if step.PerWorker > 0 && same > step.PerWorker {
		w.addViolation("%s exceeds the limit of its step on %s", id, f.reg.ID)
	}
	for _, other := range w.workers {
		if r, found := other.runs[id]; found && !other.down && !step.Speculative && w.now.Before(other.leaseUntil) {
			w.addViolation("%s starts on %s while its run %d is on %s", id, f.reg.ID, r.number, other.reg.ID)
		}
	}
}

// isOfStep reports whether two tasks are of the same step of the same occurrence.
func isOfStep(one, other job.TaskID) bool {
	return one.Job == other.Job && one.Occurrence == other.Occurrence && one.Step == other.Step
}

// availableAfter is the run time after which a long-running task counts as available.
const availableAfter = 500 * time.Millisecond

// checkStop reports a violation if a long-running task is stopped while too many others of its
// step are unavailable.
func (w *world) checkStop(f *fakeWorker, id job.TaskID, stopped *fakeRun) {
	record, known := w.recordOf(id.Job)
	if state, _ := w.core.JobState(id.Job); state.Final() {
		return
	}
	if !known || !stopped.step.Lasting || f.reg.Draining || w.now.Sub(stopped.began) < availableAfter || !stopped.stopAt.IsZero() {
		return
	}
	unavailable := record.Spec.Steps[id.Step].Count - 1
	for _, other := range w.workers {
		for task, r := range other.runs {
			if !other.down && isOfStep(task, id) && task != id && r.stopAt.IsZero() && w.now.Sub(r.began) >= availableAfter {
				unavailable--
			}
		}
	}
	if unavailable >= max(1, stopped.step.MayMiss) {
		w.addViolation("%s is stopped on %s while %d others of its step are unavailable", id, f.reg.ID, unavailable)
	}
}

// check fails the test if there are violations.
func (w *world) check(t tester) {
	t.Helper()
	for _, fault := range w.violations {
		t.Error(fault)
	}
}
