// Package pool decides how many instances each service has, which instances move
// between pools, and when an instance may be taken down for maintenance. It does no I/O:
// a plan depends only on the View passed in and the state kept in the Sizer.
package pool

import (
	"math"
	"sort"
	"time"

	"lemonstream.dev/lemonstream/job"
	"lemonstream.dev/lemonstream/outside"
	"lemonstream.dev/lemonstream/shard"
)

const (
	// minInstances is the minimum number of awake instances of a service. If one is lost
	// with its rack, the others can still take new work at once.
	minInstances = 3

	// DefaultMoveCost is the default of Options.MoveCost: about half of the time for which a
	// move takes an instance out of service.
	DefaultMoveCost = 750 * time.Millisecond

	// holdMoves is how long a peak of the demand is kept, in multiples of the cost of a move.
	// It is 2 because an instance that is put to sleep and woken again is moved twice. Holding
	// an instance for as long as that costs is at most twice as expensive as the best choice
	// in hindsight.
	holdMoves = 2

	// trendSpan is the minimum time over which the rise of the demand is measured. A demand
	// burst shows within a few rounds of 200 ms, and a longer span averages it away.
	trendSpan = 300 * time.Millisecond

	// readyTime is added to the time of a move to get how far ahead the rise of the demand is
	// extrapolated. It covers the round until the order, the registration of the new worker
	// and the first poll of it.
	readyTime = 500 * time.Millisecond

	// needMarginShare is the share by which the current need of a service is raised. The
	// service keeps this margin even when others lack instances.
	needMarginShare = 0.05

	// headroomShare is the share by which the target exceeds the demand of a service.
	headroomShare = 0.10

	// comingShare is the share of the work in later steps that is expected to start while an
	// instance is being moved.
	comingShare = 0.3

	// settleSlack is added to the time that an answered order takes an instance out of service.
	// Past the sum, the order counts as lost and is dropped.
	settleSlack = 3 * time.Second

	// maxOrderDelay is how long after it was sent an order without an answer may still be
	// carried out. The platform states 2 to 12 s.
	maxOrderDelay = 13 * time.Second

	// retryInterval is the time before a failed or unanswered order is retried.
	retryInterval = 500 * time.Millisecond

	// maxMaintenanceShare is the maximum share of a pool's awake instances that are closed for
	// maintenance at one time, unless the wave is late.
	maxMaintenanceShare = 0.25

	// reservedTimeShare is the share of a wave's time that is held in reserve. Once the rest
	// has passed, the wave is late and as many instances are closed as it allows.
	reservedTimeShare = 0.4
)

// Service is a pool with the load that its owner reports.
type Service struct {
	Name   string
	Asleep bool

	// Known says that Load is current. Otherwise awake instances of the pool get no new orders.
	Known bool
	Load  shard.Load
}

// Wave is a maintenance request and its progress.
type Wave struct {
	outside.Wave

	// Seen is when the request was first read.
	Seen time.Time

	// Done holds the instances whose maintenance has begun.
	Done map[string]bool
}

// View is the input of a plan: the state of the fleet at one moment.
type View struct {
	Now       time.Time
	Services  []Service
	Instances []outside.Instance
	Waves     []*Wave

	// SleepingFirst says that only sleeping instances can be ordered at the moment. They are taken
	// before empty instances of other services, which would stay where they are.
	SleepingFirst bool

	// Evacuated reports whether an availability zone is evacuated, so that nothing may start
	// there. If nil, no availability zone is evacuated.
	Evacuated func(zone string) bool
}

// Move is an order to move an instance to another pool.
type Move struct {
	Instance string
	Worker   outside.Incarnation
	From     string
	To       string

	// Reason is one of ReasonDemand, ReasonForecast and ReasonSurplus; empty for a retry.
	Reason string
}

// Maintenance is an order to take an instance down for the maintenance of a wave.
type Maintenance struct {
	Instance string
	Worker   outside.Incarnation
	Pool     string
	Wave     int64
}

// Plan holds the orders to send now and the size of each pool.
type Plan struct {
	// Closed maps a service to the workers on which no new tasks may be placed.
	Closed       map[string][]string
	Moves        []Move
	Maintenances []Maintenance

	// Ended holds the workers that maintenance has ended, as the instance list shows.
	Ended []EndedWorker

	// Targets maps a service to the number of instances it should have, Counts to the number
	// it has or is about to have.
	Targets map[string]int
	Counts  map[string]int

	// MaxInstances maps a service to the number of instances it could have: all except those
	// that other services need for work that can still meet its deadline, and their minimums.
	MaxInstances map[string]int
}

