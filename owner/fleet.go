package owner

import (
	"context"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"lemonstream.dev/lemonstream/outside"
	"lemonstream.dev/lemonstream/pool"
)

const (
	// partInstances is the partition whose owner is the instance controller. No service
	// can have this name.
	partInstances = "/instances"

	// tableWaves holds the progress of each wave.
	tableWaves = "wave"

	// controlInterval is the time between two rounds of the instance controller. Demand
	// doubles within a second or two, and a move takes longer than that.
	controlInterval = 200 * time.Millisecond

	// listInterval is the minimum time between two reads of the instance list. Each read
	// costs as much as a call to the store.
	listInterval = 400 * time.Millisecond

	// bitsPerInstance is the size of one instance in the list, in bits. maxListLinkShare is
	// the share of the entry's link that reading the list may use. Without this bound, 145
	// instances would use a third of a 2 Mbit/s link, which the load requests need as well.
	bitsPerInstance  = 8 * 260
	maxListLinkShare = 0.2

	// maxListAgeIntervals is the maximum age of the list, in list intervals, at which
	// orders may still be based on it.
	maxListAgeIntervals = 4

	// loadTimeout is the timeout of a request for a service's load.
	loadTimeout = 300 * time.Millisecond

	// maxOrderWriteAge is the maximum age of the last write at which an order may still be
	// sent to an instance. The next owner waits several times longer before its first order,
	// so that an owner that was suspended sends none when it resumes.
	maxOrderWriteAge = time.Second

	// orderRateWindow is the window over which the platform limits the number of orders.
	orderRateWindow = time.Second

	// maxOrderedShare is the share of a row that recently ordered instances may take up in
	// the heartbeat. orderedEntryBytes is the size of one of them: its name and the encoding.
	maxOrderedShare   = 0.5
	orderedEntryBytes = 16

	// staleOrderWindow is how long after a claim a previous controller that may still be
	// running may send orders. It sends its last order at most maxOrderWriteAge after its
	// last write, and was observed not to write for silenceTimeout.
	staleOrderWindow = maxOrderWriteAge - silenceTimeout

	// staleOrderMargin is the time between the last possible order of the previous
	// controller and the first order of this one. An order that has not arrived by then
	// never will. The instances that the previous controller ordered stay blocked for the
	// platform's own pause (Site.HolderPause).
	staleOrderMargin = 300 * time.Millisecond

	// endedRetention is how long service owners are notified of a worker whose instance was
	// taken. It is longer than the lifetime of a registration.
	endedRetention = 8 * time.Second

	// maxOpenWaves is the maximum number of waves in progress at one time.
	maxOpenWaves = 8
)

// WaveSource reads waves and specifies where their state is published.
type WaveSource struct {
	// Waves returns the requests in the operator's table.
	Waves func() []outside.Wave

	// StatusKey returns the key of the row that shows the state of a wave, and Status
	// returns its value.
	StatusKey func(number int64) outside.Key
	Status    func(completed bool) []byte
}

// waveRow is the stored progress of a wave.
type waveRow struct {
	// SeenMillis is when the wave was first seen, in milliseconds since 1970.
	SeenMillis int64    `cbor:"1,keyasint"`
	Done       []string `cbor:"2,keyasint"`
	Completed  bool     `cbor:"3,keyasint"`
}

// waveState is the state of one wave in memory.
type waveState struct {
	pool.Wave

	completed bool

	// written reports whether the stored row, or the one being written, is up to date. shown
	// reports whether the operator's table shows the stored state.
	written bool
	shown   bool

	// stored says that a row is stored, and storedCompleted that it shows the wave as completed.
	stored          bool
	storedCompleted bool
}

// instanceController moves instances between pools and takes them down for maintenance.
// One entry runs it at a time.
type instanceController struct {
	deps   Deps
	tenure *tenure
	sizer  *pool.Sizer

	waves     map[int64]*waveState
	instances []outside.Instance
	listed    time.Time

	// closed and ended are sent to the service owners with each load request. ended maps a
	// service to its ended worker incarnations and the time at which each was recorded. An
	// incarnation is kept for endedRetention, longer than its registration may last.
	closed map[string][]string
	ended  map[string]map[string]time.Time

	// loadsRequestedAt is when the loads that the last plan is based on were requested.
	loadsRequestedAt time.Time

	// fences holds the fencing token of each service owner that reported its load.
	fences map[string]int64

	// writing is the transaction whose result is not known yet; nil if there is none. publishing
	// receives the results of writing the states of waves; nil if none is written.
	writing    *fleetWrite
	publishing chan []publishedWave

	// announced maps the instances that the last applied row announces, and that were not ordered
	// since, to their workers.
	announced map[string]string

	// unnamed holds the instances that were ordered without a write and that no applied row names
	// yet. All of them are in lastOrders.
	unnamed map[string]bool

	// sleepingPools holds the pools whose instances are off.
	sleepingPools map[string]bool

	// mayAct and informWitnesses are those of the tenure, except in tests.
	mayAct          func(base time.Duration) bool
	informWitnesses func(ctx context.Context, instances []string) error

	// maxInstances is how many instances each service could have, by the last plan.
	maxInstances map[string]int

	// loggedTargets holds the target size that was last logged for each pool.
	loggedTargets map[string]int

	// lastOrders maps an instance to the time of its last order. It is written to the
	// heartbeat for the next controller.
	lastOrders map[string]time.Time

	// orderedAt is when the last orders were sent.
	orderedAt time.Time

	// noOrdersUntil is the time before which no order is sent, because the previous
	// controller may have sent one shortly before.
	noOrdersUntil time.Time

	// blockedUntil is the time until which instances stay blocked that were ordered by a
	// previous controller that may still be running. It is zero if there is none.
	blockedUntil time.Time

	// forecastActive is whether the demand was forecast in the last round. history is the
	// demand history that the heartbeat carries, and historyAt when it was encoded.
	forecastActive bool
	history        cbor.RawMessage
	historyAt      time.Time

	stop     chan struct{}
	stopOnce sync.Once
	released chan struct{}
}

