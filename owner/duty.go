package owner

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"lemonstream.dev/lemonstream/catalog"
	"lemonstream.dev/lemonstream/clock"
	"lemonstream.dev/lemonstream/job"
	"lemonstream.dev/lemonstream/kernel"
	"lemonstream.dev/lemonstream/outside"
	"lemonstream.dev/lemonstream/ring"
	"lemonstream.dev/lemonstream/shard"
	"lemonstream.dev/lemonstream/site"
)

const (
	// eventsMost bounds the events that wait for the duty: the answers of
	// several thousand orders.
	eventsMost = 16_384

	// intakePause is the time between two looks for jobs that nobody told the
	// owner of: an entry died between the write and the call.
	intakePause = time.Second

	// loopRest is the shortest pause between two rounds of the loop. A busy loop
	// rests loopRestFactor times as long as its last round took, so that calls
	// get their share of the processor, but at most loopRestMost.
	loopRest       = time.Millisecond
	loopRestFactor = 2
	loopRestMost   = 30 * time.Millisecond

	// ownerHorizon is how long an owner goes on without having written
	// anything. It spans the shorter outages of the store. A successor that
	// can't reach a worker waits for it and a lease, and the platform expects a
	// task that can run to do so some 7 s after the last disruption, so it must
	// not be longer; see BlindFor.
	ownerHorizon = 4 * time.Second
)

// Deps is what a duty works with.
type Deps struct {
	// Slow reports whether the store takes much longer than on a calm day.
	Slow func() bool

	Clock clock.Clock
	Group *kernel.Group
	Log   *slog.Logger
	Table outside.Table

	Workers  outside.Workers
	Catalog  func() *catalog.Catalog
	Registry *Registry
	Options  shard.Options

	// Listed reads the list of entries anew, this one included or not.
	Listed func(ctx context.Context) ([]Member, error)

	// Advice knows which workers may run the steps of some queues.
	Advice outside.Advice

	// MoveCost is what a move of an instance costs; see pool.Options.
	MoveCost time.Duration

	// Instances and Waves are what the duty for the instances works with.
	Instances outside.Instances
	Waves     WaveSource

	// Count counts a decision; the bounded log leaves out lines that this counts.
	Count func(name, outcome string)

	// Loads asks the owner of a service, wherever it runs.
	Loads func(ctx context.Context, service string, told Directive) (shard.Load, error)

	// Holder is how this entry is named at the instances.
	Holder string

	// Site holds the platform's bounds.
	Site site.Settings
}

// Directive is what the owner of the instances tells that of a service.
type Directive struct {
	// Closed names the workers where nothing new is to be placed, Ended the incarnations
	// whose instance was taken lately.
	Closed []string
	Ended  []string

	// Most is how many instances the service could have: its own, and all others that
	// nobody else needs for work in time. 0 means that it is not known.
	Most int
}

// Duty owns one service under one epoch. Its loop alone touches the shard.
type Duty struct {
	deps    Deps
	service string
	tenure  *tenure

	core   *shard.Shard
	events *ring.Ring[event]

	// shown maps a job to the state that callers may be told.
	shown   sync.Map
	pending atomic.Pointer[map[string]int]

	standby standby

	// standbyRead is set once nothing in the standby part is unknown to this owner.
	standbyRead atomic.Bool

	// recordless holds progress of jobs whose record does not stand in the service's
	// own part, until the standby part is read.
	recordless map[string]shard.Progress

	// lookups holds the lookup that waits for the next read of the jobs' rows; the shard has
	// one under way at a time.
	lookups chan shard.Lookup

	// inherited is what the beat of the claim says, until this owner has read its rows.
	inherited Beat

	// quotas is what the service holds of the organisations' limits.
	quotas *quotas

	// retryAt is when a transaction may be sent after one that was given up.
	retryAt time.Time

	committing bool
	released   chan struct{}
	releasing  bool

	// unwhole counts the transactions since the release was asked for that had no
	// room for every end that was taken in.
	unwhole int

	// ended says that the loop has ended; what it has not written, it never will.
	ended bool

	// over is closed when the duty has ended.
	over chan struct{}

	// ready is set once the rows of the service have been read.
	ready  atomic.Bool
	cancel context.CancelFunc
}

// event is one thing that the loop has to take in.
type event func(d *Duty, now time.Time)

func newDuty(deps Deps, service string, won claim, now time.Time, blindFor time.Duration) *Duty {
	options := deps.Options
	options.BlindFor = blindFor
	log := deps.Log.With("service", service, "epoch", won.epoch)
	d := &Duty{
		deps:      deps,
		service:   service,
		tenure:    newTenure(deps, service, won, now),
		events:    ring.New[event](eventsMost),
		inherited: passedOn(won.before, blindFor),
		quotas:    newQuotas(service, won.epoch),
		lookups:   make(chan shard.Lookup, 1),
		released:  make(chan struct{}),
		over:      make(chan struct{}),
	}
	options.Report = func(event string, fields ...any) {
		deps.Count("decision", event)
		log.Info(event, fields...)
	}
	options.Refused = func(reason string) { deps.Count("task_refused_seconds", reason) }
	options.Show = func(id string, state job.State) {
		if state == "" {
			d.shown.Delete(id)
			return
		}
		d.shown.Store(id, state)
	}
	options.Policy = func(route string) (catalog.Policy, bool) {
		found, ok := deps.Catalog().Route(route)
		return found.Policy, ok
	}
	options.Quota = func(organisation string) (shard.Quota, bool) {
		return d.quotas.of(organisation, deps.Catalog())
	}
	d.core = shard.New(service, won.epoch, won.version, now, options)
	handover := handoverOf(won.before, log)
	d.core.Inherit(handover, won.read)
	log.Info("workers handed over", "idle", len(handover.Idle), "leased", len(handover.Leased))
	if won.epoch > 1 {
		d.core.AwaitStandby()
	} else {
		d.standbyRead.Store(true)
	}
	return d
}

