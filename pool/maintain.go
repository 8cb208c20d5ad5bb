package pool

import (
	"sort"
	"time"

	"lemonstream.dev/lemonstream/outside"
)

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
	members := wave.members()
	for _, sp := range r.spots {
		if !members[sp.instance.ID] {
			continue
		}
		o, ordered := r.sizer.ordered[sp.instance.ID]
		blocked := r.view.Now.Before(r.sizer.blocked[sp.instance.ID])
		if sp.instance.State == outside.InstanceMaintenance || (ordered && o.wave > 0) || blocked {
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
		r.labelCounts = nil
		if awake {
			closing[sp.pool]++
			// Another instance takes its place meanwhile, so that what runs there
			// has somewhere to go.
			if !sp.evacuated {
				r.count[sp.pool]--
			}
			r.plan.Closed[sp.pool] = append(r.plan.Closed[sp.pool], sp.instance.Worker)
			if !sp.empty() {
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

// trouble orders instances by what their maintenance disturbs.
func (r *round) trouble(sp *spot) int {
	if sp.pool == r.asleep {
		return 0
	}
	return 1 + sp.cost()
}

// members returns the instances of the wave.
func (w *Wave) members() map[string]bool {
	members := make(map[string]bool, len(w.Instances))
	for _, id := range w.Instances {
		members[id] = true
	}
	return members
}

// Complete reports whether every instance of the wave that is still there has
// begun its maintenance.
func (w *Wave) Complete(instances []outside.Instance) bool {
	members := w.members()
	for _, m := range instances {
		if members[m.ID] && !w.Done[m.ID] {
			return false
		}
	}
	return true
}
