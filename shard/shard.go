// Package shard is the scheduler of one service: which task runs on which
// worker, what its end means, and what must be written before anything else
// learns of it. It is a plain state instance. It does no input or output and
// starts no goroutine; its owner feeds it events and carries out its orders.
//
// What keeps a task from running twice, also across owners, is told in
// docs/design/platform.md: a worker obeys only the highest fence it has seen,
// and a shard orders no start before it has either looked at every worker under
// its own fence or waited until all leases of the owner before have lapsed.
package shard

import (
	"time"

	"lemonstream.dev/lemonstream/catalog"
	"lemonstream.dev/lemonstream/job"
	"lemonstream.dev/lemonstream/link"
)

const (
	// clockDrift is how much slower than ours a worker's steady clock may run;
	// the platform promises 2%.
	clockDrift = 0.025

	// leaseSlack is added to a reckoned end of a lease for the delay of an
	// answer and the cut to whole milliseconds.
	leaseSlack = 60 * time.Millisecond

	// foundSlack is added to the time of a stop for its delay: until both have
	// passed, a run that a new owner finds may be one that the owner before
	// has stopped.
	foundSlack = 200 * time.Millisecond

	// maxPause is the longest time between two looks at the shard's timers.
	maxPause = 250 * time.Millisecond

	// runsPerEpoch is the room of run numbers of one owner for one task. A
	// later owner starts above it, so that it need not know every earlier run.
	runsPerEpoch = 1 << 20
)

// Options are the bounds that a shard works under.
type Options struct {
	// Lease is how long a worker keeps running without a renewal.
	Lease time.Duration

	// LeaseMost is the longest lease that a worker grants, whatever it is told.
	LeaseMost time.Duration

	// BusyWait and IdleWait are how long a renewal may wait at a worker that
	// has something to run and at one that has not.
	BusyWait time.Duration
	IdleWait time.Duration

	// StopTask is the longest time that a task takes to stop.
	StopTask time.Duration

	// ShownFor is how long an ended job is kept.
	ShownFor time.Duration

	// FarFactor is how many times longer a task takes away from its data.
	FarFactor float64

	// BlindFor is how long after a takeover a worker that can't be reached may
	// still run what the owner before started there.
	BlindFor time.Duration

	// Policy returns the newest policy of a route; false where it is gone.
	Policy func(route string) (catalog.Policy, bool)

	// Quota returns what the service may use of an organisation's limit; false where there is
	// no limit. nil knows of none.
	Quota func(organisation string) (Quota, bool)

	// Evacuated reports whether nothing may start in an availability zone; nil knows of none.
	Evacuated func(zone string) bool

	// Starts bounds the bytes of orders to start tasks; nil bounds nothing.
	Starts *link.Budget

	// Guarded says that workers refuse what does not fit.
	Guarded bool

	// Report receives one line for each decision that touches a job.
	Report func(event string, fields ...any)

	// Refused counts a second in which a task that has waited for waitTold is refused by a
	// worker for the reason; nil counts nothing.
	Refused func(reason string)

	// Show receives the state of a job once callers may be told.
	Show func(id string, state job.State)
}

