// Package shard is the scheduler of one service. It decides which task runs on which worker, what
// the end of a run means, and what must be written before anyone else learns of it. It is a plain
// state machine that does no input or output and starts no goroutine; its owner feeds it events and
// carries out its orders.
//
// docs/design/platform.md explains what keeps a task from running twice, also across owners. A
// worker obeys only the highest fence it has seen. A shard orders no start before it has either
// polled every worker under its own fence or waited until all leases of the previous owner have
// lapsed.
package shard

import (
	"time"

	"lemonstream.dev/lemonstream/catalog"
	"lemonstream.dev/lemonstream/job"
	"lemonstream.dev/lemonstream/link"
	"lemonstream.dev/lemonstream/outlier"
	"lemonstream.dev/lemonstream/underway"
)

const (
	// maxClockDrift is how much slower than this owner's clock a worker's steady clock may run. The
	// platform promises 2%.
	maxClockDrift = 0.025

	// leaseSlack is added to the computed end of a lease for the delay of an answer and the
	// truncation to whole milliseconds.
	leaseSlack = 60 * time.Millisecond

	// stopSlack is added to the stop timeout for the delay of the stop order. Until both have
	// passed, a run that a new owner finds may be one that the previous owner has stopped.
	stopSlack = 200 * time.Millisecond

	// maxTimerInterval is the longest time between two checks of the shard's timers.
	maxTimerInterval = 250 * time.Millisecond

	// runsPerEpoch is how many run numbers one owner has for one task. A later owner starts above
	// them, so that it need not know every earlier run.
	runsPerEpoch = 1 << 20
)

// Options are the settings and callbacks of a shard.
type Options struct {
	// Lease is how long a worker keeps running without a renewal.
	Lease time.Duration

	// LeaseLimit is the longest lease that a worker grants, even if an order requests more.
	LeaseLimit time.Duration

	// BusyPollWait and IdlePollWait are how long a poll may wait at a worker that has runs and at
	// one that has none.
	BusyPollWait time.Duration
	IdlePollWait time.Duration

	// StopTimeout is the longest time that a task takes to stop.
	StopTimeout time.Duration

	// RowBytes is the most bytes that the store takes in one row; 0 means no limit.
	RowBytes int

	// JobRetention is how long an ended job is kept.
	JobRetention time.Duration

	// DrainTime is how long a worker answers on after it has announced its end.
	DrainTime time.Duration

	// RemoteFactor is how many times longer a task takes when it runs away from its data.
	RemoteFactor float64

	// UnobservedFor is how long after a takeover an unreachable worker may still run what the
	// previous owner started there.
	UnobservedFor time.Duration

	// Policy returns the newest policy of a route, and false if the route no longer exists.
	Policy func(route string) (catalog.Policy, bool)

	// Quota returns what the service may use of an organisation's limit, and false if there is no
	// limit. If it is nil, there are no limits.
	Quota func(organisation string) (Quota, bool)

	// Weight returns the weight of an organisation, by which organisations with waiting work share
	// room. If it is nil, room goes to the most urgent work, whoever it belongs to.
	Weight func(organisation string) float64

	// Foreign reports whether a job that is submitted under the ID of a known job belongs to another
	// organisation. If it is nil, none does.
	Foreign func(submitted Record, known catalog.JobOwner) bool

	// Evacuated reports whether nothing may start in an availability zone. If it is nil, no zone is
	// evacuated.
	Evacuated func(zone string) bool

	// Usable reports whether what the operator asks for is known well enough to start tasks by
	// it: policies, limits and evacuated zones. If it is nil, it always is.
	Usable func() bool

	// Starts bounds the bytes of orders to start tasks; nil means no bound.
	Starts *link.Budget

	// UnderWay bounds what this owner has under way at workers; its zero value bounds nothing.
	UnderWay underway.Shares

	// EjectShare is the maximum share of the workers that are ejected at one time because they
	// fail what they start; 0 ejects none. ProbeAfter is the time from an ejection to the first
	// probe.
	EjectShare float64
	ProbeAfter time.Duration

	// EstimateFaults estimates what the end of a run shows; see outlier.Options.Update.
	EstimateFaults func(outlier.Observation) (worker, work float64)

	// IgnoreRefused says that the demand of jobs that were refused because this owner can't write
	// does not count in Load.
	IgnoreRefused bool

	// RejectsOverload says that workers refuse tasks that do not fit.
	RejectsOverload bool

	// LogEvent writes one log line for each decision that affects a job.
	LogEvent func(event string, fields ...any)

	// LogError writes one log line for each fault that costs a job; nil writes none.
	LogError func(event string, fields ...any)

	// CountRefusal counts, by reason, the seconds in which workers refuse a task that has waited
	// for some time; nil counts nothing.
	CountRefusal func(reason string)

	// PublishState is called with the state of a job once callers may receive it.
	PublishState func(id string, state job.State)
}

