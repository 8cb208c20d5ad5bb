package shard

import (
	"time"
)

// A worker that starts again under its ID takes calls that were meant for its former incarnation. Their
// deadlines are times on a clock that ended with that incarnation. One that lies far ahead on the new clock
// extends the lease of everything that runs there to LeaseLimit, however short a lease the owner meant.

// longestLease is how long a lease lasts at most on this owner's clock that an order for a former
// incarnation extends, from the time at which it is carried out.
func (s *Shard) longestLease() time.Duration {
	return withClockDrift(s.opts.LeaseLimit) + leaseSlack
}

// boundLease bounds the leases that an incarnation had before its answer to a poll, from its first answer
// until no order for a former incarnation can still take effect there.
func (s *Shard) boundLease(w *workerState, poll Poll, now time.Time) {
	if w.fenced {
		return
	}
	w.fenced = poll.Renewal.Fence > w.formerFence
	if w.mayHaveFormerLease {
		lease := s.longestLease()
		if !w.fenced {
			lease += maxOrderDelay
		}
		w.formerLeaseEnd = now.Add(lease)
	}
	// An earlier owner may have renewed the lease until just now, or have known of a restart.
	lease := now.Add(withClockDrift(s.opts.Lease) + leaseSlack)
	w.leaseEnd = latestOf(latestOf(lease, w.formerLeaseEnd), s.earlierUntil)
}

// fenceOffFormerOrders raises the fence of a worker above that of every order to its former incarnations. An owner
// that has used up its fences at a worker steps down, since it could not keep such orders from taking effect.
func (s *Shard) fenceOffFormerOrders(w *workerState) {
	if s.fenceRaises[w.reg.ID] >= fencesPerEpoch-1 {
		s.stepDown(w)
		return
	}
	s.fenceRaises[w.reg.ID]++
}

// rememberFormerLease remembers a removed worker, whose orders the next incarnation under its ID may carry out.
func (s *Shard) rememberFormerLease(w *workerState, now time.Time) {
	s.formerLeases[w.reg.ID] = now.Add(maxOrderDelay + s.longestLease())
	s.fenceOffFormerOrders(w)
}

// isRecorded reports whether the row of the worker names the present incarnation.
func (w *workerState) isRecorded() bool {
	return w.recorded && w.recordedBorn.Equal(w.incarnation().Born)
}

// needsRow reports whether the row of the worker is due. The row of an incarnation tells the
// next owner that this owner has kept the orders for former ones from taking effect there.
func (w *workerState) needsRow() bool {
	return !w.isRecorded() && (w.fenced || (!w.recorded && !w.mayHaveFormerLease))
}

// isUnrecordedRestart reports whether an incarnation is another one than the row of an earlier owner names.
// It is true for rows that name none.
func (w *workerState) isUnrecordedRestart(born time.Time) bool {
	return w.inherited && !born.IsZero() && !born.Equal(w.recordedBorn)
}

// extendUnobserved extends the time for which a worker that this owner has not reached may run what the previous
// owner started, if its registration shows a restart that no owner has recorded. A row that names no incarnation,
// of an earlier version, shows none. What owners before that one may have started is part of the handover.
func (s *Shard) extendUnobserved(w *workerState) {
	if w.contacted || s.idleWorkers[w.reg.ID] || w.recordedBorn.IsZero() || !w.isUnrecordedRestart(w.reg.Born) {
		return
	}
	until := s.takenAt.Add(s.opts.UnobservedFor + withClockDrift(s.opts.LeaseLimit-s.opts.Lease))
	w.unobservedUntil = latestOf(w.unobservedUntil, until)
}

// lateStartEnd returns when a run has certainly lapsed that its start may begin at the next incarnation of its
// worker; zero if there is no sign of one, or if the incarnation that is known has listed the run.
func (s *Shard) lateStartEnd(r *run, now time.Time) time.Time {
	if !r.worker.isSuperseded() || (!r.unanswered && !r.isStartInFlight() && !r.isUnlisted()) {
		return time.Time{}
	}
	sent := latestOf(latestOf(r.startedAt, r.uncertainAt), r.answeredAt)
	if r.isStartInFlight() {
		sent = now
	}
	return sent.Add(maxOrderDelay + s.longestLease())
}

// isSuperseded reports whether there is a sign of another incarnation than the one whose answers are known: the
// registration of the worker, or a clock that does not continue the known one.
func (w *workerState) isSuperseded() bool {
	return w.otherClock || w.isOtherIncarnation(w.reg.Born)
}

// noteClock updates the clock of a worker from the answer to an order, which does not name its incarnation.
func (s *Shard) noteClock(w *workerState, clock time.Duration, now time.Time) {
	if clock > 0 && !w.clockReadAt.IsZero() {
		jump := clock - w.clockAt - now.Sub(w.clockReadAt)
		if jump.Abs() > maxOrderDelay && !w.otherClock {
			s.opts.LogEvent("answer with another clock", "worker", w.incarnation().String(), "jump_ms", jump.Milliseconds())
			w.otherClock = true
		}
	}
	w.updateClock(clock, now)
}
