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
	for _, sp := range r.instances {
		if sp.ejected && r.movable(sp, r.sleepingPool) {
			r.reassign(sp, r.sleepingPool)
		}
	}
}

// mayGiveBack reports whether an ejected instance may leave its pool. The bound holds for every
// kind of move: an ejected instance lowers no count, so that the target does not limit how many go.
func (r *round) mayGiveBack(sp *instanceState) bool {
	return sp.load.GiveBack && float64(r.givenBack[sp.pool]) < max(1, maxGiveBackShare*float64(r.count[sp.pool]))
}

// addsCapacity reports whether the instance counts in its pool.
func (sp *instanceState) addsCapacity() bool {
	return !sp.evacuated && !sp.ejected
}
