package pool

// maxGiveBackShare is the maximum share of a service's instances that are given back at one time
// because their workers fail what they start; at least one may be.
const maxGiveBackShare = 0.1

// giveBack puts instances to sleep whose workers have failed what they start for some time. Each is
// closed first, so that its owner moves long-running tasks away within their availability budgets.
// An ejected instance does not count in its pool, so that grow replaces it.
func (r *round) giveBack() {
	if r.sleepingPool == "" {
		return
	}
	given := make(map[string]int)
	for _, sp := range r.instances {
		if !sp.ejected || !sp.load.GiveBack || !r.movable(sp, r.sleepingPool) {
			continue
		}
		if name := sp.pool; float64(given[name]) < max(1, maxGiveBackShare*float64(r.count[name])) {
			given[name]++
			r.reassign(sp, r.sleepingPool)
		}
	}
}

// addsCapacity reports whether the instance counts in its pool.
func (sp *instanceState) addsCapacity() bool {
	return !sp.evacuated && !sp.ejected
}
