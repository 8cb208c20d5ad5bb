// Package pool decides how many instances each service has, which instances move
// between pools, and when an instance may be taken down for maintenance. It is a
// pure decision: a function of what is known at one moment and of the little
// that it remembers, and it does no input or output.
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
	// floorInstances is the least number of awake instances of a service that
	// has work or may get some: one may be lost with its rack and the others
	// still take what comes at once.
	floorInstances = 3

	// DefaultMoveCost is what a move costs where nobody says otherwise: about half of the
	// time for which it takes an instance out of use.
	DefaultMoveCost = 750 * time.Millisecond

	// holdMoves is for how many moves' cost a high of the demand is kept: an instance that is
	// sent to sleep and woken again is moved twice. What is held for as long as that costs is
	// at most twice as dear as by the best choice in hindsight.
	holdMoves = 2

	// trendSpan is how far back the rise of the demand is measured at least: a turn shows
	// within a few rounds of 200 ms, and a longer span averages it away.
	trendSpan = 300 * time.Millisecond

	// readyTime is added to the time of a move for how far ahead the rise is
	// followed: a round until the order, the new worker's registration, and the
	// first look at it.
	readyTime = 500 * time.Millisecond

	// needShare is kept free of what a service needs at this moment when others
	// lack instances.
	needShare = 0.05

	// headroomShare is kept free of a service's demand.
	headroomShare = 0.10

	// comingShare is the part of the work in later steps that is expected to
	// start while an instance is on its way.
	comingShare = 0.3

	// settleSlack is added to the time that an instance is dark before it counts
	// as lost.
	settleSlack = 3 * time.Second

	// lateMost is how long after it was sent an order without an answer may still
	// be carried out; the platform speaks of 2 to 12 s.
	lateMost = 13 * time.Second

	// retryPause is the pause before an order that failed is tried again.
	retryPause = 500 * time.Millisecond

	// maintainShare is the most of a pool's awake instances that are closed for
	// maintenance at one time while there is time left.
	maintainShare = 0.25

	// hurryShare of a wave's time is kept as reserve: past the rest of it as
	// many instances are closed as the wave allows.
	hurryShare = 0.4
)

// Service is one pool with what its owner says of it.
type Service struct {
	Name   string
	Asleep bool

	// Known says that Load is fresh; without it nothing of the pool is touched.
	Known bool
	Load  shard.Load
}

// Wave is one request for maintenance with how far it has come.
type Wave struct {
	outside.Wave

	// Seen is when the request was first read.
	Seen time.Time

	// Done holds the instances whose maintenance has begun.
	Done map[string]bool
}

// View is what is known at one moment.
type View struct {
	Now       time.Time
	Services  []Service
	Instances []outside.Instance
	Waves     []*Wave

	// Evacuated reports whether nothing may start in an availability zone; nil knows of
	// none.
	Evacuated func(zone string) bool
}

// Move is an order to put an instance into another pool.
type Move struct {
	Instance string
	Worker   outside.Incarnation
	From     string
	To       string
}

// Maintenance is an order to take an instance down.
type Maintenance struct {
	Instance string
	Worker   outside.Incarnation
	Pool     string
	Wave     int64
}

// Plan is what should be done now.
type Plan struct {
	// Closed maps a service to the workers where nothing new may be placed.
	Closed       map[string][]string
	Moves        []Move
	Maintenances []Maintenance

	// Targets maps a service to the number of instances it should have, and
	// Counts to the number that it has or is about to have.
	Targets map[string]int
	Counts  map[string]int

	// Most maps a service to the number of instances that it could have: all but those
	// that others need for work in time, and their floors.
	Most map[string]int
}

// Options are the bounds that a sizer works under.
type Options struct {
	// MoveTime and MaintainTime are how long an instance is dark.
	MoveTime     time.Duration
	MaintainTime time.Duration

	// MoveCost is what a move of an instance costs, in the time for which an idle one may be
	// held awake for the same.
	MoveCost time.Duration
}

// Sizer remembers the demand of each service and what was ordered lately.
type Sizer struct {
	opts Options

	demand map[string][]sample

	// ordered holds instances that were ordered to do something, until the list
	// shows them up with another worker.
	ordered map[string]order

	// refused holds pools that an instance can't be moved to.
	refused map[string]map[string]bool

	// blocked holds instances that a holder before may just have ordered.
	blocked map[string]time.Time

	// notBefore holds instances whose last order failed.
	notBefore map[string]time.Time
}

// sample is the demand of a service at a moment, in instances.
type sample struct {
	at        time.Time
	instances float64

	// timely is the part of it that can still end in time.
	timely float64
}

