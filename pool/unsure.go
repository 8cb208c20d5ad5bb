package pool

import (
	"lemonstream.dev/lemonstream/outside"
)

// guard keeps workers closed that an order may yet take: one of this holder got no answer, or a
// holder before may just have given one. What began there was ended by it.
func (r *round) guard() {
	for _, sp := range r.spots {
		o, ordered := r.sizer.ordered[sp.instance.ID]
		open := (ordered && o.unsure) || r.view.Now.Before(r.sizer.blocked[sp.instance.ID])
		if open && sp.awake() {
			r.plan.Closed[sp.instance.Pool] = append(r.plan.Closed[sp.instance.Pool], sp.instance.Worker)
		}
	}
}

// repeat gives orders without an answer again, once nothing runs on the instance: the first
// one may have had no effect, and tasks may have begun there since.
func (r *round) repeat() {
	for _, sp := range r.spots {
		o, found := r.sizer.ordered[sp.instance.ID]
		if !found || !o.unsure || r.view.Now.Sub(o.tried) < retryPause || sp.instance.State != outside.InstanceUp {
			continue
		}
		if sp.awake() && (!sp.known || !sp.empty()) {
			continue
		}
		if o.wave > 0 {
			r.plan.Maintenances = append(r.plan.Maintenances, Maintenance{
				Instance: sp.instance.ID,
				Worker:   o.worker,
				Pool:     o.from,
				Wave:     o.wave,
			})
			continue
		}
		r.plan.Moves = append(r.plan.Moves, Move{
			Instance: sp.instance.ID,
			Worker:   o.worker,
			From:     o.from,
			To:       o.to,
		})
	}
}
