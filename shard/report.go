package shard

import (
	"lemonstream.dev/lemonstream/job"
)

// LastingField is true in lines about a run of a lasting task. There are few of them, and a log
// keeps them apart from those about short tasks.
const LastingField = "lasting"

// reportRun logs what happens to a run of a task at a worker. Of a lasting task it tells how
// many others of its step are away, and how many may be.
func (s *Shard) reportRun(event string, id job.TaskID, number int64, w *workerState, fields ...any) {
	line := append([]any{"task", id.String(), "run", number, "worker", w.reg.ID}, fields...)
	if spec, found := s.stepOf(id); found && spec.Lasting {
		line = append(line, LastingField, true)
		if away, known := s.othersAway(id); known {
			line = append(line, "away", away, "may_miss", spec.MayMiss)
		}
	}
	s.opts.Report(event, line...)
}

// reportExceeded logs that an order, or a lease that was not renewed, ends a lasting task while
// more others of its step are away than it may miss. cause says which.
func (s *Shard) reportExceeded(cause string, id job.TaskID, number int64, w *workerState) {
	spec, found := s.stepOf(id)
	if !found || !spec.Lasting || !spec.HasMayMiss || s.jobs[id.Job].state.Final() {
		return
	}
	if away, known := s.othersAway(id); known && !spares(spec, away) {
		s.reportRun("availability budget exceeded", id, number, w, "cause", cause)
	}
}

// othersAway returns how many other tasks of a task's step are not at work; false where the
// task is not known.
func (s *Shard) othersAway(id job.TaskID) (int, bool) {
	j := s.jobs[id.Job]
	if j == nil || j.task(id) == nil {
		return 0, false
	}
	return s.away(j.occurrences[id.Occurrence].steps[id.Step], id.Index), true
}
