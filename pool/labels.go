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
	for _, label := range r.requiredLabels(service) {
		candidates := r.candidatesFor(service.Name, label)
		for r.countLabelled(service.Name, label) < r.neededForLabel(service, label) {
			sp := candidates.next()
			if sp == nil {
				break
			}
			r.reassign(sp, service.Name)
		}
	}
}

// requiredLabels returns the labels that a service's tasks require, sorted.
func (r *round) requiredLabels(service *Service) []string {
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
// Instances that are closed for maintenance or add no capacity do not count.
// The result is cached in labelCounts.
func (r *round) countLabelled(pool, label string) int {
	key := poolLabel{
		pool:  pool,
		label: label,
	}
	if count, counted := r.labelCounts[key]; counted {
		return count
	}
	count := 0
	for _, sp := range r.instances {
		leaving := sp.closed && sp.to == ""
		if sp.target() == pool && sp.hasLabel(label) && !leaving && sp.addsCapacity() {
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
func (r *round) neededForLabel(service *Service, label string) int {
	each := r.meanCapacity(service.Name)
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
func (r *round) isNeededForLabel(sp *instanceState) bool {
	service, found := r.services[sp.pool]
	if !found {
		return false
	}
	for label := range service.Load.Labelled {
		if sp.hasLabel(label) && r.countLabelled(sp.pool, label) <= r.neededForLabel(service, label) {
			return true
		}
	}
	return false
}

// isIrreplaceable reports whether the instance has a label that its service needs and no other
// instance can be moved in for it. The tasks on such an instance would have nowhere to go.
func (r *round) isIrreplaceable(sp *instanceState) bool {
	service, found := r.services[sp.pool]
	if !found {
		return false
	}
	for label := range service.Load.Labelled {
		scarce := sp.hasLabel(label) && r.countLabelled(sp.pool, label) <= r.neededForLabel(service, label)
		if scarce && r.candidatesFor(sp.pool, label).next() == nil {
			return true
		}
	}
	return false
}

// hasLabel reports whether the instance has the label. Every instance has the empty label.
func (sp *instanceState) hasLabel(label string) bool {
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
