package shard

import (
	"errors"
	"time"

	"lemonstream.dev/lemonstream/outside"
)

// reasonNoAnswer is the reason of a stop of a run that may or may not have begun.
const reasonNoAnswer = "start without an answer"

// stop requests the stop of a run, whether or not its step can spare it. If the run is already
// being stopped on the condition that its step can spare it, the condition is removed.
func (s *Shard) stop(r *run, reason string) {
	if r.phase == phaseStopping || r.phase == phaseStopped {
		if r.stopWithinBudget || r.notStarted {
			r.reason = reason
			r.stopWithinBudget = false
			r.notStarted = false
		}
		return
	}
	r.phase = phaseStopping
	r.reason = reason
	r.tries = 0
	r.stopWithinBudget = false
	r.heldBackLogged = false
	r.notStarted = false
	s.dueRuns.add(r)
}

// stopAgain stops a run again that a worker still lists although it has answered the stop and the
// time to stop is over. If the step could spare the run before, that may no longer be so.
func (s *Shard) stopAgain(r *run) {
	r.phase = phaseStopping
	r.tries = max(1, r.tries)
	s.dueRuns.add(r)
	s.logRun("run still listed after its stop", r.id, r.number, r.worker, "reason", r.reason)
}

// Started handles the answer to a start. clock is the worker's clock.
func (s *Shard) Started(start Start, now time.Time, clock time.Duration, err error) {
	s.openStarts.answered(start.Call)
	r := s.awaitingRun(start.Worker.ID, start.Order.Task, start.Call)
	if r == nil {
		return
	}
	w := r.worker
	if err == nil {
		if r.tries == 0 {
			s.answerLatency.observe(now.Sub(r.startedAt), now)
		}
		s.noteClock(w, clock, now)
		if r.phase == phaseStarting || r.phase == phaseUncertain {
			r.phase = phaseRunning
		}
		r.answeredAt = now
		return
	}
	s.handleStartFailure(w, r, now, err)
}

// handleStartFailure decides what happens to a run whose start failed or got no answer.
func (s *Shard) handleStartFailure(w *workerState, r *run, now time.Time, err error) {
	s.logRun("start failed", r.id, r.number, w, "error", err.Error())
	var gone *outside.GoneError
	var refused *outside.WorkerRefusedError
	switch {
	case errors.As(err, &gone):
		s.workerLost(w, now, evidenceReplaced)
	case errors.As(err, &refused):
		s.noteClock(w, refused.Clock, now)
		s.handleStartRefusal(w, r, now, refused.Reason)
	case outside.IsNotDone(err) && !r.unanswered:
		w.avoidUntil = now.Add(refusalBackoff)
		s.dropRun(r, now)
	default:
		w.uncertainAt = now
		r.tries++
		r.unanswered = true
		if r.phase == phaseStopping || r.phase == phaseRunning {
			// A poll has shown that the run exists; starting it again has no effect.
			return
		}
		r.phase = phaseUncertain
		r.uncertainAt = now
		s.dueRuns.add(r)
		if r.tries >= maxStartAttempts {
			s.giveUpStart(r)
		}
	}
}

// giveUpStart stops repeating a start that got no answer. Unless the task is long-running, the run
// is stopped at once to be started elsewhere: it would wait for a poll that may get no answer
// either.
func (s *Shard) giveUpStart(r *run) {
	r.tries = max(r.tries, maxStartAttempts)
	if !s.isLongRunning(r.id) {
		s.stop(r, reasonNoAnswer)
	}
}

// handleStartRefusal handles the refusal of a start by the worker itself.
func (s *Shard) handleStartRefusal(w *workerState, r *run, now time.Time, reason outside.Refusal) {
	if reason == outside.RefusedFence && !s.isStaleFence(w.reg.ID, r.order.Fence) {
		s.stepDown(w)
		return
	}
	if r.unanswered && r.phase == phaseRunning {
		// A poll has shown that an earlier order took effect.
		return
	}
	if r.unanswered && reason == outside.RefusedUnhealthy && r.phase == phaseUncertain && s.isLongRunning(r.id) {
		// The refusal says nothing about the run, which an earlier order may have started.
		r.tries = maxStartAttempts
		r.uncertainAt = now
		return
	}
	if r.unanswered {
		// An earlier order that got no answer may still take effect.
		s.stop(r, "start refused after an unanswered start")
		return
	}
	if reason == outside.RefusedTicket {
		delete(s.tickets, r.id.StepName())
	} else if reason != outside.RefusedOld && reason != outside.RefusedLate && reason != outside.RefusedFence {
		w.avoidUntil = now.Add(refusalBackoff)
	}
	if reason == outside.RefusedUnhealthy {
		s.outliers.Refused(w.health, now)
	}
	s.dropRun(r, now)
}

// stepDown stops all orders, because a worker has seen a higher fence than this owner's.
func (s *Shard) stepDown(w *workerState) {
	s.opts.LogEvent("deposed", "worker", w.reg.ID, "epoch", s.epoch, "fence", s.fenceAt(w.reg.ID))
	s.deposed = true
}

// orderDueRuns orders the stops that are due and repeats starts that got no answer, in the order in
// which they became due. Those for which there is no room under way wait.
func (s *Shard) orderDueRuns(now time.Time) {
	for r := range s.dueRuns.all() {
		w := r.worker
		if w.runs[r.id] != r {
			s.dueRuns.remove(r)
			continue
		}
		if r.call != 0 {
			continue
		}
		switch r.phase {
		case phaseUncertain:
			if s.isEvacuated(w) {
				s.giveUpStart(r)
				continue
			}
			if s.startsHeld || w.failures > 0 || r.tries >= maxStartAttempts {
				continue
			}
			s.orderStart(r)
		case phaseStopping:
			if r.unsent {
				s.withdrawStart(r, now)
				continue
			}
			if (w.failures > 0 && r.tries > 0) || now.Before(r.nextStopAt) || s.holdsBackStop(r, now) {
				continue
			}
			s.orderStop(r, now)
		default:
			s.dueRuns.remove(r)
		}
	}
}

// Stopped handles the answer to a stop. clock is the worker's clock.
func (s *Shard) Stopped(stop Stop, now time.Time, clock time.Duration, err error) {
	s.openStops.answered(stop.Call)
	r := s.awaitingRun(stop.Worker.ID, stop.Task, stop.Call)
	if r == nil {
		return
	}
	w := r.worker
	if err == nil {
		s.noteClock(w, clock, now)
		r.phase = phaseStopped
		r.answeredAt = now
		return
	}
	var gone *outside.GoneError
	if errors.As(err, &gone) {
		s.workerLost(w, now, evidenceReplaced)
		return
	}
	var refused *outside.WorkerRefusedError
	if errors.As(err, &refused) {
		if refused.Reason == outside.RefusedFence && !s.isStaleFence(w.reg.ID, stop.Fence) {
			s.stepDown(w)
			return
		}
		// The worker does not know the run, or accepts no orders now.
		r.delayStop(now)
		if refused.Reason != outside.RefusedUnhealthy && refused.Reason != outside.RefusedFence {
			r.phase = phaseStopped
			r.answeredAt = now
		}
		return
	}
	r.delayStop(now)
	w.uncertainAt = now
}

// delayStop postpones the next stop of a run, with a longer backoff each time. Without it, a worker
// that refused stops immediately was asked 200 times in 2 s to stop one run.
func (r *run) delayStop(now time.Time) {
	r.tries++
	r.nextStopAt = now.Add(min(maxRetryBackoff, minRetryBackoff*time.Duration(r.tries)))
}
