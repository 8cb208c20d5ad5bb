package owner

import (
	"context"
	"log/slog"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"lemonstream.dev/lemonstream/catalog"
	"lemonstream.dev/lemonstream/clock"
	"lemonstream.dev/lemonstream/freshness"
	"lemonstream.dev/lemonstream/job"
	"lemonstream.dev/lemonstream/kernel"
	"lemonstream.dev/lemonstream/outside"
	"lemonstream.dev/lemonstream/ring"
	"lemonstream.dev/lemonstream/shard"
	"lemonstream.dev/lemonstream/site"
	"lemonstream.dev/lemonstream/underway"
)

const (
	// maxEvents bounds the queue of events for the loop. It holds the answers to several
	// thousand orders.
	maxEvents = 16_384

	// intakeInterval is the time between two reads of the intake table. They find jobs whose
	// entry died after it wrote the job and before it called the owner.
	intakeInterval = time.Second

	// fullQueuePause is the time between two attempts to queue an event while the queue is full. The
	// loop empties the queue in each of its rounds.
	fullQueuePause = 10 * time.Millisecond

	// minLoopPause is the shortest pause between two rounds of the loop. A busy loop pauses
	// loopPauseFactor times as long as its last round took, so that calls get their share of
	// the processor, but at most maxLoopPause.
	minLoopPause    = time.Millisecond
	loopPauseFactor = 2
	maxLoopPause    = 30 * time.Millisecond

	// OwnerTimeout is how long an owner continues without a successful write and without
	// promises; see package witness. It spans the shorter outages of the store. It must not be
	// longer: a successor that can't reach a worker waits this long plus a lease, and the
	// platform expects a task that can run to do so about 7 s after the last disruption. See
	// UnobservedFor.
	OwnerTimeout = 4 * time.Second
)

// Deps holds the dependencies of a keeper and of the duties that it runs.
type Deps struct {
	// Slow reports whether the store takes much longer than usual to answer.
	Slow func() bool

	Clock clock.Clock
	Group *kernel.Group
	Log   *slog.Logger
	Table outside.Table

	Workers  outside.Workers
	Catalog  func() *catalog.Catalog
	Registry *Registry
	Options  shard.Options

	// UnderWay bounds what all services of this entry have under way; nil bounds nothing.
	UnderWay *underway.Limits

	// Owners is the state of the copy of the owner rows; nil if nobody wants to know.
	Owners *freshness.Copy

	// Overdue is that of the follower of the owner rows; see Follower.
	Overdue func() time.Duration

	// Usable reports whether the copy of the operator's table is young enough for orders to
	// rest on it; nil if it always is.
	Usable func() bool

	// OrganisationWeights says that organisations share room by their weights.
	OrganisationWeights bool

	// Admits reports whether a caller may see and cancel a job. If it is nil, the catalog decides.
	Admits func(caller catalog.Caller, of catalog.JobOwner) bool

	// ListMembers reads the current list of entries. It may or may not include this one.
	ListMembers func(ctx context.Context) ([]Member, error)

	// Advice issues tickets that say which workers may run a step.
	Advice outside.Advice

	// MoveCost is the cost of moving an instance; see pool.Options.
	MoveCost time.Duration

	// OrderInOutage lets the instance controller order sleeping instances while its heartbeat
	// can't be written. Promises replaces the promises that it needs for that, in tests.
	OrderInOutage bool
	Promises      Promises

	// ForecastDemand says that the instance controller predicts demand that comes in turns.
	// Forecast takes what it reports of that; it may be nil.
	ForecastDemand bool
	Forecast       *ForecastFigures

	// Instances and Waves are used by the instance controller only.
	Instances outside.Instances
	Waves     WaveSource

	// Count counts an outcome under a metric name. It also counts decisions whose lines the
	// rate-limited log drops.
	Count func(name, outcome string)

	// SetFigure sets a figure of a service; nil sets none.
	SetFigure func(name, service string, value float64)

	// RequestLoad sends a directive to the owner of a service, on any entry, and returns the
	// service's load.
	RequestLoad func(ctx context.Context, service string, told Directive) (shard.Load, error)

	// RequestPromise asks another entry not to claim a part; nil if owners can't ask.
	RequestPromise func(ctx context.Context, to netip.AddrPort, request PromiseRequest) (PromiseAnswer, error)

	// OutageTimeout is how long an owner continues without a successful write while its
	// witnesses promise not to claim its part. A value that is not above OwnerTimeout switches
	// this off.
	OutageTimeout time.Duration

	// Holder is the name under which this entry orders instances.
	Holder string

	// Site holds the platform's limits.
	Site site.Settings
}

