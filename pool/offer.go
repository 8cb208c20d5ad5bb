package pool

import "sort"

// offer is the instances that a service which lacks some may be given, each group in the order
// in which it is taken: first those that are about to be sent to sleep with nothing on them, then
// sleeping ones, then others that are awake. An instance that can't be given now can't be
// later in the same plan: its pool only shrinks, and what the service needs only grows less
// urgent. So each is looked at once, however many are given.
type offer struct {
	round *round
	to    string

	leaving  []*spot
	sleeping []*spot
	awake    []*spot
}

// offerTo returns what a service may be given; all of it carries the label unless that is empty.
func (r *round) offerTo(to, label string) *offer {
	o := &offer{
		round: r,
		to:    to,
	}
	for _, sp := range r.spots {
		if !r.movable(sp, to) || !sp.carries(label) {
			continue
		}
		if sp.pool == r.asleep {
			o.sleeping = append(o.sleeping, sp)
			continue
		}
		if sp.empty() {
			o.leaving = append(o.leaving, sp)
		}
		o.awake = append(o.awake, sp)
	}
	sortByCost(o.awake)
	return o
}

// next returns the instance that is missed least elsewhere, or nil.
func (o *offer) next() *spot {
	if sp := o.first(&o.leaving, func(sp *spot) bool { return o.canSpare(sp) && o.hasTooMany(sp) }); sp != nil {
		return sp
	}
	if sp := o.first(&o.sleeping, func(*spot) bool { return true }); sp != nil {
		return sp
	}
	return o.first(&o.awake, o.canSpare)
}

// first returns the first of a group that can be given, and drops those before it.
func (o *offer) first(group *[]*spot, usable func(*spot) bool) *spot {
	for len(*group) > 0 {
		sp := (*group)[0]
		if o.round.movable(sp, o.to) && usable(sp) {
			return sp
		}
		*group = (*group)[1:]
	}
	return nil
}

// canSpare reports whether the pool of an awake instance has more than it keeps.
func (o *offer) canSpare(sp *spot) bool {
	return o.round.count[sp.pool] > o.round.keeps(sp.pool, o.to)
}

// hasTooMany reports whether the pool of an awake instance has more than it wants.
func (o *offer) hasTooMany(sp *spot) bool {
	return o.round.count[sp.pool] > o.round.plan.Targets[sp.pool]
}

// sortByCost sorts awake instances by what emptying them takes, equal ones as they were.
func sortByCost(list []*spot) {
	costs := make(map[*spot]int, len(list))
	for _, sp := range list {
		costs[sp] = sp.cost()
	}
	sort.SliceStable(list, func(i, j int) bool { return costs[list[i]] < costs[list[j]] })
}
