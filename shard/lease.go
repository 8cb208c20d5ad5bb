package shard

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"lemonstream.dev/lemonstream/outside"
)

// handoverPollWait bounds how long a poll waits at a worker whose lease may be renewed as soon as
// the transaction in flight is applied, which takes about 20 ms.
const handoverPollWait = 50 * time.Millisecond

// WorkerRows are the rows of workers that a transaction must write or delete.
type WorkerRows struct {
	// Used lists workers that may be used once their row is stored.
	Used []outside.WorkerRef

	// Ended lists workers whose incarnation has ended and whose row is to be deleted.
	Ended []string
}

// Empty reports whether there is nothing to write.
func (r WorkerRows) Empty() bool {
	return len(r.Used) == 0 && len(r.Ended) == 0
}

// WorkerRows returns the rows of workers that are due, at most maxRows of each kind.
func (s *Shard) WorkerRows(maxRows int) WorkerRows {
	var rows WorkerRows
	for id, w := range s.workers {
		// The row of a worker that was considered ended is deleted before it is written again.
		if _, deleting := s.workerRowsToDelete[id]; deleting {
			continue
		}
		if w.listed && w.needsRow() && len(rows.Used) < maxRows {
			rows.Used = append(rows.Used, w.ref())
		}
	}
	for id := range s.workerRowsToDelete {
		if len(rows.Ended) < maxRows {
			rows.Ended = append(rows.Ended, id)
		}
	}
	return rows
}

// hasLapsed reports whether certainly nothing runs on a silent worker, because all leases there
// have expired.
func (w *workerState) hasLapsed(now time.Time) bool {
	return w.failures > 0 && len(w.runs) == 0 && now.After(w.leaseEnd) && now.After(w.unobservedUntil)
}

// expireLeases drops the runs on workers that could not be reached for a whole lease, but only
// after one more poll has failed: if this owner lacked processor time and processed answers too
// late, a worker that was running all the time can still list the runs that succeeded. While this
// owner itself is late, it drops no runs. Unlisted workers that stay silent are removed.
func (s *Shard) expireLeases(now time.Time) {
	late := s.answerLatency.late(now)
	for _, w := range s.sortedWorkers(func(w *workerState) bool { return w.failures > 0 && now.After(w.leaseEnd) }) {
		lapsed := w.silentPollAt.After(w.leaseEnd) && !late
		if lapsed && w.contacted {
			w.observed = true
		}
		if lapsed && len(w.runs) > 0 {
			s.opts.LogEvent("lease lapsed", "worker", w.reg.ID, "runs", len(w.runs), "silent_ms", now.Sub(w.clockReadAt).Milliseconds(),
				"deadline_ms", w.deadline.Milliseconds(), "clock_ms", w.clockAt.Milliseconds(), "contacted_ms", now.Sub(w.contactedAt).Milliseconds())
			lost := s.lostTasks(w, now)
			s.dropLapsedRuns(w, now)
			w.addLapsed(lost)
			s.addPossibleCrashes(w, lost)
		}
		if len(w.runs) == 0 && !w.listed && now.After(w.unobservedUntil) && now.Sub(w.unlistedAt) > unlistedGrace {
			s.workerLost(w, now, evidenceSilent)
			// The incarnation may still run behind a network partition. It is polled once it
			// is listed again.
			delete(s.endedIncarnations, w.reg.ID)
		}
	}
	s.giveUpLostTasks(now)
	s.purgeLosses(now)
	s.purgeEnded(now)
	s.purgeUnansweredStarts(now)
	maps.DeleteFunc(s.formerLeases, func(_ string, until time.Time) bool { return now.After(until) })
}

// removeWorker removes a worker whose incarnation has ended.
func (s *Shard) removeWorker(w *workerState, now time.Time, reason string) {
	s.opts.LogEvent("worker ended", "worker", w.incarnation().String(), "reason", reason, "runs", len(w.runs),
		"contacted", w.contacted, "recorded", w.recorded)
	if reason == reasonInstanceTaken {
		for _, r := range w.runs {
			s.logBudgetExceeded("instance order", r.id, r.number, w)
		}
	}
	s.dropRuns(w, now, reason)
	s.clearStalePossibleCrashes(w)
	s.forgetWorkerTickets(w.reg.ID)
	delete(s.workers, w.reg.ID)
	s.rememberFormerLease(w, now)
	s.outliers.Remove(w.health, now)
	s.recordEnded(w.incarnation(), now)
	if w.recorded {
		s.workerRowsToDelete[w.reg.ID] = struct{}{}
	}
}

// dropLapsedRuns drops the runs on a worker whose leases have lapsed. It keeps those that an unanswered
// start may still begin at the next incarnation, and extends leaseEnd until they have lapsed there as well.
func (s *Shard) dropLapsedRuns(w *workerState, now time.Time) {
	for _, r := range w.sortedRuns() {
		if end := s.lateStartEnd(r, now); now.Before(end) {
			w.leaseEnd = latestOf(w.leaseEnd, end)
			continue
		}
		s.dropRun(r, now)
		s.logRun("run lost", r.id, r.number, w, "reason", "lease lapsed")
	}
}

// addLapsed adds tasks whose runs were dropped because their leases have lapsed.
func (w *workerState) addLapsed(tasks lostTasks) {
	if w.lapsed == nil {
		w.lapsed = make(lostTasks, len(tasks))
	}
	maps.Copy(w.lapsed, tasks)
}

