package shard

import (
	"lemonstream.dev/lemonstream/job"
)

// LastingField is the log attribute that is true in lines about a run of a long-running task. Such
// lines are few, and the log keeps them apart from the lines about short tasks.
const LastingField = "lasting"

// logRun logs an event of a run at a worker. For a long-running task it also logs how many other
// tasks of its step are unavailable and how many may be.
func (s *Shard) logRun(event string, id job.TaskID, number int64, w *workerState, fields ...any) {
	line := append([]any{"task", id.String(), "run", number, "worker", w.reg.ID}, fields...)
	if spec, found := s.stepOf(id); found && spec.Lasting {
		line = append(line, LastingField, true)
		if away, known := s.othersUnavailable(id); known {
			line = append(line, "away", away, "may_miss", spec.MayMiss)
		}
	}
	s.opts.LogEvent(event, line...)
}

// logBudgetExceeded logs that an order, or a lease that was not renewed, ends a long-running task
// although its step can't miss another task. cause distinguishes an order from a lapsed lease.
func (s *Shard) logBudgetExceeded(cause string, id job.TaskID, number int64, w *workerState) {
	spec, found := s.stepOf(id)
	if !found || !spec.Lasting || !spec.HasMayMiss || s.jobs[id.Job].state.Final() {
		return
	}
	if away, known := s.othersUnavailable(id); known && !allowsDisruption(spec, away) {
		s.logRun("availability budget exceeded", id, number, w, "cause", cause)
	}
}

// othersUnavailable returns how many other tasks of a task's step are unavailable. It returns false
// if the task is not known.
func (s *Shard) othersUnavailable(id job.TaskID) (int, bool) {
	j := s.jobs[id.Job]
	if j == nil || j.task(id) == nil {
		return 0, false
	}
	step := j.step(id)
	if step == nil {
		return j.record.Spec.Steps[id.Step].Count - 1, true
	}
	return s.unavailable(step, id.Index), true
}
