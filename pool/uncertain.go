package pool

import (
	"lemonstream.dev/lemonstream/outside"
)

// keepClosed keeps workers closed whose instance may still be taken by an order: an order of this
// controller got no answer, or a previous controller may have sent one just before. Tasks that
// started on such a worker would be killed by the order.
func (r *round) keepClosed() {
	for _, sp := range r.instances {
		o, ordered := r.sizer.ordered[sp.instance.ID]
		pending := (ordered && o.uncertain) || r.view.Now.Before(r.sizer.blocked[sp.instance.ID])
		if pending && sp.hasWorker() {
			r.plan.Closed[sp.instance.Pool] = append(r.plan.Closed[sp.instance.Pool], sp.instance.Worker)
		}
	}
}

// retryUncertain repeats orders that got no answer, because the first attempt may have had no
// effect. It waits until nothing runs on the instance, since tasks may have started there in the
// meantime.
func (r *round) retryUncertain() {
	for _, sp := range r.instances {
		o, found := r.sizer.ordered[sp.instance.ID]
		if !found || !o.uncertain || r.view.Now.Sub(o.lastTriedAt) < retryInterval || sp.instance.State != outside.InstanceUp {
			continue
		}
		if sp.hasWorker() && (!sp.known || !sp.isEmpty()) {
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
