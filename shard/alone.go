package shard

import (
	"time"

	"lemonstream.dev/lemonstream/job"
	"lemonstream.dev/lemonstream/suspect"
)

// keepFor is how long a worker is kept empty for a task that is to run alone, from the
// last look at what may start: several of the pauses between two looks.
const keepFor = 2 * time.Second

// admits reports whether a task may join what runs on a worker: one that is to be alone
// starts on an empty worker, and nothing joins it or takes a worker that is kept for it.
func (s *Shard) admits(w *workerState, t *taskState, now time.Time) bool {
	if w.alone > 0 {
		return false
	}
	if t.crashed.Alone() {
		return len(w.runs) == 0
	}
	return !now.Before(w.keptUntil)
}

// keep empties a worker for a task that is to run alone and found none, as far as the
// share of workers goes that may be kept so. What waits for the share is told once.
func (s *Shard) keep(id job.TaskID, spec *job.Step, t *taskState, now time.Time) {
	var best *workerState
	taken, usable := 0, 0
	for _, w := range s.workers {
		if !s.takes(w, now) {
			continue
		}
		usable++
		if w.alone > 0 || now.Before(w.keptUntil) {
			taken++
		}
		if w.alone == 0 && couldHold(w, spec) && s.permitted(id, w, now) && s.emptiesSooner(w, best, now) {
			best = w
		}
	}
	kept := best != nil && now.Before(best.keptUntil)
	if best == nil || (!kept && taken >= suspect.AloneMost(usable)) {
		if !t.toldWaits {
			t.toldWaits = true
			s.opts.Report("suspect waits for a worker of its own", "task", id.String(), "kept", taken, "workers", usable)
		}
		return
	}
	if !kept {
		s.opts.Report("worker kept for a suspect", "task", id.String(), "worker", best.reg.ID, "runs", len(best.runs))
	}
	best.keptUntil = now.Add(keepFor)
}

// couldHold reports whether a worker, empty, could run a task of a step.
func couldHold(w *workerState, spec *job.Step) bool {
	return w.reg.Capacity.Fits(spec.Charge()) && (spec.Label == "" || hasLabel(w.reg.Labels, spec.Label))
}

// emptiesSooner reports whether a worker is better kept than another, nil for none: one
// that is kept already, then one without lasting tasks, then the one with fewest runs.
func (s *Shard) emptiesSooner(w, than *workerState, now time.Time) bool {
	if than == nil {
		return true
	}
	if kept, other := now.Before(w.keptUntil), now.Before(than.keptUntil); kept != other {
		return kept
	}
	if lasts, others := s.holdsLasting(w), s.holdsLasting(than); lasts != others {
		return others
	}
	if len(w.runs) != len(than.runs) {
		return len(w.runs) < len(than.runs)
	}
	return w.reg.ID < than.reg.ID
}

func (s *Shard) holdsLasting(w *workerState) bool {
	for id := range w.runs {
		if step, found := s.stepOf(id); found && step.Lasting {
			return true
		}
	}
	return false
}