// Shard holds the jobs and workers of one service under one epoch.
type Shard struct {
	opts  Options
	name  string
	epoch int64

	// raised holds by worker how often the fence was raised there. It is kept for as long as the
	// owner lives: a worker that comes back may have heard of it.
	raised map[string]int64

	// taken is when this owner took the shard; newVersion is the version of
	// that write. A job written later and told to this owner first has never
	// been seen by the owner before.
	taken      time.Time
	newVersion int64

	jobs    map[string]*jobState
	workers map[string]*workerState

	// waiting holds the jobs with a task that may have to start.
	waiting map[string]*jobState

	// repeating holds the jobs whose next occurrence is not due yet.
	repeating map[string]*jobState

	// due holds the runs that need an order: to be stopped, or to be started
	// once more.
	due map[*run]struct{}

	// trials holds the tasks on trial by their worker, see try.
	trials map[string]map[job.TaskID]struct{}

	// speculateAt is when stragglers are looked for next.
	speculateAt time.Time

	// tickets holds, by the name of a step, which workers may run it.
	tickets map[string]*permission

	// unknown holds the jobs that are not known and of which workers list something. lookup is
	// the number of the lookup that is under way, 0 for none, whose answer is waited for until
	// lookupUntil; lookupAt is when the next may be ordered.
	unknown     map[string]*unknownJob
	lookup      int64
	lookupUntil time.Time
	lookupAt    time.Time

	// submitted holds jobs whose record no batch holds yet, in their order.
	submitted []*jobState

	// dirty holds jobs whose row is behind; removed those whose rows go.
	dirty   map[string]*jobState
	removed []string

	// withdrawn names jobs whose cancellation can't be decided yet, because they are not
	// known, or the standby part is unread, where their record or their final state may
	// stand. The value says whether a row asks for it.
	withdrawn map[string]bool

	// batch is the number of the last batch taken, done that of the last one
	// written; an end whose batch is written may be acknowledged.
	batch int64
	done  int64

	// pending counts the jobs of each route that have not begun.
	pending map[string]int

	// usages holds what runs by organisation, and unseen where more may; the latter is as of
	// the last placement.
	usages map[string]*usage
	unseen unseen

	// learned holds what was measured of run times by image.
	learned map[string]*measure

	// gone remembers by worker the incarnations that ended lately, so that an old
	// registration or a late word of a taken instance does not bring one back.
	gone map[string][]ended

	// usable holds the workers that take tasks, as of the beginning of Next.
	usable []*workerState

	// unanswered holds by worker the starts that may still take effect there, of runs that
	// were dropped, see rememberStart.
	unanswered map[string]map[job.TaskID]unansweredStart

	// listedOnce says that this owner has seen the registrations; takenUnseen names workers
	// that it was told before that have ended with their instances.
	listedOnce  bool
	takenUnseen []string

	// confirmed is when the newest transaction was sent that proved that this
	// owner still owned the shard.
	confirmed time.Time

	// storeRegained is when the store was last regained.
	storeRegained time.Time

	// unrecord names ended workers whose rows still stand.
	unrecord map[string]struct{}

	// idle names workers that the owner before knew to run nothing; leased holds
	// what may run on others by its word, as read at handedAt. passedOn says that the
	// row of this owner's claim repeats it.
	idle     map[string]bool
	leased   map[string]Leased
	handedAt time.Time
	passedOn bool

	// blindUntil is when everything has lapsed that earlier owners started on workers
	// of which nothing is handed over.
	blindUntil time.Time

	// seesMost says that only tasks that are known may run unseen, sighted that none
	// may.
	seesMost bool
	sighted  bool

	// given holds until when an order to the instance of a worker may be under way that this
	// owner was not told of, anyGivenUntil until when it may be that of any empty one.
	given         map[string]time.Time
	anyGivenUntil time.Time

	// standbyUnread says that an earlier owner may have written to the standby part
	// what this one has not read.
	standbyUnread bool

	// deposed is set once a worker or the table showed a newer owner.
	deposed bool

	// forgetAt is when ended jobs are looked through next.
	forgetAt time.Time

	// refusing holds jobs that are to be turned away and that no batch holds, deciding all
	// that are to be, until the row stands or is given up; refused the refusals that stand, and
	// refusals their jobs in the order in which they were given, or read at a takeover. A
	// job that is refused again stands there twice, and holds up the refusals behind it until
	// it may be lifted itself: they go later than they could, and none too early.
	refusing []*refusing
	deciding map[string]*refusing
	refused  map[string]Refusal
	refusals []string

	// most is how many instances the service could have; survey the work that waits.
	most   int
	survey survey

	// waitToldAt is when it was last told why a task waits.
	waitToldAt time.Time

	// lossAt is when a job was last passed over until it was late.
	lossAt time.Time

	// startAt is when the next start may go out that had to wait for the link; zero
	// where none waits.
	startAt time.Time

	// pulse tells whether this owner itself is late.
	pulse pulse

	// calls counts the orders that were given.
	calls int64

	orders Orders
}