// sizerOptions returns the options of the pool sizer.
func (d Deps) sizerOptions() pool.Options {
	return pool.Options{
		MoveTime:     d.Site.MoveTime,
		MaintainTime: d.Site.MaintainTime,
		MoveCost:     d.MoveCost,
		Forecast:     d.ForecastDemand,
	}
}

// newInstanceController returns the controller of an entry that has claimed the instances.
// Instances that were ordered by a previous controller that may still be running are blocked
// for blockFor, or for the time remaining in the heartbeat of the previous controller if that
// is longer: it may itself have waited for an earlier one.
func newInstanceController(deps Deps, won claim, now time.Time, blockFor time.Duration) *instanceController {
	f := &instanceController{
		deps:          deps,
		tenure:        newTenure(deps, partInstances, won, now),
		sizer:         pool.NewSizer(deps.sizerOptions()),
		waves:         make(map[int64]*waveState),
		closed:        make(map[string][]string),
		ended:         make(map[string]map[string]time.Time),
		loggedTargets: make(map[string]int),
		lastOrders:    make(map[string]time.Time),
		unnamed:       make(map[string]bool),
		stop:          make(chan struct{}),
		released:      make(chan struct{}),

		orderedAt: now,
	}
	f.mayAct = f.tenure.mayAct
	f.informWitnesses = f.tenure.informWitnesses
	if deps.Promises.MayAct != nil {
		f.mayAct = deps.Promises.MayAct
	}
	if deps.Promises.Inform != nil {
		f.informWitnesses = deps.Promises.Inform
	}
	f.restoreTaken(won.before.Taken, now)
	f.restoreHistory(won.before.History, won.read)
	f.noOrdersUntil = now.Add(staleOrderMargin)
	if inherited := time.Duration(won.before.UnobservedMillis) * time.Millisecond; inherited > 0 {
		f.blockedUntil = won.read.Add(inherited)
	}
	if until := now.Add(blockFor); blockFor > 0 && until.After(f.blockedUntil) {
		f.blockedUntil = until
	}
	if f.blockedUntil.IsZero() {
		return f
	}
	// The platform's pause begins after the last order that a previous controller may send.
	if last := f.blockedUntil.Add(staleOrderMargin - deps.Site.HolderPause); last.After(f.noOrdersUntil) {
		f.noOrdersUntil = last
	}
	for _, instance := range won.before.Ordered {
		f.sizer.Block(instance, f.blockedUntil)
		// The next controller may take over before the pause has passed.
		f.lastOrders[instance] = now
	}
	deps.Log.Info("instances left alone", "epoch", won.epoch, "count", len(won.before.Ordered), "ms", f.blockedUntil.Sub(now).Milliseconds())
	return f
}

// run runs the controller until ctx ends, or until ownership is released or lost.
func (f *instanceController) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if err := f.loadWaves(ctx); err != nil {
		return err
	}
	defer f.endForecast()
	// Watching keeps the registry of this entry up to date: service owners read the
	// registrations through it.
	defer f.deps.Registry.Watch(partInstances, Watcher{
		Changed: func(Listing) {},
	})()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-f.stop:
			err := f.writeRelease(ctx)
			close(f.released)
			return err
		case <-f.deps.Clock.After(controlInterval):
		}
		if err := f.reconcile(ctx); err != nil {
			return err
		}
	}
}

// release stops the controller and waits until its release is written, at most for wait.
func (f *instanceController) release(ctx context.Context, wait time.Duration) {
	f.stopOnce.Do(func() { close(f.stop) })
	select {
	case <-f.released:
	case <-ctx.Done():
	case <-f.deps.Clock.After(wait):
	}
}

