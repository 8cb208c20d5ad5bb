package shard

import (
	"errors"
	"time"

	"lemonstream.dev/lemonstream/job"
	"lemonstream.dev/lemonstream/outside"
)

const (
	// maxAckWait is how long the next poll of a worker waits for the write after which the
	// worker's ends may be acknowledged. After that the poll is sent without acknowledging them.
	ackPause = 300 * time.Millisecond

	// maxStartAttempts is how often a start without an answer is sent before the run is
	// stopped instead. A long-running task is stopped only once a poll shows that it has not
	// started.
	startTries = 2
)

// Polled handles the answer to a poll that was ordered at sent. It ignores an answer that is no
// longer awaited. Such an answer can come from an incarnation that was given up: attributed to the
// newer one, it made the tasks that ran there start a second time elsewhere.
func (s *Shard) Held(poll Hold, sent, now time.Time, glance outside.Glance, err error) {
	id := poll.Worker.ID
	w, found := s.workers[id]
	if !found || w.look != poll.Call {
		s.opts.Report("late answer passed over", "worker", id, "sent_ms", now.Sub(sent).Milliseconds())
		return
	}
	w.look = 0
	s.resolveUnknown(now)
	if err != nil {
		if now.Sub(sent) <= promptFailure {
			w.silentAt = sent
		}
		s.holdFailed(w, poll, now, err)
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
		// A stored row may still name the worker as one where nothing is started or renewed.
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

// pollFailed handles a poll that failed.
func (s *Shard) holdFailed(w *workerState, poll Hold, now time.Time, err error) {
	var gone *outside.GoneError
	if errors.As(err, &gone) {
		s.loseWorker(w, now, "another worker answers")
		return
	}
	var refused *outside.WorkerRefusedError
	if errors.As(err, &refused) && refused.Reason == outside.RefusedFence {
		if s.isOutdated(w.reg.ID, poll.Renewal.Fence) {
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

// reconcile updates the known runs of a worker from the runs that it listed.
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
			// The stop waits until a poll has shown that the run is missing: without that,
			// stops ended available tasks, more of a step than may be unavailable.
			s.stop(r, reasonNoAnswer)
			r.notThere = true
		case r.phase == phaseRunning && sent.After(r.settled),
			r.phase == phaseStopped && sent.After(r.settled.Add(s.opts.StopTask)):
			s.reportRun("run missing from poll", id, r.number, w, "acknowledged", w.acked)
			s.drop(r, now)
		}
	}
}

// reconcileRun updates or adds one run that a worker listed.
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
			// The run has started after all, before its stop was answered.
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

// findOrBuildTask returns a task of a job; nil if the job has none with that id. It builds the
// task's occurrence if only an earlier owner had begun it.
func (s *Shard) taskOf(j *jobState, id job.TaskID) *taskState {
	step := j.step(id.Occurrence, id.Step)
	if step == nil || id.Index >= len(step.tasks) {
		return nil
	}
	return step.tasks[id.Index]
}

// attachRun adds a run to its worker, its task and the quota usage of its organisation. j and t are
// nil if its job is unknown.
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

// markStarted records that a task of the job has started.
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

// addPending adds by to the number of jobs of the route that have not begun. Repeated jobs don't
// count.
func (s *Shard) countPending(j *jobState, by int) {
	if j.record.Spec.Repeats > 0 {
		return
	}
	s.pending[j.record.Route] += by
}

// dropRun removes a run from its worker and makes its task idle if the task has no other run.
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

// handleEnd handles the end of a run that a worker listed.
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

// taskFailed counts a failed run once, and fails the job when the task has used its attempts. The
// failures of long-running tasks don't count.
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

// finishJob sets the final state of a job and stops its remaining runs.
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