// Shard holds the jobs and workers of one service under one epoch.
type Shard struct {
	opts  Options
	name  string
	epoch int64

	// fenceRaises holds, by worker, how often its fence was raised. Entries are kept as long as the
	// owner lives, because a worker that comes back may have seen the raised fence.
	fenceRaises map[string]int64

	// takenAt is when this owner took over the shard; claimVersion is the version of that write. If
	// a job was written later and this owner was notified of it first, no earlier owner has seen
	// it.
	takenAt      time.Time
	claimVersion int64

	jobs    map[string]*jobState
	workers map[string]*workerState

	// outliers tells which workers fail what they start. inheritedEvidence holds, by worker
	// incarnation, what the previous owner knew and this one has not used yet. anyProven says that a
	// usable worker is proven, as of the beginning of Next.
	outliers          *outlier.Fleet
	inheritedEvidence map[string]outlier.Evidence
	anyProven         bool

	// waiting holds the jobs with tasks that may have to start.
	waiting map[string]*jobState

	// repeating holds the jobs with occurrences that were not opened yet.
	repeating map[string]*jobState

	// dueRuns holds the runs that need an order: to be stopped, or to be started once more. unsentStarts
	// holds the runs that were decided on and whose order to start has to wait, see sendStarts.
	dueRuns      runQueue
	unsentStarts runQueue

	// openStarts and openStops are the orders to start and to stop runs that are under way.
	openStarts openOrders
	openStops  openOrders

	// possibleCrashes holds, by worker incarnation, the tasks whose run there may have crashed it.
	possibleCrashes map[string]map[job.TaskID]struct{}

	// crashedWorkers holds the crashes that this owner recorded or read. reviewCrashes says that
	// what a crash says of a task may have changed since the last review.
	crashedWorkers crashedWorkers
	reviewCrashes  bool

	// sharedLosses holds the losses of workers under suspects that ran beside other tasks, until
	// they are stored for all of them.
	sharedLosses []sharedLoss

	// silentLosses holds, by worker incarnation, the workers that were given up lately because they
	// did not answer.
	silentLosses map[string]silentLoss

	// nextSpeculationAt is when the next search for stragglers is due.
	nextSpeculationAt time.Time

	// tickets holds, by the name of a step, which workers may run the step.
	tickets map[string]*stepTickets

	// unknownJobs holds the jobs that this owner does not know and of which workers list runs or
	// ends. lookup is the number of the lookup under way, 0 for none; its answer is awaited before
	// lookupDeadline. nextLookupAt is when the next lookup may be ordered.
	unknownJobs    map[string]*unknownJob
	lookup         int64
	lookupDeadline time.Time
	nextLookupAt   time.Time

	// submitted holds, in order of submission, the jobs whose record is in no batch yet.
	submitted []*jobState

	// dirty holds jobs whose row is behind, lastProgress is the last one whose row a batch took;
	// removedJobs holds IDs of jobs whose rows are to be deleted.
	dirty        map[string]*jobState
	lastProgress string
	removedJobs  []string

	// singles holds jobs of which a batch was refused by the store. Each is written in a batch of its own,
	// to find those that are refused.
	singles []string

	// deferredCancels names jobs whose cancellation can't be decided yet. Either the job is not in
	// memory, or its record or final state may be in the standby partition, which is not read yet.
	// The value says whether a row requests the cancellation.
	deferredCancels map[string]bool

	// lastBatch is the number of the last batch taken, writtenBatch that of the last batch written.
	// An end may be acknowledged once its batch is written.
	lastBatch    int64
	writtenBatch int64

	// pending counts the jobs of each route that have not started.
	pending map[string]int

	// usages holds the resources in use by organisation. unseen holds where earlier owners may have
	// more running, as of the last placement.
	usages map[string]*usage
	unseen unseen

	// runTimes holds the measured run times by image, or by route for steps without an image.
	runTimes map[string]*runTimeStats

	// endedIncarnations holds, by worker, the incarnations that ended lately, so that an old
	// registration or a late report of a removed instance does not bring one back.
	endedIncarnations map[string][]endedIncarnation

	// usable holds the workers that can run tasks, as of the beginning of Next.
	usable []*workerState

	// startsHeld says that nothing may start in this round, see Options.Usable.
	startsHeld bool

	// unanswered holds, by worker, the starts of dropped runs that may still take effect there.
	unanswered map[string]map[job.TaskID]unansweredStart

	// listReadAt is when the registrations were last read.
	listReadAt time.Time

	// registrationsRead says that this owner has read the registrations. removedUnlisted names
	// worker incarnations that were reported as ended with their instances before that.
	registrationsRead bool
	removedUnlisted   []string

	// confirmedAt is when the newest transaction was sent that proved that this owner still owned
	// the shard.
	confirmedAt time.Time

	// newestReadAt is the latest readAt of all jobs.
	newestReadAt time.Time

	// storeRegainedAt is when the store last became available again.
	storeRegainedAt time.Time

	// workerRowsToDelete names ended workers whose rows are still stored.
	workerRowsToDelete map[string]struct{}

	// idleWorkers names workers that ran nothing according to the previous owner. inheritedLeases
	// holds what may run on other workers according to it. Both were read at handoverReadAt.
	// claimHasHandover says that the row of this owner's claim repeats the handover.
	idleWorkers      map[string]bool
	inheritedLeases  map[string]Leased
	handoverReadAt   time.Time
	claimHasHandover bool

	// formerLeases holds, by worker ID, until when a lease may last that an order to a removed
	// incarnation extends at the next one.
	formerLeases map[string]time.Time

	// unobservedUntil is when the leases have lapsed of everything that earlier owners started on
	// workers that the handover does not name.
	unobservedUntil time.Time

	// earlierUntil is the same for the owners before the previous one.
	earlierUntil time.Time

	// unobservedWorkers counts the workers that may run tasks of earlier owners that this owner has
	// not observed, as of the beginning of Next.
	unobservedWorkers int

	// mostListedEnds is the largest number of ends that a worker listed in its last answer, as of the
	// beginning of Next.
	mostListedEnds int

	// mostRunsSeen says that only known tasks may still run unobserved, allRunsSeen that none may.
	mostRunsSeen bool
	allRunsSeen  bool

	// releasedUntil holds, by worker that an earlier owner released, until when an order to the
	// worker's instance may be under way that this owner was not notified of. anyReleasedUntil is the
	// same for every worker without runs.
	releasedUntil    map[string]time.Time
	anyReleasedUntil time.Time

	// standbyUnread says that an earlier owner may have written rows to the standby partition that
	// this one has not read.
	standbyUnread bool

	// deposed is set once a worker or the table has shown a newer owner.
	deposed bool

	// nextPurgeAt is when ended jobs are next checked for removal.
	nextPurgeAt time.Time

	// refusing holds refusals that are in no batch yet. undecidedRefusals holds all refusals whose
	// row is neither written nor given up. storedRefusals holds the refusals whose rows are stored,
	// and refusalOrder the IDs of their jobs in the order in which they were given, or read at a
	// takeover.
	//
	// A job that is refused again is in refusalOrder twice. Its first entry delays the removal of
	// the refusals behind it until the second refusal may be removed. So refusals are removed later
	// than possible, but never too early.
	refusing          []*refusing
	undecidedRefusals map[string]*refusing
	storedRefusals    map[string]Refusal
	refusalOrder      []string

	// refusedDemand holds the demand of jobs that this owner refused because it could not write.
	refusedDemand RefusedDemand

	// maxInstances is how many instances the service could have; survey estimates the work that
	// waits.
	maxInstances int
	survey       survey

	// fairness divides room between organisations.
	fairness fairness

	// evacuated holds the evacuated zones in which the service has workers, as of the last search.
	// nextEvacuationAt is when the next search is due.
	evacuated        map[string]*evacuatedZone
	nextEvacuationAt time.Time

	// waitLoggedAt is when the reason why a task waits was last logged.
	waitLoggedAt time.Time

	// missedDeadlineAt is when a job that had been passed over last became unable to end in time.
	missedDeadlineAt time.Time

	// nextStartAt is when the next start that had to wait for the link may be sent; zero if none
	// waits. startsWait says that starts wait for others to be answered, or for runs to end.
	nextStartAt time.Time
	startsWait  bool

	// answerLatency reports whether this owner itself is late in handling answers.
	answerLatency answerLatency

	// lastCall is the number of the last order that was given.
	lastCall int64

	orders Orders
}

