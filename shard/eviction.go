package shard

import (
	"time"

	"lemonstream.dev/lemonstream/job"
)

// moveOffDraining stops long-running tasks on draining, closed and reserved workers, so that they
// start elsewhere, at most as many at once as their steps may have unavailable. Shortly before a
// draining worker ends, it stops all of its long-running tasks, which would end with it, and the
// tasks that save checkpoints.
func (s *Shard) moveOffDraining(now time.Time) {
	for _, w := range s.workers {
		// A worker that is reserved for an isolated task must empty as well: a long-running
		// task on it would keep the isolated task waiting for all of suspect.IsolationWait.
		closed := now.Before(w.closedUntil) || now.Before(w.reservedUntil)
		draining := w.isDraining()
		if len(w.runs) == 0 || (!draining && !closed) {
			continue
		}
		soon := draining && w.drainEndsAt.Sub(now) < s.opts.StopTimeout+drainMargin
		for id, r := range w.runs {
			spec, found := s.stepOf(id)
			if !found || (r.phase != phaseRunning && !r.stopWithinBudget) {
				continue
			}
			switch {
			case soon && (spec.Lasting || spec.Checkpoints):
				s.stop(r, "worker drains")
			case r.phase == phaseRunning && spec.Lasting && s.mayEvict(id, spec, now):
				s.evict(r, "worker is being emptied")
			}
		}
	}
}

// isDraining reports whether this incarnation of the worker has announced its end. The
// registration may still be that of the previous incarnation.
func (w *workerState) isDraining() bool {
	return w.reg.Draining && !w.isOtherIncarnation(w.reg.Born)
}

// mayEvict reports whether a long-running task may be stopped now: its step may have one more task
// unavailable, and other workers have resources for it and for the tasks of the step that need
// a worker already.
func (s *Shard) mayEvict(id job.TaskID, spec *job.Step, now time.Time) bool {
	step := s.jobs[id.Job].step(id)
	return step != nil && s.canDisrupt(id, spec) && s.countPlacements(id, spec, now) > step.countSeeking()
}

// evict stops a run of a long-running task, for a reason that is logged. The stop is not repeated
// while the step may have no more tasks unavailable, see holdsBackStop.
func (s *Shard) evict(r *run, reason string) {
	s.stop(r, reason)
	r.stopWithinBudget = true
}

// holdsBackStop reports whether the failed stop of an evicted run must not be repeated now, because
// its step may have no more tasks unavailable. The run still counts as stopping, since the earlier
// stop may yet take effect: if the run counted as available, another task of the step would be
// evicted as well. Once that stop can no longer take effect, the run counts as running again.
func (s *Shard) holdsBackStop(r *run, now time.Time) bool {
	if !r.stopWithinBudget || r.tries == 0 {
		return false
	}
	spec, found := s.stepOf(r.id)
	if !found || s.canDisrupt(r.id, spec) {
		return false
	}
	if !r.heldBackLogged {
		r.heldBackLogged = true
		s.logRun("stop held back", r.id, r.number, r.worker, "tries", r.tries)
	}
	if r.listedAt.Sub(r.stopOrderedAt) > maxOrderDelay {
		s.logRun("stop given up", r.id, r.number, r.worker, "tries", r.tries)
		r.phase = phaseRunning
		r.answeredAt = now
		s.dueRuns.remove(r)
	}
	return true
}

// canDisrupt reports whether a step may have one of its tasks unavailable, given how many of its
// other tasks are.
func (s *Shard) canDisrupt(id job.TaskID, spec *job.Step) bool {
	away, known := s.othersUnavailable(id)
	return known && allowsDisruption(spec, away)
}

// allowsDisruption reports whether a step may have one more task unavailable, given how many are.
func allowsDisruption(spec *job.Step, away int) bool {
	return away < max(1, spec.MayMiss) && (!spec.HasMayMiss || away < spec.MayMiss)
}

// unavailable returns how many tasks of a step are unavailable, without the one at index.
func (s *Shard) unavailable(step *stepState, index int) int {
	unavailable := step.count - 1
	for i, t := range step.states {
		if i != index && s.isAvailable(t) {
			unavailable--
		}
	}
	return unavailable
}

// countPlacements returns how many tasks of a step the workers could start now. It counts up to
// Step.Count or Step.PerWorker tasks for each worker.
func (s *Shard) countPlacements(id job.TaskID, spec *job.Step, now time.Time) int {
	c := newCandidate(id, spec, s.jobs[id.Job].task(id))
	sum := 0
	for _, w := range s.workers {
		if s.checkEligibility(w, c, now) != eligible {
			continue
		}
		most := spec.Count
		if spec.PerWorker > 0 {
			most = spec.PerWorker - w.countRuns(id)
		}
		room := w.free()
		for n := 0; n < most && room.Fits(spec.Charge()); n++ {
			room = room.Sub(spec.Charge())
			sum++
		}
	}
	return sum
}

// stuck returns how many tasks of the step are stuck. Tasks can be stuck although there seem
// to be enough instances, because not every instance that is counted accepts tasks.
func (s *stepState) stuck(now time.Time) int {
	count := 0
	for _, index := range s.returned {
		if s.states[index].isStuck(now) {
			count++
		}
	}
	return count
}

// countIdleFor returns how many idle tasks of the step have been idle for at least the given time.
// Tasks that have not run before are idle from the time from.
func (s *stepState) countIdleFor(least time.Duration, from, now time.Time) int {
	count := 0
	if now.Sub(from) >= least {
		count = s.untouchedIdle()
	}
	for _, index := range s.returned {
		since := s.states[index].idleSince
		if since.IsZero() {
			since = from
		}
		if now.Sub(since) >= least {
			count++
		}
	}
	return count
}

// isStuck reports whether a task that has run before has had no worker for at least stuckAfter.
func (t *taskState) isStuck(now time.Time) bool {
	return len(t.runs) == 0 && !t.idleSince.IsZero() && now.Sub(t.idleSince) >= stuckAfter
}

// countSeeking returns how many tasks of the step need a worker: those that have none and those
// whose only run is being stopped.
func (s *stepState) countSeeking() int {
	count := s.idle
	for _, t := range s.states {
		if len(t.runs) == 1 && (t.runs[0].phase == phaseStopping || t.runs[0].phase == phaseStopped) {
			count++
		}
	}
	return count
}

// isAvailable reports whether a long-running task has a run that is known to work at full capacity.
func (s *Shard) isAvailable(t *taskState) bool {
	for _, r := range t.runs {
		// A run on a worker that does not answer may have ended long ago.
		reached := r.worker.failures == 0 && r.worker.uncertainAt.IsZero()
		if r.phase == phaseRunning && r.percent >= fullPercent && reached && !s.mayBeStopping(r) {
			return true
		}
	}
	return false
}

// mayBeStopping reports whether the previous owner may have ordered a stop of the run. The worker
// lists the run until it has stopped.
func (s *Shard) mayBeStopping(r *run) bool {
	return r.found && r.listedAt.Sub(r.startedAt) < s.opts.StopTimeout+stopSlack
}
