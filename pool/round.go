package pool

import (
	"sort"
	"time"

	"lemonstream.dev/lemonstream/job"
	"lemonstream.dev/lemonstream/outside"
	"lemonstream.dev/lemonstream/shard"
)

const (
	// costUnit is the time that weighs as much as one run.
	costUnit = 100 * time.Millisecond

	// lastingCost is the weight of a lasting task, which has to be moved and is
	// away for about a second.
	lastingCost = 10

	// closedBonus is the weight of a worker that would have to be closed first;
	// it is more than a few seconds of work.
	closedBonus = 100
)

// spot is one instance as the round sees it.
type spot struct {
	instance outside.Instance

	// pool is where the instance is, or is on its way to.
	pool string

	// free says that the instance is up and no order for it is under way.
	free bool

	// evacuated says that nothing may start there: it counts as no room of its pool, and
	// no service is given it.
	evacuated bool

	// load is what its worker does; known says that its owner reports it.
	load  shard.WorkerLoad
	known bool

	// closed says that the plan closes its worker, and to where the instance is
	// sent; empty for nowhere.
	closed bool
	to     string
}

// round is one making of a plan.
type round struct {
	sizer *Sizer
	view  View
	plan  Plan
	spots []*spot

	// asleep is the name of the pool whose instances are off; empty for none.
	asleep   string
	services map[string]*Service

	// needs holds how many instances each service can't spare at this moment.
	needs map[string]int

	// count is the number of instances that each pool has or will have, available that of
	// all that some pool may use.
	count     map[string]int
	available int

	// labelCounts holds what labelled has counted since the last change.
	labelCounts map[poolLabel]int
}

func newRound(s *Sizer, v View) *round {
	r := &round{
		sizer: s,
		view:  v,
		plan: Plan{
			Closed:  make(map[string][]string),
			Targets: make(map[string]int),
		},
		services: make(map[string]*Service, len(v.Services)),
		count:    make(map[string]int),
		needs:    make(map[string]int),
	}
	for i := range v.Services {
		service := &v.Services[i]
		r.services[service.Name] = service
		if service.Asleep {
			r.asleep = service.Name
		}
	}
	for _, m := range v.Instances {
		r.spots = append(r.spots, r.spot(m))
	}
	byName(r.spots)
	for _, sp := range r.spots {
		// One that is down runs nothing, and nobody knows for how long.
		if sp.instance.State != outside.InstanceDown && !sp.evacuated {
			r.count[sp.pool]++
		}
		if !sp.evacuated {
			r.available++
		}
	}
	return r
}

func (r *round) spot(m outside.Instance) *spot {
	sp := &spot{
		instance: m,
		pool:     m.Pool,
		free:     m.State == outside.InstanceUp && !r.view.Now.Before(r.sizer.notBefore[m.ID]),
	}
	sp.evacuated = r.view.Evacuated != nil && r.view.Evacuated(m.Zone)
	if o, found := r.sizer.ordered[m.ID]; found {
		sp.free = false
		if o.to != "" {
			sp.pool = o.to
		}
	}
	// Where an order is under way, the worker is still that of the pool that it leaves.
	if service, found := r.services[m.Pool]; found {
		sp.load, sp.known = service.Load.Workers[m.Worker]
		sp.known = sp.known && service.Known
	}
	return sp
}

// targets works out how many instances each service should have.
func (r *round) targets() {
	for i := range r.view.Services {
		service := r.view.Services[i]
		if service.Asleep {
			continue
		}
		if !service.Known {
			r.plan.Targets[service.Name] = r.count[service.Name]
			r.needs[service.Name] = r.count[service.Name]
			continue
		}
		wanted, needed := r.sizer.note(service, r.room(service.Name), r.view.Now)
		r.plan.Targets[service.Name] = wanted
		r.needs[service.Name] = needed
	}
	r.share()
}

// share cuts the needs down to the instances that there are, in proportion to
// what each service needs above its floor.
func (r *round) share() {
	sum := 0
	floors := 0
	for name, need := range r.needs {
		sum += need
		floors += min(need, r.floor(name))
	}
	if sum <= r.available || sum == floors {
		return
	}
	part := float64(max(0, r.available-floors)) / float64(sum-floors)
	for name, need := range r.needs {
		floor := min(need, r.floor(name))
		r.needs[name] = floor + int(part*float64(need-floor))
		r.plan.Targets[name] = min(r.plan.Targets[name], r.needs[name])
	}
}

// floor returns how many instances a service keeps whatever others lack: its tasks
// that must not share a worker run nowhere else.
func (r *round) floor(name string) int {
	return max(floorInstances, r.services[name].Load.Spread+1)
}

// room returns the mean room of a service's instances, or of all instances. What the
// workers say goes first: a room that has shrunk holds less than the list of instances
// tells, and a service whose workers have half of it needs twice as many.
func (r *round) room(service string) job.Room {
	if told := r.services[service].Load.Room; told.MilliCPU > 0 {
		return told
	}
	var sum job.Room
	count := 0
	for _, sp := range r.spots {
		if sp.pool == service {
			sum = sum.Add(sp.instance.Capacity)
			count++
		}
	}
	if count == 0 {
		for _, sp := range r.spots {
			sum = sum.Add(sp.instance.Capacity)
			count++
		}
	}
	if count == 0 {
		return sum
	}
	return job.Room{
		MilliCPU:     sum.MilliCPU / count,
		MemoryMB:     sum.MemoryMB / count,
		Accelerators: sum.Accelerators / count,
	}
}

