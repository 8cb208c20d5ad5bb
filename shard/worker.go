package shard

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"lemonstream.dev/lemonstream/job"
	"lemonstream.dev/lemonstream/outlier"
	"lemonstream.dev/lemonstream/outside"
)

const (
	// refusalBackoff is how long nothing is placed on a worker that refused an order. Its free
	// resources are known again after the next poll.
	refusalBackoff = 250 * time.Millisecond

	// endedRetention is how long an ended incarnation of a worker is remembered: several times the
	// heartbeats after which its registration disappears.
	endedRetention = 60 * time.Second

	// promptFailureTimeout is how soon a poll of a silent worker fails at the latest. Such a poll
	// waits for nothing at the worker and has 0.6 s. A poll that took longer to fail shows that
	// this owner has no processor time to handle answers.
	promptFailureTimeout = 900 * time.Millisecond

	// minRetryBackoff and maxRetryBackoff bound the pauses between failed polls of a worker, and
	// between stops that it does not carry out.
	minRetryBackoff = 60 * time.Millisecond
	maxRetryBackoff = 400 * time.Millisecond

	// storeReturnGrace is how long after the store became available again a worker without a
	// registration may still be given tasks while it answers. Registrations that lapsed while the
	// store was unavailable are back within about two seconds. At any other time a missing
	// registration announces the end of the worker.
	storeReturnGrace = 2 * time.Second

	// unlistedGrace is how long a worker without a registration that does not answer is kept:
	// storeReturnGrace and the time of one poll.
	unlistedGrace = 2500 * time.Millisecond
)

// Phases of a run at its worker.
const (
	// phaseStarting means that the start was sent and not answered.
	phaseStarting phase = iota

	// phaseUncertain means that the start got no answer. It may take effect later and is repeated.
	phaseUncertain

	// phaseRunning means that the worker accepted the start or listed the run.
	phaseRunning

	// phaseStopping means that the run has to end. Stops are ordered until one is answered.
	phaseStopping

	// phaseStopped means that the worker accepted the stop. The run has not ended yet.
	phaseStopped
)

type phase int

// run is one start of a task at one worker.
type run struct {
	id     job.TaskID
	number int64
	worker *workerState
	phase  phase
	charge job.Room

	// organisation is the organisation whose quota the run counts against, empty for none. need is
	// what the run takes of the quota, including the processor of a filler.
	organisation string
	need         job.Room

	// unsized says that the charge is not known, because of the job only the final state is left,
	// or nothing.
	unsized bool

	// startedAt is when the start was first ordered, or when the run was first seen.
	startedAt time.Time

	// answeredAt is when the worker answered the last order for the run.
	answeredAt time.Time

	// found says that the run was seen at its worker and not ordered by this owner. listedAt is
	// when the last poll was sent whose answer listed the run.
	found    bool
	listedAt time.Time

	// doubleStart says that the run was logged as that of a task that two owners started.
	doubleStart bool

	// tries counts orders of the current kind without an answer. unanswered says that an order to
	// start the run got no answer, so that the run may begin until a stop is answered.
	tries      int
	unanswered bool

	// uncertainAt is when the last order to start the run got no answer, or an answer that does not
	// show whether the run began. notStarted says that a later poll showed that the run had not
	// begun.
	uncertainAt time.Time
	notStarted  bool

	// nextStopAt is when a failed stop may be ordered again; stopOrderedAt is when the last stop
	// was ordered.
	nextStopAt    time.Time
	stopOrderedAt time.Time

	// call is the number of the order for the run that is under way; 0 for none. unsent says that the
	// order to start the run was decided on and not sent yet.
	call   int64
	unsent bool

	// order is the order that starts the run. A repeated order is the same but for the fence.
	order outside.StartOrder

	// hanging says that the run has counted as evidence against its worker because it hangs.
	hanging bool

	// suspect says that a worker had crashed under the task when this run began. isolated says that
	// no other task may join the run on its worker.
	suspect  bool
	isolated bool

	// reason is the reason for stopping the run, for the log. stopWithinBudget says that the run is
	// stopped only while its step may miss the task. heldBackLogged says that it was logged that
	// the step may not.
	reason           string
	stopWithinBudget bool
	heldBackLogged   bool

	// figure is the last figure that the worker reported of the run, see outside.RunningTask.
	// percent is the reported share of full work.
	figure  int
	percent int

	// share is the share, in percent, at which a filler was last ordered to work. pacing says that
	// such an order is under way.
	share  int
	pacing bool
}

