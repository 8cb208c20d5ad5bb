package owner

import (
	"context"
	"errors"
	"log/slog"
	"net/netip"
	"strings"
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

	Clock    clock.Clock
	Group    *kernel.Group
	Log      *slog.Logger
	Table    outside.Table
	Workers  outside.Workers
	Catalog  func() *catalog.Catalog
	Registry *Registry
	Options  shard.Options

	// Advice knows which workers may run the steps of some queues.
	Advice outside.Advice

	// Instances and Waves are what the duty for the instances works with.
	Instances outside.Instances
	Waves     WaveSource

	// Loads asks the owner of a service, wherever it runs.
	Loads func(ctx context.Context, service string, closed, ended []string) (shard.Load, error)

	// Holder is how this entry is named at the instances.
	Holder string

	// Site holds the platform's bounds.
	Site site.Settings
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

	committing bool
	released   chan struct{}
	releasing  bool

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
		deps:     deps,
		service:  service,
		tenure:   newTenure(deps, service, won, now),
		events:   ring.New[event](eventsMost),
		released: make(chan struct{}),
		over:     make(chan struct{}),
	}
	options.Report = func(event string, fields ...any) {
		log.Info(event, fields...)
	}
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
	d.core = shard.New(service, won.epoch, won.version, now, options)
	d.core.Inherit(won.before.Lapsed)
	return d
}

// Offer tells the duty of an accepted job.
func (d *Duty) Offer(record shard.Record, version int64, first bool) error {
	return d.push(func(d *Duty, now time.Time) {
		d.core.Accept(record, version, first, now)
	})
}

// Submit takes in a job that is handed in at this owner, and returns once its
// record stands. A *outside.NotDoneError says that it was not taken, any other
// error leaves that open.
func (d *Duty) Submit(ctx context.Context, record shard.Record) error {
	answer := make(chan bool, 1)
	err := d.push(func(d *Duty, _ time.Time) {
		if d.releasing || d.tenure.failing() {
			answer <- false
			return
		}
		d.core.Submit(record, func(taken bool) { answer <- taken })
	})
	if err != nil {
		return &outside.NotDoneError{
			Call:   "handing in at the owner of " + d.service,
			Reason: err.Error(),
		}
	}
	select {
	case taken := <-answer:
		if taken {
			return nil
		}
		return &outside.NotDoneError{
			Call:   "handing in at the owner of " + d.service,
			Reason: "it writes nothing now",
		}
	case <-d.over:
		return &outside.UncertainError{
			Call: "handing in at the owner of " + d.service,
			Cause: &LostError{
				Part:   d.service,
				Reason: "the duty has ended",
			},
		}
	case <-ctx.Done():
		return &outside.UncertainError{
			Call:  "handing in at the owner of " + d.service,
			Cause: ctx.Err(),
		}
	}
}

// WriteAge returns how long ago the duty last wrote.
func (d *Duty) WriteAge() time.Duration {
	return d.tenure.age()
}

// State returns what callers may be told of a job.
func (d *Duty) State(id string) (job.State, bool) {
	state, found := d.shown.Load(id)
	if !found {
		return "", false
	}
	shown, ok := state.(job.State)
	return shown, ok
}

// Pending returns how many jobs of a route have not begun; it reports false
// while the duty is still reading its rows.
func (d *Duty) Pending(route string) (int, bool) {
	counts := d.pending.Load()
	if counts == nil {
		return 0, false
	}
	return (*counts)[route], true
}

// Load tells the duty which workers are closed and which have ended, and returns
// what the service needs and has.
func (d *Duty) Load(ctx context.Context, closed, ended []string) (shard.Load, error) {
	answer := make(chan shard.Load, 1)
	err := d.push(func(d *Duty, now time.Time) {
		d.core.End(ended, now)
		d.core.SetClosed(closed, now)
		answer <- d.core.Load(now)
	})
	if err != nil {
		return shard.Load{}, err
	}
	select {
	case load := <-answer:
		return load, nil
	case <-ctx.Done():
		return shard.Load{}, ctx.Err()
	}
}

// Cancel withdraws a job and waits until the table says so. It reports false
// where the job is not known here.
func (d *Duty) Cancel(ctx context.Context, id string) (bool, error) {
	written := make(chan bool, 1)
	err := d.push(func(d *Duty, now time.Time) {
		if !d.core.Cancel(id, now, func() { written <- true }) {
			written <- false
		}
	})
	if err != nil {
		return false, err
	}
	select {
	case known := <-written:
		return known, nil
	case <-ctx.Done():
		return true, ctx.Err()
	}
}

func (d *Duty) push(e event) error {
	return d.events.Push(e)
}

