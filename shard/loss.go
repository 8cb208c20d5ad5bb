package shard

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"lemonstream.dev/lemonstream/job"
	"lemonstream.dev/lemonstream/outside"
	"lemonstream.dev/lemonstream/suspect"
)

// announcementSlack is the time for which a worker certainly answers on after it has announced its
// end, subtracted from what the platform states, since a read of the registrations takes time.
const announcementSlack = 250 * time.Millisecond

// How the end of a worker is known, in the log.
const (
	evidenceAddress   = "another worker has its address"
	evidenceReplaced  = "another worker answers"
	evidenceRestarted = "worker started again"
	evidenceSilent    = "unlisted and silent"
)

// silentLoss is a worker incarnation that was given up because it did not answer.
type silentLoss struct {
	loss    suspect.Loss
	lost    lostTasks
	address netip.AddrPort
	at      time.Time
}

// lostTasks holds the tasks that may have run on a worker.
type lostTasks map[job.TaskID]lostTask

// lostTask is a task that may have run on a worker.
type lostTask struct {
	// beside means that another task was started on the worker later.
	beside bool

	// shared means that other tasks ran on the worker of which no row may tell.
	shared bool
}

// workerLost drops a worker that ended, or is assumed to have ended, without an order of this owner.
// A crash is recorded for every task that may have run there. A task whose crashes are not counted
// starts again and again and crashes a worker each time: two tasks once crashed twelve workers with
// 176 runs in eleven seconds.
func (s *Shard) workerLost(w *workerState, now time.Time, evidence string) {
	loss := s.loss(w, now, evidence != evidenceSilent)
	verdict := loss.Verdict(s.announcementLead())
	lost := s.lostTasks(w, now)
	if evidence == evidenceSilent && verdict == suspect.PossibleCrash {
		s.silentLosses[w.incarnation().String()] = silentLoss{
			loss:    loss,
			lost:    lost,
			address: w.reg.Address,
			at:      now,
		}
	}
	s.removeWorker(w, now, evidence)
	s.recordLoss(w, lost, verdict, evidence, now)
}

// recordLoss records what the loss of a worker means for the tasks that may have run there.
func (s *Shard) recordLoss(w *workerState, lost lostTasks, verdict suspect.Verdict, evidence string, now time.Time) {
	switch verdict {
	case suspect.Crash:
		s.recordCrashes(lost, w.incarnation().String(), evidence, now)
		s.clearSharedOnceStored(w, lost)
	case suspect.PossibleCrash:
		s.addPossibleCrashes(w, lost)
	case suspect.NoCrash:
	}
}

// announcementLead is how long a worker certainly answers on after it has announced its end.
func (s *Shard) announcementLead() time.Duration {
	return s.opts.DrainTime - announcementSlack
}

// loss returns what is known about the end of a worker. ended says that another worker or incarnation
// answers in its place.
func (s *Shard) loss(w *workerState, now time.Time, ended bool) suspect.Loss {
	loss := suspect.Loss{
		Announced: w.announced,
		Ended:     ended,
		Unheard:   !w.contacted,
		ListedAt:  w.listedAt,
		LostAt:    now,
	}
	if !w.silentSince.IsZero() {
		loss.LostAt = w.silentSince
	}
	loss.Closed = loss.LostAt.Before(w.closedUntil)
	if w.listed && !w.isOtherIncarnation(w.reg.Born) {
		loss.ListedAt = latestOf(w.listedAt, s.listReadAt)
	}
	if !w.listed {
		loss.UnlistedAt = w.unlistedAt
	}
	return loss
}

// lostTasks returns the tasks that run on a worker, have a possible crash there, or may run there
// according to the previous owner. It leaves out proven runs of long-running tasks, see isProven.
func (s *Shard) lostTasks(w *workerState, now time.Time) lostTasks {
	lost := make(lostTasks)
	newest := w.newestStart()
	for _, name := range s.possibleCrashKeys(w.incarnation()) {
		for id := range s.possibleCrashes[name] {
			before, lapsed := w.lapsed[id]
			lost[id] = lostTask{
				beside: before.beside || (!lapsed && !newest.IsZero()),
				shared: s.isShared(id, name),
			}
		}
	}
	for id, r := range w.runs {
		if step, found := s.stepOf(id); found && !r.unsent && (!step.Lasting || !r.isProven(now)) {
			lost[id] = lostTask{
				beside: newest.Sub(r.startedAt) > suspect.AttributionSlack,
				shared: s.isShared(id, w.incarnation().String()),
			}
		}
	}
	if w.contacted {
		return lost
	}
	for id := range w.unobservedTasks {
		// How long a long-running task of the previous owner has run is unknown.
		if step, found := s.stepOf(id); found && !step.Lasting {
			lost[id] = lostTask{
				beside: !newest.IsZero(),
				shared: s.isShared(id, w.incarnation().String()),
			}
		}
	}
	return lost
}

// isShared reports whether a row says that a task ran on a worker beside others that may have no record
// of it.
func (s *Shard) isShared(id job.TaskID, worker string) bool {
	_, t := s.openTask(id)
	return t != nil && t.sharedCrashes.Contains(worker)
}

// newestStart returns when the newest run that this owner ordered on the worker was started; zero if
// there is none.
func (w *workerState) newestStart() time.Time {
	var newest time.Time
	for _, r := range w.runs {
		if !r.found && !r.unsent {
			newest = latestOf(newest, r.startedAt)
		}
	}
	return newest
}

// isProven reports whether a run has gone on for so long that its start did not crash the worker. A
// run that was found on the worker counts as proven, because an earlier owner started it.
func (r *run) isProven(now time.Time) bool {
	last := now
	if silent := r.worker.silentSince; !silent.IsZero() {
		last = silent
	}
	return r.found || last.Sub(r.startedAt) > suspect.ProvenAfter
}

// recordReplaced records the possible crashes of silent workers as crashes if another worker is
// registered at their address, so that they have ended.
func (s *Shard) recordReplaced(reg outside.Registration, now time.Time) {
	for _, name := range slices.Sorted(maps.Keys(s.silentLosses)) {
		lost := s.silentLosses[name]
		if lost.address != reg.Address || outside.ParseIncarnation(name).Same(reg.Incarnation()) {
			continue
		}
		delete(s.silentLosses, name)
		lost.loss.Ended = true
		if lost.loss.Verdict(s.announcementLead()) != suspect.Crash {
			continue
		}
		tasks := make(lostTasks)
		for id := range s.possibleCrashes[name] {
			tasks[id] = lostTask{
				beside: lost.lost[id].beside,
				shared: s.isShared(id, name),
			}
		}
		s.recordCrashes(tasks, name, evidenceAddress, now)
	}
}

// purgeLosses drops the recorded crashes and losses of workers of which no more is learnt.
func (s *Shard) purgeLosses(now time.Time) {
	for name, lost := range s.silentLosses {
		if now.Sub(lost.at) > endedRetention {
			delete(s.silentLosses, name)
		}
	}
	s.purgeCrashes(now)
}
