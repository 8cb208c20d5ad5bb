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
	o := j.occurrences[id.Occurrence]
	step := o.steps[id.Step]
	first, last := id.Index, id.Index
	if j.record.Spec.Steps[id.Step].Gang {
		// The members of a gang end together, so that the end of one counts for all.
		first, last = 0, len(step.tasks)-1
	}
	changed := false
	for index := first; index <= last; index++ {
		// A member without a run lost it with its worker.
		if t := step.tasks[index]; index != id.Index && !t.done && len(t.runs) == 0 && t.isSuspect() {
			s.leaveUnresolved(job.TaskID{
				Job:        id.Job,
				Occurrence: id.Occurrence,
				Step:       id.Step,
				Index:      index,
			}, t)
		}
		changed = step.finish(index) || changed
	}
	if !changed {
		return
	}
	s.dirty[j.record.ID] = j
	if first == last {
		for _, copied := range step.tasks[id.Index].runs {
			s.stop(copied, "another copy ended")
		}
	}
	if step.remaining > 0 {
		return
	}
	s.waiting[j.record.ID] = j
	o.remaining--
	if o.remaining > 0 {
		return
	}
	j.remaining--
	if j.remaining == 0 {
		s.finishJob(j, job.Completed, now)
	}
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
	for _, o := range j.occurrences {
		for _, step := range o.steps {
			for _, t := range step.tasks {
				for _, r := range t.runs {
					s.stop(r, "job "+string(state))
				}
			}
		}
	}
}
