package pool

import "sort"

// candidates holds the instances that may be moved to a service that lacks some. They are taken
// in the order of the groups: empty instances of pools above their target, then sleeping
// instances, then other awake instances. An instance that can't be moved now can't be moved
// later in the same plan either, because its pool only shrinks and the need of the service only
// becomes less urgent. Each instance is therefore checked once, however many are moved.
type candidates struct {
	round *round
	to    string

	leaving  []*instanceState
	sleeping []*instanceState
	awake    []*instanceState
}

// candidatesFor returns the instances with the label that may be moved to a service. The empty
// label matches every instance.
func (r *round) candidatesFor(to, label string) *candidates {
	c := &candidates{
		round: r,
		to:    to,
	}
	for _, sp := range r.instances {
		if !r.movable(sp, to) || !sp.hasLabel(label) {
			continue
		}
		if sp.pool == r.sleepingPool {
			c.sleeping = append(c.sleeping, sp)
			continue
		}
		if sp.isEmpty() && !sp.ejected {
			c.leaving = append(c.leaving, sp)
		}
		c.awake = append(c.awake, sp)
	}
	sortByCost(c.awake)
	return c
}

// next returns the candidate whose move costs the least, or nil if none is left.
func (c *candidates) next() *instanceState {
	if c.round.view.SleepingFirst {
		if sp := c.firstUsable(&c.sleeping, func(*instanceState) bool { return true }); sp != nil {
			return sp
		}
	}
	if sp := c.firstUsable(&c.leaving, func(sp *instanceState) bool { return c.canSpare(sp) && c.hasTooMany(sp) }); sp != nil {
		return sp
	}
	if sp := c.firstUsable(&c.sleeping, func(*instanceState) bool { return true }); sp != nil {
		return sp
	}
	return c.firstUsable(&c.awake, c.canSpare)
}

// firstUsable returns the first instance of a group that can be moved, and drops those before
// it from the group. It returns nil if there is none.
func (c *candidates) firstUsable(group *[]*instanceState, usable func(*instanceState) bool) *instanceState {
	for len(*group) > 0 {
		sp := (*group)[0]
		if c.round.movable(sp, c.to) && usable(sp) {
			return sp
		}
		*group = (*group)[1:]
	}
	return nil
}

// canSpare reports whether the pool of an awake instance has more instances than it retains.
func (c *candidates) canSpare(sp *instanceState) bool {
	return c.round.count[sp.pool] > c.round.retainedCount(sp.pool, c.to)
}

// hasTooMany reports whether the pool of an awake instance is above its target.
func (c *candidates) hasTooMany(sp *instanceState) bool {
	return c.round.count[sp.pool] > c.round.plan.Targets[sp.pool]
}

// sortByCost sorts awake instances by the cost of emptying them. The sort is stable.
func sortByCost(list []*instanceState) {
	costs := make(map[*instanceState]int, len(list))
	for _, sp := range list {
		costs[sp] = sp.cost()
	}
	sort.SliceStable(list, func(i, j int) bool { return costs[list[i]] < costs[list[j]] })
}

// cost returns the cost of emptying an awake instance. An empty worker costs the least, one with
// long-running tasks the most. Workers that are closed already come before open ones: choosing
// others would undo the work of closing them.
func (sp *instanceState) cost() int {
	if sp.ejected && sp.load.GiveBack && sp.load.Lasting == 0 {
		return 0
	}
	cost := sp.load.Runs + int(sp.load.Busy/costUnit) + longRunningCost*sp.load.Lasting
	if !sp.load.Closed {
		cost += openPenalty
	}
	return cost
}