// EndedWorker is a worker that ended with the maintenance of its instance.
type EndedWorker struct {
	Pool   string
	Worker outside.Incarnation
}

// Options holds the times and costs that a Sizer plans with.
type Options struct {
	// MoveTime and MaintainTime are how long a move and a maintenance take an instance out of
	// service.
	MoveTime     time.Duration
	MaintainTime time.Duration

	// MoveCost is the cost of moving an instance, expressed as the time for which an idle
	// instance can be kept awake at the same cost.
	MoveCost time.Duration

	// Forecast says that demand that comes in turns is predicted.
	Forecast bool
}

// Sizer makes plans. Between plans it keeps the recent demand of each service and the recent
// orders.
type Sizer struct {
	opts Options

	demand map[string][]sample

	// forecast predicts the demand; nil if that is switched off.
	forecast *demandForecast

	// ordered holds the order under way for each instance. An entry is kept until the instance
	// is listed as up with another worker, or until the order is too old.
	ordered map[string]order

	// refused holds, for each instance, the pools that it can't be moved to.
	refused map[string]map[string]bool

	// blocked holds until when an instance may be under an order of a previous controller.
	blocked map[string]time.Time

	// notBefore holds the earliest time of the next order for an instance whose last order
	// failed or that is blocked.
	notBefore map[string]time.Time
}

// sample is the demand of a service at one time, in instances.
type sample struct {
	at        time.Time
	instances float64

	// timely is the part of the demand that can still meet its deadline.
	timely float64
}

// order is an order that was sent for an instance: a maintenance if wave is set, else a move.
type order struct {
	orderedAt time.Time
	from      string
	to        string
	worker    outside.Incarnation
	wave      int64

	// uncertain says that the order got no answer: it may have been carried out already, or may
	// be later. The order is idempotent and is repeated until an attempt is answered.
	// lastTriedAt is the time of the last attempt.
	uncertain   bool
	lastTriedAt time.Time

	// endReported says that a plan has reported the end of the worker.
	endReported bool
}

// NewSizer returns a Sizer without recorded demand or orders.
func NewSizer(opts Options) *Sizer {
	return &Sizer{
		opts:      opts,
		demand:    make(map[string][]sample),
		forecast:  newDemandForecast(opts),
		ordered:   make(map[string]order),
		refused:   make(map[string]map[string]bool),
		blocked:   make(map[string]time.Time),
		notBefore: make(map[string]time.Time),
	}
}

// Plan computes the plan for the given view and records the demand that it shows.
func (s *Sizer) Plan(v View) Plan {
	ended := s.endedWorkers(v)
	s.dropSettled(v)
	r := newRound(s, v)
	r.plan.Ended = ended
	r.keepClosed()
	r.retryUncertain()
	r.computeTargets()
	r.maintain()
	r.giveBack()
	r.grow()
	r.shrink()
	return r.finish()
}

// Block prevents orders for an instance until the given time, because an order of a previous
// controller may be under way and not be listed yet.
func (s *Sizer) Block(instance string, until time.Time) {
	s.blocked[instance] = until
	s.notBefore[instance] = until
}

// Ordered records an order that was answered with success.
func (s *Sizer) Ordered(instance, to string, worker outside.Incarnation, wave int64, now time.Time) {
	s.ordered[instance] = order{
		orderedAt: now,
		to:        to,
		worker:    worker,
		wave:      wave,
	}
}

// Uncertain records that an order got no answer.
func (s *Sizer) Uncertain(instance, from, to string, worker outside.Incarnation, wave int64, now time.Time) {
	o, found := s.ordered[instance]
	if !found || !o.uncertain {
		o = order{
			orderedAt: now,
			from:      from,
			to:        to,
			worker:    worker,
			wave:      wave,
			uncertain: true,
		}
	}
	o.lastTriedAt = now
	s.ordered[instance] = o
}

// Refused records that an order had no effect. permanent says that the instance can never be
// moved to that pool. If an earlier attempt got no answer and permanent is false, the order stays
// uncertain, because the earlier attempt may still take effect.
func (s *Sizer) Refused(instance, to string, permanent bool, now time.Time) {
	if o := s.ordered[instance]; o.uncertain && !permanent {
		o.lastTriedAt = now
		s.ordered[instance] = o
		return
	}
	delete(s.ordered, instance)
	s.notBefore[instance] = now.Add(retryInterval)
	if permanent && to != "" {
		if s.refused[instance] == nil {
			s.refused[instance] = make(map[string]bool)
		}
		s.refused[instance][to] = true
	}
}

