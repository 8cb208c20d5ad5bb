package pool

import (
	"sort"
)

// growLabelled gives a service the instances of each label that its tasks ask
// for, beyond its target if need be: no other instance can run them.
func (r *round) growLabelled(service *Service) {
	if service.Asleep || !service.Known {
		return
	}
	for _, label := range r.labels(service) {
		offer := r.offerTo(service.Name, label)
		for r.labelled(service.Name, label) < r.wanted(service, label) {
			sp := offer.next()
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

// poolLabel is a label in a pool.
type poolLabel struct {
	pool  string
	label string
}

// labelled counts the instances of a pool that carry a label.
func (r *round) labelled(pool, label string) int {
	key := poolLabel{
		pool:  pool,
		label: label,
	}
	if count, counted := r.labelCounts[key]; counted {
		return count
	}
	count := 0
	for _, sp := range r.spots {
		leaving := sp.closed && sp.to == ""
		if sp.target() == pool && sp.carries(label) && !leaving && !sp.evacuated {
			count++
		}
	}
	if r.labelCounts == nil {
		r.labelCounts = make(map[poolLabel]int)
	}
	r.labelCounts[key] = count
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

// irreplaceable reports whether an instance carries a label that its service needs
// and that no other instance can bring: what runs there could never leave.
func (r *round) irreplaceable(sp *spot) bool {
	service, found := r.services[sp.pool]
	if !found {
		return false
	}
	for label := range service.Load.Labelled {
		scarce := sp.carries(label) && r.labelled(sp.pool, label) <= r.wanted(service, label)
		if scarce && r.offerTo(sp.pool, label).next() == nil {
			return true
		}
	}
	return false
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
