package shard_test

import (
	"fmt"
	"slices"
	"time"

	"lemonstream.dev/lemonstream/job"
	"lemonstream.dev/lemonstream/outside"
	"lemonstream.dev/lemonstream/pool"
	"lemonstream.dev/lemonstream/shard"
)

const (
	// testPool and testAsleep are the pools of these instances.
	testPool   = "s"
	testAsleep = "asleep"

	// testMove is how long an instance is dark while it moves, testMaintain while it is
	// maintained.
	testMove     = 1500 * time.Millisecond
	testMaintain = 2 * time.Second

	// holderPause is the time between two rounds of the holder of the instances, and
	// holderFresh how old its last write may be when it gives an order.
	holderPause = 200 * time.Millisecond
	holderFresh = time.Second

	// orderFails is when an order without an answer is given up.
	orderFails = 900 * time.Millisecond

	// endedTold is how long owners are told of a worker whose instance was taken.
	endedTold = 8 * time.Second
)

// machine is one instance; worker is nil where none runs.
type machine struct {
	id     string
	pool   string
	state  outside.InstanceState
	worker *fakeWorker
}

// holder owns the instances: it asks the owner for its load, plans, announces and orders, as
// the duty for the instances does, in virtual time.
type holder struct {
	w        *world
	sizer    *pool.Sizer
	machines []*machine
	waves    []*pool.Wave
	closed   []string
	ended    map[string]time.Time
	nextAt   time.Time
	busy     bool

	// announces is how long it takes to write what is about to be ordered. loseOrders lets
	// every other order be carried out without an answer, and lateOrders that long after it
	// was given.
	announces  time.Duration
	loseOrders bool
	lateOrders time.Duration
	orders     int

	// taken counts the instances that were moved or taken down while awake.
	taken int
}

// asking is when an owner was asked for its load, and which one.
type asking struct {
	at    time.Time
	epoch int64
}

// testSizing is what holders size pools by.
var testSizing = pool.Options{
	MoveTime:     testMove,
	MaintainTime: testMaintain,
	MoveCost:     pool.DefaultMoveCost,
}

// newHolder returns a holder of an instance for each worker of the world, and of others that
// are asleep.
func newHolder(w *world, sleeping int) *holder {
	h := &holder{
		w:     w,
		sizer: pool.NewSizer(testSizing),
		ended: make(map[string]time.Time),
	}
	for _, id := range w.names() {
		h.machines = append(h.machines, &machine{
			id:     "m" + id,
			pool:   testPool,
			state:  outside.InstanceUp,
			worker: w.workers[id],
		})
	}
	for i := range sleeping {
		h.machines = append(h.machines, &machine{
			id:    fmt.Sprintf("z%d", i),
			pool:  testAsleep,
			state: outside.InstanceUp,
		})
	}
	w.holder = h
	return h
}

// act begins a round when one is due: it tells the owner what is closed, and asks it.
func (h *holder) act() {
	if h.busy || h.w.now.Before(h.nextAt) {
		return
	}
	h.busy = true
	asked := asking{
		at:    h.w.now,
		epoch: h.w.epoch,
	}
	list := h.list()
	load, known := h.ask()
	h.w.after(tick, func() { h.plan(list, load, known, asked) })
}

// ask tells the owner what the last plan closes, and returns its load.
func (h *holder) ask() (shard.Load, bool) {
	if h.w.ownerless {
		return shard.Load{}, false
	}
	var ended []string
	for name, at := range h.ended {
		if h.w.now.Sub(at) < endedTold {
			ended = append(ended, name)
		}
	}
	h.w.core.End(ended, h.w.now)
	h.w.core.SetClosed(h.closed, h.w.now)
	return h.w.core.Load(h.w.now), true
}

// list returns the instances as the platform lists them.
func (h *holder) list() []outside.Instance {
	var list []outside.Instance
	for _, m := range h.machines {
		one := outside.Instance{
			ID:    m.id,
			Pool:  m.pool,
			State: m.state,
			Capacity: job.Room{
				MilliCPU: 4000,
				MemoryMB: 4000,
			},
		}
		if m.worker != nil {
			one.Worker = m.worker.reg.ID
		}
		list = append(list, one)
	}
	return list
}

