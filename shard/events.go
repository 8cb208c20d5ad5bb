package shard

import (
	"errors"
	"time"

	"lemonstream.dev/lemonstream/job"
	"lemonstream.dev/lemonstream/outside"
)

const (
	// ackPause is how long a look waits for the write that lets its ends be
	// acknowledged before it goes on without.
	ackPause = 300 * time.Millisecond

	// startTries is how often an unanswered start is sent before it is stopped
	// instead; that of a lasting task, once a look shows that it isn't there.
	startTries = 2
)

// Held takes in the answer to a look. sent is when the look was ordered. An answer that
// nobody waits for any more is passed over: it came from an incarnation that has been given
// up, and was taken for that of a newer one; what ran on the living one was started again
// beside itself, in 10 of 15 delays of up to 1.5 s that were tried.
func (s *Shard) Held(hold Hold, sent, now time.Time, glance outside.Glance, err error) {
	id := hold.Worker.ID
	w, found := s.workers[id]
	if !found || w.look != hold.Call {
		s.opts.Report("late answer passed over", "worker", id, "sent_ms", now.Sub(sent).Milliseconds())
		return
	}
	w.look = 0
	s.resolveUnknown(now)
	if err != nil {
		if now.Sub(sent) <= promptFailure {
			w.silentAt = sent
		}
		s.holdFailed(w, hold, now, err)
		return
	}
	if w.failures > 0 {
		s.opts.Report("worker regained", "worker", id, "failures", w.failures)
	}
	again := w.isOther(glance.Born)
	if again {
		w = s.restarted(w, glance, sent, now)
	}
	if w.born.IsZero() {
		w.born = glance.Born
	}
	if w.named {
		// It may stand in a row as one where nothing is started or renewed.
		w.regained = now
		w.named = false
	}
	w.failures = 0
	w.silentSince = time.Time{}
	w.hear(glance.Clock, now)
	if !w.known {
		s.meet(w, again && len(glance.Runs) > 0, now)
	}
	if sent.After(w.doubted) {
		w.doubted = time.Time{}
	}
	s.takeEnds(w, glance.Ends, now)
	s.compare(w, sent, now, glance.Runs)
	s.acquitAt(w)
	s.pace(w)
}

// holdFailed notes a look without an answer.
func (s *Shard) holdFailed(w *workerState, hold Hold, now time.Time, err error) {
	var gone *outside.GoneError
	if errors.As(err, &gone) {
		s.loseWorker(w, now, "another worker answers")
		return
	}
	var refused *outside.WorkerRefusedError
	if errors.As(err, &refused) && refused.Reason == outside.RefusedFence {
		if s.isOutdated(w.reg.ID, hold.Renewal.Fence) {
			w.holdAt = now
			return
		}
		s.seeNewerOwner(w)
		return
	}
	s.raiseFence(w)
	if w.failures == 0 {
		w.silentSince = now
		s.opts.Report("worker lost", "worker", w.reg.ID, "runs", len(w.runs), "error", err.Error())
	}
	w.failures++
	if w.failures == trialAfter && !s.pulse.late(now) {
		for id := range s.lostTasks(w, now) {
			s.try(id, w.incarnation().String())
		}
	}
	w.holdAt = now.Add(min(retryMost, retryFirst*time.Duration(w.failures)))
}

// compare brings the runs of a worker in line with what it listed.
func (s *Shard) compare(w *workerState, sent, now time.Time, listed []outside.RunningTask) {
	present := make(map[job.TaskID]int64, len(listed))
	for _, running := range listed {
		present[running.Task] = running.Run
		s.compareOne(w, sent, now, running)
	}
	for id, r := range w.runs {
		if number, found := present[id]; found && number == r.number {
			continue
		}
		switch {
		case r.phase == phaseDoubtful && r.call == 0 && r.tries >= startTries && !sent.Before(r.doubted):
			// Stopped unseen, it ended tasks that were at work, more of a step than it may miss.
			s.stop(r, reasonNoAnswer)
			r.notThere = true
		case r.phase == phaseRunning && sent.After(r.settled),
			r.phase == phaseStopped && sent.After(r.settled.Add(s.opts.StopTask)):
			s.reportRun("run vanished", id, r.number, w, "acknowledged", w.acked)
			s.drop(r, now)
		}
	}
}

