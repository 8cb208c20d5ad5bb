package shard

import (
	"slices"
	"time"

	"lemonstream.dev/lemonstream/job"
	"lemonstream.dev/lemonstream/outside"
)

// maxOrderDelay is how long after it was sent an unanswered order may still be carried out. The
// platform documents delays of seconds; up to 12 s were observed.
const maxOrderDelay = 13 * time.Second

// endedIncarnation is an incarnation of a worker that has ended, and when this owner learned of it.
type endedIncarnation struct {
	incarnation outside.Incarnation
	at          time.Time
}

// hasEnded reports whether an incarnation of a worker is known to have ended.
func (s *Shard) hasEnded(incarnation outside.Incarnation) bool {
	return slices.ContainsFunc(s.endedIncarnations[incarnation.Worker], func(e endedIncarnation) bool { return e.incarnation.Same(incarnation) })
}

// purgeEnded drops ended incarnations that are older than endedRetention.
func (s *Shard) purgeEnded(now time.Time) {
	for worker, list := range s.endedIncarnations {
		list = slices.DeleteFunc(list, func(e endedIncarnation) bool { return now.Sub(e.at) > endedRetention })
		s.endedIncarnations[worker] = list
		if len(list) == 0 {
			delete(s.endedIncarnations, worker)
		}
	}
}

// recordEnded records that an incarnation of a worker has ended.
func (s *Shard) recordEnded(incarnation outside.Incarnation, now time.Time) {
	s.endedIncarnations[incarnation.Worker] = append(s.endedIncarnations[incarnation.Worker], endedIncarnation{
		incarnation: incarnation,
		at:          now,
	})
}

// isOtherIncarnation reports whether the start time that a worker reports belongs to another
// incarnation than the one that has answered so far. It returns false if either time is unknown.
func (w *workerState) isOtherIncarnation(born time.Time) bool {
	return !w.born.IsZero() && !born.IsZero() && !born.Equal(w.born)
}

// replaceIncarnation replaces a worker by its next incarnation after a poll was answered by that
// one. The new incarnation numbers its ends from 1 and has its own clock, fence and leases. Ends
// must not be compared with the numbers of the old incarnation: they would be acknowledged without
// being applied, and each of their tasks would run again (one did five times in a row).
func (s *Shard) replaceIncarnation(before *workerState, poll Poll, status outside.WorkerStatus, sent, now time.Time) *workerState {
	verdict := s.loss(before, now, true).Verdict(s.announcementLead())
	lost := s.lostTasks(before, now)
	s.outliers.Remove(before.health, now)
	w := s.addWorker(before.reg.ID, now)
	w.born = status.Born
	w.reg = before.reg
	w.listed = before.listed
	w.unlistedAt = before.unlistedAt
	w.recorded = before.recorded
	w.recordedBorn = before.recordedBorn
	w.mayHaveFormerLease = true
	w.formerFence = s.fenceAt(w.reg.ID)
	w.inherited = before.inherited
	w.regainedAt = before.regainedAt
	w.inHandover = before.inHandover
	w.closedUntil = before.closedUntil
	if !w.isOtherIncarnation(w.reg.Born) {
		w.announced = w.reg.Draining
		w.listedAt = before.listedAt
	}
	s.opts.LogEvent("worker started again", "worker", w.incarnation().String(), "before", before.incarnation().String(),
		"runs", len(before.runs), "taken_in", before.processed, "ends", len(status.Ends),
		"deadline_ms", poll.Renewal.Until.Milliseconds(), "clock_ms", status.Clock.Milliseconds(), "acknowledged", poll.Renewal.Acknowledged,
		"fence", poll.Renewal.Fence)
	s.fenceOffFormerOrders(w)
	s.forgetWorkerTickets(w.reg.ID)
	for id := range s.transferRuns(before, w, status, sent, now) {
		delete(lost, id)
	}
	s.dropRuns(before, now, evidenceRestarted)
	s.clearStalePossibleCrashes(before)
	s.recordLoss(before, lost, verdict, evidenceRestarted, now)
	return w
}

// handleFirstAnswer handles the first answer of an incarnation.
func (s *Shard) handleFirstAnswer(w *workerState, now time.Time) {
	w.contacted = true
	w.contactedAt = now
	w.mayHaveFormerLease = w.mayHaveFormerLease || w.isUnrecordedRestart(w.born)
	s.restoreEvidence(w, now)
	s.stopUnansweredStarts(w)
}