// run works until the context ends, the shard is released, or it is lost.
func (d *Duty) run(ctx context.Context) error {
	ctx, d.cancel = context.WithCancel(ctx)
	defer d.cancel()
	defer close(d.over)
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
		if err := d.lost(now); err != nil {
			return err
		}
		next := now.Add(beatPause)
		if !d.releasing {
			orders, wake := d.core.Next(now)
			d.carryOut(ctx, orders, now)
			next = wake
		}
		d.commit(ctx, now)
		d.publish()
		took := d.deps.Clock.Now().Sub(now)
		rest = min(loopRestMost, max(loopRest, loopRestFactor*took))
		timer.Reset(max(time.Millisecond, next.Sub(now)))
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

// load reads every row of the service.
func (d *Duty) load(ctx context.Context) (int64, error) {
	records, since, err := d.deps.Table.ReadAll(ctx, prefixIntake+d.service, d.service)
	if err != nil {
		return 0, err
	}
	rows, _, err := d.deps.Table.ReadAll(ctx, tableProgress, d.service)
	if err != nil {
		return 0, err
	}
	used, _, err := d.deps.Table.ReadAll(ctx, tableUsed, d.service)
	if err != nil {
		return 0, err
	}
	now := d.deps.Clock.Now()
	d.inherit(used, now)
	progress := make(map[string]*shard.Progress, len(rows))
	for _, row := range rows {
		p, err := shard.DecodeProgress(row.Value)
		if err != nil {
			d.deps.Log.Error("row left out", "table", row.Key.Table, "key", row.Key.Name, "error", err)
			continue
		}
		progress[row.Key.Name] = &p
		if p.State.Final() {
			d.core.RestoreEnded(row.Key.Name, p)
		}
	}
	for _, row := range records {
		if strings.HasPrefix(row.Key.Name, prefixCancel) {
			continue
		}
		record, err := shard.DecodeRecord(row.Value)
		if err == nil {
			err = d.core.Restore(record, progress[row.Key.Name], now)
		}
		if err != nil {
			d.deps.Log.Error("row left out", "table", row.Key.Table, "key", row.Key.Name, "error", err)
		}
	}
	for _, row := range records {
		if id, found := strings.CutPrefix(row.Key.Name, prefixCancel); found {
			d.core.CancelByRow(id, now)
		}
	}
	d.deps.Log.Info("shard loaded", "service", d.service, "epoch", d.tenure.epoch, "records", len(records), "progress", len(rows))
	return since, nil
}

// inherit takes in the workers that the owner before may have given tasks.
func (d *Duty) inherit(rows []outside.Row, now time.Time) {
	for _, row := range rows {
		address, err := netip.ParseAddrPort(string(row.Value))
		if err != nil {
			d.deps.Log.Error("row left out", "table", row.Key.Table, "key", row.Key.Name, "error", err)
			continue
		}
		d.core.InheritWorker(outside.WorkerRef{
			ID:      row.Key.Name,
			Address: address,
		}, now)
	}
}

// watchIntake looks for jobs and cancellations that nobody told the owner of.
func (d *Duty) watchIntake(ctx context.Context, since int64) error {
	for clock.Sleep(ctx, intakePause) {
		change, err := d.deps.Table.Feed(ctx, prefixIntake+d.service, since, 0)
		var gone *outside.HistoryGoneError
		if errors.As(err, &gone) {
			rows, version, readErr := d.deps.Table.ReadAll(ctx, prefixIntake+d.service, d.service)
			change = outside.Change{
				Rows:    rows,
				Version: version,
			}
			err = readErr
		}
		if err != nil {
			d.deps.Log.Warn("changes of jobs not read", "service", d.service, "error", err.Error())
			continue
		}
		since = change.Version
		for _, row := range change.Rows {
			d.takeRow(row)
		}
	}
	return nil
}

func (d *Duty) takeRow(row outside.Row) {
	if row.Gone {
		return
	}
	if id, found := strings.CutPrefix(row.Key.Name, prefixCancel); found {
		d.pushLogged(func(d *Duty, now time.Time) { d.core.CancelByRow(id, now) })
		return
	}
	if _, known := d.shown.Load(row.Key.Name); known {
		return
	}
	record, err := shard.DecodeRecord(row.Value)
	if err != nil {
		d.deps.Log.Error("row left out", "table", row.Key.Table, "key", row.Key.Name, "error", err)
		return
	}
	d.pushLogged(func(d *Duty, now time.Time) { d.core.Accept(record, row.Version, false, now) })
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
			d.pushLogged(func(d *Duty, at time.Time) { d.core.Held(hold.Worker.ID, now, at, glance, err) })
			return nil
		})
	}
	for _, start := range orders.Starts {
		d.deps.Group.Go("start", func(context.Context) error {
			heard, err := d.deps.Workers.Start(ctx, start.Worker, start.Order)
			d.pushLogged(func(d *Duty, at time.Time) { d.core.Started(start.Worker.ID, start.Order, at, heard, err) })
			return nil
		})
	}
	for _, pace := range orders.Paces {
		d.deps.Group.Go("pace", func(context.Context) error {
			_, err := d.deps.Workers.Pace(ctx, pace.Worker, pace.Task, pace.Run, pace.Percent, d.tenure.epoch)
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
			heard, err := d.deps.Workers.Stop(ctx, stop.Worker, stop.Task, stop.Run, d.tenure.epoch)
			d.pushLogged(func(d *Duty, at time.Time) {
				d.core.Stopped(stop.Worker.ID, stop.Task, stop.Run, at, heard, err)
			})
			return nil
		})
	}
}