// Directive is what the instance controller sends to the owner of a service.
type Directive struct {
	// Closed names the workers that get no new tasks. Ended names the incarnations whose
	// instance was recently moved or taken down.
	Closed []string
	Ended  []string

	// Most is how many instances the service could have: its own, and all others that
	// no other service needs to finish its work in time. 0 means unknown.
	Most int
}

// Duty runs the scheduler of one service under one epoch. Only its loop accesses the shard.
type Duty struct {
	deps    Deps
	service string
	tenure  *tenure

	core   *shard.Shard
	events *ring.Ring[event]

	// underWay is what the service has of the bounds of this entry.
	underWay underway.Shares

	// listing is the newest listing of workers that the loop has not applied, nil for none.
	// registrationsRead says that the registrations were read since, without a change. They don't pass
	// through events: the registry must not wait for a full queue, and no listing may be lost.
	listing           atomic.Pointer[Listing]
	registrationsRead atomic.Bool

	// published maps a job ID to the publishedJob that callers may see.
	published sync.Map
	pending   atomic.Pointer[map[string]int]

	// quotaStates holds what the service has of the organisations' limits.
	quotaStates atomic.Pointer[[]QuotaState]

	// zones holds what runs in evacuated zones, as of the last round of the loop.
	zones atomic.Pointer[[]shard.ZoneRuns]

	// loopFigures is accessed by the loop only.
	loopFigures loopFigures

	// refusedJobs is the number of jobs whose refused demand counts in the load.
	refusedJobs atomic.Int64

	standby standby

	// standbyRead is set once this owner knows everything in the standby partition.
	standbyRead atomic.Bool

	// orphanProgress holds the progress of jobs whose record is not stored in the service's own
	// partition, until the standby partition is read.
	orphanProgress map[string]shard.Progress

	// lookups holds the lookup that waits for the next read of the jobs' rows. The shard has at
	// most one lookup in flight.
	lookups chan shard.Lookup

	// inheritedBeat is the heartbeat that this owner writes until it has read its rows. It
	// repeats the handover of the claim.
	inheritedBeat Beat

	// quotas holds the service's shares of the organisations' limits.
	quotas *quotas

	// retryAt is when the next transaction may be sent after one that was not applied.
	retryAt time.Time

	// probing says that the store has rejected the last transaction, and that the next one holds no rows of
	// jobs. plainBeats is how many more heartbeats list no workers.
	probing    bool
	plainBeats int

	committing bool
	released   chan struct{}
	releasing  bool

	// incompleteCommits counts the transactions since the release was requested that were too
	// full to hold every end that the shard has handled.
	incompleteCommits int

	// ended says that the loop has ended. What it has not written is never written.
	ended bool

	// done is closed when the duty has ended.
	done chan struct{}

	// ready is set once the rows of the service have been read.
	ready  atomic.Bool
	cancel context.CancelFunc
}

// event is a function that the loop runs, so that it may access the shard.
type event func(d *Duty, now time.Time)

func newDuty(deps Deps, service string, won claim, now time.Time, unobservedFor time.Duration) *Duty {
	options := deps.Options
	options.UnobservedFor = unobservedFor
	log := deps.Log.With("service", service, "epoch", won.epoch)
	d := &Duty{
		deps:          deps,
		service:       service,
		tenure:        newTenure(deps, service, won, now),
		events:        ring.New[event](maxEvents),
		underWay:      deps.UnderWay.Shares(),
		inheritedBeat: claimBeat(won.before, unobservedFor),
		quotas:        newQuotas(service, won.epoch),
		lookups:       make(chan shard.Lookup, 1),
		released:      make(chan struct{}),
		done:          make(chan struct{}),
	}
	options.UnderWay = d.underWay
	options.RowBytes = deps.Site.RowBytes
	options.LogEvent = deps.countingLog(log.Info)
	options.LogError = deps.countingLog(log.Error)
	options.CountRefusal = func(reason string) { deps.Count("task_refused_seconds", reason) }
	options.PublishState = func(id string, state job.State) {
		if state == "" {
			d.published.Delete(id)
			return
		}
		of, _ := d.core.JobOwner(id)
		d.published.Store(id, publishedJob{
			state: state,
			owner: of,
		})
	}
	options.Foreign = func(submitted shard.Record, known catalog.JobOwner) bool {
		route, _ := deps.Catalog().Route(submitted.Route)
		return !d.admits(catalog.Caller{
			Organisation: submitted.Organisation,
			Public:       route.Public,
		}, known)
	}
	options.Policy = func(route string) (catalog.Policy, bool) {
		found, ok := deps.Catalog().Route(route)
		return found.Policy, ok
	}
	if deps.OrganisationWeights {
		options.Weight = func(organisation string) float64 {
			found, _ := deps.Catalog().Organisation(organisation)
			return found.Weight
		}
	}
	options.Quota = func(organisation string) (shard.Quota, bool) {
		return d.quotas.quotaFor(organisation, deps.Catalog())
	}
	d.core = shard.New(service, won.epoch, won.version, now, options)
	d.applyHandover(won, now, log)
	if won.epoch > 1 {
		d.core.MarkStandbyUnread()
	} else {
		d.standbyRead.Store(true)
	}
	return d
}

