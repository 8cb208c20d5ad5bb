package shard

import (
	"time"

	"lemonstream.dev/lemonstream/job"
	"lemonstream.dev/lemonstream/outside"
)

// SetWorkers applies the registrations of the service. regained is when the store last became
// available again; zero if it never was unavailable. A worker whose registration is missing is
// polled until its lease has lapsed.
func (s *Shard) SetWorkers(list []outside.Registration, regained, now time.Time) {
	s.storeRegainedAt = regained
	seen := make(map[string]bool, len(list))
	for _, reg := range list {
		if s.hasEnded(reg.Incarnation()) || reg.Service != s.name {
			continue
		}
		seen[reg.ID] = true
		w, found := s.workers[reg.ID]
		if !found {
			w = s.addWorker(reg.ID, now)
			// An earlier owner may have polled the worker without having stored a row of it.
			w.mayHaveFormerLease = w.mayHaveFormerLease || (s.epoch > 1 && !s.registrationsRead)
			s.recordReplaced(reg, now)
			s.opts.LogEvent("worker listed", "worker", reg.Incarnation().String(), "labels", reg.Labels, "draining", reg.Draining)
		}
		if found && reg.Draining && !w.reg.Draining {
			s.opts.LogEvent("worker drains", "worker", reg.ID, "runs", len(w.runs), "remaining_ms", reg.Remaining.Milliseconds())
		}
		if found && w.isOtherIncarnation(reg.Born) && !reg.Born.Equal(w.reg.Born) {
			if w.listed {
				w.listedAt = latestOf(w.listedAt, s.listReadAt)
			}
			// The row may be newer than the last answer: nothing is placed on the worker before the
			// next answer.
			s.opts.LogEvent("registration of another incarnation", "worker", reg.Incarnation().String(), "answered", w.incarnation().String())
			w.uncertainAt = now
			w.nextPollAt = now
		}
		if !w.isOtherIncarnation(reg.Born) {
			w.announced = w.announced || reg.Draining
			w.listedAt = now
		}
		w.reg = reg
		w.listed = true
		s.extendUnobserved(w)
		w.updateDrainEnd(now)
		w.updateCold(now)
	}
	for id, w := range s.workers {
		if !seen[id] && w.listed {
			w.listed = false
			w.unlistedAt = now
			w.listedAt = latestOf(w.listedAt, s.listReadAt)
			s.opts.LogEvent("worker unlisted", "worker", id, "runs", len(w.runs))
		}
	}
	s.listReadAt = now
	s.registrationsRead = true
	taken := s.removedUnlisted
	s.removedUnlisted = nil
	s.RemoveTaken(taken, now)
}

// RegistrationsRead records that the registrations were read and have not changed.
func (s *Shard) RegistrationsRead(now time.Time) {
	s.listReadAt = now
}

// latestOf returns the later of two times.
func latestOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// updateDrainEnd updates the earliest end of a draining worker. The earliest time that any row has
// implied counts, because a worker need not rewrite its row as time passes.
func (w *workerState) updateDrainEnd(now time.Time) {
	if !w.isDraining() {
		w.drainEndsAt = time.Time{}
		return
	}
	if ends := now.Add(w.reg.Remaining); w.drainEndsAt.IsZero() || ends.Before(w.drainEndsAt) {
		w.drainEndsAt = ends
	}
}

// addWorker adds a worker that this owner has not polled. If no earlier owner has recorded the
// worker, it has no runs of the shard.
func (s *Shard) addWorker(id string, now time.Time) *workerState {
	w := &workerState{
		runs:       make(map[job.TaskID]*run),
		nextPollAt: now,
		health:     s.outliers.Add(id),

		mayHaveFormerLease: now.Before(s.formerLeases[id]) || len(s.endedIncarnations[id]) > 0,
	}
	s.workers[id] = w
	return w
}
