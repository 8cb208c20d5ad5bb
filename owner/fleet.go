package owner

import (
	"context"
	"sync"
	"time"

	"lemonstream.dev/lemonstream/outside"
	"lemonstream.dev/lemonstream/pool"
)

const (
	// partInstances is the part of the table whose owner orders the instances
	// about. It can't be the name of a service.
	partInstances = "/instances"

	// tableWaves holds how far each wave has come.
	tableWaves = "wave"

	// fleetPause is the time between two rounds of the instances' duty. Demand
	// doubles within a second or two, and a move takes longer than that.
	fleetPause = 200 * time.Millisecond

	// listPause is the shortest time between two readings of the list of instances, each
	// of which is priced like a call to the store.
	listPause = 400 * time.Millisecond

	// instanceBits is what an instance takes in that list, in bits, and listShare the
	// part of the entry's link that reading it may take: 145 instances would take a
	// third of 2 Mbit/s, which the loads of the services need as well.
	instanceBits = 8 * 260
	listShare    = 0.2

	// listAges is how many pauses old the list may be for instances to be ordered by it.
	listAges = 4

	// loadTimeout bounds the question for a service's load.
	loadTimeout = 300 * time.Millisecond

	// orderFresh is how old the last write may be for an order to an instance to
	// be given. A successor waits several times longer before its first order,
	// so that an owner that was frozen gives none when it wakes.
	orderFresh = time.Second

	// orderSpan is the span of which the platform counts the orders.
	orderSpan = time.Second

	// orderedShare is the part of a row that the instances which were ordered lately may take
	// in the beat, each orderedBytes: its name, and what encodes it.
	orderedShare = 0.5
	orderedBytes = 16

	// aliveFor is how long after a claim a holder before that may live may still
	// give an order: it gave its last one at most orderFresh after its last write,
	// and was seen not to write for silentWrites.
	aliveFor = orderFresh - silentWrites

	// endedPause is how long after the last possible order of the holder before the
	// first one is given: what that sent has arrived by then, or never will. The
	// instances that it had ordered are left alone for the platform's own pause.
	endedPause = 300 * time.Millisecond

	// endedFor is how long the owners are told of a worker whose instance was
	// taken: longer than its registration stands.
	endedFor = 8 * time.Second

	// waveRounds bounds the waves that are worked on at one time.
	waveRounds = 8
)

// WaveSource is where waves come from and where their state is shown.
type WaveSource struct {
	// Waves returns the requests that stand in the operator's table.
	Waves func() []outside.Wave

	// StatusKey names the row that shows the state of a wave, and Status is its
	// value.
	StatusKey func(number int64) outside.Key
	Status    func(completed bool) []byte
}

// waveRow is the row of how far a wave has come.
type waveRow struct {
	// SeenMillis is when the wave was first seen, since 1970.
	SeenMillis int64    `cbor:"1,keyasint"`
	Done       []string `cbor:"2,keyasint"`
	Completed  bool     `cbor:"3,keyasint"`
}

// waveState is one wave in memory.
type waveState struct {
	pool.Wave

	completed bool

	// written says that the row shows what is known; shown that the operator
	// was told that the wave is under way.
	written bool
	shown   bool
}

// fleet is the duty that moves instances between pools and takes them down for
// maintenance. One entry has it at a time.
type fleet struct {
	deps   Deps
	tenure *tenure
	sizer  *pool.Sizer

	waves     map[int64]*waveState
	instances []outside.Instance
	listed    time.Time

	// closed and ended are told to the owners with each question. An incarnation of a
	// worker stands in ended, by its name, for as long as its registration may.
	closed map[string][]string
	ended  map[string]map[string]time.Time

	// asked is when the owners were last asked for their loads, which the last plan goes by.
	asked time.Time

	// fences holds the fence of each owner that told its load; given names the workers whose
	// instances are about to be ordered by those loads.
	fences map[string]int64
	given  []GivenRow

	// most is how many instances each service could have, by the last plan.
	most map[string]int

	// targets is what was last logged of each pool's size.
	targets map[string]int

	// recent holds when each instance was last ordered to do something, for the
	// successor.
	recent map[string]time.Time

	// orderedAt is when the last orders were given.
	orderedAt time.Time

	// quietUntil is until when no order is given, because the holder before may
	// have given one just now.
	quietUntil time.Time

	// aloneUntil is until when what a holder before ordered that may live is left
	// alone; zero where there is none.
	aloneUntil time.Time

	stop     chan struct{}
	stopOnce sync.Once
	released chan struct{}
}

// sizing returns what pools are sized by.
func (d Deps) sizing() pool.Options {
	return pool.Options{
		MoveTime:     d.Site.MoveTime,
		MaintainTime: d.Site.MaintainTime,
		MoveCost:     d.MoveCost,
	}
}

// newFleet returns the duty of a holder that has won the instances. What any holder before
// that may live has ordered is left alone for aloneFor, or for what is left by the word of
// the holder just before, which may itself have waited for one.
func newFleet(deps Deps, won claim, now time.Time, aloneFor time.Duration) *fleet {
	f := &fleet{
		deps:     deps,
		tenure:   newTenure(deps, partInstances, won, now),
		sizer:    pool.NewSizer(deps.sizing()),
		waves:    make(map[int64]*waveState),
		closed:   make(map[string][]string),
		ended:    make(map[string]map[string]time.Time),
		targets:  make(map[string]int),
		recent:   make(map[string]time.Time),
		stop:     make(chan struct{}),
		released: make(chan struct{}),

		orderedAt: now,
	}
	f.inheritTaken(won.before.Taken, now)
	f.quietUntil = now.Add(endedPause)
	if inherited := time.Duration(won.before.BlindMillis) * time.Millisecond; inherited > 0 {
		f.aloneUntil = won.read.Add(inherited)
	}
	if until := now.Add(aloneFor); aloneFor > 0 && until.After(f.aloneUntil) {
		f.aloneUntil = until
	}
	if f.aloneUntil.IsZero() {
		return f
	}
	// The platform's pause follows the last order that one of them may give.
	if last := f.aloneUntil.Add(endedPause - deps.Site.HolderPause); last.After(f.quietUntil) {
		f.quietUntil = last
	}
	for _, instance := range won.before.Ordered {
		f.sizer.Block(instance, f.aloneUntil)
		// The next successor may come before the pause has passed.
		f.recent[instance] = now
	}
	deps.Log.Info("instances left alone", "epoch", won.epoch, "count", len(won.before.Ordered), "ms", f.aloneUntil.Sub(now).Milliseconds())
	return f
}