// New returns an empty shard for the owner with the given epoch.
func New(name string, epoch, version int64, now time.Time, opts Options) *Shard {
	return &Shard{
		opts: opts,
		outliers: outlier.New(outlier.Options{
			Share:      opts.EjectShare,
			ProbeAfter: opts.ProbeAfter,
			Update:     opts.EstimateFaults,
			Report:     opts.LogEvent,
		}),
		inheritedEvidence:  make(map[string]outlier.Evidence),
		name:               name,
		epoch:              epoch,
		fenceRaises:        make(map[string]int64),
		formerLeases:       make(map[string]time.Time),
		takenAt:            now,
		unobservedUntil:    now.Add(opts.UnobservedFor),
		claimVersion:       version,
		jobs:               make(map[string]*jobState),
		workers:            make(map[string]*workerState),
		waiting:            make(map[string]*jobState),
		repeating:          make(map[string]*jobState),
		openStarts:         newOpenOrders(opts.UnderWay.Starts),
		openStops:          newOpenOrders(opts.UnderWay.Stops),
		tickets:            make(map[string]*stepTickets),
		dirty:              make(map[string]*jobState),
		pending:            make(map[string]int),
		usages:             make(map[string]*usage),
		runTimes:           make(map[string]*runTimeStats),
		workerRowsToDelete: make(map[string]struct{}),
		idleWorkers:        make(map[string]bool),
		inheritedLeases:    make(map[string]Leased),
		deferredCancels:    make(map[string]bool),
		unknownJobs:        make(map[string]*unknownJob),
		storedRefusals:     make(map[string]Refusal),
		undecidedRefusals:  make(map[string]*refusing),
		endedIncarnations:  make(map[string][]endedIncarnation),
		unanswered:         make(map[string]map[job.TaskID]unansweredStart),
		silentLosses:       make(map[string]silentLoss),
		crashedWorkers:     make(crashedWorkers),
		possibleCrashes:    make(map[string]map[job.TaskID]struct{}),
	}
}