// New returns an empty shard for the owner with the given epoch.
func New(name string, epoch, version int64, now time.Time, opts Options) *Shard {
	return &Shard{
		opts:       opts,
		name:       name,
		epoch:      epoch,
		raised:     make(map[string]int64),
		taken:      now,
		blindUntil: now.Add(opts.BlindFor),
		newVersion: version,
		jobs:       make(map[string]*jobState),
		workers:    make(map[string]*workerState),
		waiting:    make(map[string]*jobState),
		repeating:  make(map[string]*jobState),
		due:        make(map[*run]struct{}),
		tickets:    make(map[string]*permission),
		dirty:      make(map[string]*jobState),
		pending:    make(map[string]int),
		usages:     make(map[string]*usage),
		learned:    make(map[string]*measure),
		unrecord:   make(map[string]struct{}),
		idle:       make(map[string]bool),
		leased:     make(map[string]Leased),
		withdrawn:  make(map[string]bool),
		unknown:    make(map[string]*unknownJob),
		refused:    make(map[string]Refusal),
		deciding:   make(map[string]*refusing),
		gone:       make(map[string][]ended),
		unanswered: make(map[string]map[job.TaskID]unansweredStart),
		trials:     make(map[string]map[job.TaskID]struct{}),
	}
}

// Deposed reports whether a newer owner was seen; nothing is ordered any more.
func (s *Shard) Deposed() bool {
	return s.deposed
}

// Depose stops all orders.
func (s *Shard) Depose() {
	s.deposed = true
}

// Pending returns the number of jobs of each route that have not begun.
func (s *Shard) Pending() map[string]int {
	counts := make(map[string]int, len(s.pending))
	for route, count := range s.pending {
		counts[route] = count
	}
	return counts
}

// Confirm takes in that a transaction of this owner was applied that was sent at
// the instant with the given rows of workers. A worker is used only once its row
// stands, so that a successor knows of it, and one that had lapsed only once a
// later transaction no longer names it as such.
func (s *Shard) Confirm(rows WorkerRows, sent time.Time) {
	if sent.After(s.confirmed) {
		s.confirmed = sent
	}
	for _, ref := range rows.Used {
		if w, found := s.workers[ref.ID]; found {
			w.recorded = true
		} else {
			s.unrecord[ref.ID] = struct{}{}
		}
	}
	for _, id := range rows.Ended {
		delete(s.unrecord, id)
	}
}

// Unconfirmed reports whether a worker waits for a transaction to be used.
func (s *Shard) Unconfirmed() bool {
	for _, w := range s.workers {
		if (w.listed || len(w.runs) > 0) && s.isNamed(w) {
			return true
		}
	}
	return false
}

// Next returns the orders that are due and when to ask again at the latest.
func (s *Shard) Next(now time.Time) (Orders, time.Time) {
	if s.deposed {
		return Orders{}, now.Add(time.Second)
	}
	s.resolveUnknown(now)
	s.lapse(now)
	s.findUsable(now)
	s.beginOccurrences(now)
	s.moveOffDraining(now)
	s.reportSight(now)
	s.place(now)
	s.speculate(now)
	s.stops(now)
	s.holds(now)
	s.lookUp(now)
	s.forget(now)
	orders := s.orders
	s.orders = Orders{}
	return orders, s.wake(now)
}

// wake returns when the next timer of the shard is due.
func (s *Shard) wake(now time.Time) time.Time {
	next := now.Add(maxPause)
	earlier := func(t time.Time) {
		if t.After(now) && t.Before(next) {
			next = t
		}
	}
	for _, w := range s.workers {
		if w.look == 0 {
			earlier(w.holdAt)
		}
		if w.failures > 0 {
			earlier(w.until)
		}
		earlier(w.avoidUntil)
	}
	for r := range s.due {
		earlier(r.stopAt)
	}
	earlier(s.startAt)
	for _, j := range s.repeating {
		earlier(j.record.Spec.Due(j.begunOccurrences))
	}
	return next
}
