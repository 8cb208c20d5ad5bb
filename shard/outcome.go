package shard

import (
	"time"

	"lemonstream.dev/lemonstream/job"
	"lemonstream.dev/lemonstream/outside"
)

// taskDone records that a task completed successfully.
func (s *Shard) taskDone(j *jobState, id job.TaskID, now time.Time) {
	if j.record.Spec.Steps[id.Step].Lasting {
		return
	}
	step := j.step(id)
	if step == nil || step.remaining == 0 || !s.finishTasks(j, step, id) {
		return
	}
	s.dirty[j.record.ID] = j
	if step.remaining > 0 {
		return
	}
	s.waiting[j.record.ID] = j
	s.forgetStepTickets(id)
	if j.endStep(id.Occurrence, id.Step) && j.remaining == 0 {
		s.finishJob(j, job.Completed, now)
	}
}

// finishTasks marks a task as done, or all members of its gang, which end together, so that the end of
// one counts for all. It reports whether one was not done before.
func (s *Shard) finishTasks(j *jobState, step *stepState, id job.TaskID) bool {
	if !j.record.Spec.Steps[id.Step].Gang || step.count == 1 {
		if !step.finish(id.Index) {
			return false
		}
		for _, copied := range step.task(id.Index).runs {
			s.stop(copied, "another copy ended")
		}
		return true
	}
	for _, index := range step.sortedStates() {
		// A member without a run lost it with its worker.
		if t := step.states[index]; index != id.Index && !t.done && len(t.runs) == 0 && t.isSuspect() {
			member := id
			member.Index = index
			s.leaveUnresolved(member, t)
		}
	}
	changed := false
	for index := range step.count {
		changed = step.finish(index) || changed
	}
	return changed
}

// taskFailed counts a failed run once, and fails the job when the task has used its attempts. The
// failures of long-running tasks don't count.
func (s *Shard) taskFailed(j *jobState, t *taskState, w *workerState, end outside.End, now time.Time) {
	t.failedWorkers = append(t.failedWorkers, w.incarnation())
	if j.record.Spec.Steps[end.Task.Step].Lasting {
		return
	}
	for _, counted := range t.failedRuns {
		if counted == end.Run {
			return
		}
	}
	t.failedRuns = append(t.failedRuns, end.Run)
	j.noteLastAttempt(end.Task, t)
	s.dirty[j.record.ID] = j
	if attempts := j.attempts(end.Task, t); attempts >= j.policy.Attempts && !t.done {
		s.opts.LogEvent("attempts used", "job", j.record.ID, "task", end.Task.String(), "attempts", attempts, "limit", j.policy.Attempts,
			"runs", t.failedRuns)
		s.failJob(j, end.Task, t, now)
	}
}

// failJob fails a job because of a task, and keeps the evidence.
func (s *Shard) failJob(j *jobState, id job.TaskID, t *taskState, now time.Time) {
	j.failure = &Failure{
		Epoch:           s.epoch,
		Task:            id.String(),
		FailedRuns:      t.failedRuns,
		Crashed:         t.crashes,
		Beside:          t.besideCrashes,
		PossiblyCrashed: t.possibleCrashes,
	}
	s.finishJob(j, job.Failed, now)
}

// finishJob sets the final state of a job and stops its remaining runs.
func (s *Shard) finishJob(j *jobState, state job.State, now time.Time) {
	if !j.started {
		s.addPending(j, -1)
		j.started = true
	}
	j.state = state
	j.endedAt = now
	s.dirty[j.record.ID] = j
	delete(s.waiting, j.record.ID)
	delete(s.repeating, j.record.ID)
	s.forgetJobTickets(j)
	s.resolveCrashes(j, now)
	j.forEachState(func(_ job.TaskID, t *taskState) {
		for _, r := range t.runs {
			s.stop(r, "job "+string(state))
		}
	})
	j.releaseEnded()
}