// grow gives services what they lack: empty instances of services that have too many, then
// sleeping ones, then others of services that have too many. Load pattern: while one service's
// turn of demand ends, that of the next one grows; each instance that goes straight from one to
// the other is moved once and not twice, to sleep and back.
func (r *round) grow() {
	for i := range r.view.Services {
		r.growLabelled(&r.view.Services[i])
	}
	for _, name := range r.byLack() {
		offer := r.offerTo(name, "")
		for r.count[name] < r.plan.Targets[name] {
			sp := offer.next()
			if sp == nil {
				break
			}
			r.send(sp, name)
		}
	}
}

// byLack returns the services that lack instances, the greatest lack first.
func (r *round) byLack() []string {
	var names []string
	for name, target := range r.plan.Targets {
		if r.count[name] < target {
			names = append(names, name)
		}
	}
	lack := func(name string) float64 {
		return float64(r.plan.Targets[name]-r.count[name]) / float64(r.plan.Targets[name])
	}
	sort.Slice(names, func(i, j int) bool {
		a, b := lack(names[i]), lack(names[j])
		if a != b {
			return a > b
		}
		return names[i] < names[j]
	})
	return names
}

// keeps returns how many instances a service keeps when another lacks some. For what the
// other needs now it gives up all that it does not need itself; for what the other only
// wants, as room for work that is late, it gives up no more than it wants itself.
func (r *round) keeps(name, to string) int {
	if r.count[to] < r.needs[to] {
		return r.needs[name]
	}
	return r.plan.Targets[name]
}

func (r *round) movable(sp *spot, to string) bool {
	if !sp.free || sp.closed || sp.evacuated || sp.pool == to || r.sizer.refused[sp.instance.ID][to] {
		return false
	}
	if sp.pool == r.asleep {
		return true
	}
	return sp.known && !sp.load.Draining && sp.load.Reached && !r.kept(sp)
}

// shrink sends instances that nobody needs to sleep.
func (r *round) shrink() {
	if r.asleep == "" {
		return
	}
	for i := range r.view.Services {
		name := r.view.Services[i].Name
		if name == r.asleep || !r.view.Services[i].Known {
			continue
		}
		for _, sp := range r.leastUsed(name) {
			if r.count[name] <= r.plan.Targets[name] {
				break
			}
			if r.movable(sp, r.asleep) {
				r.send(sp, r.asleep)
			}
		}
	}
}

// leastUsed returns the instances of a service, those that are emptied soonest first.
func (r *round) leastUsed(name string) []*spot {
	if r.count[name] <= r.plan.Targets[name] {
		return nil
	}
	var list []*spot
	for _, sp := range r.spots {
		if sp.pool == name && r.movable(sp, r.asleep) {
			list = append(list, sp)
		}
	}
	sortByCost(list)
	return list
}

// send moves an instance if nothing runs there and its worker is closed, and
// closes the worker otherwise.
func (r *round) send(sp *spot, to string) {
	from := sp.pool
	r.count[from]--
	r.count[to]++
	sp.closed = true
	sp.to = to
	r.labelCounts = nil
	if from == r.asleep || sp.empty() {
		r.plan.Moves = append(r.plan.Moves, Move{
			Instance: sp.instance.ID,
			Worker:   sp.incarnation(),
			From:     from,
			To:       to,
		})
	}
	if from != r.asleep {
		r.plan.Closed[from] = append(r.plan.Closed[from], sp.instance.Worker)
	}
}

// target returns the pool that the instance is in or is sent to by this plan.
func (sp *spot) target() string {
	if sp.to != "" {
		return sp.to
	}
	return sp.pool
}

// awake reports whether a worker runs on the instance.
func (sp *spot) awake() bool {
	return sp.instance.State == outside.InstanceUp && sp.instance.Worker != ""
}

// incarnation returns which life of the instance's worker this is, as far as its service
// tells.
func (sp *spot) incarnation() outside.Incarnation {
	return outside.Incarnation{
		Worker: sp.instance.Worker,
		Born:   sp.load.Born,
	}
}

// empty reports whether nothing runs on the instance's worker, nor will.
func (sp *spot) empty() bool {
	return sp.load.Known && sp.load.Closed && sp.load.Runs == 0
}

// cost orders awake instances by how long it takes to empty them: an empty worker
// goes at once, and one with lasting tasks last. What was begun is ended first,
// since another choice would undo it.
func (sp *spot) cost() int {
	cost := sp.load.Runs + int(sp.load.Busy/costUnit) + lastingCost*sp.load.Lasting
	if !sp.load.Closed {
		cost += closedBonus
	}
	return cost
}

func (r *round) finish() Plan {
	for _, workers := range r.plan.Closed {
		sort.Strings(workers)
	}
	r.plan.Counts = r.count
	r.plan.Most = make(map[string]int, len(r.needs))
	for name := range r.needs {
		most := r.available
		for other, need := range r.needs {
			if other != name {
				most -= need
			}
		}
		r.plan.Most[name] = max(most, r.needs[name])
	}
	return r.plan
}