// run works until ctx ends, the duty is released, or it is lost.
func (f *fleet) run(ctx context.Context) error {
	if err := f.load(ctx); err != nil {
		return err
	}
	// The owners of services follow the registrations through this entry.
	defer f.deps.Registry.Watch(partInstances, func(Listing) {})()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-f.stop:
			err := f.write(ctx, true)
			close(f.released)
			return err
		case <-f.deps.Clock.After(fleetPause):
		}
		if err := f.round(ctx); err != nil {
			return err
		}
	}
}

// release hands the duty over.
func (f *fleet) release(ctx context.Context, wait time.Duration) {
	f.stopOnce.Do(func() { close(f.stop) })
	select {
	case <-f.released:
	case <-ctx.Done():
	case <-f.deps.Clock.After(wait):
	}
}

// round looks, decides and orders once.
func (f *fleet) round(ctx context.Context) error {
	f.takeWaves()
	now := f.deps.Clock.Now()
	// What the holder before ordered last shows only in a list that is read after
	// it could give no more orders.
	early := now.After(f.quietUntil) && f.listed.Before(f.quietUntil)
	if early || now.Sub(f.listed) >= f.listPause() {
		list, err := f.deps.Instances.List(ctx)
		if err != nil {
			f.deps.Log.Warn("instances not listed", "error", err.Error())
		} else {
			f.instances = list
			f.listed = f.deps.Clock.Now()
		}
	}
	f.asked = f.deps.Clock.Now()
	view := pool.View{
		Services:  f.services(ctx),
		Instances: f.instances,
		Waves:     f.openWaves(),
		Now:       f.deps.Clock.Now(),
		Evacuated: f.deps.Options.Evacuated,
	}
	if view.Now.Sub(f.listed) < listAges*f.listPause() {
		plan := f.sizer.Plan(view)
		f.closed = plan.Closed
		f.most = plan.Most
		f.report(view, plan)
		if view.Now.After(f.quietUntil) && f.listed.After(f.quietUntil) {
			if err := f.order(ctx, plan); err != nil {
				return err
			}
		}
	}
	f.completeWaves()
	return f.write(ctx, false)
}

// listPause returns the time between two readings of the list of instances.
func (f *fleet) listPause() time.Duration {
	if f.deps.Site.LinkBits <= 0 {
		return listPause
	}
	bits := float64(len(f.instances) * instanceBits)
	return max(listPause, time.Duration(bits/(listShare*f.deps.Site.LinkBits)*float64(time.Second)))
}

// report logs the size of each pool whose target changed, and why.
func (f *fleet) report(view pool.View, plan pool.Plan) {
	for _, service := range view.Services {
		target := plan.Targets[service.Name]
		if service.Asleep || target == f.targets[service.Name] {
			continue
		}
		f.targets[service.Name] = target
		f.deps.Log.Info("pool sized", "service", service.Name, "target", target, "count", plan.Counts[service.Name],
			"known", service.Known, "used_cpu", service.Load.Used.MilliCPU, "waiting_cpu", service.Load.Waiting.MilliCPU,
			"coming_cpu", service.Load.Coming.MilliCPU, "spread", service.Load.Spread, "closed", len(plan.Closed[service.Name]),
			"list_age_ms", view.Now.Sub(f.listed).Milliseconds())
	}
}

// services asks every owner for its load and tells it what is closed.
func (f *fleet) services(ctx context.Context) []pool.Service {
	configured := f.deps.Catalog().Services
	list := make([]pool.Service, len(configured))
	var all sync.WaitGroup
	for i, service := range configured {
		list[i] = pool.Service{
			Name:   service.Name,
			Asleep: service.Asleep,
		}
		ended := f.endedOf(service.Name)
		all.Add(1)
		f.deps.Group.Go("load", func(context.Context) error {
			defer all.Done()
			bounded, cancel := context.WithTimeout(ctx, loadTimeout)
			defer cancel()
			load, err := f.deps.Loads(bounded, service.Name, Directive{
				Closed: f.closed[service.Name],
				Ended:  ended,
				Most:   f.most[service.Name],
			})
			if err != nil {
				f.deps.Log.Info("load not known", "service", service.Name, "error", err.Error())
				return nil
			}
			list[i].Load = load
			list[i].Known = true
			return nil
		})
	}
	all.Wait()
	f.fences = make(map[string]int64, len(list))
	for _, service := range list {
		f.fences[service.Name] = service.Load.Fence
	}
	return list
}

// endedOf returns the workers of a service whose instances were taken lately.
func (f *fleet) endedOf(service string) []string {
	now := f.deps.Clock.Now()
	var list []string
	for worker, since := range f.ended[service] {
		if now.Sub(since) > endedFor {
			delete(f.ended[service], worker)
			continue
		}
		list = append(list, worker)
	}
	return list
}

// statusBadRequest is the answer to an order that can never be carried out.
const statusBadRequest = 400
