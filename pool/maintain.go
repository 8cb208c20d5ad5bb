package pool

import (
	"sort"
	"time"

	"lemonstream.dev/lemonstream/outside"
)

// maintain plans the maintenance of the instances of every open wave.
func (r *round) maintain() {
	for _, wave := range r.view.Waves {
		r.maintainWave(wave)
	}
}

// maintainWave closes the workers of the wave's instances and orders the maintenance of those
// where nothing runs, sleeping instances first. At most AtOnce instances of the wave are down
// or closed at a time.
func (r *round) maintainWave(wave *Wave) {
	down := 0
	var remaining []*instanceState
	closing := make(map[string]int)
	members := wave.members()
	for _, sp := range r.instances {
		if !members[sp.instance.ID] {
			continue
		}
		o, ordered := r.sizer.ordered[sp.instance.ID]
		blocked := r.view.Now.Before(r.sizer.blocked[sp.instance.ID])
		if sp.instance.State == outside.InstanceMaintenance || (ordered && o.wave > 0) || blocked {
			down++
		}
		if !wave.Done[sp.instance.ID] && sp.free && !sp.closed {
			remaining = append(remaining, sp)
		}
	}
	sort.SliceStable(remaining, func(i, j int) bool {
		return r.disruptionCost(remaining[i]) < r.disruptionCost(remaining[j])
	})
	late := r.view.Now.Sub(wave.Seen) > time.Duration((1-reservedTimeShare)*float64(wave.Within))
	for _, sp := range remaining {
		if down >= wave.AtOnce {
			return
		}
		awake := sp.pool != r.sleepingPool
		if awake && !r.mayClose(sp, closing, late) {
			continue
		}
		sp.closed = true
		r.labelCounts = nil
		if awake {
			closing[sp.pool]++
			// Not counting the instance lets another one replace it, so that the tasks on
			// it have somewhere to go.
			if sp.addsCapacity() {
				r.count[sp.pool]--
			}
			r.plan.Closed[sp.pool] = append(r.plan.Closed[sp.pool], sp.instance.Worker)
			if !sp.isEmpty() {
				down++
				continue
			}
		}
		down++
		r.plan.Maintenances = append(r.plan.Maintenances, Maintenance{
			Instance: sp.instance.ID,
			Worker:   sp.incarnation(),
			Pool:     sp.pool,
			Wave:     wave.Number,
		})
	}
}

// mayClose reports whether an awake instance may be closed for maintenance. Unless the pool has
// more instances than its target or the wave is late, at most maxMaintenanceShare of the pool,
// but at least one instance, is closed at a time.
func (r *round) mayClose(sp *instanceState, closing map[string]int, late bool) bool {
	if !sp.known || sp.load.Draining || r.isIrreplaceable(sp) {
		return false
	}
	if late || r.count[sp.pool] > r.plan.Targets[sp.pool] {
		return true
	}
	return float64(closing[sp.pool]) < max(1, maxMaintenanceShare*float64(r.count[sp.pool]))
}

// disruptionCost returns how much the maintenance of the instance disrupts: 0 for a sleeping
// instance, more than 0 for an awake one.
func (r *round) disruptionCost(sp *instanceState) int {
	if sp.pool == r.sleepingPool {
		return 0
	}
	return 1 + sp.cost()
}

// members returns the IDs of the wave's instances as a set.
func (w *Wave) members() map[string]bool {
	members := make(map[string]bool, len(w.Instances))
	for _, id := range w.Instances {
		members[id] = true
	}
	return members
}

// Complete reports whether maintenance has begun on every instance of the wave that is still
// listed.
func (w *Wave) Complete(instances []outside.Instance) bool {
	members := w.members()
	for _, m := range instances {
		if members[m.ID] && !w.Done[m.ID] {
			return false
		}
	}
	return true
}
