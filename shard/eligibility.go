package shard

import (
	"slices"
	"time"

	"lemonstream.dev/lemonstream/job"
)

const (
	// waitLogDelay is how long a task must wait for a worker before the reasons are logged,
	// several times as long as a new instance takes to come. waitLogInterval is the minimum time
	// between two such lines of a service: thousands of tasks may wait at once.
	waitTold  = 2 * time.Second
	waitPause = time.Second
)

// Reasons why a worker cannot take a task.
const (
	// ineligibleClosed means that the worker is closed or may be about to end, because its
	// instance is needed elsewhere.
	refusedClosed refusal = "closed"

	// ineligibleIsolation means that the task or one on the worker has to be isolated, or that
	// the worker is reserved for an isolated task.
	refusedCompany refusal = "company"

	// ineligibleEvacuated means that the operator has evacuated the worker's availability zone.
	refusedEvacuated refusal = "evacuated"

	// ineligibleLabel means that the worker lacks the label that the step requires.
	refusedLabel refusal = "label"

	// ineligibleResources means that the worker has too few free resources.
	refusedRoom refusal = "room"

	// ineligibleDuplicate means that the worker already has a run of the task.
	refusedSame refusal = "same"

	// ineligibleSpread means that the worker has reached the maximum number of tasks of the step
	// per worker.
	refusedSpread refusal = "spread"

	// ineligibleTicket means that the step needs a ticket and has none for the worker.
	refusedTicket refusal = "ticket"

	// ineligibleUnusable means that the worker takes no tasks at all: it drains, does not answer,
	// or its state is not known.
	refusedUnusable refusal = "unusable"

	// eligible means that the worker can take the task.
	takes refusal = ""
)

// eligibility is the reason why a worker cannot take a task, or eligible if it can.
type refusal string

// candidate is a task for which a worker is searched.
type candidate struct {
	id     job.TaskID
	spec   *job.Step
	task   *taskState
	charge job.Room

	// allowClosed says that a closed worker may be used if it is not empty. The instance of a
	// closed worker is taken only once nothing runs there, so an empty one may go at any moment.
	inNeed bool

	// assumeEmpty says that workers are checked as if nothing ran on them.
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

// checkEligibility returns why a worker cannot take a task now, or eligible if it can. Reasons
// that are quick to check come first: most workers of a busy service are full. Only this function
// decides: placement, gangs, moves of tasks and reservations of workers all call it.
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

// roomOn returns the resources that a worker has for the task: its free ones, or its whole
// capacity if it is assumed to be empty.
func (c candidate) roomOn(w *workerState) job.Room {
	if c.emptied {
		return w.reg.Capacity
	}
	return w.free()
}

// logWait logs why a task has been without a worker for waitLogDelay: the number of ineligible
// workers by reason. It also calls Options.CountRefusal for each of these reasons.
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
