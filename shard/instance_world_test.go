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
	// testPool is the pool of the instances that run workers, testAsleep that of the sleeping
	// instances.
	testPool   = "s"
	testAsleep = "asleep"

	// testMoveTime is how long an instance is unavailable while it moves, testMaintainTime while
	// it is maintained.
	testMoveTime     = 1500 * time.Millisecond
	testMaintainTime = 2 * time.Second

	// planInterval is the time between two rounds of the instance controller. maxLoadAge is how
	// old the load that a plan is based on may be when the controller sends orders.
	planInterval = 200 * time.Millisecond
	maxLoadAge   = time.Second

	// orderTimeout is how long the controller waits for the answer to an order.
	orderTimeout = 900 * time.Millisecond

	// endedRetention is how long owners are told of a worker whose instance was taken down.
	endedRetention = 8 * time.Second
)

// fakeInstance is one instance; worker is nil if none runs on it.
type fakeInstance struct {
	id     string
	pool   string
	state  outside.InstanceState
	worker *fakeWorker

	// rack is that of the workers that run on the instance.
	rack string

	// maintained holds the waves whose maintenance of the instance has begun.
	maintained map[int64]bool
}

// instanceController manages the instances as the instance controller does, in virtual time: it
// asks the owner for its load, makes a plan, announces it and sends its orders.
type instanceController struct {
	w         *world
	sizer     *pool.Sizer
	instances []*fakeInstance
	waves     []*pool.Wave
	closed    []string
	ended     map[string]time.Time
	nextAt    time.Time
	busy      bool

	// announceDelay is how long it takes to store the orders of a plan before they are sent.
	// unansweredOrders leaves every second order without an answer; such an order is carried
	// out after orderDelay.
	announceDelay    time.Duration
	unansweredOrders bool
	orderDelay       time.Duration
	orders           int

	// cutOff says that the controller does not reach the owner.
	cutOff bool

	// takenDown counts the instances with a worker that were moved or maintained.
	takenDown int
}

// loadRequest holds when an owner was asked for its load, and the owner's epoch.
type loadRequest struct {
	at    time.Time
	epoch int64
}

// testSizing holds the options by which the controller sizes pools.
var testSizing = pool.Options{
	MoveTime:     testMoveTime,
	MaintainTime: testMaintainTime,
	MoveCost:     pool.DefaultMoveCost,
}

// newInstanceController returns an instance controller with one instance for each worker of the
// world and the given number of sleeping instances.
func newInstanceController(w *world, sleeping int) *instanceController {
	h := &instanceController{
		w:     w,
		sizer: pool.NewSizer(testSizing),
		ended: make(map[string]time.Time),
	}
	for _, id := range w.workerIDs() {
		h.instances = append(h.instances, &fakeInstance{
			id:     "m" + id,
			pool:   testPool,
			state:  outside.InstanceUp,
			worker: w.workers[id],
			rack:   w.workers[id].reg.Rack,
		})
	}
	for i := range sleeping {
		h.instances = append(h.instances, &fakeInstance{
			id:    fmt.Sprintf("z%d", i),
			pool:  testAsleep,
			state: outside.InstanceUp,
			rack:  "r0-1",
		})
	}
	w.instanceController = h
	return h
}

// runRound begins a round if one is due: it tells the owner which workers are closed, and requests
// the owner's load.
func (h *instanceController) runRound() {
	if h.busy || h.w.now.Before(h.nextAt) {
		return
	}
	h.busy = true
	asked := loadRequest{
		at:    h.w.now,
		epoch: h.w.epoch,
	}
	instanceList := h.instanceList()
	load, known := h.requestLoad()
	h.w.after(tick, func() { h.plan(instanceList, load, known, asked) })
}

// requestLoad tells the owner which workers have ended and which the last plan closes. It returns
// the owner's load, or false if there is no owner.
func (h *instanceController) requestLoad() (shard.Load, bool) {
	if h.w.ownerless || h.cutOff {
		return shard.Load{}, false
	}
	var ended []string
	for name, at := range h.ended {
		if h.w.now.Sub(at) < endedRetention {
			ended = append(ended, name)
		}
	}
	h.w.core.RemoveTaken(ended, h.w.now)
	h.w.core.SetClosed(h.closed, h.w.now)
	return h.w.core.Load(h.w.now), true
}

// instanceList returns the instances as the platform lists them.
func (h *instanceController) instanceList() []outside.Instance {
	var instanceList []outside.Instance
	for _, m := range h.instances {
		one := outside.Instance{
			ID:    m.id,
			Pool:  m.pool,
			State: m.state,
			Zone:  zoneOf(m.rack),
			Capacity: job.Room{
				MilliCPU: 4000,
				MemoryMB: 4000,
			},
		}
		if m.worker != nil {
			one.Worker = m.worker.reg.ID
		}
		instanceList = append(instanceList, one)
	}
	return instanceList
}