// countingLog returns a function that writes a log line and counts it by its event.
func (d Deps) countingLog(write func(event string, fields ...any)) func(event string, fields ...any) {
	return func(event string, fields ...any) {
		d.Count("decision", event)
		write(event, fields...)
	}
}

// applyHandover applies the handover of the previous owner, and logs how long this owner may have to
// wait for workers that it does not reach.
func (d *Duty) applyHandover(won claim, now time.Time, log *slog.Logger) {
	handover := handoverOf(won.before, log)
	d.core.ApplyHandover(handover, won.read)
	log.Info("workers inherited from previous owner", "idle", len(handover.Idle), "leased", len(handover.Leased),
		"claim_version", won.version, "wait_ms", d.core.UnobservedWait(now).Milliseconds())
}

func (d *Duty) push(e event) error {
	return d.events.Push(e)
}

// run schedules the service until ctx ends, the service is released, or ownership is lost.
func (d *Duty) run(ctx context.Context) error {
	ctx, d.cancel = context.WithCancel(ctx)
	defer d.cancel()
	defer d.end()
	d.deps.Group.Go("standby part of "+d.service, func(context.Context) error {
		return d.openStandby(ctx)
	})
	if d.deps.Catalog().HasLimits() {
		d.readQuotas(ctx, d.deps.Clock.Now())
	}
	since, err := d.load(ctx)
	if err != nil {
		return err
	}
	if err := d.deps.Registry.Refresh(ctx); err != nil {
		return err
	}
	d.deps.Group.Go("intake of "+d.service, func(context.Context) error {
		return d.pollIntake(ctx, since)
	})
	d.deps.Group.Go("withdrawals of "+d.service, func(context.Context) error {
		d.sweepWithdrawals(ctx)
		return nil
	})
	stop := d.deps.Registry.Watch(d.service, Watcher{
		Changed: func(l Listing) {
			d.listing.Store(&l)
			d.wake()
		},
		Read: func() {
			d.registrationsRead.Store(true)
			d.wake()
		},
	})
	defer stop()
	d.ready.Store(true)
	return d.loop(ctx)
}

func (d *Duty) loop(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	pause := minLoopPause
	for {
		// Handle events that arrive close together in one round: a round that scans all
		// waiting work costs more than an event.
		if !clock.Sleep(ctx, pause) {
			return nil
		}
		select {
		case <-ctx.Done():
			return nil
		case <-d.released:
			return nil
		case <-d.events.Ready():
		case <-timer.C:
		}
		now := d.deps.Clock.Now()
		for _, e := range d.events.Drain() {
			e(d, now)
		}
		d.applyListing(now)
		if d.isReleased() {
			// The last transaction is applied. Another one would take up jobs that it can't write.
			return nil
		}
		if err := d.checkLost(); err != nil {
			return err
		}
		next := now.Add(beatInterval)
		if !d.releasing {
			orders, wake := d.core.Next(now)
			d.sendOrders(ctx, orders, now)
			d.updateQuotas(ctx, now)
			next = wake
		}
		d.commit(ctx, now)
		d.commitStandby(ctx, now)
		if d.retryAt.After(now) && d.retryAt.Before(next) {
			next = d.retryAt
		}
		d.publishState()
		d.refusedJobs.Store(int64(d.core.RefusedJobs(now)))
		took := d.deps.Clock.Now().Sub(now)
		d.publishLoopFigures(took, now)
		pause = min(maxLoopPause, max(minLoopPause, loopPauseFactor*took))
		timer.Reset(max(time.Millisecond, next.Sub(now)))
	}
}

