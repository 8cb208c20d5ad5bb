package shard

import (
	"slices"
	"time"

	"lemonstream.dev/lemonstream/job"
	"lemonstream.dev/lemonstream/outside"
)

// lateMost is how long after it was sent an order without an answer may still be carried
// out: the platform speaks of seconds, and up to 12 s were seen.
const lateMost = 13 * time.Second

// ended is an incarnation of a worker that has ended.
type ended struct {
	incarnation outside.Incarnation
	at          time.Time
}

// isGone reports whether an incarnation of a worker has ended.
func (s *Shard) isGone(incarnation outside.Incarnation) bool {
	return slices.ContainsFunc(s.gone[incarnation.Worker], func(one ended) bool { return one.incarnation.Same(incarnation) })
}

// forgetGone drops what has been remembered for long enough.
func (s *Shard) forgetGone(now time.Time) {
	for worker, list := range s.gone {
		list = slices.DeleteFunc(list, func(one ended) bool { return now.Sub(one.at) > goneFor })
		s.gone[worker] = list
		if len(list) == 0 {
			delete(s.gone, worker)
		}
	}
}

// noteGone remembers that an incarnation has ended.
func (s *Shard) noteGone(incarnation outside.Incarnation, now time.Time) {
	s.gone[incarnation.Worker] = append(s.gone[incarnation.Worker], ended{
		incarnation: incarnation,
		at:          now,
	})
}

// isOther reports whether a start that a worker tells of is that of another incarnation
// than the one that has answered so far.
func (w *workerState) isOther(born time.Time) bool {
	return !w.born.IsZero() && !born.IsZero() && !born.Equal(w.born)
}

// restarted replaces a worker by its next incarnation, which an answer to a look tells of.
// The numbers of its ends begin anew, with its clock, its fence and its leases: ends that
// were taken for known by the numbers before were acknowledged unseen, and each of those
// tasks ran again, one of them five times in a row.
func (s *Shard) restarted(before *workerState, glance outside.Glance, sent, now time.Time) *workerState {
	crashed := before.loss().Crashed()
	lost := s.lostTasks(before, now)
	w := s.newWorker(before.reg.ID, now)
	w.born = glance.Born
	w.reg = before.reg
	w.listed = before.listed
	w.unlisted = before.unlisted
	w.recorded = before.recorded
	w.regained = before.regained
	w.named = before.named
	w.closedUntil = before.closedUntil
	s.opts.Report("worker started again", "worker", w.incarnation().String(), "before", before.incarnation().String(),
		"runs", len(before.runs), "taken_in", before.processed, "ends", len(glance.Ends))
	s.forgetTicketsOf(w.reg.ID)
	for id := range s.carryOver(before, w, glance.Runs, sent, now) {
		delete(lost, id)
	}
	s.loseRuns(before, now, "worker started again")
	s.acquitAt(before)
	if crashed {
		for id := range lost {
			s.mark(id, before.incarnation().String(), now)
		}
	}
	return w
}

// meet takes in the first answer of an incarnation. crossed says that it lists runs which it
// was told to start as the incarnation before.
func (s *Shard) meet(w *workerState, crossed bool, now time.Time) {
	w.known = true
	s.stopUnanswered(w)
	lease := s.opts.Lease // An earlier owner may have renewed it until just now.
	if crossed || len(w.runs) > 0 {
		// What began here by an order to the incarnation before has a deadline on its clock.
		lease = s.opts.LeaseMost
	}
	if until := now.Add(drifted(lease) + leaseSlack); until.After(w.until) {
		w.until = until
	}
}

// carryOver moves the runs that may be of the next incarnation of a worker: those that it
// lists, those that began there after it was asked, which the next look shows or not, and
// those that an order may still begin there, which are stopped. It returns the tasks of all
// but the last.
func (s *Shard) carryOver(before, w *workerState, listed []outside.RunningTask, sent, now time.Time) map[job.TaskID]struct{} {
	numbers := make(map[job.TaskID]int64, len(listed))
	for _, running := range listed {
		numbers[running.Task] = running.Run
	}
	here := make(map[job.TaskID]struct{})
	for id, r := range before.runs {
		number, found := numbers[id]
		found = (found && number == r.number) || r.isLaterThan(sent)
		if !found && r.call == 0 && !r.unanswered {
			continue
		}
		if found {
			here[id] = struct{}{}
		}
		s.drop(r, now)
		s.carry(r, w, found)
	}
	return here
}

// isLaterThan reports whether the order for a run was answered after a look was sent, so that
// the look need not show it.
func (r *run) isLaterThan(sent time.Time) bool {
	return r.phase == phaseRunning && r.call == 0 && !r.unanswered && r.settled.After(sent)
}

// carry moves one run to the next incarnation of its worker. It is stopped there unless it
// was listed and wanted.
func (s *Shard) carry(r *run, w *workerState, listed bool) {
	unwanted := r.phase == phaseStopping || r.phase == phaseStopped
	next := *r
	next.worker = w
	next.phase = phaseRunning
	// The order under way, if there is one, may be carried out by any incarnation.
	next.unanswered = r.unanswered || r.call != 0
	next.call = 0
	next.tries = 0
	next.stopAt = time.Time{}
	next.suspect = false
	next.alone = false
	j := s.knownJob(r.id.Job)
	var t *taskState
	if j != nil {
		t = s.taskOf(j, r.id)
	}
	s.attach(&next, j, t)
	if !listed || unwanted {
		s.stop(&next, "worker started again")
	}
}

// unansweredStart is a start that got no answer and was stopped or lost.
type unansweredStart struct {
	run   run
	until time.Time
}

// rememberStart notes a run that is dropped while a start of it may still take effect at its
// worker: one got no answer, or is under way. An incarnation that was told to stop it never
// begins it; the next one under the id knows of no stop.
func (s *Shard) rememberStart(r *run, now time.Time) {
	worker := r.worker.reg.ID
	if s.unanswered[worker] == nil {
		s.unanswered[worker] = make(map[job.TaskID]unansweredStart)
	}
	s.unanswered[worker][r.id] = unansweredStart{
		run:   *r,
		until: now.Add(lateMost),
	}
}

// forgetStarts drops the starts that can take effect no more.
func (s *Shard) forgetStarts(now time.Time) {
	for worker, starts := range s.unanswered {
		for id, one := range starts {
			if now.After(one.until) {
				delete(starts, id)
			}
		}
		if len(starts) == 0 {
			delete(s.unanswered, worker)
		}
	}
}

// stopUnanswered stops at an incarnation of a worker that answers for the first time what an
// order to one before may still begin there, beside the run of its task elsewhere.
func (s *Shard) stopUnanswered(w *workerState) {
	for id, one := range s.unanswered[w.reg.ID] {
		if _, taken := w.runs[id]; !taken {
			s.carry(&one.run, w, false)
		}
	}
}
