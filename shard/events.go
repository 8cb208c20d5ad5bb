package shard

import (
	"errors"
	"slices"
	"time"

	"lemonstream.dev/lemonstream/job"
	"lemonstream.dev/lemonstream/outside"
)

const (
	// maxAckWait is how long the next poll of a worker waits for the write after which the
	// worker's ends may be acknowledged. After that the poll is sent without acknowledging them.
	maxAckWait = 300 * time.Millisecond

	// maxStartAttempts is how often a start without an answer is sent before the run is
	// stopped instead. A long-running task is stopped only once a poll shows that it has not
	// started.
	maxStartAttempts = 2
)

// Polled handles the answer to a poll that was ordered at sent. It ignores an answer that is no
// longer awaited. Such an answer can come from an incarnation that was given up: attributed to the
// newer one, it made the tasks that ran there start a second time elsewhere.
func (s *Shard) Polled(poll Poll, sent, now time.Time, glance outside.WorkerStatus, err error) {
	s.opts.UnderWay.Polls.Done(1)
	id := poll.Worker.ID
	w, found := s.workers[id]
	if !found || w.pollCall != poll.Call {
		s.opts.LogEvent("late answer passed over", "worker", id, "sent_ms", now.Sub(sent).Milliseconds())
		return
	}
	w.pollCall = 0
	s.resolveUnknownJobs(now)
	if err != nil {
		if now.Sub(sent) <= promptFailureTimeout {
			w.silentPollAt = sent
		}
		s.pollFailed(w, poll, now, err)
		return
	}
	if w.failures > 0 {
		s.opts.LogEvent("worker regained", "worker", id, "failures", w.failures)
	}
	again := w.isOtherIncarnation(glance.Born)
	if again {
		w = s.replaceIncarnation(w, poll, glance, sent, now)
	}
	if w.born.IsZero() {
		w.born = glance.Born
	}
	if w.inHandover {
		// A stored row may still name the worker as one where nothing is started or renewed.
		w.regainedAt = now
		w.inHandover = false
	}
	w.failures = 0
	w.silentSince = time.Time{}
	w.updateClock(glance.Clock, now)
	if !w.contacted && !again {
		s.recordEarlierCrashes(w, now)
	}
	if !w.contacted {
		s.handleFirstAnswer(w, now)
	}
	s.boundLease(w, poll, now)
	s.noteMoreEnds(w, glance)
	if sent.After(w.uncertainAt) {
		w.uncertainAt = time.Time{}
	}
	s.processEnds(w, glance.Ends, now)
	s.reconcile(w, sent, now, glance.Runs)
	s.clearStalePossibleCrashes(w)
	s.paceFillers(w)
	if !w.fenced {
		w.nextPollAt = now
	}
}

// noteMoreEnds records whether an answer lists every end of its worker.
func (s *Shard) noteMoreEnds(w *workerState, glance outside.WorkerStatus) {
	if glance.MoreEnds && !w.moreEnds {
		s.opts.LogEvent("ends left out of poll", "worker", w.incarnation().String(), "ends", len(glance.Ends),
			"taken_in", w.processed, "acknowledged", w.acked, "observed", w.observed)
	}
	w.moreEnds = glance.MoreEnds
	w.observed = w.observed || !glance.MoreEnds
}

// pollFailed handles a poll that failed.
func (s *Shard) pollFailed(w *workerState, poll Poll, now time.Time, err error) {
	var gone *outside.GoneError
	if errors.As(err, &gone) {
		s.workerLost(w, now, evidenceReplaced)
		return
	}
	var refused *outside.WorkerRefusedError
	if errors.As(err, &refused) && refused.Reason == outside.RefusedFence {
		if s.isStaleFence(w.reg.ID, poll.Renewal.Fence) {
			w.nextPollAt = now
			return
		}
		s.stepDown(w)
		return
	}
	s.raiseFence(w)
	if w.failures == 0 {
		w.silentSince = now
		s.opts.LogEvent("worker lost", "worker", w.reg.ID, "runs", len(w.runs), "error", err.Error())
	}
	w.failures++
	if w.failures == possibleCrashAfter && !s.answerLatency.late(now) {
		s.addPossibleCrashes(w, s.lostTasks(w, now))
	}
	w.nextPollAt = now.Add(min(maxRetryBackoff, minRetryBackoff*time.Duration(w.failures)))
}

