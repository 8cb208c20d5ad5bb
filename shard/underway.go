package shard

import (
	"time"

	"lemonstream.dev/lemonstream/job"
)

// What has to wait because too much is under way keeps its order: tasks that no run was decided on for
// stay idle and are placed by their urgency, and a gang, all of whose runs have to be decided on together,
// is ordered to start from the front of unsentStarts.

// mayAddRun reports whether the owner may follow one more run of a job. A job may have as many runs as
// the service may still add, so that a job with many long tasks leaves some for those that come later. A
// long-running task waits only if there is no room at all.
func (s *Shard) mayAddRun(j *jobState, spec *job.Step) bool {
	room := s.opts.UnderWay.Runs.Room()
	if room == 0 {
		s.opts.UnderWay.Runs.Wait()
		s.startsWait = true
		return false
	}
	if j.activeRuns >= room && !spec.Lasting {
		s.opts.UnderWay.Runs.Wait()
		return false
	}
	return true
}

// mayAddGang reports whether the owner may follow the runs of a gang.
func (s *Shard) mayAddGang(members int) bool {
	if s.opts.UnderWay.Runs.Free() < members {
		s.opts.UnderWay.Runs.Wait()
		return false
	}
	return true
}

// maySendStart reports whether one more start may be sent now.
func (s *Shard) maySendStart() bool {
	if s.unsentStarts.len() < s.opts.UnderWay.Starts.Room() {
		return true
	}
	s.opts.UnderWay.Starts.Wait()
	s.startsWait = true
	return false
}

// sendStarts orders the starts that were decided on, in order, as far as they may be under way. A run
// whose worker is not known to answer waits until it does, or until its lease has lapsed.
func (s *Shard) sendStarts(now time.Time) {
	if s.startsHeld {
		return
	}
	for r := range s.unsentStarts.all() {
		w := r.worker
		switch {
		case r.phase != phaseStarting || s.isEvacuated(w):
			s.withdrawStart(r, now)
		case w.failures > 0 || !w.uncertainAt.IsZero() || s.openStarts.counts[w] >= maxWorkerOrders:
		case s.opts.UnderWay.Starts.Room() == 0:
			s.opts.UnderWay.Starts.Wait()
			return
		default:
			s.sendStart(r, now)
		}
	}
}

// sendStart orders the start of a run that was decided on.
func (s *Shard) sendStart(r *run, now time.Time) {
	r.order.Until = r.worker.leaseDeadline(now, s.opts.Lease)
	if !s.orderStart(r) {
		return
	}
	s.dropUnsent(r)
	r.startedAt = now
	s.logStart(r, now)
}

// withdrawStart drops a run whose order to start was not sent.
func (s *Shard) withdrawStart(r *run, now time.Time) {
	s.logRun("start withdrawn", r.id, r.number, r.worker)
	s.dropRun(r, now)
}

// dropUnsent handles that the order to start a run waits no more.
func (s *Shard) dropUnsent(r *run) {
	if r.unsent {
		r.unsent = false
		r.worker.unsent--
		s.unsentStarts.remove(r)
	}
}
