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
		// task on it would keep the isolated task waiting for all of suspect.AloneWait.
		closed := now.Before(w.closedUntil) || now.Before(w.keptUntil)
		draining := w.drains()
		if len(w.runs) == 0 || (!draining && !closed) {
			continue
		}
		soon := draining && w.drainEnds.Sub(now) < s.opts.StopTask+drainReserve
		for id, r := range w.runs {
			spec, found := s.stepOf(id)
			if !found || (r.phase != phaseRunning && !r.spared) {
				continue
			}
			switch {
			case soon && (spec.Lasting || spec.Checkpoints):
				s.stop(r, "worker drains")
			case r.phase == phaseRunning && spec.Lasting && s.maySendAway(id, spec, now):
				s.sendAway(r)
			}
		}
	}
}

// isDraining reports whether this incarnation of the worker has announced its end. The
// registration may still be that of the previous incarnation.
func (w *workerState) drains() bool {
	return w.reg.Draining && !w.isOther(w.reg.Born)
}

// mayEvict reports whether a long-running task may be stopped now: its step may have one more task
// unavailable, and other workers have resources for it and for the tasks of the step that need
// a worker already.
func (s *Shard) maySendAway(id job.TaskID, spec *job.Step, now time.Time) bool {
	step := s.jobs[id.Job].occurrences[id.Occurrence].steps[id.Step]
	return s.canSpare(id, spec) && s.places(id, spec, now) > step.seeking()
}

// evict stops a run of a long-running task so that its worker empties. The stop is not repeated
// while the step may have no more tasks unavailable, see holdsBackStop.
func (s *Shard) sendAway(r *run) {
	s.stop(r, "worker is being emptied")
	r.spared = true
}

// holdsBackStop reports whether the failed stop of an evicted run must not be repeated now, because
// its step may have no more tasks unavailable. The run still counts as stopping, since the earlier
// stop may yet take effect: if the run counted as available, another task of the step would be
// evicted as well. Once that stop can no longer take effect, the run counts as running again.
func (s *Shard) holdsBack(r *run, now time.Time) bool {
	if !r.spared || r.tries == 0 {
		return false
	}
	spec, found := s.stepOf(r.id)
	if !found || s.canSpare(r.id, spec) {
		return false
	}
	if !r.heldBack {
		r.heldBack = true
		s.reportRun("stop held back", r.id, r.number, r.worker, "tries", r.tries)
	}
	if r.listed.Sub(r.ordered) > lateMost {
		s.reportRun("stop given up", r.id, r.number, r.worker, "tries", r.tries)
		r.phase = phaseRunning
		r.settled = now
		delete(s.due, r)
	}
	return true
}

// canDisrupt reports whether a step may have one of its tasks unavailable, given how many of its
// other tasks are.
func (s *Shard) canSpare(id job.TaskID, spec *job.Step) bool {
	away, known := s.othersAway(id)
	return known && spares(spec, away)
}

// allowsDisruption reports whether a step may have one more task unavailable, given how many are.
func spares(spec *job.Step, away int) bool {
	return away < max(1, spec.MayMiss) && (!spec.HasMayMiss || away < spec.MayMiss)
}

// unavailable returns how many tasks of a step are unavailable, without the one at index.
func (s *Shard) away(step *stepState, index int) int {
	unavailable := 0
	for i, t := range step.tasks {
		if i != index && !s.atWork(t) {
			unavailable++
		}
	}
	return unavailable
}

// countPlacements returns how many tasks of a step the workers could start now. It counts up to
// Step.Count or Step.PerWorker tasks for each worker.
func (s *Shard) places(id job.TaskID, spec *job.Step, now time.Time) int {
	c := newCandidate(id, spec, s.jobs[id.Job].task(id))
	sum := 0
	for _, w := range s.workers {
		if s.refuses(w, c, now) != takes {
			continue
		}
		most := spec.Count
		if spec.PerWorker > 0 {
			most = spec.PerWorker - w.onStep(id)
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
	for _, index := range s.idle {
		if s.tasks[index].isStuck(now) {
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
func (s *stepState) seeking() int {
	count := len(s.idle)
	for _, t := range s.tasks {
		if len(t.runs) == 1 && (t.runs[0].phase == phaseStopping || t.runs[0].phase == phaseStopped) {
			count++
		}
	}
	return count
}

// isAvailable reports whether a long-running task has a run that is known to work at full capacity.
func (s *Shard) atWork(t *taskState) bool {
	for _, r := range t.runs {
		// A run on a worker that does not answer may have ended long ago.
		reached := r.worker.failures == 0 && r.worker.doubted.IsZero()
		if r.phase == phaseRunning && r.percent >= fullPercent && reached && !s.mayBeStopping(r) {
			return true
		}
	}
	return false
}

// mayBeStopping reports whether the previous owner may have ordered a stop of the run. The worker
// lists the run until it has stopped.
func (s *Shard) mayBeStopping(r *run) bool {
	return r.found && r.listed.Sub(r.began) < s.opts.StopTask+foundSlack
}