// reconcile updates the known runs of a worker from the runs that it listed.
func (s *Shard) reconcile(w *workerState, sent, now time.Time, listed []outside.RunningTask) {
	present := make(map[job.TaskID]int64, len(listed))
	for _, running := range listed {
		present[running.Task] = running.Run
		s.reconcileRun(w, sent, now, running)
	}
	for _, r := range w.sortedRuns() {
		if number, found := present[r.id]; found && number == r.number {
			continue
		}
		if w.moreEnds && !s.isLongRunning(r.id) {
			// The run may have an end that is not listed. That of a long-running task is never done.
			continue
		}
		switch {
		case r.phase == phaseUncertain && r.call == 0 && r.tries >= maxStartAttempts && !sent.Before(r.uncertainAt):
			// The stop waits until a poll has shown that the run is missing: without that,
			// stops ended available tasks, more of a step than may be unavailable.
			s.stop(r, reasonNoAnswer)
			r.notStarted = true
		case r.phase == phaseRunning && sent.After(r.answeredAt),
			r.phase == phaseStopped && sent.After(r.answeredAt.Add(s.opts.StopTimeout)):
			s.logRun("run missing from poll", r.id, r.number, w, "acknowledged", w.acked)
			s.dropRun(r, now)
		}
	}
}

// reconcileRun updates or adds one run that a worker listed.
func (s *Shard) reconcileRun(w *workerState, sent, now time.Time, running outside.RunningTask) {
	r, found := w.runs[running.Task]
	if found && r.number != running.Run {
		return
	}
	j := s.knownJob(running.Task.Job)
	var t *taskState
	if j != nil {
		t = j.ownTask(running.Task)
	}
	if t != nil && running.Checkpoint != "" {
		t.checkpoint = running.Checkpoint
	}
	if found {
		r.figure = running.Figure
		r.percent = running.Percent
		r.listedAt = sent
		if t != nil {
			s.clear(r, t, j, now)
		}
		switch {
		case r.phase == phaseStarting || r.phase == phaseUncertain:
			r.phase = phaseRunning
			r.answeredAt = now
		case r.phase == phaseStopping && r.notStarted:
			// The run has started after all, before its stop was answered.
			r.stopWithinBudget = true
		case r.phase == phaseStopped && sent.After(r.answeredAt.Add(s.opts.StopTimeout+stopSlack)):
			s.stopAgain(r)
		}
		return
	}
	r = &run{
		id:         running.Task,
		number:     running.Run,
		worker:     w,
		phase:      phaseRunning,
		startedAt:  now,
		answeredAt: now,
		found:      true,
		share:      shareUnknown,
		unsized:    t == nil,
	}
	r.doubleStart = s.logDoubleStart(w, t, running.Task, running.Run, howRunning, now)
	wanted := t != nil && needsRun(j, t)
	if t != nil {
		r.charge = j.record.Spec.Steps[running.Task.Step].Charge()
	}
	s.attachRun(r, j, t)
	switch {
	case j == nil:
		s.addUnknownJob(running.Task.Job)
	case !wanted:
		s.stop(r, reasonUnwanted)
	}
	s.logRun("run found", running.Task, running.Run, w, "job_known", j != nil, "wanted", wanted, "percent", running.Percent)
}