// workerState is one incarnation of a worker. The next incarnation under the same ID inherits
// nothing but what SetWorkers and replaceIncarnation copy.
type workerState struct {
	reg outside.Registration

	// drainEndsAt is the earliest end of a draining worker; zero for any other worker.
	drainEndsAt time.Time

	// coldUntil is until when the incarnation that began at coldBorn is slow from its start; cold
	// says whether it was at the beginning of Next.
	coldUntil time.Time
	coldBorn  time.Time
	cold      bool

	// listed says that the newest list contains the worker. unlistedAt is since when no list has
	// contained it.
	listed     bool
	unlistedAt time.Time

	// listedAt is when the registrations were last read with this incarnation among them and
	// without an announcement, as of the last change of the list. announced says that the
	// incarnation has announced its end.
	listedAt  time.Time
	announced bool

	// recorded says that a row of this or an earlier owner names the worker as one that may have
	// runs. recordedBorn is when the incarnation in that row began; zero if the row does not say.
	recorded     bool
	recordedBorn time.Time

	// regainedAt is when the worker last answered after a row of this owner may have named it as
	// silent. Nothing is started or renewed there until a transaction that was sent later has been
	// applied.
	regainedAt time.Time

	// contacted says that the worker answered under this owner's fence, so that no order of an
	// earlier owner can still take effect there.
	contacted bool

	// contactedAt is when that first answer arrived.
	contactedAt time.Time

	// fenced says that the incarnation answered a poll with a fence above formerFence, the highest
	// fence of an order of this owner that was meant for a former incarnation, so that none of
	// those orders can still take effect there.
	fenced      bool
	formerFence int64

	// mayHaveFormerLease says that an order that was meant for a former incarnation may have extended
	// the lease, to at most LeaseLimit. formerLeaseEnd is when that lease has certainly lapsed; zero
	// before the first answer.
	mayHaveFormerLease bool
	formerLeaseEnd     time.Time

	// inherited says that a row of an earlier owner names the worker.
	inherited bool

	// observed says that what earlier owners started on the worker is known: an answer has listed
	// every end, or all leases there have lapsed. From then on, unread ends are those of runs in
	// runs.
	observed bool

	// moreEnds says that the last answer may have left out ends.
	moreEnds bool

	// born is when the incarnation began, as its first answer reported. It is zero before that, and
	// for workers that don't report it.
	born time.Time

	// unobservedUntil is when the leases have lapsed of everything that earlier owners started on
	// the worker, even if the worker can't be reached. unobservedTasks holds the tasks that may run
	// there until then; nil means any task that an earlier owner knew of. Once the worker has
	// answered, they may have unread ends there until it is observed.
	unobservedUntil time.Time
	unobservedTasks map[job.TaskID]struct{}

	// clockAt is the worker's clock as it was read at the time clockReadAt.
	clockAt     time.Duration
	clockReadAt time.Time

	// otherClock says that an order was answered with a clock that does not continue the one that polls
	// have read, so that another incarnation has carried it out.
	otherClock bool

	// leaseEnd is when the last lease sent to the worker has certainly lapsed. deadline is the end of
	// that lease on the worker's clock.
	leaseEnd time.Time
	deadline time.Duration

	// runs holds the runs that may exist on the worker, by task. unsent counts those whose order to start
	// is decided on and not sent yet.
	runs   map[job.TaskID]*run
	unsent int

	// used is the sum of the resources of all runs, including those that are being stopped.
	used job.Room

	// unsized counts the runs whose charge is not known. While there is one, nothing is placed on
	// the worker.
	unsized int

	// processed is the number of the last end that was handled. ackBatch is the batch that must be
	// written before that end may be acknowledged. acked is the last end that polls acknowledge,
	// forgotten the last one that the worker no longer lists.
	processed int64
	ackBatch  int64
	acked     int64
	forgotten int64

	// listedEnds is how many ends the last answer listed. manyEndsLoggedAt is when it was last logged
	// that they were many.
	listedEnds       int
	manyEndsLoggedAt time.Time

	// deferred holds, by rising number, the ends of jobs that are not known. None of them, and no
	// end after the first of them, is acknowledged.
	deferred []outside.End

	// lapsed holds the tasks whose runs were dropped when their leases lapsed while the worker was
	// silent.
	lapsed lostTasks

	// pollCall is the number of the poll under way, 0 for none. nextPollAt is when the next poll is
	// due.
	pollCall   int64
	nextPollAt time.Time

	// silentSince is when the first of the failures below was seen.
	silentSince time.Time

	// suspects counts the runs of tasks under which a worker has crashed, isolated those that no
	// other task may join. reservedUntil is until when the worker is reserved for an isolated task.
	suspects      int
	isolated      int
	reservedUntil time.Time

	// failures counts the unanswered polls since the last answered one. silentPollAt is when the
	// newest poll was sent whose failure was prompt enough to count against the worker, see
	// promptFailureTimeout.
	failures     int
	silentPollAt time.Time

	// inHandover says that a heartbeat row may name the worker as silent.
	inHandover bool

	// uncertainAt is when an order got no answer. Only the answer to a poll that was sent later
	// clears it.
	uncertainAt time.Time

	// avoidUntil is until when no task is placed on the worker.
	avoidUntil time.Time

	// closedUntil is until when no task is placed on the worker because its instance is wanted
	// elsewhere.
	closedUntil time.Time

	// sharedByFillers says that fillers run beside serving tasks.
	sharedByFillers bool

	// health is what the ends of its runs say of the worker. proven says that it has ended a run
	// well lately and nothing speaks against it, as of the beginning of Next.
	health *outlier.Worker
	proven bool
}