// compareOne takes in one run that a worker listed.
func (s *Shard) compareOne(w *workerState, sent, now time.Time, running outside.RunningTask) {
	r, found := w.runs[running.Task]
	if found && r.number != running.Run {
		return
	}
	j := s.knownJob(running.Task.Job)
	var t *taskState
	if j != nil {
		t = s.taskOf(j, running.Task)
	}
	if t != nil && running.Checkpoint != "" {
		t.checkpoint = running.Checkpoint
	}
	if found {
		r.figure = running.Figure
		r.percent = running.Percent
		r.listed = sent
		if t != nil {
			s.clear(r, t, j, now)
		}
		switch {
		case r.phase == phaseStarting || r.phase == phaseDoubtful:
			r.phase = phaseRunning
			r.settled = now
		case r.phase == phaseStopping && r.notThere:
			// It has begun after all, before its stop was answered.
			r.spared = true
		case r.phase == phaseStopped && sent.After(r.settled.Add(s.opts.StopTask+foundSlack)):
			s.stopAgain(r)
		}
		return
	}
	r = &run{
		id:      running.Task,
		number:  running.Run,
		worker:  w,
		phase:   phaseRunning,
		began:   now,
		settled: now,
		found:   true,
		share:   sharedUnknown,
		unsized: t == nil,
	}
	wanted := t != nil && needsRun(j, t)
	if t != nil {
		r.charge = j.record.Spec.Steps[running.Task.Step].Charge()
	}
	s.attach(r, j, t)
	switch {
	case j == nil:
		s.noteUnknown(running.Task.Job)
	case !wanted:
		s.stop(r, reasonUnwanted)
	}
	s.reportRun("run found", running.Task, running.Run, w, "job_known", j != nil, "wanted", wanted, "percent", running.Percent)
}

// taskOf returns a task, building its occurrence where an earlier owner had.
func (s *Shard) taskOf(j *jobState, id job.TaskID) *taskState {
	step := j.step(id.Occurrence, id.Step)
	if step == nil || id.Index >= len(step.tasks) {
		return nil
	}
	return step.tasks[id.Index]
}

// attach notes that a run takes room on its worker and serves its task.
func (s *Shard) attach(r *run, j *jobState, t *taskState) {
	r.worker.runs[r.id] = r
	r.worker.used = r.worker.used.Add(r.charge)
	if r.unsized {
		r.worker.unsized++
	}
	if t == nil {
		s.chargeQuota(r, "", job.Room{})
		return
	}
	s.chargeQuota(r, j.record.Organisation, j.record.Spec.Steps[r.id.Step].Need)
	t.runs = append(t.runs, r)
	if t.isSuspect() {
		r.suspect = true
		r.worker.suspects++
	}
	if t.crashed.Alone() {
		r.alone = true
		r.worker.alone++
	}
	j.active++
	t.lastRun = max(t.lastRun, r.number)
	j.occurrences[r.id.Occurrence].steps[r.id.Step].unidle(r.id.Index)
	s.begin(j)
}

// begin notes that a task of the job has started.
func (s *Shard) begin(j *jobState) {
	if j.begun {
		return
	}
	j.begun = true
	s.countPending(j, -1)
	if j.state == job.Queued {
		j.state = job.Running
		s.opts.Show(j.record.ID, job.Running)
	}
}

// countPending adds to the count of jobs of the route that have not begun.
func (s *Shard) countPending(j *jobState, by int) {
	if j.record.Spec.Repeats > 0 {
		return
	}
	s.pending[j.record.Route] += by
}