// attachRun adds a run to its worker, its task and the quota usage of its organisation. j and t are
// nil if its job is unknown.
func (s *Shard) attachRun(r *run, j *jobState, t *taskState) {
	if r.worker.runs[r.id] != r {
		s.opts.UnderWay.Runs.Add(1)
	}
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
	j.step(r.id).addRun(r.id.Index, r)
	j.occurrences[r.id.Occurrence].started = true
	if t.isSuspect() {
		r.suspect = true
		r.worker.suspects++
	}
	if t.needsIsolationOn(r.worker) {
		r.isolated = true
		r.worker.isolated++
	}
	j.activeRuns++
	t.lastRun = max(t.lastRun, r.number)
	s.markStarted(j)
}

// markStarted records that a task of the job has started.
func (s *Shard) markStarted(j *jobState) {
	if j.started {
		return
	}
	j.started = true
	s.addPending(j, -1)
	if j.state == job.Queued {
		j.state = job.Running
		s.opts.PublishState(j.record.ID, job.Running)
	}
}

// addPending adds by to the number of jobs of the route that have not begun. Repeated jobs don't
// count.
func (s *Shard) addPending(j *jobState, by int) {
	if j.record.Spec.Repeats > 0 {
		return
	}
	s.pending[j.record.Route] += by
}

// dropRun removes a run from its worker and makes its task idle if the task has no other run.
func (s *Shard) dropRun(r *run, now time.Time) {
	if r.worker.runs[r.id] != r {
		return
	}
	if r.unanswered || (r.call != 0 && r.phase != phaseStopped) {
		s.recordUnansweredStart(r, now)
	}
	delete(r.worker.runs, r.id)
	s.opts.UnderWay.Runs.Done(1)
	s.dropUnsent(r)
	r.worker.used = r.worker.used.Sub(r.charge)
	if r.unsized {
		r.worker.unsized--
	}
	s.removeSuspect(r)
	s.releaseQuota(r)
	j := s.jobs[r.id.Job]
	if j == nil {
		return
	}
	t := j.task(r.id)
	if t == nil {
		return
	}
	dropped := false
	if i := slices.Index(t.runs, r); i >= 0 {
		t.runs = slices.Delete(t.runs, i, i+1)
		j.activeRuns--
		dropped = true
	}
	s.removePossibleCrashes(r.id, r.worker.incarnation())
	s.reviewCrashes = s.reviewCrashes || t.isSuspect()
	if dropped && len(t.runs) == 0 && !t.done && !j.state.Final() {
		j.step(r.id).becomeIdle(r.id.Index, now)
		s.waiting[j.record.ID] = j
	}
	j.release(r.id)
}

// handleEnd handles the end of a run that a worker listed.
func (s *Shard) handleEnd(w *workerState, end outside.End, now time.Time) {
	j := s.knownJob(end.Task.Job)
	var t *taskState
	if j != nil {
		t = j.ownTask(end.Task)
		defer j.release(end.Task)
	}
	r, found := w.runs[end.Task]
	if found && r.number == end.Run {
		s.dropRun(r, now)
	} else {
		r = nil
	}
	s.logRun("run ended", end.Task, end.Run, w, "how", string(end.Kind), "number", end.Number, "known", r != nil)
	if r == nil || r.doubleStart {
		s.logDoubleStart(w, t, end.Task, end.Run, string(end.Kind), now)
	}
	if t == nil || j.state.Final() {
		return
	}
	if end.Kind == outside.EndLapsed && len(t.runs) == 0 {
		s.logBudgetExceeded("lease lapsed", end.Task, end.Run, w)
	}
	if end.Checkpoint != "" {
		t.checkpoint = end.Checkpoint
	}
	s.recordEvidence(w, j, t, r, end, now)
	switch end.Kind {
	case outside.EndDone:
		s.recordRunTime(j, end.Task, r, now)
		s.taskDone(j, end.Task, now)
	case outside.EndFailed:
		s.taskFailed(j, t, w, end, now)
	}
}
