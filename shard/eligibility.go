package shard

import (
	"slices"
	"time"

	"lemonstream.dev/lemonstream/job"
	"lemonstream.dev/lemonstream/outlier"
)

const (
	// waitLogDelay is how long a task must wait for a worker before the reasons are logged,
	// several times as long as a new instance takes to come. waitLogInterval is the minimum time
	// between two such lines of a service: thousands of tasks may wait at once.
	waitLogDelay    = 2 * time.Second
	waitLogInterval = time.Second
)

// Reasons why a worker cannot take a task.
const (
	// ineligibleClosed means that the worker is closed or may be about to end, because its
	// instance is needed elsewhere.
	ineligibleClosed eligibility = "closed"

	// ineligibleIsolation means that the task or one on the worker has to be isolated, or that
	// the worker is reserved for an isolated task.
	ineligibleIsolation eligibility = "company"

	// ineligibleEjected means that the worker has failed what it started, or has not shown yet
	// that it does not, and may have no more now.
	ineligibleEjected eligibility = "ejected"

	// ineligibleEvacuated means that the operator has evacuated the worker's availability zone.
	ineligibleEvacuated eligibility = "evacuated"

	// ineligibleLabel means that the worker lacks the label that the step requires.
	ineligibleLabel eligibility = "label"

	// ineligibleResources means that the worker has too few free resources.
	ineligibleResources eligibility = "room"

	// ineligibleDuplicate means that the worker already has a run of the task.
	ineligibleDuplicate eligibility = "same"

	// ineligibleSpread means that the worker has reached the maximum number of tasks of the step
	// per worker.
	ineligibleSpread eligibility = "spread"

	// ineligibleTicket means that the step needs a ticket and has none for the worker.
	ineligibleTicket eligibility = "ticket"

	// ineligibleUnproven means that the task has one attempt left, and the worker has not ended a
	// run well lately.
	ineligibleUnproven eligibility = "unproven"

	// ineligibleUnusable means that the worker takes no tasks at all: it drains, does not answer,
	// or its state is not known.
	ineligibleUnusable eligibility = "unusable"

	// ineligibleBusy means that as many starts are under way at the worker as may be.
	ineligibleBusy eligibility = "busy"

	// eligible means that the worker can take the task.
	eligible eligibility = ""
)

// eligibility is the reason why a worker cannot take a task, or eligible if it can.
type eligibility string

// candidate is a task for which a worker is searched.
type candidate struct {
	id     job.TaskID
	spec   *job.Step
	task   *taskState
	charge job.Room

	// allowClosed says that a closed worker may be used if it is not empty. The instance of a
	// closed worker is taken only once nothing runs there, so an empty one may go at any moment.
	allowClosed bool

	// allowUnproven says that a last attempt may use a worker that is not proven.
	allowUnproven bool

	// assumeEmpty says that workers are checked as if nothing ran on them.
	assumeEmpty bool
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
func (s *Shard) checkEligibility(w *workerState, c candidate, now time.Time) eligibility {
	switch {
	case s.isEvacuated(w):
		return ineligibleEvacuated
	case !s.isUsable(w, now):
		return ineligibleUnusable
	case !c.roomOn(w).Fits(c.charge):
		return ineligibleResources
	case c.spec.Label != "" && !hasLabel(w.reg.Labels, c.spec.Label):
		return ineligibleLabel
	case !s.isPermitted(c.id, w, now):
		return ineligibleTicket
	case s.mayBeReleased(w, now), now.Before(w.closedUntil) && (!c.allowClosed || len(w.runs) == 0):
		return ineligibleClosed
	case w.isolated > 0 || (!c.assumeEmpty && !s.allowsSharing(w, c, now)):
		return ineligibleIsolation
	case s.outliers.Allowance(w.health, now) != outlier.AllowAll && !s.isAllowed(w, c, now):
		return ineligibleEjected
	case !w.proven && !w.health.IsEjected() && !c.allowUnproven && s.holdsLastAttempt(c.task, now):
		return ineligibleUnproven
	case c.assumeEmpty:
		return eligible
	case w.runs[c.id] != nil:
		return ineligibleDuplicate
	case c.spec.PerWorker > 0 && w.countRuns(c.id) >= c.spec.PerWorker:
		return ineligibleSpread
	case s.openStarts.counts[w]+w.unsent >= maxWorkerOrders:
		return ineligibleBusy
	default:
		return eligible
	}
}

// roomOn returns the resources that a worker has for the task: its free ones, or its whole
// capacity if it is assumed to be empty.
func (c candidate) roomOn(w *workerState) job.Room {
	if c.assumeEmpty {
		return w.reg.Capacity
	}
	return w.free()
}

// logWait logs why a task has been without a worker for waitLogDelay: the number of ineligible
// workers by reason. It also calls Options.CountRefusal for each of these reasons.
func (s *Shard) logWait(j *jobState, c candidate, now time.Time) {
	since := c.task.idleSince
	if since.IsZero() {
		since = j.record.acceptedAt()
	}
	if now.Sub(since) < waitLogDelay || now.Sub(s.waitLoggedAt) < waitLogInterval {
		return
	}
	s.waitLoggedAt = now
	counts := make(map[eligibility]int)
	for _, w := range s.workers {
		counts[s.checkEligibility(w, c, now)]++
	}
	fields := []any{"task", c.id.String(), "waited_ms", now.Sub(since).Milliseconds(), "workers", len(s.workers)}
	reasons := make([]eligibility, 0, len(counts))
	for reason := range counts {
		reasons = append(reasons, reason)
	}
	slices.Sort(reasons)
	for _, reason := range reasons {
		if reason == eligible {
			continue
		}
		fields = append(fields, string(reason), counts[reason])
		if s.opts.CountRefusal != nil {
			s.opts.CountRefusal(string(reason))
		}
	}
	s.opts.LogEvent("task waits", fields...)
}