// endedWorkers returns the workers that maintenance has ended since the last plan. The answer to the
// order does not show that: maintenance of a wave that has begun already is answered with success as
// well, and has ended an earlier worker of the instance, not the one that the order names.
func (s *Sizer) endedWorkers(v View) []EndedWorker {
	var list []EndedWorker
	for _, m := range v.Instances {
		o, found := s.ordered[m.ID]
		if !found || o.wave == 0 || o.uncertain || o.endReported || o.worker.Worker == "" {
			continue
		}
		if m.State == outside.InstanceUp && m.Worker == o.worker.Worker {
			continue
		}
		o.endReported = true
		s.ordered[m.ID] = o
		list = append(list, EndedWorker{
			Pool:   m.Pool,
			Worker: o.worker,
		})
	}
	return list
}

// dropSettled drops orders that the instance list shows as done, orders that are too old, and
// orders for instances that are no longer listed.
func (s *Sizer) dropSettled(v View) {
	listed := make(map[string]outside.Instance, len(v.Instances))
	for _, m := range v.Instances {
		listed[m.ID] = m
	}
	for id, o := range s.ordered {
		m, found := listed[id]
		age := v.Now.Sub(o.orderedAt)
		downtime := s.opts.MoveTime
		if o.wave > 0 {
			downtime = s.opts.MaintainTime
		}
		// A changed worker shows that the instance is back. A sleeping instance has no worker:
		// its return after an answered order is recognized by the elapsed time alone. A worker
		// that restarts under the same ID is recognized only when the order is too old.
		another := m.Worker != o.worker.Worker || (m.Worker == "" && !o.uncertain)
		back := m.State == outside.InstanceUp && another && age > downtime
		forget := downtime + settleSlack
		if o.uncertain {
			forget = downtime + maxOrderDelay
		}
		if !found || back || age > forget {
			delete(s.ordered, id)
		}
	}
}

// recordDemand records the demand of a service. It returns wanted, the number of instances that
// the service should have, and needed, the number that it needs now for work that can still meet
// its deadline. Instances above needed may go to a service that lacks some. Late work is left out
// of needed because of this load pattern: services have demand bursts one after the other, each
// with more work than capacity. If the whole backlog counted, the first service would keep the
// instances that the next ones need: late work worth 340 instances held 60 of 102 instances for
// 20 s, while the services with current bursts had 30 between them.
func (s *Sizer) recordDemand(service Service, each job.Room, now time.Time) (wanted, needed int) {
	load := service.Load
	need := load.Used.Add(load.Waiting)
	instances := instancesFor(need, load.Coming, each)
	timely := instancesFor(need.Sub(load.Late), load.Coming.Sub(load.LateComing), each)
	list := append(s.demand[service.Name], sample{
		at:        now,
		instances: instances,
		timely:    timely,
	})
	for len(list) > 0 && now.Sub(list[0].at) > holdMoves*s.opts.MoveCost {
		list = list[1:]
	}
	s.demand[service.Name] = list
	high := 0.0
	rise := 0.0
	timelyRise := 0.0
	for _, one := range list {
		high = max(high, one.instances)
		if span := now.Sub(one.at); span >= trendSpan {
			ahead := float64(s.opts.MoveTime+readyTime) / float64(span)
			rise = max(0, instances-one.instances) * ahead
			timelyRise = max(0, timely-one.timely) * ahead
		}
	}
	floor := max(minInstances, load.Spread+1)
	wanted = int(math.Ceil(max(high, instances+rise) * (1 + headroomShare)))
	needed = int(math.Ceil((timely + timelyRise) * (1 + needMarginShare)))
	return max(wanted, floor), max(needed, floor)
}

// instancesFor returns how many instances of capacity each are needed for the current need and
// the part of the coming work that starts soon.
func instancesFor(need, coming, each job.Room) float64 {
	need.MilliCPU += int(comingShare * float64(coming.MilliCPU))
	return need.Share(each)
}

// sortByID sorts instances by ID, so that plans are deterministic.
func sortByID(list []*instanceState) {
	sort.Slice(list, func(i, j int) bool {
		return list[i].instance.ID < list[j].instance.ID
	})
}
