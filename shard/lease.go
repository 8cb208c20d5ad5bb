package shard

import (
	"time"

	"lemonstream.dev/lemonstream/outside"
)

// namedLook is how long a look waits at a worker whose lease may be renewed once
// the transaction under way is applied: that takes some 20 ms.
const namedLook = 50 * time.Millisecond

// WorkerRows are the rows of workers that a transaction has to write.
type WorkerRows struct {
	// Used holds workers that are to be used once their row stands.
	Used []outside.WorkerRef

	// Ended names workers whose life has ended.
	Ended []string
}

// Empty reports whether there is nothing to write.
func (r WorkerRows) Empty() bool {
	return len(r.Used) == 0 && len(r.Ended) == 0
}

// WorkerRows returns the rows of workers that are due, at most the given number
// of each kind.
func (s *Shard) WorkerRows(most int) WorkerRows {
	var rows WorkerRows
	for id, w := range s.workers {
		// The row of one that was taken for ended goes before it is written again.
		if _, goes := s.unrecord[id]; goes {
			continue
		}
		if w.listed && !w.recorded && len(rows.Used) < most {
			rows.Used = append(rows.Used, w.ref())
		}
	}
	for id := range s.unrecord {
		if len(rows.Ended) < most {
			rows.Ended = append(rows.Ended, id)
		}
	}
	return rows
}

// lapsed reports whether nothing runs on a silent worker for sure.
func (w *workerState) lapsed(now time.Time) bool {
	return w.failures > 0 && len(w.runs) == 0 && now.After(w.until) && now.After(w.blindUntil)
}

// lapse ends what ran on workers that could not be reached for a whole lease. They are
// asked once more after that: a worker that ran all the while, and whose answers came
// too late for an owner without processor time, lists what has ended well. While this
// owner is late itself, it gives nothing up.
func (s *Shard) lapse(now time.Time) {
	late := s.pulse.late(now)
	for id, w := range s.workers {
		if w.failures > 0 && len(w.runs) > 0 && now.After(w.until) && w.silentAt.After(w.until) && !late {
			s.opts.Report("lease lapsed", "worker", id, "runs", len(w.runs), "silent_ms", now.Sub(w.heard).Milliseconds())
			lost := s.lostTasks(w, now)
			s.loseRuns(w, now, "lease lapsed")
			for task := range lost {
				s.try(task, w.incarnation().String())
			}
		}
		unreachable := w.failures > 0 && now.After(w.until) && now.After(w.blindUntil)
		if !w.listed && unreachable && now.Sub(w.unlisted) > unlistedGrace {
			s.loseWorker(w, now, "unlisted and silent")
			// Its life may go on behind a cut: once it is listed again, it is looked at.
			delete(s.gone, id)
		}
	}
	s.judgeForgotten(now)
	s.forgetGone(now)
	s.forgetStarts(now)
}

// endWorker drops a worker whose incarnation has ended.
func (s *Shard) endWorker(w *workerState, now time.Time, reason string) {
	s.opts.Report("worker ended", "worker", w.incarnation().String(), "reason", reason, "runs", len(w.runs))
	if reason == reasonTaken {
		for _, r := range w.runs {
			s.reportExceeded("instance order", r.id, r.number, w)
		}
	}
	s.loseRuns(w, now, reason)
	s.acquitAt(w)
	s.forgetTicketsOf(w.reg.ID)
	delete(s.workers, w.reg.ID)
	s.noteGone(w.incarnation(), now)
	if w.recorded {
		s.unrecord[w.reg.ID] = struct{}{}
	}
}

// loseRuns ends every run of a worker without an end of its own.
func (s *Shard) loseRuns(w *workerState, now time.Time, reason string) {
	for _, r := range w.runs {
		s.drop(r, now)
		s.reportRun("run lost", r.id, r.number, w, "reason", reason)
	}
}

// holds orders the looks that are due. No worker is looked at before the standby part
// is read: the runs of a job that is not known yet would be stopped, and their ends
// acknowledged.
func (s *Shard) holds(now time.Time) {
	if s.standbyUnread {
		return
	}
	for _, w := range s.workers {
		if w.look != 0 || now.Before(w.holdAt) {
			continue
		}
		if s.done >= w.ackBatch || s.allWritten() {
			w.acked = w.acknowledgeable()
		}
		// A worker that was silent gets no longer lease until it answers again:
		// each one sent would put off the moment when it has lapsed for sure. The
		// same holds until no row says how long that takes.
		until := time.Duration(0)
		if w.failures == 0 && !s.isNamed(w) {
			until = w.deadline(now, s.opts.Lease)
		}
		w.look = s.nextCall()
		s.orders.Holds = append(s.orders.Holds, Hold{
			Call:   w.look,
			Worker: w.ref(),
			Renewal: outside.Renewal{
				Until:        until,
				Fence:        s.fenceAt(w.reg.ID),
				Acknowledged: w.acknowledgement(),
				Wait:         s.holdWait(w),
			},
		})
	}
}

// acknowledgement returns the last end that a look lets the worker forget, 0 for none. It is
// sent until it is heard, and not to a worker that has been silent: a look without an answer
// may be carried out late, by the next incarnation, which would forget what nobody has read
// (once in 171 delays of 10 ms each that were tried).
func (w *workerState) acknowledgement() int64 {
	if w.failures > 0 || w.acked <= w.forgotten {
		return 0
	}
	return w.acked
}

// noteForgotten takes in which ends the worker lists no more.
func (w *workerState) noteForgotten(listed []outside.End) {
	first := w.processed + 1
	for _, end := range listed {
		first = min(first, end.Number)
	}
	w.forgotten = max(w.forgotten, first-1)
}

// takeEnds takes in the ends that a worker lists, and says when it is looked at next.
func (s *Shard) takeEnds(w *workerState, listed []outside.End, now time.Time) {
	w.holdAt = now
	w.noteForgotten(listed)
	for _, end := range listed {
		if end.Number <= w.forgotten {
			// No worker lists an end again that it has let go.
			s.opts.Report("end listed again", "task", end.Task.String(), "run", end.Run, "worker", w.incarnation().String(),
				"how", string(end.Kind), "number", end.Number, "taken_in", w.processed, "acknowledged", w.acked)
		}
		if end.Number > w.processed {
			w.processed = end.Number
			if s.knownJob(end.Task.Job) == nil {
				s.deferEnd(w, end, now)
				continue
			}
			s.ended(w, end, now)
			w.ackBatch = s.batch + 1
			w.holdAt = now.Add(ackPause)
		}
	}
	if s.allWritten() {
		// Nothing that these ends changed has to be written.
		w.ackBatch = s.done
		w.holdAt = now
	}
	if len(listed) > 0 && w.holdAt.Equal(now) && w.acknowledgeable() == w.acked {
		w.holdAt = now.Add(retryFirst)
	}
}

// holdWait returns how long a look may wait at the worker for an end.
func (s *Shard) holdWait(w *workerState) time.Duration {
	if w.failures > 0 || !w.known || !w.doubted.IsZero() || w.acked < w.acknowledgeable() {
		return 0
	}
	wait := s.opts.IdleWait
	if len(w.runs) > 0 {
		wait = s.opts.BusyWait
	}
	if w.shared {
		wait = min(wait, paceLook)
	}
	if s.isNamed(w) {
		// The lease is renewed by the look after the transaction.
		wait = min(wait, namedLook)
	}
	return wait
}
