package pool

import (
	"sort"
	"time"

	"lemonstream.dev/lemonstream/job"
	"lemonstream.dev/lemonstream/outside"
	"lemonstream.dev/lemonstream/shard"
)

const (
	// costUnit is the run time that adds as much to the cost as one run.
	costUnit = 100 * time.Millisecond

	// longRunningCost is the cost of a long-running task, which has to be moved and is
	// unavailable for about a second.
	longRunningCost = 10

	// openPenalty is the cost of a worker that would have to be closed first. It is higher
	// than the cost of a few seconds of work.
	openPenalty = 100
)

// instanceState is the state of an instance within a round.
type instanceState struct {
	instance outside.Instance

	// pool is the pool that the instance is in or is being moved to.
	pool string

	// free says that the instance is up, has no order under way and may be given one.
	free bool

	// evacuated says that the availability zone of the instance is evacuated. The instance
	// adds no capacity to its pool and is not moved to another one.
	evacuated bool

	// ejected says that the worker fails what it starts. The instance adds no capacity to its
	// pool.
	ejected bool

	// load is the load of the worker. known says that the owner of the service reports it.
	load  shard.WorkerLoad
	known bool

	// closed says that this plan closes the worker. to is the pool that the instance is moved
	// to by this plan, empty if it stays.
	closed bool
	to     string
}

// round holds the state while one plan is made.
type round struct {
	sizer     *Sizer
	view      View
	plan      Plan
	instances []*instanceState

	// sleepingPool is the name of the pool whose instances are off, empty if there is none.
	sleepingPool string
	services     map[string]*Service

	// needs holds how many instances each service can't spare now.
	needs map[string]int

	// following holds the target by the current demand of each service whose target the
	// forecast changed.
	following map[string]int

	// count is the number of instances that each pool has or is about to have. available is
	// the number of all instances outside evacuated availability zones.
	count     map[string]int
	available int

	// givenBack is the number of ejected instances of each pool that this plan closes.
	givenBack map[string]int

	// labelCounts caches the results of countLabelled until the next change.
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

		givenBack: make(map[string]int),
	}
	for i := range v.Services {
		service := &v.Services[i]
		r.services[service.Name] = service
		if service.Asleep {
			r.sleepingPool = service.Name
		}
	}
	for _, m := range v.Instances {
		r.instances = append(r.instances, r.instanceState(m))
	}
	sortByID(r.instances)
	for _, sp := range r.instances {
		// An instance that is down runs nothing for an unknown time.
		if sp.instance.State != outside.InstanceDown && sp.addsCapacity() {
			r.count[sp.pool]++
		}
		if !sp.evacuated {
			r.available++
		}
	}
	return r
}

func (r *round) instanceState(m outside.Instance) *instanceState {
	sp := &instanceState{
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
	// While an order is under way, the worker still belongs to the pool that it leaves.
	if service, found := r.services[m.Pool]; found {
		sp.load, sp.known = service.Load.Workers[m.Worker]
		sp.known = sp.known && service.Known
		sp.ejected = sp.known && sp.load.Ejected
	}
	return sp
}

// computeTargets computes how many instances each service should have. A service with unknown
// load keeps what it has.
func (r *round) computeTargets() {
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
		wanted, needed := r.sizer.recordDemand(service, r.meanCapacity(service.Name), r.view.Now)
		r.plan.Targets[service.Name] = wanted
		r.needs[service.Name] = needed
	}
	r.applyForecast()
	r.limitNeeds()
}

// limitNeeds reduces the needs to the available instances, in proportion to what each service
// needs above its floor.
func (r *round) limitNeeds() {
	sum := 0
	floors := 0
	for name, need := range r.needs {
		sum += need
		floors += min(need, r.floor(name))
	}
	if sum <= r.available || sum == floors {
		return
	}
	ratio := float64(max(0, r.available-floors)) / float64(sum-floors)
	for name, need := range r.needs {
		floor := min(need, r.floor(name))
		r.needs[name] = floor + int(ratio*float64(need-floor))
		r.plan.Targets[name] = min(r.plan.Targets[name], r.needs[name])
	}
}

// floor returns how many instances a service keeps even when others lack some. It covers tasks
// that must not share a worker, which need an instance each.
func (r *round) floor(name string) int {
	return max(minInstances, r.services[name].Load.Spread+1)
}