type order struct {
	at     time.Time
	from   string
	to     string
	worker outside.Incarnation
	wave   int64

	// unsure says that no answer came: the order may have been carried out, or
	// may be later. It is given again, which does no harm, until one is answered;
	// tried is when it was given last.
	unsure bool
	tried  time.Time
}

// NewSizer returns a sizer that remembers nothing yet.
func NewSizer(opts Options) *Sizer {
	return &Sizer{
		opts:      opts,
		demand:    make(map[string][]sample),
		ordered:   make(map[string]order),
		refused:   make(map[string]map[string]bool),
		blocked:   make(map[string]time.Time),
		notBefore: make(map[string]time.Time),
	}
}

// Plan returns what should be done now.
func (s *Sizer) Plan(v View) Plan {
	s.settle(v)
	r := newRound(s, v)
	r.guard()
	r.repeat()
	r.targets()
	r.maintain()
	r.grow()
	r.shrink()
	return r.finish()
}

// Block leaves an instance alone until an instant, because a holder before may
// have ordered it to do something that does not show yet.
func (s *Sizer) Block(instance string, until time.Time) {
	s.blocked[instance] = until
	s.notBefore[instance] = until
}

// Ordered notes that an order was carried out.
func (s *Sizer) Ordered(instance, to string, worker outside.Incarnation, wave int64, now time.Time) {
	s.ordered[instance] = order{
		at:     now,
		to:     to,
		worker: worker,
		wave:   wave,
	}
}

// Unsure notes that an order got no answer.
func (s *Sizer) Unsure(instance, from, to string, worker outside.Incarnation, wave int64, now time.Time) {
	o, found := s.ordered[instance]
	if !found || !o.unsure {
		o = order{
			at:     now,
			from:   from,
			to:     to,
			worker: worker,
			wave:   wave,
			unsure: true,
		}
	}
	o.tried = now
	s.ordered[instance] = o
}

// Refused notes that an order had no effect; forever says that the instance
// does not belong into that pool. One before it without an answer may still have
// an effect.
func (s *Sizer) Refused(instance, to string, forever bool, now time.Time) {
	if o := s.ordered[instance]; o.unsure && !forever {
		o.tried = now
		s.ordered[instance] = o
		return
	}
	delete(s.ordered, instance)
	s.notBefore[instance] = now.Add(retryPause)
	if forever && to != "" {
		if s.refused[instance] == nil {
			s.refused[instance] = make(map[string]bool)
		}
		s.refused[instance][to] = true
	}
}

// settle forgets orders that the list shows as done, or that came to nothing.
func (s *Sizer) settle(v View) {
	listed := make(map[string]outside.Instance, len(v.Instances))
	for _, m := range v.Instances {
		listed[m.ID] = m
	}
	for id, o := range s.ordered {
		m, found := listed[id]
		age := v.Now.Sub(o.at)
		dark := s.opts.MoveTime
		if o.wave > 0 {
			dark = s.opts.MaintainTime
		}
		// A sleeping instance has no worker by which its return could be told, and one that
		// starts again under its id is told by the time alone.
		another := m.Worker != o.worker.Worker || (m.Worker == "" && !o.unsure)
		back := m.State == outside.InstanceUp && another && age > dark
		forget := dark + settleSlack
		if o.unsure {
			forget = dark + lateMost
		}
		if !found || back || age > forget {
			delete(s.ordered, id)
		}
	}
}

// note takes in the demand of a service. It returns the number of instances that
// it should have, and the smaller one that it needs at this moment for work that can
// still end in time, beyond which instances may go to a service that lacks some. Load
// pattern: one service after the other has its turn of demand, each with more work than
// room. By all of its backlog the first one keeps what the next ones need: 340 instances'
// worth of work that was late held 60 of 102 instances for 20 s, in which those whose turn
// it was had 30 between them.
func (s *Sizer) note(service Service, each job.Room, now time.Time) (wanted, needed int) {
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
	floor := max(floorInstances, load.Spread+1)
	wanted = int(math.Ceil(max(high, instances+rise) * (1 + headroomShare)))
	needed = int(math.Ceil((timely + timelyRise) * (1 + needShare)))
	return max(wanted, floor), max(needed, floor)
}

// instancesFor returns how many instances of the given room hold what is needed now, and
// the part of the coming work that starts soon.
func instancesFor(need, coming, each job.Room) float64 {
	need.MilliCPU += int(comingShare * float64(coming.MilliCPU))
	return need.Share(each)
}

// byName sorts instances for a plan that is the same each time.
func byName(list []*spot) {
	sort.Slice(list, func(i, j int) bool {
		return list[i].instance.ID < list[j].instance.ID
	})
}
