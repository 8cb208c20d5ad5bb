package shard

import (
	"slices"
	"time"

	"lemonstream.dev/lemonstream/job"
	"lemonstream.dev/lemonstream/outlier"
	"lemonstream.dev/lemonstream/outside"
)

const (
	// lastAttemptWait is how long a task with one attempt left waits for a proven worker. A busy
	// worker ends a run in a fraction of a second.
	lastAttemptWait = 2 * time.Second

	// ejectedWait is how long a task waits for room until it may use an ejected worker. Without it,
	// a last attempt never ran while all other workers were full.
	ejectedWait = 3 * lastAttemptWait

	// hangingFactor is the multiple of its usual run time after which a run is evidence against
	// its worker. Interference and remote data make sound runs up to three times as long.
	hangingFactor = 6

	// minHangingTime is the least run time that is evidence against a worker. The end of a run is
	// noticed after a poll, which may have to be repeated.
	minHangingTime = 5 * time.Second

	// evidenceTimeout is how long after the takeover evidence is kept for a worker that has not
	// been met.
	evidenceTimeout = 15 * time.Second
)

// Ejected returns the number of workers that are ejected because they fail what they start.
func (s *Shard) Ejected() int {
	return s.outliers.Ejected()
}

// recordEvidence records what the end of a run says of its worker and its job. r is nil if the run
// was not known.
func (s *Shard) recordEvidence(w *workerState, j *jobState, t *taskState, r *run, end outside.End, now time.Time) {
	var began time.Time
	if r != nil && !r.found {
		began = r.startedAt
	}
	if (t.done && r == nil) || slices.Contains(t.failedRuns, end.Run) {
		// The end was counted already, maybe by an earlier owner, whose evidence is inherited. The
		// first end of a gang marks all its tasks as done; ends of known runs still count.
		return
	}
	kind := runTimeKey(j, &j.record.Spec.Steps[end.Task.Step])
	switch end.Kind {
	case outside.EndDone:
		s.outliers.Done(w.health, &j.fault, kind, began, now)
	case outside.EndFailed:
		s.outliers.Failed(w.health, &j.fault, kind, began, now)
	default:
		// Any other end was ordered, or has a cause outside of the worker and the job.
	}
}

// recordHanging records a run that takes far longer than usual as evidence against its worker,
// once.
func (s *Shard) recordHanging(j *jobState, spec *job.Step, r *run, now time.Time) {
	if r.hanging || r.found || spec.Lasting || spec.Filler || r.worker.failures > 0 || now.Sub(r.startedAt) < minHangingTime {
		return
	}
	m := s.runTimes[runTimeKey(j, spec)]
	if m == nil || m.count < minSpeculateSamples || now.Sub(r.startedAt) < hangingFactor*max(m.mean, spec.Estimate) {
		return
	}
	r.hanging = true
	s.logRun("run hangs", r.id, r.number, r.worker, "ran_ms", now.Sub(r.startedAt).Milliseconds())
	s.outliers.Hanging(r.worker.health, now)
}

// isAllowed reports whether a worker that may not be filled may take a task.
func (s *Shard) isAllowed(w *workerState, c candidate, now time.Time) bool {
	switch allowance := s.outliers.Allowance(w.health, now); allowance {
	case outlier.AllowProbe, outlier.AllowNone:
		if s.mayUseEjected(w, c, now) {
			return true
		}
		runs, _ := s.shortRuns(w)
		return allowance == outlier.AllowProbe && runs == 0 && !c.task.lastAttempt && !c.spec.Lasting && !c.spec.Gang && !c.assumeEmpty
	case outlier.AllowFew:
		runs, _ := s.shortRuns(w)
		return c.spec.Lasting || c.assumeEmpty || runs < outlier.MaxFew
	case outlier.AllowPart:
		runs, used := s.shortRuns(w)
		half := w.reg.Capacity
		half.MilliCPU /= 2
		half.MemoryMB /= 2
		return c.spec.Lasting || c.assumeEmpty || runs < outlier.MinPart || half.Fits(used.Add(c.charge))
	default:
		return true
	}
}

// mayUseEjected reports whether a task may start on an ejected worker although it is no probe: no
// other worker can take it even when empty, or it has waited long and nothing runs on the worker.
func (s *Shard) mayUseEjected(w *workerState, c candidate, now time.Time) bool {
	since := c.task.onlyEjectedSince
	if !since.IsZero() && now.Sub(since) >= lastAttemptWait {
		return true
	}
	return len(w.runs) == 0 && c.task.isOverdue(now)
}

// isOverdue reports whether a task has waited for room for ejectedWait.
func (t *taskState) isOverdue(now time.Time) bool {
	return !t.waitingSince.IsZero() && now.Sub(t.waitingSince) >= ejectedWait
}

// recordWait records that the idle tasks of a step wait for a worker while one is ejected. spec is
// nil if it is not to be checked whether only ejected workers can take them.
func (s *Shard) recordWait(g group, step *stepState, spec *job.Step, now time.Time) {
	if s.outliers.Ejected() == 0 || step.idle == 0 {
		return
	}
	checked := spec != nil && acceptsSome(spec)
	only := false
	for index := range step.idleTasks() {
		only = checked && s.onlyEjectedAccept(newCandidate(g.task(index), spec, step.task(index)), now)
		break
	}
	step.idleStates(func(t *taskState) {
		if t.waitingSince.IsZero() {
			t.waitingSince = now
		}
		switch {
		case checked && !only:
			t.onlyEjectedSince = time.Time{}
		case only && t.onlyEjectedSince.IsZero():
			t.onlyEjectedSince = now
		}
	})
}