// meanCapacity returns the mean capacity of a service's instances, or of all instances if it has
// none. The capacity that the workers report takes precedence: it may be smaller than the listed
// one, and a service whose workers have half of it needs twice as many instances.
func (r *round) meanCapacity(service string) job.Room {
	if reported := r.services[service].Load.Room; reported.MilliCPU > 0 {
		return reported
	}
	var sum job.Room
	count := 0
	for _, sp := range r.instances {
		if sp.pool == service {
			sum = sum.Add(sp.instance.Capacity)
			count++
		}
	}
	if count == 0 {
		for _, sp := range r.instances {
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

// grow gives services the instances that they lack: empty instances of services above their
// target, then sleeping ones, then others that services can spare. Instances of other services
// come first because of this load pattern: the demand burst of one service ends while that of
// the next one grows. An instance that goes straight from one to the other is moved once instead
// of twice, to sleep and back.
func (r *round) grow() {
	for i := range r.view.Services {
		r.growLabelled(&r.view.Services[i])
	}
	for _, name := range r.byShortage() {
		candidates := r.candidatesFor(name, "")
		for r.count[name] < r.plan.Targets[name] {
			sp := candidates.next()
			if sp == nil {
				break
			}
			r.reassign(sp, name)
		}
	}
}

// byShortage returns the services that lack instances, the largest relative shortage first.
func (r *round) byShortage() []string {
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

// retainedCount returns how many instances the service name retains when the service to lacks
// some. While to is below its need, name releases everything that it does not need itself. Once
// to is only below its target (for late work, say), name releases only what exceeds its own
// target.
func (r *round) retainedCount(name, to string) int {
	if r.count[to] < r.needs[to] {
		return r.needs[name]
	}
	return r.plan.Targets[name]
}

// movable reports whether the instance may be moved to a pool.
func (r *round) movable(sp *instanceState, to string) bool {
	if !sp.free || sp.closed || sp.evacuated || sp.pool == to || r.sizer.refused[sp.instance.ID][to] {
		return false
	}
	if sp.pool == r.sleepingPool {
		return true
	}
	if sp.ejected && !r.mayGiveBack(sp) {
		return false
	}
	return sp.known && !sp.load.Draining && sp.load.Reached && !r.isNeededForLabel(sp)
}

// shrink puts instances above a service's target to sleep.
func (r *round) shrink() {
	if r.sleepingPool == "" {
		return
	}
	for i := range r.view.Services {
		name := r.view.Services[i].Name
		if name == r.sleepingPool || !r.view.Services[i].Known {
			continue
		}
		for _, sp := range r.leastUsed(name) {
			if r.count[name] <= r.plan.Targets[name] {
				break
			}
			if r.movable(sp, r.sleepingPool) {
				r.reassign(sp, r.sleepingPool)
			}
		}
	}
}

// leastUsed returns the instances of a service that may be put to sleep, those that are emptied
// soonest first. It returns nil if the service is not above its target.
func (r *round) leastUsed(name string) []*instanceState {
	if r.count[name] <= r.plan.Targets[name] {
		return nil
	}
	var list []*instanceState
	for _, sp := range r.instances {
		if sp.pool == name && r.movable(sp, r.sleepingPool) {
			list = append(list, sp)
		}
	}
	sortByCost(list)
	return list
}

// reassign plans to give an instance to another pool. It orders the move if the instance is
// asleep, or if nothing runs on it and its worker is closed. The worker of an awake instance is
// closed in either case.
func (r *round) reassign(sp *instanceState, to string) {
	from := sp.pool
	if sp.ejected {
		r.givenBack[from]++
	} else {
		r.count[from]--
	}
	r.count[to]++
	sp.closed = true
	sp.to = to
	r.labelCounts = nil
	if from == r.sleepingPool || sp.isEmpty() {
		r.plan.Moves = append(r.plan.Moves, Move{
			Instance: sp.instance.ID,
			Worker:   sp.incarnation(),
			From:     from,
			To:       to,
			Reason:   r.moveReason(from, to),
		})
	}
	if from != r.sleepingPool {
		r.plan.Closed[from] = append(r.plan.Closed[from], sp.instance.Worker)
	}
}

// target returns the pool that the instance is in or is moved to by this plan.
func (sp *instanceState) target() string {
	if sp.to != "" {
		return sp.to
	}
	return sp.pool
}

// hasWorker reports whether the instance is up and has a worker.
func (sp *instanceState) hasWorker() bool {
	return sp.instance.State == outside.InstanceUp && sp.instance.Worker != ""
}

// incarnation returns the incarnation of the instance's worker, as far as the owner of the
// service reports it.
func (sp *instanceState) incarnation() outside.Incarnation {
	return outside.Incarnation{
		Worker: sp.instance.Worker,
		Born:   sp.load.Born,
	}
}

// isEmpty reports whether nothing runs on the instance's worker and nothing can start there.
func (sp *instanceState) isEmpty() bool {
	return sp.load.Known && sp.load.Closed && sp.load.Runs == 0
}

// finish fills in the remaining fields of the plan and returns it.
func (r *round) finish() Plan {
	for _, workers := range r.plan.Closed {
		sort.Strings(workers)
	}
	r.plan.Counts = r.count
	r.plan.MaxInstances = make(map[string]int, len(r.needs))
	for name := range r.needs {
		most := r.available
		for other, need := range r.needs {
			if other != name {
				most -= need
			}
		}
		r.plan.MaxInstances[name] = max(most, r.needs[name])
	}
	return r.plan
}