// isReleased reports whether the transaction that hands the service over is applied.
func (d *Duty) isReleased() bool {
	select {
	case <-d.released:
		return true
	default:
		return false
	}
}

func (d *Duty) checkLost() error {
	if d.core.Deposed() {
		return &LostError{
			Part:   d.service,
			Reason: "a newer owner was seen",
		}
	}
	// The newer owner may be the one that the service was released for, whose claim is read before
	// this one has the answer to its last transaction.
	if (d.tenure.replaced.Load() && !d.releasing) || !d.tenure.mayAct(OwnerTimeout) {
		return d.tenure.lostError()
	}
	return nil
}

// wake makes the loop start its next round. A full queue does so as well.
func (d *Duty) wake() {
	_ = d.push(func(*Duty, time.Time) {})
}

// applyListing applies what the registry has told since the last round.
func (d *Duty) applyListing(now time.Time) {
	if l := d.listing.Swap(nil); l != nil {
		d.core.SetWorkers(l.Workers, l.Regained, now)
	}
	if d.registrationsRead.Swap(false) {
		d.core.RegistrationsRead(now)
	}
}

// pushAwaited queues an event for the loop. While the queue is full, it waits until the loop has
// handled some: an answer that is dropped is awaited for ever, and its worker, for one, never polled
// again. It drops the event if the duty ends.
func (d *Duty) pushAwaited(e event) {
	err := d.push(e)
	if err == nil {
		return
	}
	d.deps.Log.Warn("event waits", "service", d.service, "error", err.Error())
	for ; err != nil; err = d.push(e) {
		select {
		case <-d.done:
			return
		case <-d.deps.Clock.After(fullQueuePause):
		}
	}
}

func (d *Duty) publishState() {
	counts := d.core.Pending()
	d.pending.Store(&counts)
	d.setFigure(figureEjected, float64(d.core.Ejected()))
	d.setFigure(figureUnreadEnds, float64(d.core.MostListedEnds()))
	zones := d.core.EvacuatedZones()
	d.zones.Store(&zones)
}

// sendOrders sends each order in a goroutine of its own; the answer comes back as an event.
func (d *Duty) sendOrders(ctx context.Context, orders shard.Orders, now time.Time) {
	for _, poll := range orders.Polls {
		d.deps.Group.Go("look", func(context.Context) error {
			status, err := d.deps.Workers.Poll(ctx, poll.Worker, poll.Renewal)
			d.pushAwaited(func(d *Duty, at time.Time) { d.core.Polled(poll, now, at, status, err) })
			return nil
		})
	}
	for _, lookup := range orders.Lookups {
		d.requestLookup(lookup)
	}
	for _, start := range orders.Starts {
		d.deps.Group.Go("start", func(context.Context) error {
			heard, err := d.deps.Workers.Start(ctx, start.Worker, start.Order)
			d.pushAwaited(func(d *Duty, at time.Time) { d.core.Started(start, at, heard, err) })
			return nil
		})
	}
	for _, pace := range orders.Paces {
		d.deps.Group.Go("pace", func(context.Context) error {
			_, err := d.deps.Workers.Pace(ctx, pace.Worker, pace.Task, pace.Run, pace.Percent, pace.Fence)
			d.pushAwaited(func(d *Duty, _ time.Time) { d.core.Paced(pace, err) })
			return nil
		})
	}
	for _, request := range orders.TicketRequests {
		d.deps.Group.Go("advice", func(context.Context) error {
			tickets, err := d.deps.Advice.Ask(ctx, request.Step, request.Workers)
			d.pushAwaited(func(d *Duty, at time.Time) { d.core.TicketsReceived(request, tickets, err, at) })
			return nil
		})
	}
	for _, stop := range orders.Stops {
		d.deps.Group.Go("stop", func(context.Context) error {
			heard, err := d.deps.Workers.Stop(ctx, stop.Worker, stop.Task, stop.Run, stop.Fence)
			d.pushAwaited(func(d *Duty, at time.Time) { d.core.Stopped(stop, at, heard, err) })
			return nil
		})
	}
}