// incarnation returns the worker's incarnation as its own answers report it, or as its registration
// does if it has not answered yet.
func (w *workerState) incarnation() outside.Incarnation {
	if w.born.IsZero() {
		return w.reg.Incarnation()
	}
	return outside.Incarnation{
		Worker: w.reg.ID,
		Born:   w.born,
	}
}

// sortedRuns returns the runs on the worker in the order of their tasks. What happens to several
// runs must not depend on the order of a map: a simulation run that failed could not be repeated.
func (w *workerState) sortedRuns() []*run {
	return slices.SortedFunc(maps.Values(w.runs), compareRuns)
}

// compareRuns orders runs by task, worker and number.
func compareRuns(a, b *run) int {
	return cmp.Or(a.id.Compare(b.id), strings.Compare(a.worker.reg.ID, b.worker.reg.ID), cmp.Compare(a.number, b.number))
}

// sortedWorkers returns the workers that match a condition, in the order of their IDs.
func (s *Shard) sortedWorkers(matches func(w *workerState) bool) []*workerState {
	var list []*workerState
	for _, w := range s.workers {
		if matches(w) {
			list = append(list, w)
		}
	}
	slices.SortFunc(list, func(a, b *workerState) int { return strings.Compare(a.reg.ID, b.reg.ID) })
	return list
}

func (w *workerState) ref() outside.WorkerRef {
	return outside.WorkerRef{
		ID:      w.reg.ID,
		Address: w.reg.Address,
		Born:    w.incarnation().Born,
	}
}

// leaseDeadline returns when a lease that is sent now ends by the worker's clock, and extends
// leaseEnd to the time at which that lease has certainly lapsed. It returns 0 if the worker's clock
// is not known.
func (w *workerState) leaseDeadline(now time.Time, lease time.Duration) time.Duration {
	if w.clockReadAt.IsZero() {
		return 0
	}
	leaseEnd := w.clockAt + now.Sub(w.clockReadAt) + lease
	lapsed := w.clockReadAt.Add(time.Duration(float64(leaseEnd-w.clockAt) * (1 + maxClockDrift))).Add(leaseSlack)
	if lapsed.After(w.leaseEnd) {
		w.leaseEnd = lapsed
	}
	w.deadline = leaseEnd
	return leaseEnd
}

// free returns the resources that no run takes.
func (w *workerState) free() job.Room {
	return w.reg.Capacity.Sub(w.used)
}

// updateClock records the worker's clock from an answer.
func (w *workerState) updateClock(clock time.Duration, now time.Time) {
	if clock > 0 {
		w.clockAt = clock
		w.clockReadAt = now
	}
}

// countRuns returns how many runs of a task's step the worker has.
func (w *workerState) countRuns(id job.TaskID) int {
	count := 0
	for other := range w.runs {
		if other.Job == id.Job && other.Occurrence == id.Occurrence && other.Step == id.Step {
			count++
		}
	}
	return count
}

// eligible reports whether tasks may be placed on the worker at all.
func (s *Shard) eligible(w *workerState, now time.Time) bool {
	return !now.Before(w.closedUntil) && s.isUsable(w, now)
}

// isUsable reports whether a worker can run tasks, whether or not it is closed.
func (s *Shard) isUsable(w *workerState, now time.Time) bool {
	if s.startsHeld || !w.fenced || !w.isRecorded() || s.isInHandover(w) || w.unsized > 0 || s.isEvacuated(w) {
		return false
	}
	if !w.contacted || w.reg.Draining || w.failures > 0 || !w.uncertainAt.IsZero() || now.Before(w.avoidUntil) {
		return false
	}
	return w.listed || now.Sub(s.storeRegainedAt) < storeReturnGrace
}

// isEvacuated reports whether nothing may start on a worker because the operator has evacuated its
// availability zone. Existing runs go on; moveOutOfZones moves long-running ones.
func (s *Shard) isEvacuated(w *workerState) bool {
	return s.opts.Evacuated != nil && s.opts.Evacuated(w.reg.Zone)
}

// updateUsable collects the workers that can run tasks, and counts the unobserved ones and the
// ends that are listed.
func (s *Shard) updateUsable(now time.Time) {
	s.usable = s.usable[:0]
	s.anyProven = false
	s.unobservedWorkers = 0
	s.mostListedEnds = 0
	for _, w := range s.workers {
		if w.isUnobserved(now) {
			s.unobservedWorkers++
		}
		s.mostListedEnds = max(s.mostListedEnds, w.listedEnds)
		w.proven = w.health.IsProven(now)
		w.cold = now.Before(w.coldUntil)
		if s.isUsable(w, now) {
			s.usable = append(s.usable, w)
			s.anyProven = s.anyProven || w.proven
		}
	}
}