// plan makes a plan, and orders what it says once that is announced.
func (h *holder) plan(list []outside.Instance, load shard.Load, known bool, asked asking) {
	plan := h.sizer.Plan(pool.View{
		Now:       h.w.now,
		Instances: list,
		Waves:     h.waves,
		Services: []pool.Service{{
			Name:  testPool,
			Known: known,
			Load:  load,
		}, {
			Name:   testAsleep,
			Asleep: true,
		}},
	})
	h.closed = plan.Closed[testPool]
	if len(plan.Moves)+len(plan.Maintenances) == 0 {
		h.end()
		return
	}
	h.w.giving = givenBy(plan)
	h.w.after(h.announces, func() {
		waits := tick
		if h.w.now.Sub(asked.at) <= holderFresh && h.w.epoch == asked.epoch {
			waits = h.order(plan)
		}
		h.w.after(waits, h.end)
	})
}

// givenBy returns the workers whose instances a plan orders.
func givenBy(plan pool.Plan) []string {
	var list []string
	for _, move := range plan.Moves {
		list = append(list, move.Worker.Worker)
	}
	for _, one := range plan.Maintenances {
		list = append(list, one.Worker.Worker)
	}
	return list
}

func (h *holder) end() {
	h.w.giving = nil
	h.busy = false
	h.nextAt = h.w.now.Add(holderPause)
}

// order gives the orders of a plan; it returns when the last answer is in.
func (h *holder) order(plan pool.Plan) time.Duration {
	waits := 2 * tick
	for _, move := range plan.Moves {
		if h.give(move.Instance, move.To, move.From, move.Worker, 0) {
			waits = orderFails
		}
	}
	for _, one := range plan.Maintenances {
		if h.give(one.Instance, "", one.Pool, one.Worker, one.Wave) {
			waits = orderFails
		}
	}
	return waits + tick
}

// give gives one order; it reports whether that gets no answer.
func (h *holder) give(instance, to, from string, worker outside.Incarnation, wave int64) bool {
	h.orders++
	late := time.Duration(0)
	unanswered := h.loseOrders && h.orders%2 == 0
	if unanswered {
		late = h.lateOrders
	}
	h.w.after(tick+late, func() {
		done := h.carryOut(instance, to, wave)
		switch {
		case unanswered:
		case done:
			h.sizer.Ordered(instance, to, worker, wave, h.w.now)
			h.ended[worker.String()] = h.w.now
			h.noteDone(instance, wave)
		default:
			h.sizer.Refused(instance, to, false, h.w.now)
		}
	})
	if unanswered {
		h.w.after(orderFails, func() { h.sizer.Unsure(instance, from, to, worker, wave, h.w.now) })
	}
	return unanswered
}

func (h *holder) noteDone(instance string, number int64) {
	for _, wave := range h.waves {
		if wave.Number == number {
			wave.Done[instance] = true
		}
	}
}

// carryOut is what the platform does with an order: everything on the instance dies at once,
// and a new worker comes once it is back. It reports whether the order had, or has had, its
// effect.
func (h *holder) carryOut(instance, to string, wave int64) bool {
	m := h.machines[slices.IndexFunc(h.machines, func(m *machine) bool { return m.id == instance })]
	if m.state != outside.InstanceUp {
		return false
	}
	if wave == 0 && m.pool == to {
		return true
	}
	dark := testMove
	m.state = outside.InstanceMoving
	if wave > 0 {
		dark = testMaintain
		m.state = outside.InstanceMaintenance
	}
	if m.worker != nil {
		h.taken++
		h.w.take(m.worker)
		m.worker = nil
	}
	h.w.after(dark, func() {
		m.state = outside.InstanceUp
		if to != "" {
			m.pool = to
		}
		if m.pool == testPool {
			m.worker = h.w.addWorker(fmt.Sprintf("w%d", len(h.w.workers)), "r0-1")
			h.w.listToOwner()
		}
	})
	return true
}

// take ends a worker because of an order to its instance.
func (w *world) take(f *fakeWorker) {
	if f.down {
		return
	}
	for id, r := range f.runs {
		w.judgeOrdered(f, id, r, "an order to its instance", false)
		r.stopAt = w.now
	}
	f.down = true
	f.crashed = true
	f.runs = make(map[job.TaskID]*fakeRun)
	life := f.lives
	w.after(registrationKept, func() {
		if f.lives == life {
			f.unlisted = true
			w.listToOwner()
		}
	})
}
