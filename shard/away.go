package shard

import (
	"time"

	"lemonstream.dev/lemonstream/job"
)

// moveOffDraining stops lasting tasks on workers that drain or are closed, as their steps can
// spare them, so that they start elsewhere before the worker ends. Shortly before a draining
// worker does, it stops all of them, which end with it otherwise, and tasks that save their
// progress.
func (s *Shard) moveOffDraining(now time.Time) {
	for _, w := range s.workers {
		// A worker that is kept for a task that is to run alone is to be emptied as well: a
		// lasting task on it would keep that task waiting for as long as suspect.AloneWait.
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

// drains reports whether this incarnation of the worker has announced its end: a row may still
// be that of the one before.
func (w *workerState) drains() bool {
	return w.reg.Draining && !w.isOther(w.reg.Born)
}

// maySendAway reports whether a lasting task may be stopped now: fewer of the
// others of its step than it may miss are away, and other workers have room for it
// beside those of its step that look for some already.
func (s *Shard) maySendAway(id job.TaskID, spec *job.Step, now time.Time) bool {
	step := s.jobs[id.Job].occurrences[id.Occurrence].steps[id.Step]
	return s.canSpare(id, spec) && s.places(id, spec, now) > step.seeking()
}

// sendAway asks for the end of a lasting task whose worker is wanted elsewhere, for as long as
// its step can spare it.
func (s *Shard) sendAway(r *run) {
	s.stop(r, "worker to be emptied")
	r.spared = true
}

// holdsBack reports whether a stop without success is not to be repeated now, because the step
// of its task can't spare it any more. The run counts as being stopped all the while: the stop
// may yet be carried out, and a step that took it for at work sent another task away beside it.
// Once it can't be any more, the run goes on.
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

// canSpare reports whether fewer of the others of a task's step are away than it may miss.
func (s *Shard) canSpare(id job.TaskID, spec *job.Step) bool {
	away, known := s.othersAway(id)
	return known && spares(spec, away)
}

// spares reports whether a step may miss one more task while so many of it are away.
func spares(spec *job.Step, away int) bool {
	return away < max(1, spec.MayMiss) && (!spec.HasMayMiss || away < spec.MayMiss)
}

// away returns how many tasks of a step are not at work, the one with the given index left out.
func (s *Shard) away(step *stepState, index int) int {
	away := 0
	for i, t := range step.tasks {
		if i != index && !s.atWork(t) {
			away++
		}
	}
	return away
}

// places returns how many tasks of a step other workers could take now.
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

// stuck returns how many tasks of the step have been without a worker for long: not
// every instance that is counted takes tasks.
func (s *stepState) stuck(now time.Time) int {
	count := 0
	for _, index := range s.idle {
		if s.tasks[index].isStuck(now) {
			count++
		}
	}
	return count
}

// isStuck reports whether a task that has run has been without a worker for long.
func (t *taskState) isStuck(now time.Time) bool {
	return len(t.runs) == 0 && !t.idleSince.IsZero() && now.Sub(t.idleSince) >= stuckAfter
}

// seeking returns how many tasks of the step have no worker, or lose theirs.
func (s *stepState) seeking() int {
	count := len(s.idle)
	for _, t := range s.tasks {
		if len(t.runs) == 1 && (t.runs[0].phase == phaseStopping || t.runs[0].phase == phaseStopped) {
			count++
		}
	}
	return count
}

// atWork reports whether a lasting task is known to be fully at work.
func (s *Shard) atWork(t *taskState) bool {
	for _, r := range t.runs {
		// What runs on a worker that does not answer may long have ended.
		reached := r.worker.failures == 0 && r.worker.doubted.IsZero()
		if r.phase == phaseRunning && r.percent >= fullPercent && reached && !s.mayBeStopping(r) {
			return true
		}
	}
	return false
}

// mayBeStopping reports whether the owner before may have stopped a run: the
// worker lists it until the stop is through.
func (s *Shard) mayBeStopping(r *run) bool {
	return r.found && r.listed.Sub(r.began) < s.opts.StopTask+foundSlack
}