// drop ends a run at its worker and makes its task idle where nothing else
// runs it.
func (s *Shard) drop(r *run, now time.Time) {
	if r.worker.runs[r.id] != r {
		return
	}
	if r.unanswered || (r.call != 0 && r.phase != phaseStopped) {
		s.rememberStart(r, now)
	}
	delete(r.worker.runs, r.id)
	r.worker.used = r.worker.used.Sub(r.charge)
	if r.unsized {
		r.worker.unsized--
	}
	s.unsuspect(r)
	s.releaseQuota(r)
	j := s.jobs[r.id.Job]
	if j == nil {
		return
	}
	t := j.task(r.id)
	if t == nil {
		return
	}
	for i, other := range t.runs {
		if other == r {
			t.runs = append(t.runs[:i], t.runs[i+1:]...)
			j.active--
			break
		}
	}
	s.acquit(r.id, r.worker)
	if len(t.runs) == 0 && !t.done && !j.state.Final() {
		step := j.occurrences[r.id.Occurrence].steps[r.id.Step]
		step.unidle(r.id.Index)
		step.idle = append(step.idle, r.id.Index)
		t.idleSince = now
		s.waiting[j.record.ID] = j
	}
}

// ended takes in one end.
func (s *Shard) ended(w *workerState, end outside.End, now time.Time) {
	j := s.knownJob(end.Task.Job)
	var t *taskState
	if j != nil {
		t = s.taskOf(j, end.Task)
	}
	r, found := w.runs[end.Task]
	if found && r.number == end.Run {
		s.drop(r, now)
	} else {
		r = nil
	}
	s.reportRun("run ended", end.Task, end.Run, w, "how", string(end.Kind), "number", end.Number, "known", r != nil)
	if t == nil || j.state.Final() {
		return
	}
	if end.Kind == outside.EndLapsed && len(t.runs) == 0 {
		s.reportExceeded("lease lapsed", end.Task, end.Run, w)
	}
	if end.Checkpoint != "" {
		t.checkpoint = end.Checkpoint
	}
	switch end.Kind {
	case outside.EndDone:
		w.blamed = max(0, w.blamed-1)
		s.learn(j, end.Task, r, now)
		s.taskDone(j, end.Task, now)
	case outside.EndFailed:
		s.taskFailed(j, t, w, end, now)
	}
}

// taskDone notes that a task ended well.
func (s *Shard) taskDone(j *jobState, id job.TaskID, now time.Time) {
	if j.record.Spec.Steps[id.Step].Lasting {
		return
	}
	o := j.occurrences[id.Occurrence]
	step := o.steps[id.Step]
	first, last := id.Index, id.Index
	if j.record.Spec.Steps[id.Step].Gang {
		// The members of a gang end together; one such end counts for all.
		first, last = 0, len(step.tasks)-1
	}
	changed := false
	for index := first; index <= last; index++ {
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
	if step.left > 0 {
		return
	}
	s.waiting[j.record.ID] = j
	o.left--
	if o.left > 0 {
		return
	}
	j.left--
	if j.left == 0 {
		s.finishJob(j, job.Completed, now)
	}
}

// taskFailed counts a failed run, once, and gives the job up when the task has
// used its attempts.
func (s *Shard) taskFailed(j *jobState, t *taskState, w *workerState, end outside.End, now time.Time) {
	w.blamed++
	t.avoid = append(t.avoid, w.incarnation())
	if j.record.Spec.Steps[end.Task.Step].Lasting {
		return
	}
	for _, counted := range t.failed {
		if counted == end.Run {
			return
		}
	}
	t.failed = append(t.failed, end.Run)
	s.dirty[j.record.ID] = j
	if attempts := j.attempts(end.Task, t); attempts >= j.policy.Attempts && !t.done {
		s.opts.Report("attempts used", "job", j.record.ID, "task", end.Task.String(), "attempts", attempts)
		s.finishJob(j, job.Failed, now)
	}
}

// finishJob gives a job its final state. What still runs of it is stopped.
func (s *Shard) finishJob(j *jobState, state job.State, now time.Time) {
	if !j.begun {
		s.countPending(j, -1)
		j.begun = true
	}
	j.state = state
	j.ended = now
	s.dirty[j.record.ID] = j
	delete(s.waiting, j.record.ID)
	delete(s.repeating, j.record.ID)
	s.forgetTickets(j)
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