// transferRuns moves the runs that may exist at the next incarnation of a worker: runs that the
// incarnation lists, runs that began there after the poll was sent and that only the next poll can
// show, runs that may have ended there without their end being listed, and runs that an outstanding
// order may still start there. Runs of the last kind are stopped. It returns the tasks of the others.
func (s *Shard) transferRuns(before, w *workerState, status outside.WorkerStatus, sent, now time.Time) map[job.TaskID]struct{} {
	numbers := make(map[job.TaskID]int64, len(status.Runs))
	for _, running := range status.Runs {
		numbers[running.Task] = running.Run
	}
	transferred := make(map[job.TaskID]struct{})
	for _, r := range before.sortedRuns() {
		number, found := numbers[r.id]
		found = (found && number == r.number) || r.isAnsweredAfter(sent) || (status.MoreEnds && r.isUnlisted() && !s.isLongRunning(r.id))
		if !found && r.call == 0 && !r.unanswered {
			continue
		}
		if found {
			transferred[r.id] = struct{}{}
		}
		s.dropRun(r, now)
		s.transferRun(r, w, found)
	}
	return transferred
}

// isAnsweredAfter reports whether the order for a run was answered after a poll was sent, so that
// the answer to the poll need not list the run.
func (r *run) isAnsweredAfter(sent time.Time) bool {
	return r.phase == phaseRunning && r.call == 0 && !r.unanswered && r.answeredAt.After(sent)
}

// isUnlisted reports whether the order for a run was answered and no answer to a poll has listed the
// run, so that any incarnation of its worker may have begun it.
func (r *run) isUnlisted() bool {
	return r.call == 0 && !r.unsent && !r.unanswered && !r.found && r.listedAt.IsZero()
}

// transferRun moves one run to the next incarnation of its worker. The run is stopped there if it
// was already being stopped or if the incarnation does not have it.
func (s *Shard) transferRun(r *run, w *workerState, listed bool) {
	unwanted := r.phase == phaseStopping || r.phase == phaseStopped
	next := *r
	next.worker = w
	next.phase = phaseRunning
	// An order under way may be carried out by any incarnation.
	next.unanswered = r.unanswered || r.call != 0
	next.call = 0
	next.tries = 0
	next.nextStopAt = time.Time{}
	next.suspect = false
	next.isolated = false
	j := s.knownJob(r.id.Job)
	var t *taskState
	if j != nil {
		t = j.ownTask(r.id)
	}
	s.attachRun(&next, j, t)
	if !listed || unwanted {
		s.stop(&next, evidenceRestarted)
	}
}

// unansweredStart is a dropped run whose start may still be carried out until the given time.
type unansweredStart struct {
	run   run
	until time.Time
}

// recordUnansweredStart records a run that is dropped while an order to start it may still take
// effect at its worker, because the order got no answer or is under way. An incarnation that was
// told to stop the run never starts it, but the next incarnation under the same ID does not know of
// that stop.
func (s *Shard) recordUnansweredStart(r *run, now time.Time) {
	worker := r.worker.reg.ID
	if s.unanswered[worker] == nil {
		s.unanswered[worker] = make(map[job.TaskID]unansweredStart)
	}
	s.unanswered[worker][r.id] = unansweredStart{
		run:   *r,
		until: now.Add(maxOrderDelay),
	}
}

// purgeUnansweredStarts drops the starts that can no longer take effect.
func (s *Shard) purgeUnansweredStarts(now time.Time) {
	for worker, starts := range s.unanswered {
		for id, start := range starts {
			if now.After(start.until) {
				delete(starts, id)
			}
		}
		if len(starts) == 0 {
			delete(s.unanswered, worker)
		}
	}
}

// stopUnansweredStarts stops, at an incarnation that answers for the first time, the runs that
// orders to earlier incarnations may still start there while their tasks run elsewhere.
func (s *Shard) stopUnansweredStarts(w *workerState) {
	for _, id := range sortedTasks(s.unanswered[w.reg.ID]) {
		start := s.unanswered[w.reg.ID][id]
		if _, taken := w.runs[id]; !taken {
			s.transferRun(&start.run, w, false)
		}
	}
}