// onlyEjectedAccept reports whether no worker that is not ejected could take a task when empty.
func (s *Shard) onlyEjectedAccept(c candidate, now time.Time) bool {
	c.assumeEmpty = true
	c.allowUnproven = true
	return !slices.ContainsFunc(s.usable, func(w *workerState) bool {
		return !w.health.IsEjected() && s.checkEligibility(w, c, now) == eligible
	})
}

// acceptsSome reports whether the tasks of a step may run only on some of the workers, or must not
// be spent on a probe.
func acceptsSome(spec *job.Step) bool {
	return spec.Label != "" || spec.PerWorker > 0 || spec.Lasting || spec.Gang
}

// shortRuns returns the number of runs on a worker that are not long-running, and their resources.
func (s *Shard) shortRuns(w *workerState) (int, job.Room) {
	count := 0
	var used job.Room
	for id, r := range w.runs {
		if !s.isLongRunning(id) {
			count++
			used = used.Add(r.charge)
		}
	}
	return count, used
}

// holdsLastAttempt reports whether a task waits for a proven worker, because it has one attempt left
// and there is such a worker.
func (s *Shard) holdsLastAttempt(t *taskState, now time.Time) bool {
	if s.opts.EjectShare == 0 || !s.anyProven || !t.lastAttempt || !t.triedBefore {
		return false
	}
	return t.heldSince.IsZero() || now.Sub(t.heldSince) < lastAttemptWait
}

// hold records that a task waits for a worker, unless it waits already.
func (t *taskState) hold(now time.Time) {
	if t.heldSince.IsZero() {
		t.heldSince = now
	}
}

// endWait records that a task waits for no worker.
func (t *taskState) endWait() {
	t.heldSince = time.Time{}
	t.waitingSince = time.Time{}
	t.onlyEjectedSince = time.Time{}
}

// noteLastAttempt records that a run of a task has failed. A failed run of a gang's member counts
// for all members.
func (j *jobState) noteLastAttempt(id job.TaskID, t *taskState) {
	note := func(member *taskState) {
		member.triedBefore = true
		member.lastAttempt = j.attempts(id, member)+1 >= j.policy.Attempts
	}
	step := j.step(id)
	if step == nil || !j.record.Spec.Steps[id.Step].Gang {
		note(t)
		return
	}
	for _, member := range step.states {
		note(member)
	}
	note(step.forUntouched())
}

// isHeldBack reports whether a task that no worker has taken waits for a proven worker only, and
// records when its wait began.
func (s *Shard) isHeldBack(id job.TaskID, spec *job.Step, t *taskState, now time.Time) bool {
	if !s.holdsLastAttempt(t, now) {
		return false
	}
	c := newCandidate(id, spec, t)
	c.allowUnproven = true
	if s.best(c, now) == nil {
		return false
	}
	t.hold(now)
	return true
}

// doubtWeight returns the weight of what speaks against a worker. One that is due for a probe comes
// first: it would never return where others have room.
func (s *Shard) doubtWeight(w *workerState, spec *job.Step, t *taskState) float64 {
	weight := weightDoubt * w.health.Doubt()
	switch {
	case !w.health.IsEjected():
	case acceptsSome(spec) || t.lastAttempt:
		weight += weightEjected
	default:
		weight = -weightProbe
	}
	if t.lastAttempt && t.triedBefore && !w.proven {
		weight += weightUnproven
	}
	return weight
}

// inheritEvidence keeps the evidence of the previous owner until the workers answer.
func (s *Shard) inheritEvidence(list []outlier.Evidence) {
	for _, e := range list {
		if err := e.Check(); err != nil {
			s.opts.LogEvent("invalid evidence left out", "error", err.Error())
			continue
		}
		s.inheritedEvidence[e.Worker] = e
	}
}

// evidence returns what a successor is told about workers, the worst first: what this owner knows,
// and what it has inherited about workers that have not answered yet.
func (s *Shard) evidence(now time.Time) []outlier.Evidence {
	list := s.outliers.Evidence(now)
	for _, e := range s.inheritedEvidence {
		list = append(list, e)
	}
	slices.SortStableFunc(list, outlier.Evidence.Compare)
	return list
}

// restoreEvidence uses the inherited evidence about a worker that has answered.
func (s *Shard) restoreEvidence(w *workerState, now time.Time) {
	name := w.incarnation().String()
	w.health.Rename(name)
	if e, found := s.inheritedEvidence[name]; found {
		delete(s.inheritedEvidence, name)
		s.outliers.Restore(w.health, e, now)
	}
}

// dropUnusedEvidence drops evidence about workers that have not answered in time, and logs their
// number.
func (s *Shard) dropUnusedEvidence(now time.Time) {
	if len(s.inheritedEvidence) == 0 || now.Sub(s.takenAt) < evidenceTimeout {
		return
	}
	s.opts.LogEvent("evidence of unknown workers left out", "workers", len(s.inheritedEvidence))
	clear(s.inheritedEvidence)
}
