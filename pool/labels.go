package pool

import (
	"sort"
)

// growLabelled gives a service the instances that it needs of each label that its tasks
// require. It may exceed the service's target, because no other instance can run these tasks.
func (r *round) growLabelled(service *Service) {
	if service.Asleep || !service.Known {
		return
	}
	for _, label := range r.labels(service) {
		candidates := r.offerTo(service.Name, label)
		for r.labelled(service.Name, label) < r.wanted(service, label) {
			sp := candidates.next()
			if sp == nil {
				break
			}
			r.send(sp, service.Name)
		}
	}
}

// requiredLabels returns the labels that a service's tasks require, sorted.
func (r *round) labels(service *Service) []string {
	var list []string
	for label := range service.Load.Labelled {
		list = append(list, label)
	}
	sort.Strings(list)
	return list
}

// poolLabel identifies a label within a pool; it is the key of labelCounts.
type poolLabel struct {
	pool  string
	label string
}

// countLabelled counts the instances with the label that are in the pool or on their way to it.
// Instances that are closed for maintenance or in an evacuated availability zone do not count.
// The result is cached in labelCounts.
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

// neededForLabel returns how many instances with the label a service needs, at least one.
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

// isNeededForLabel reports whether the instance has a label of which its service has no more
// instances than it needs.
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

// isIrreplaceable reports whether the instance has a label that its service needs and no other
// instance can be moved in for it. The tasks on such an instance would have nowhere to go.
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

// hasLabel reports whether the instance has the label. Every instance has the empty label.
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