// plan makes a plan, announces it and then sends its orders. It sends none if the load is older
// than maxLoadAge by then, or from another owner.
func (h *instanceController) plan(list []outside.Instance, load shard.Load, known bool, asked loadRequest) {
	plan := h.sizer.Plan(pool.View{
		Now:       h.w.now,
		Instances: list,
		Waves:     h.waves,
		Evacuated: h.w.isEvacuated,
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
	for _, ended := range plan.Ended {
		h.ended[ended.Worker.String()] = h.w.now
	}
	if len(plan.Moves)+len(plan.Maintenances) == 0 {
		h.endRound()
		return
	}
	h.w.released = affectedWorkers(plan)
	h.w.after(h.announceDelay, func() {
		wait := tick
		if h.w.now.Sub(asked.at) <= maxLoadAge && h.w.epoch == asked.epoch {
			wait = h.sendOrders(plan)
		}
		h.w.after(wait, h.endRound)
	})
}

// affectedWorkers returns the workers on the instances that a plan moves or maintains.
func affectedWorkers(plan pool.Plan) []string {
	var list []string
	for _, move := range plan.Moves {
		list = append(list, move.Worker.Worker)
	}
	for _, one := range plan.Maintenances {
		list = append(list, one.Worker.Worker)
	}
	return list
}

func (h *instanceController) endRound() {
	h.w.released = nil
	h.busy = false
	h.nextAt = h.w.now.Add(planInterval)
}

// sendOrders sends the orders of a plan. It returns how long it takes until the last of them has
// been answered or has timed out.
func (h *instanceController) sendOrders(plan pool.Plan) time.Duration {
	wait := 2 * tick
	for _, move := range plan.Moves {
		if h.sendOrder(move.Instance, move.To, move.From, move.Worker, 0) {
			wait = orderTimeout
		}
	}
	for _, one := range plan.Maintenances {
		if h.sendOrder(one.Instance, "", one.Pool, one.Worker, one.Wave) {
			wait = orderTimeout
		}
	}
	return wait + tick
}

// sendOrder sends one order. It reports whether the order gets no answer.
func (h *instanceController) sendOrder(instance, to, from string, worker outside.Incarnation, wave int64) bool {
	h.orders++
	delay := time.Duration(0)
	unanswered := h.unansweredOrders && h.orders%2 == 0
	if unanswered {
		delay = h.orderDelay
	}
	h.w.after(tick+delay, func() {
		done := h.applyOrder(instance, to, wave)
		switch {
		case unanswered:
		case done:
			h.sizer.Ordered(instance, to, worker, wave, h.w.now)
			if wave == 0 {
				h.ended[worker.String()] = h.w.now
			}
			h.markDone(instance, wave)
		default:
			h.sizer.Refused(instance, to, false, h.w.now)
		}
	})
	if unanswered {
		h.w.after(orderTimeout, func() { h.sizer.Uncertain(instance, from, to, worker, wave, h.w.now) })
	}
	return unanswered
}

func (h *instanceController) markDone(instance string, number int64) {
	for _, wave := range h.waves {
		if wave.Number == number {
			wave.Done[instance] = true
		}
	}
}

// applyOrder applies an order as the platform does. Everything on the instance ends at once, and a
// new worker starts there once the instance is back. It reports whether the order takes effect or
// had taken effect before.
func (h *instanceController) applyOrder(instance, to string, wave int64) bool {
	m := h.instances[slices.IndexFunc(h.instances, func(m *fakeInstance) bool { return m.id == instance })]
	if m.maintained[wave] { // Done already, without an effect.
		return true
	}
	if m.state != outside.InstanceUp {
		return false
	}
	if wave == 0 && m.pool == to {
		return true
	}
	downtime := testMoveTime
	m.state = outside.InstanceMoving
	if wave > 0 {
		downtime = testMaintainTime
		m.state = outside.InstanceMaintenance
		if m.maintained == nil {
			m.maintained = make(map[int64]bool)
		}
		m.maintained[wave] = true
	}
	if m.worker != nil {
		h.takenDown++
		h.w.terminateWorker(m.worker)
		m.worker = nil
	}
	h.w.after(downtime, func() {
		m.state = outside.InstanceUp
		if to != "" {
			m.pool = to
		}
		if m.pool == testPool {
			m.worker = h.w.addWorker(fmt.Sprintf("w%d", len(h.w.workers)), m.rack)
			h.w.sendRegistrations()
		}
	})
	return true
}

// terminateWorker ends a worker because of an order to its instance.
func (w *world) terminateWorker(f *fakeWorker) {
	if f.down {
		return
	}
	for id, r := range f.runs {
		w.checkOrderedEnd(f, id, r, "an order to its instance", false)
		r.stopAt = w.now
	}
	f.down = true
	f.crashed = true
	f.runs = make(map[job.TaskID]*fakeRun)
	incarnation := f.restarts
	w.after(registrationTTL, func() {
		if f.restarts == incarnation {
			f.unlisted = true
			w.sendRegistrations()
		}
	})
}
