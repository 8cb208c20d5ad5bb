package shard

import (
	"time"

	"lemonstream.dev/lemonstream/job"
	"lemonstream.dev/lemonstream/outside"
)

// howRunning is what logDoubleStart logs of a run that has not ended.
const howRunning = "running"

// ownStart is a start of a task that this owner ordered while the task had no other run. Copies of
// stragglers are therefore none.
type ownStart struct {
	run    int64
	worker outside.Incarnation
	at     time.Time
}

// hasNumbered reports whether a run number is one of those that this owner assigns.
func (s *Shard) hasNumbered(number int64) bool {
	return number > (s.epoch-1)*runsPerEpoch && number <= s.epoch*runsPerEpoch
}

// logDoubleStart logs a run of another owner that is listed by a worker, or its end, if this owner
// has started the task itself. It reports whether it has. how is howRunning or the kind of the end. t
// is nil if the task is not known.
//
// An end by a lapsed lease is left out if this owner ordered its start only after the leases at the
// worker had certainly lapsed, see startedAfterLapse: that is allowed. Any other run is logged, and
// lapsed tells whether this owner waited for the leases.
func (s *Shard) logDoubleStart(w *workerState, t *taskState, id job.TaskID, number int64, how string, now time.Time) bool {
	if t == nil || t.ownStart == nil || s.hasNumbered(number) {
		return false
	}
	own := t.ownStart
	lapsed := w.startedAfterLapse(id, own.at)
	if lapsed && how == string(outside.EndLapsed) {
		return false
	}
	s.opts.LogEvent("task started by two owners", "task", id.String(), "run", number, "worker", w.incarnation().String(), "how", how,
		"own_run", own.run, "own_worker", own.worker.String(), "own_started_ms", now.Sub(own.at).Milliseconds(),
		"fresh", s.jobs[id.Job].fresh, "inherited", w.inherited, "contacted_ms", now.Sub(w.contactedAt).Milliseconds(), "lapsed", lapsed)
	return true
}

// startedAfterLapse reports whether a task was started elsewhere at the given time only after all
// leases of its run on the worker had certainly lapsed. Either this owner dropped the run for that
// reason, or it had not reached the worker by then and the leases of earlier owners had lapsed. A
// worker that was given up and is listed again counts as a new one, for which this is not known.
func (w *workerState) startedAfterLapse(id job.TaskID, at time.Time) bool {
	if _, dropped := w.lapsed[id]; dropped {
		return true
	}
	return !w.unobservedUntil.IsZero() && !at.Before(w.unobservedUntil) && at.Before(w.contactedAt)
}
