package shard

import (
	"errors"
	"time"

	"lemonstream.dev/lemonstream/outside"
)

// reasonNoAnswer says that a run is stopped because nobody knows whether it begins.
const reasonNoAnswer = "start without an answer"

// stop asks for the end of a run, whatever its step can spare. One that is being stopped only
// as long as its step can spare it is so no more.
func (s *Shard) stop(r *run, reason string) {
	if r.phase == phaseStopping || r.phase == phaseStopped {
		if r.spared || r.notThere {
			r.reason = reason
			r.spared = false
			r.notThere = false
		}
		return
	}
	r.phase = phaseStopping
	r.reason = reason
	r.tries = 0
	r.spared = false
	r.heldBack = false
	r.notThere = false
	s.due[r] = struct{}{}
}

// stopAgain asks once more for the end of a run that a worker lists although it has answered the
// stop, and the time of that is over. What could be spared then may not be any more.
func (s *Shard) stopAgain(r *run) {
	r.phase = phaseStopping
	r.tries = max(1, r.tries)
	s.due[r] = struct{}{}
	s.reportRun("listed after its stop", r.id, r.number, r.worker, "reason", r.reason)
}

// Started takes in the answer to a start.
func (s *Shard) Started(start Start, now time.Time, clock time.Duration, err error) {
	r := s.answered(start.Worker.ID, start.Order.Task, start.Call)
	if r == nil {
		return
	}
	w := r.worker
	if err == nil {
		if r.tries == 0 {
			s.pulse.note(now.Sub(r.began), now)
		}
		w.hear(clock, now)
		if r.phase == phaseStarting || r.phase == phaseDoubtful {
			r.phase = phaseRunning
		}
		r.settled = now
		return
	}
	s.startFailed(w, r, now, err)
}

// startFailed decides what becomes of a run whose start did not succeed.
func (s *Shard) startFailed(w *workerState, r *run, now time.Time, err error) {
	s.reportRun("start failed", r.id, r.number, w, "error", err.Error())
	var gone *outside.GoneError
	var refused *outside.WorkerRefusedError
	switch {
	case errors.As(err, &gone):
		s.loseWorker(w, now, "another worker answers")
	case errors.As(err, &refused):
		w.hear(refused.Clock, now)
		s.startRefused(w, r, now, refused.Reason)
	case outside.IsNotDone(err) && !r.unanswered:
		w.avoidUntil = now.Add(avoidAfterRefusal)
		s.drop(r, now)
	default:
		w.doubted = now
		r.tries++
		r.unanswered = true
		if r.phase == phaseStopping || r.phase == phaseRunning {
			// A look has shown that the run is there; a later start of it does nothing.
			return
		}
		r.phase = phaseDoubtful
		r.doubted = now
		s.due[r] = struct{}{}
		if r.tries >= startTries {
			s.giveUpStart(r)
		}
	}
}

// giveUpStart repeats a start no more that got no answer. A short task is better started
// elsewhere at once: it would wait for a look that may get no answer either.
func (s *Shard) giveUpStart(r *run) {
	r.tries = max(r.tries, startTries)
	if !s.isLasting(r.id) {
		s.stop(r, reasonNoAnswer)
	}
}

// startRefused handles a worker's own refusal: the run is not there.
func (s *Shard) startRefused(w *workerState, r *run, now time.Time, reason outside.Refusal) {
	if reason == outside.RefusedFence && !s.isOutdated(w.reg.ID, r.order.Fence) {
		s.seeNewerOwner(w)
		return
	}
	if r.unanswered && r.phase == phaseRunning {
		// A look has shown that the earlier order took effect.
		return
	}
	if r.unanswered && reason == outside.RefusedUnhealthy && r.phase == phaseDoubtful && s.isLasting(r.id) {
		// It says nothing of the run, which an order before may have begun.
		r.tries = startTries
		r.doubted = now
		return
	}
	if r.unanswered {
		// An earlier order without an answer may still take effect.
		s.stop(r, "start refused after one without an answer")
		return
	}
	if reason == outside.RefusedTicket {
		delete(s.tickets, r.id.StepName())
	} else if reason != outside.RefusedOld && reason != outside.RefusedLate && reason != outside.RefusedFence {
		w.avoidUntil = now.Add(avoidAfterRefusal)
	}
	s.drop(r, now)
}

// seeNewerOwner gives no more orders: a worker has heard of a higher fence than this owner gave.
func (s *Shard) seeNewerOwner(w *workerState) {
	s.opts.Report("deposed", "worker", w.reg.ID, "epoch", s.epoch, "fence", s.fenceAt(w.reg.ID))
	s.deposed = true
}

// stops orders the stops that are due, and repeats doubtful starts.
func (s *Shard) stops(now time.Time) {
	for r := range s.due {
		w := r.worker
		if w.runs[r.id] != r {
			delete(s.due, r)
			continue
		}
		if r.call != 0 {
			continue
		}
		switch r.phase {
		case phaseDoubtful:
			if s.isEvacuated(w) {
				s.giveUpStart(r)
				continue
			}
			if w.failures > 0 || r.tries >= startTries {
				continue
			}
			r.call = s.nextCall()
			r.order.Fence = s.fenceAt(w.reg.ID)
			s.orders.Starts = append(s.orders.Starts, Start{
				Call:   r.call,
				Worker: w.ref(),
				Order:  r.order,
			})
		case phaseStopping:
			if (w.failures > 0 && r.tries > 0) || now.Before(r.stopAt) || s.holdsBack(r, now) {
				continue
			}
			r.call = s.nextCall()
			r.ordered = now
			if r.percent >= fullPercent {
				s.reportExceeded("stop", r.id, r.number, w)
			}
			s.reportRun("stop ordered", r.id, r.number, w, "reason", r.reason)
			s.orders.Stops = append(s.orders.Stops, Stop{
				Call:   r.call,
				Worker: w.ref(),
				Task:   r.id,
				Run:    r.number,
				Fence:  s.fenceAt(w.reg.ID),
			})
		default:
			delete(s.due, r)
		}
	}
}

// Stopped takes in the answer to a stop.
func (s *Shard) Stopped(stop Stop, now time.Time, clock time.Duration, err error) {
	r := s.answered(stop.Worker.ID, stop.Task, stop.Call)
	if r == nil {
		return
	}
	w := r.worker
	if err == nil {
		w.hear(clock, now)
		r.phase = phaseStopped
		r.settled = now
		return
	}
	var gone *outside.GoneError
	if errors.As(err, &gone) {
		s.loseWorker(w, now, "another worker answers")
		return
	}
	var refused *outside.WorkerRefusedError
	if errors.As(err, &refused) {
		if refused.Reason == outside.RefusedFence && !s.isOutdated(w.reg.ID, stop.Fence) {
			s.seeNewerOwner(w)
			return
		}
		// The worker knows of no such run, or takes no orders now.
		r.delayStop(now)
		if refused.Reason != outside.RefusedUnhealthy && refused.Reason != outside.RefusedFence {
			r.phase = phaseStopped
			r.settled = now
		}
		return
	}
	r.delayStop(now)
	w.doubted = now
}

// delayStop puts the next stop of a run off, by longer pauses each time: a worker that turned
// stops away at once was asked 200 times in 2 s for one run, in virtual time, and 8 times with
// it.
func (r *run) delayStop(now time.Time) {
	r.tries++
	r.stopAt = now.Add(min(retryMost, retryFirst*time.Duration(r.tries)))
}