// dropRuns drops all runs of a worker that has reported no end for them.
func (s *Shard) dropRuns(w *workerState, now time.Time, reason string) {
	for _, r := range w.sortedRuns() {
		s.dropRun(r, now)
		s.logRun("run lost", r.id, r.number, w, "reason", reason)
	}
}

// orderPolls orders the polls that are due. No worker is polled before the standby partition is
// read, because runs of jobs that are not known yet would be stopped, and their ends acknowledged.
func (s *Shard) orderPolls(now time.Time) {
	if s.standbyUnread {
		return
	}
	for _, w := range s.duePolls(now) {
		if !s.opts.UnderWay.Polls.Take() {
			return
		}
		if s.writtenBatch >= w.ackBatch || s.allWritten() {
			w.acked = w.lastAcknowledgeable()
		}
		// The lease of a silent worker is not extended until it answers again: each renewal
		// would postpone the moment when the lease has certainly expired. The same applies
		// while a row of the handover may list the worker.
		until := time.Duration(0)
		if w.failures == 0 && !s.isInHandover(w) {
			until = w.leaseDeadline(now, s.opts.Lease)
		}
		w.pollCall = s.nextCall()
		s.orders.Polls = append(s.orders.Polls, Poll{
			Call:   w.pollCall,
			Worker: w.ref(),
			Renewal: outside.Renewal{
				Until:        until,
				Fence:        s.fenceAt(w.reg.ID),
				Acknowledged: w.acknowledgement(),
				Wait:         s.pollWait(w),
			},
		})
	}
}

// duePolls returns the workers whose poll is due, those first that have waited longest.
func (s *Shard) duePolls(now time.Time) []*workerState {
	var due []*workerState
	for _, w := range s.workers {
		if w.pollCall == 0 && !now.Before(w.nextPollAt) {
			due = append(due, w)
		}
	}
	slices.SortFunc(due, func(a, b *workerState) int {
		return cmp.Or(a.nextPollAt.Compare(b.nextPollAt), strings.Compare(a.reg.ID, b.reg.ID))
	})
	return due
}

// sharedWait shortens the time that a poll waits at its worker, if there are more workers than polls may
// be under way: each gets its turn as often as without the bound.
func (s *Shard) sharedWait(wait time.Duration) time.Duration {
	most := s.opts.UnderWay.Polls.Limit()
	if most >= len(s.workers) {
		return wait
	}
	return wait * time.Duration(most) / time.Duration(len(s.workers))
}

// acknowledgement returns the number of the last end that a poll lets the worker forget, 0 for
// none. It is repeated until the worker has forgotten the ends. It is not sent to a silent worker:
// an unanswered poll may be carried out late, by the next incarnation, which would then forget ends
// that no owner has read.
func (w *workerState) acknowledgement() int64 {
	if w.failures > 0 || w.acked <= w.forgotten {
		return 0
	}
	return w.acked
}

// updateForgotten updates which ends the worker has forgotten, from the ends that it still lists.
func (w *workerState) updateForgotten(listed []outside.End) {
	first := w.processed + 1
	for _, end := range listed {
		first = min(first, end.Number)
	}
	w.forgotten = max(w.forgotten, first-1)
}

// processEnds processes the ends that a worker lists and sets when it is polled next.
func (s *Shard) processEnds(w *workerState, listed []outside.End, now time.Time) {
	w.nextPollAt = now
	if w.moreEnds && s.writtenBatch < w.ackBatch {
		// The worker lists nothing else before these ends are acknowledged.
		w.nextPollAt = now.Add(maxAckWait)
	}
	w.updateForgotten(listed)
	for _, end := range listed {
		if end.Number <= w.forgotten {
			// A worker never lists an end again that it has forgotten.
			s.opts.LogEvent("end listed again", "task", end.Task.String(), "run", end.Run, "worker", w.incarnation().String(),
				"how", string(end.Kind), "number", end.Number, "taken_in", w.processed, "acknowledged", w.acked)
		}
		if end.Number > w.processed {
			w.processed = end.Number
			if s.knownJob(end.Task.Job) == nil {
				s.deferEnd(w, end, now)
				continue
			}
			s.handleEnd(w, end, now)
			w.ackBatch = s.lastBatch + 1
			w.nextPollAt = now.Add(maxAckWait)
		}
	}
	s.logUnreadEnds(w, len(listed), now)
	if s.allWritten() {
		// These ends changed nothing that must be written.
		w.ackBatch = s.writtenBatch
		w.nextPollAt = now
	}
	if len(listed) > 0 && w.nextPollAt.Equal(now) && w.lastAcknowledgeable() == w.acked {
		w.nextPollAt = now.Add(minRetryBackoff)
	}
}

// pollWait returns how long a poll may wait at the worker for an end.
func (s *Shard) pollWait(w *workerState) time.Duration {
	if w.failures > 0 || !w.contacted || !w.fenced || w.moreEnds || !w.uncertainAt.IsZero() || w.acked < w.lastAcknowledgeable() {
		return 0
	}
	wait := s.opts.IdlePollWait
	if len(w.runs) > 0 {
		wait = s.opts.BusyPollWait
	}
	if w.sharedByFillers {
		wait = min(wait, pacedPollWait)
	}
	if s.isInHandover(w) {
		// The lease is renewed by the first poll after the transaction.
		wait = min(wait, handoverPollWait)
	}
	return s.sharedWait(wait)
}
