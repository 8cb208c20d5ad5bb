package shard_test

import (
	"time"

	"lemonstream.dev/lemonstream/job"
	"lemonstream.dev/lemonstream/outside"
)

// tester is what the oracle reports to: a test of testing or of rapid.
type tester interface {
	Error(args ...any)
	Helper()
}

// judgeShown notes a job that is shown as open after callers saw that it had ended.
// What an owner says before it has read the standby part is told to nobody.
func (w *world) judgeShown() {
	if !w.standbyRead {
		return
	}
	for id, end := range w.told {
		if now := w.shown[id]; now != end.state {
			w.fault("job %s is shown as %q after %q", id, now, end.state)
			delete(w.told, id)
		}
	}
}

// judgeNoted notes an end that is acknowledged after its task was started again. One whose
// worker's lease has lapsed since does not count.
func (w *world) judgeNoted(f *fakeWorker, end outside.End) {
	at := f.endedAt[end.Number]
	if again := w.started[end.Task]; again.After(at) && !f.lapsed.After(at) && !w.stepOf(end.Task).Speculative {
		w.fault("%s ended on %s at %v, which is noted, and was started again at %v", end.Task, f.reg.ID, at.Sub(w.start), again.Sub(w.start))
	}
}

// judge notes what a start breaks. One that a worker carries out late may begin after
// an end that was noted since it was sent: no owner can take it back, and the
// platform's rule for the time after a noted end leaves such orders out.
func (w *world) judge(f *fakeWorker, id job.TaskID, step job.Step, sent time.Time) {
	if !w.stood[id.Job] {
		w.fault("%s starts on %s before its record stands", id, f.reg.ID)
	}
	if end, told := w.told[id.Job]; told && !sent.Before(end.at) {
		w.fault("%s starts on %s, and its job was shown as %s", id, f.reg.ID, end.state)
	}
	if at, noted := w.noted[id]; noted && !sent.Before(at) {
		w.fault("%s starts on %s, and its end was noted at %v", id, f.reg.ID, at.Sub(w.start))
	}
	w.judgeCrashes(f, id)
	w.judgeEvacuated(f, id, sent)
	if at, found := w.withdrawn[id.Job]; found && sent.Sub(latest(at, w.disturbed)) > cancelBound {
		w.fault("%s starts on %s, and its job was withdrawn at %v", id, f.reg.ID, at.Sub(w.start))
	}
	used := step.Charge()
	same := 1
	for other, r := range f.runs {
		used = used.Add(r.step.Charge())
		if other.StepName() == id.StepName() {
			same++
		}
	}
	if !f.reg.Capacity.Fits(used) {
		w.fault("%s puts %s over its capacity", id, f.reg.ID)
	}
	if step.PerWorker > 0 && same > step.PerWorker {
		w.fault("%s is one too many of its step on %s", id, f.reg.ID)
	}
	for _, other := range w.workers {
		if r, found := other.runs[id]; found && !other.down && !step.Speculative && w.now.Before(other.until) {
			w.fault("%s starts on %s while run %d of it is on %s", id, f.reg.ID, r.number, other.reg.ID)
		}
	}
}

// atWork says when a run of a lasting step counts as at work.
const atWork = 500 * time.Millisecond

// judgeStop notes a stop of a lasting task while too many others of its step are
// away.
func (w *world) judgeStop(f *fakeWorker, id job.TaskID, stopped *fakeRun) {
	record, known := w.recordOf(id.Job)
	if state, _ := w.core.Known(id.Job); state.Final() {
		return
	}
	if !known || !stopped.step.Lasting || f.reg.Draining || w.now.Sub(stopped.began) < atWork || !stopped.stopAt.IsZero() {
		return
	}
	away := record.Spec.Steps[id.Step].Count - 1
	for _, other := range w.workers {
		for task, r := range other.runs {
			if !other.down && task.StepName() == id.StepName() && task != id && r.stopAt.IsZero() && w.now.Sub(r.began) >= atWork {
				away--
			}
		}
	}
	if away >= max(1, stopped.step.MayMiss) {
		w.fault("%s is stopped on %s while %d others of its step are away", id, f.reg.ID, away)
	}
}

func (w *world) check(t tester) {
	t.Helper()
	for _, fault := range w.faults {
		t.Error(fault)
	}
}