func (d *Duty) push(e event) error {
	return d.events.Push(e)
}

// run works until the context ends, the shard is released, or it is lost.
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
		return d.watchIntake(ctx, since)
	})
	stop := d.deps.Registry.Watch(d.service, func(l Listing) {
		d.pushLogged(func(d *Duty, now time.Time) { d.core.SetWorkers(l.Workers, l.Regained, now) })
	})
	defer stop()
	d.ready.Store(true)
	return d.loop(ctx)
}

func (d *Duty) loop(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	rest := loopRest
	for {
		// Events that come together are taken in together: a look at all that
		// waits costs more than an event.
		if !clock.Sleep(ctx, rest) {
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
		if d.handedOver() {
			// The last transaction stands; another would carry jobs that it can't write.
			return nil
		}
		if err := d.lost(now); err != nil {
			return err
		}
		next := now.Add(beatPause)
		if !d.releasing {
			orders, wake := d.core.Next(now)
			d.carryOut(ctx, orders, now)
			d.balance(ctx, now)
			next = wake
		}
		d.commit(ctx, now)
		d.commitStandby(ctx, now)
		if d.retryAt.After(now) && d.retryAt.Before(next) {
			next = d.retryAt
		}
		d.publish()
		took := d.deps.Clock.Now().Sub(now)
		rest = min(loopRestMost, max(loopRest, loopRestFactor*took))
		timer.Reset(max(time.Millisecond, next.Sub(now)))
	}
}

// handedOver reports whether the transaction that hands the service over stands.
func (d *Duty) handedOver() bool {
	select {
	case <-d.released:
		return true
	default:
		return false
	}
}

func (d *Duty) lost(now time.Time) error {
	if d.core.Deposed() {
		return &LostError{
			Part:   d.service,
			Reason: "a newer owner was seen",
		}
	}
	if now.Sub(d.tenure.lastWrite) > ownerHorizon {
		return &LostError{
			Part:   d.service,
			Reason: "nothing could be written for " + now.Sub(d.tenure.lastWrite).String(),
		}
	}
	return nil
}

func (d *Duty) pushLogged(e event) {
	if err := d.push(e); err != nil {
		d.deps.Log.Error("event dropped", "service", d.service, "error", err)
	}
}

func (d *Duty) publish() {
	counts := d.core.Pending()
	d.pending.Store(&counts)
}

// carryOut sends orders; each answer comes back as an event.
func (d *Duty) carryOut(ctx context.Context, orders shard.Orders, now time.Time) {
	for _, hold := range orders.Holds {
		d.deps.Group.Go("look", func(context.Context) error {
			glance, err := d.deps.Workers.Hold(ctx, hold.Worker, hold.Renewal)
			d.pushLogged(func(d *Duty, at time.Time) { d.core.Held(hold, now, at, glance, err) })
			return nil
		})
	}
	for _, lookup := range orders.Lookups {
		d.askLookup(lookup)
	}
	for _, start := range orders.Starts {
		d.deps.Group.Go("start", func(context.Context) error {
			heard, err := d.deps.Workers.Start(ctx, start.Worker, start.Order)
			d.pushLogged(func(d *Duty, at time.Time) { d.core.Started(start, at, heard, err) })
			return nil
		})
	}
	for _, pace := range orders.Paces {
		d.deps.Group.Go("pace", func(context.Context) error {
			_, err := d.deps.Workers.Pace(ctx, pace.Worker, pace.Task, pace.Run, pace.Percent, pace.Fence)
			d.pushLogged(func(d *Duty, _ time.Time) { d.core.Paced(pace, err) })
			return nil
		})
	}
	for _, ask := range orders.Asks {
		d.deps.Group.Go("advice", func(context.Context) error {
			tickets, err := d.deps.Advice.Ask(ctx, ask.Step, ask.Workers)
			d.pushLogged(func(d *Duty, at time.Time) { d.core.Advised(ask, tickets, err, at) })
			return nil
		})
	}
	for _, stop := range orders.Stops {
		d.deps.Group.Go("stop", func(context.Context) error {
			heard, err := d.deps.Workers.Stop(ctx, stop.Worker, stop.Task, stop.Run, stop.Fence)
			d.pushLogged(func(d *Duty, at time.Time) { d.core.Stopped(stop, at, heard, err) })
			return nil
		})
	}
}