// reconcile observes the fleet, computes a plan and sends its orders once. It goes on while the
// heartbeat can't be written: then only sleeping instances are ordered, see informed.
func (f *instanceController) reconcile(ctx context.Context) error {
	if err := f.pollWrite(); err != nil {
		return err
	}
	if err := f.checkLost(); err != nil {
		return err
	}
	f.updateWaves()
	now := f.deps.Clock.Now()
	// The last orders of the previous controller are visible only in a list that is read
	// after it could send no more orders.
	early := now.After(f.noOrdersUntil) && f.listed.Before(f.noOrdersUntil)
	if early || now.Sub(f.listed) >= f.listInterval() {
		list, err := f.deps.Instances.List(ctx)
		if err != nil {
			f.deps.Log.Warn("failed to list instances", "error", err.Error())
		} else {
			f.instances = list
			f.listed = f.deps.Clock.Now()
		}
	}
	f.loadsRequestedAt = f.deps.Clock.Now()
	view := pool.View{
		Services:  f.collectLoads(ctx),
		Instances: f.instances,
		Now:       f.deps.Clock.Now(),
		Evacuated: f.deps.Options.Evacuated,
	}
	away := f.isStoreAway()
	view.SleepingFirst = away && f.deps.OrderInOutage
	if f.tenure.age() <= maxOrderWriteAge {
		// Maintenance waits for the store, so no worker is closed for it meanwhile.
		view.Waves = f.openWaves()
	}
	if f.isOperatorKnown() && view.Now.Sub(f.listed) < maxListAgeIntervals*f.listInterval() {
		plan := f.sizer.Plan(view)
		f.closed = plan.Closed
		for _, ended := range plan.Ended {
			f.noteEnded(ended.Pool, ended.Worker, view.Now)
		}
		f.maxInstances = plan.MaxInstances
		f.logTargets(view, plan)
		f.reportForecast()
		if view.Now.After(f.noOrdersUntil) && f.listed.After(f.noOrdersUntil) {
			if err := f.sendOrders(ctx, plan, away); err != nil {
				return err
			}
		}
	}
	f.completeWaves()
	f.writeIfDue(ctx)
	f.publishWaves(ctx)
	return nil
}

// isOperatorKnown reports whether instances may be ordered by what is known of the operator's table:
// services, evacuated zones and maintenance.
func (f *instanceController) isOperatorKnown() bool {
	return f.deps.Usable == nil || f.deps.Usable()
}

// listInterval returns the time between two reads of the instance list.
func (f *instanceController) listInterval() time.Duration {
	if f.deps.Site.LinkBits <= 0 {
		return listInterval
	}
	bits := float64(len(f.instances) * bitsPerInstance)
	return max(listInterval, time.Duration(bits/(maxListLinkShare*f.deps.Site.LinkBits)*float64(time.Second)))
}

// logTargets logs the size of each pool whose target changed, with the load behind it.
func (f *instanceController) logTargets(view pool.View, plan pool.Plan) {
	for _, service := range view.Services {
		target := plan.Targets[service.Name]
		if service.Asleep || target == f.loggedTargets[service.Name] {
			continue
		}
		f.loggedTargets[service.Name] = target
		f.deps.Log.Info("pool sized", "service", service.Name, "target", target, "count", plan.Counts[service.Name],
			"known", service.Known, "used_cpu", service.Load.Used.MilliCPU, "waiting_cpu", service.Load.Waiting.MilliCPU,
			"coming_cpu", service.Load.Coming.MilliCPU, "spread", service.Load.Spread, "closed", len(plan.Closed[service.Name]),
			"list_age_ms", view.Now.Sub(f.listed).Milliseconds())
	}
}

// collectLoads requests the load of every service from its owner. Each request carries the
// closed workers, the ended incarnations and the maximum number of instances.
func (f *instanceController) collectLoads(ctx context.Context) []pool.Service {
	configured := f.deps.Catalog().Services
	list := make([]pool.Service, len(configured))
	f.sleepingPools = make(map[string]bool)
	var all sync.WaitGroup
	for i, service := range configured {
		f.sleepingPools[service.Name] = service.Asleep
		list[i] = pool.Service{
			Name:   service.Name,
			Asleep: service.Asleep,
		}
		ended := f.endedWorkers(service.Name)
		all.Add(1)
		f.deps.Group.Go("load", func(context.Context) error {
			defer all.Done()
			bounded, cancel := context.WithTimeout(ctx, loadTimeout)
			defer cancel()
			load, err := f.deps.RequestLoad(bounded, service.Name, Directive{
				Closed: f.closed[service.Name],
				Ended:  ended,
				Most:   f.maxInstances[service.Name],
			})
			if err != nil {
				f.deps.Log.Info("failed to get service load", "service", service.Name, "error", err.Error())
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

// endedWorkers returns the workers of a service whose instances were taken recently.
func (f *instanceController) endedWorkers(service string) []string {
	now := f.deps.Clock.Now()
	var list []string
	for worker, since := range f.ended[service] {
		if now.Sub(since) > endedRetention {
			delete(f.ended[service], worker)
			continue
		}
		list = append(list, worker)
	}
	return list
}

// statusBadRequest is the HTTP status for an order that can never be carried out.
const statusBadRequest = 400
