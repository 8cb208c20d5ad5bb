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

	// count is the number of instances that each pool has or will have.
	count map[string]int
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
		r.count[sp.pool]++
	}
	return r
}

func (r *round) spot(m outside.Instance) *spot {
	sp := &spot{
		instance: m,
		pool:     m.Pool,
		free:     m.State == outside.InstanceUp && !r.view.Now.Before(r.sizer.notBefore[m.ID]),
	}
	if o, found := r.sizer.ordered[m.ID]; found {
		sp.free = false
		if o.to != "" {
			sp.pool = o.to
		}
	}
	if service, found := r.services[sp.pool]; found {
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
	for _, need := range r.needs {
		sum += need
		floors += min(need, floorInstances)
	}
	if sum <= len(r.spots) || sum == floors {
		return
	}
	part := float64(max(0, len(r.spots)-floors)) / float64(sum-floors)
	for name, need := range r.needs {
		floor := min(need, floorInstances)
		r.needs[name] = floor + int(part*float64(need-floor))
		r.plan.Targets[name] = min(r.plan.Targets[name], r.needs[name])
	}
}

// room returns the mean room of a service's instances, or of all instances.
func (r *round) room(service string) job.Room {
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

// grow gives services what they lack: sleeping instances first, then instances
// of services that have too many.
func (r *round) grow() {
	for i := range r.view.Services {
		r.growLabelled(&r.view.Services[i])
	}
	for _, name := range r.byLack() {
		for r.count[name] < r.plan.Targets[name] {
			sp := r.spare(name, "")
			if sp == nil {
				break
			}
			r.send(sp, name)
		}
	}
}

// growLabelled gives a service the instances of each label that its tasks ask
// for, beyond its target if need be: no other instance can run them.
func (r *round) growLabelled(service *Service) {
	if service.Asleep || !service.Known {
		return
	}
	for _, label := range r.labels(service) {
		for r.labelled(service.Name, label) < r.wanted(service, label) {
			sp := r.spare(service.Name, label)
			if sp == nil {
				break
			}
			r.send(sp, service.Name)
		}
	}
}

// labels returns the labels that a service's tasks ask for, sorted.
func (r *round) labels(service *Service) []string {
	var list []string
	for label := range service.Load.Labelled {
		list = append(list, label)
	}
	sort.Strings(list)
	return list
}

// labelled counts the instances of a pool that carry a label.
func (r *round) labelled(pool, label string) int {
	count := 0
	for _, sp := range r.spots {
		leaving := sp.closed && sp.to == ""
		if sp.target() == pool && sp.carries(label) && !leaving {
			count++
		}
	}
	return count
}

// wanted returns how many instances of a label a service needs.
func (r *round) wanted(service *Service, label string) int {
	each := r.room(service.Name)
	need := service.Load.Labelled[label]
	count := 1
	if each.MilliCPU > 0 {
		count = max(count, (need.MilliCPU+each.MilliCPU-1)/each.MilliCPU)
	}
	if each.MemoryMB > 0 {
		count = max(count, (need.MemoryMB+each.MemoryMB-1)/each.MemoryMB)
	}
	return count
}

// kept reports whether a service can't spare an instance because of a label.
func (r *round) kept(sp *spot) bool {
	service, found := r.services[sp.pool]
	if !found {
		return false
	}
	for label := range service.Load.Labelled {
		if sp.carries(label) && r.labelled(sp.pool, label) <= r.wanted(service, label) {
			return true
		}
	}
	return false
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

// spare returns the instance that is missed least elsewhere; it carries the label
// unless that is empty.
func (r *round) spare(to, label string) *spot {
	var best *spot
	bestCost := 0
	for _, sp := range r.spots {
		if !r.movable(sp, to) || !sp.carries(label) {
			continue
		}
		cost := 0
		if sp.pool != r.asleep {
			if r.count[sp.pool] <= r.needs[sp.pool] {
				continue
			}
			cost = 1 + sp.cost()
		}
		if best == nil || cost < bestCost {
			best = sp
			bestCost = cost
		}
	}
	return best
}

func (r *round) movable(sp *spot, to string) bool {
	if !sp.free || sp.closed || sp.pool == to || r.sizer.refused[sp.instance.ID][to] {
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
		for r.count[name] > r.plan.Targets[name] {
			sp := r.leastUsed(name)
			if sp == nil {
				break
			}
			r.send(sp, r.asleep)
		}
	}
}

func (r *round) leastUsed(name string) *spot {
	var best *spot
	for _, sp := range r.spots {
		if sp.pool != name || !r.movable(sp, r.asleep) {
			continue
		}
		if best == nil || sp.cost() < best.cost() {
			best = sp
		}
	}
	return best
}

// send moves an instance if nothing runs there and its worker is closed, and
// closes the worker otherwise.
func (r *round) send(sp *spot, to string) {
	from := sp.pool
	r.count[from]--
	r.count[to]++
	sp.closed = true
	sp.to = to
	if from == r.asleep || sp.empty() {
		r.plan.Moves = append(r.plan.Moves, Move{
			Instance: sp.instance.ID,
			Worker:   sp.instance.Worker,
			From:     from,
			To:       to,
		})
	}
	if from != r.asleep {
		r.plan.Closed[from] = append(r.plan.Closed[from], sp.instance.Worker)
	}
}

// maintain takes down instances of waves, sleeping ones first.
func (r *round) maintain() {
	for _, wave := range r.view.Waves {
		r.maintainWave(wave)
	}
}

func (r *round) maintainWave(wave *Wave) {
	down := 0
	var left []*spot
	closing := make(map[string]int)
	for _, sp := range r.spots {
		if !wave.holds(sp.instance.ID) {
			continue
		}
		o, ordered := r.sizer.ordered[sp.instance.ID]
		if sp.instance.State == outside.InstanceMaintenance || (ordered && o.wave > 0) {
			down++
		}
		if !wave.Done[sp.instance.ID] && sp.free && !sp.closed {
			left = append(left, sp)
		}
	}
	sort.SliceStable(left, func(i, j int) bool {
		return r.trouble(left[i]) < r.trouble(left[j])
	})
	late := r.view.Now.Sub(wave.Seen) > time.Duration((1-hurryShare)*float64(wave.Within))
	for _, sp := range left {
		if down >= wave.AtOnce {
			return
		}
		awake := sp.pool != r.asleep
		if awake && !r.mayClose(sp, closing, late) {
			continue
		}
		sp.closed = true
		if awake {
			closing[sp.pool]++
			// Another instance takes its place meanwhile, so that what runs there
			// has somewhere to go.
			r.count[sp.pool]--
			r.plan.Closed[sp.pool] = append(r.plan.Closed[sp.pool], sp.instance.Worker)
			if !sp.empty() {
				down++
				continue
			}
		}
		down++
		r.plan.Maintenances = append(r.plan.Maintenances, Maintenance{
			Instance: sp.instance.ID,
			Worker:   sp.instance.Worker,
			Pool:     sp.pool,
			Wave:     wave.Number,
		})
	}
}

// mayClose bounds how many instances of a pool are closed for maintenance.
func (r *round) mayClose(sp *spot, closing map[string]int, late bool) bool {
	if !sp.known || sp.load.Draining || r.irreplaceable(sp) {
		return false
	}
	if late || r.count[sp.pool] > r.plan.Targets[sp.pool] {
		return true
	}
	return float64(closing[sp.pool]) < max(1, maintainShare*float64(r.count[sp.pool]))
}

// irreplaceable reports whether an instance carries a label that its service needs
// and that no other instance can bring: what runs there could never leave.
func (r *round) irreplaceable(sp *spot) bool {
	service, found := r.services[sp.pool]
	if !found {
		return false
	}
	for label := range service.Load.Labelled {
		scarce := sp.carries(label) && r.labelled(sp.pool, label) <= r.wanted(service, label)
		if scarce && r.spare(sp.pool, label) == nil {
			return true
		}
	}
	return false
}

// trouble orders instances by what their maintenance disturbs.
func (r *round) trouble(sp *spot) int {
	if sp.pool == r.asleep {
		return 0
	}
	return 1 + sp.cost()
}

// carries reports whether the instance has a label; all have the empty one.
func (sp *spot) carries(label string) bool {
	if label == "" {
		return true
	}
	for _, other := range sp.instance.Labels {
		if other == label {
			return true
		}
	}
	return false
}

// target returns the pool that the instance is in or is sent to by this plan.
func (sp *spot) target() string {
	if sp.to != "" {
		return sp.to
	}
	return sp.pool
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
	return r.plan
}

// holds reports whether an instance belongs to the wave.
func (w *Wave) holds(instance string) bool {
	for _, id := range w.Instances {
		if id == instance {
			return true
		}
	}
	return false
}

// Complete reports whether every instance of the wave that is still there has
// begun its maintenance.
func (w *Wave) Complete(instances []outside.Instance) bool {
	for _, m := range instances {
		if w.holds(m.ID) && !w.Done[m.ID] {
			return false
		}
	}
	return true
}