// Deposed reports whether a newer owner was seen. A deposed shard gives no orders.
func (s *Shard) Deposed() bool {
	return s.deposed
}

// Depose stops all orders.
func (s *Shard) Depose() {
	s.deposed = true
}

// Pending returns the number of jobs of each route that have not started.
func (s *Shard) Pending() map[string]int {
	counts := make(map[string]int, len(s.pending))
	for route, count := range s.pending {
		counts[route] = count
	}
	return counts
}

// Confirm handles a transaction of this owner that was applied. It was sent at the given time with
// the given rows of workers. A worker is used only once its row is stored, so that the next owner
// knows of the worker. A worker whose lease had lapsed is used only once a later transaction no
// longer names it as lapsed.
func (s *Shard) Confirm(rows WorkerRows, sent time.Time) {
	if sent.After(s.confirmedAt) {
		s.confirmedAt = sent
	}
	for _, ref := range rows.Used {
		if w, found := s.workers[ref.ID]; found {
			w.recorded = true
			w.recordedBorn = ref.Born
		} else {
			s.workerRowsToDelete[ref.ID] = struct{}{}
		}
	}
	for _, id := range rows.Ended {
		delete(s.workerRowsToDelete, id)
	}
}

// NeedsConfirmation reports whether a worker can only be used, or a job only be started, after
// another transaction.
func (s *Shard) NeedsConfirmation() bool {
	if s.newestReadAt.After(s.confirmedAt) {
		return true
	}
	for _, w := range s.workers {
		if (w.listed || len(w.runs) > 0) && s.isInHandover(w) {
			return true
		}
	}
	return false
}

// Next returns the orders that are due, and the latest time at which to call Next again.
func (s *Shard) Next(now time.Time) (Orders, time.Time) {
	if s.deposed {
		return Orders{}, now.Add(time.Second)
	}
	s.resolveUnknownJobs(now)
	s.expireLeases(now)
	s.dropUnusedEvidence(now)
	s.startsHeld = s.opts.Usable != nil && !s.opts.Usable()
	s.updateUsable(now)
	s.openDueOccurrences(now)
	s.moveOffDraining(now)
	s.moveOutOfZones(now)
	s.logUnobserved(now)
	s.place(now)
	s.speculate(now)
	s.sendStarts(now)
	s.orderDueRuns(now)
	s.orderPolls(now)
	s.orderLookup(now)
	s.forgetEndedJobs(now)
	orders := s.orders
	s.orders = Orders{}
	return orders, s.nextWake(now)
}

// nextWake returns when the next timer of the shard is due.
func (s *Shard) nextWake(now time.Time) time.Time {
	next := now.Add(maxTimerInterval)
	earlier := func(t time.Time) {
		if t.After(now) && t.Before(next) {
			next = t
		}
	}
	for _, w := range s.workers {
		if w.pollCall == 0 {
			earlier(w.nextPollAt)
		}
		if w.failures > 0 {
			earlier(w.leaseEnd)
		}
		earlier(w.avoidUntil)
	}
	for r := range s.dueRuns.all() {
		earlier(r.nextStopAt)
	}
	earlier(s.nextStartAt)
	for _, j := range s.repeating {
		earlier(j.record.Spec.Due(j.nextOccurrence))
	}
	return next
}
