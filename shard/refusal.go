package shard

import (
	"slices"
	"time"

	"lemonstream.dev/lemonstream/job"
)

const (
	// waitTold is from when on it is told why a task has no worker, and waitPause the time
	// between two such lines of a service: several times what an instance takes to come, and
	// few enough lines while thousands wait.
	waitTold  = 2 * time.Second
	waitPause = time.Second
)

// Reasons for which a worker does not take a task.
const (
	// refusedClosed means that its instance is wanted elsewhere.
	refusedClosed refusal = "closed"

	// refusedCompany means that the task or what runs there is to run alone, or that the
	// worker is kept for such a task.
	refusedCompany refusal = "company"

	// refusedEvacuated means that the operator has evacuated its availability zone.
	refusedEvacuated refusal = "evacuated"

	// refusedLabel means that it lacks the step's label.
	refusedLabel refusal = "label"

	// refusedRoom means that too little is free.
	refusedRoom refusal = "room"

	// refusedSame means that a run of the task is there.
	refusedSame refusal = "same"

	// refusedSpread means that it has as many tasks of the step as it may.
	refusedSpread refusal = "spread"

	// refusedTicket means that the step may not run there.
	refusedTicket refusal = "ticket"

	// refusedUnusable means that it takes nothing: it drains, is silent, or is not known to
	// be what it was.
	refusedUnusable refusal = "unusable"

	// takes means that the worker takes the task.
	takes refusal = ""
)

// refusal is why a worker does not take a task.
type refusal string

// candidate is a task that looks for a worker.
type candidate struct {
	id     job.TaskID
	spec   *job.Step
	task   *taskState
	charge job.Room

	// inNeed says that a worker which is closed will do, if it is not empty: its instance is
	// taken only once nothing runs there, so that something has to.
	inNeed bool

	// emptied asks for a worker as if nothing ran there.
	emptied bool
}

func newCandidate(id job.TaskID, spec *job.Step, t *taskState) candidate {
	return candidate{
		id:     id,
		spec:   spec,
		task:   t,
		charge: spec.Charge(),
	}
}

// refuses returns why a worker does not take a task at this moment, the reason that is told
// soonest first: most workers of a busy service are full. It is the only place that knows:
// placement, gangs, what is sent away and what is kept ask it alone.
func (s *Shard) refuses(w *workerState, c candidate, now time.Time) refusal {
	switch {
	case s.isEvacuated(w):
		return refusedEvacuated
	case !s.isUsable(w, now):
		return refusedUnusable
	case !c.roomOn(w).Fits(c.charge):
		return refusedRoom
	case c.spec.Label != "" && !hasLabel(w.reg.Labels, c.spec.Label):
		return refusedLabel
	case !s.permitted(c.id, w, now):
		return refusedTicket
	case s.mayBeGiven(w, now), now.Before(w.closedUntil) && (!c.inNeed || len(w.runs) == 0):
		return refusedClosed
	case w.alone > 0 || (!c.emptied && !s.admits(w, c, now)):
		return refusedCompany
	case c.emptied:
		return takes
	case w.runs[c.id] != nil:
		return refusedSame
	case c.spec.PerWorker > 0 && w.onStep(c.id) >= c.spec.PerWorker:
		return refusedSpread
	default:
		return takes
	}
}

// roomOn returns what a worker has for the task.
func (c candidate) roomOn(w *workerState) job.Room {
	if c.emptied {
		return w.reg.Capacity
	}
	return w.free()
}

// tellWait logs why a task that has been without a worker for a while has none: how many
// workers refuse it, by reason.
func (s *Shard) tellWait(j *jobState, c candidate, now time.Time) {
	since := c.task.idleSince
	if since.IsZero() {
		since = j.record.accepted()
	}
	if now.Sub(since) < waitTold || now.Sub(s.waitToldAt) < waitPause {
		return
	}
	s.waitToldAt = now
	counts := make(map[refusal]int)
	for _, w := range s.workers {
		counts[s.refuses(w, c, now)]++
	}
	fields := []any{"task", c.id.String(), "waited_ms", now.Sub(since).Milliseconds(), "workers", len(s.workers)}
	reasons := make([]refusal, 0, len(counts))
	for reason := range counts {
		reasons = append(reasons, reason)
	}
	slices.Sort(reasons)
	for _, reason := range reasons {
		if reason == takes {
			continue
		}
		fields = append(fields, string(reason), counts[reason])
		if s.opts.Refused != nil {
			s.opts.Refused(string(reason))
		}
	}
	s.opts.Report("task waits", fields...)
}
