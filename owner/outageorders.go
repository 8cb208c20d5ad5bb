package owner

import (
	"context"
	"maps"
	"slices"
	"time"

	"lemonstream.dev/lemonstream/outside"
)

const (
	// informTimeout bounds how long the witnesses are asked before orders are sent without a
	// write. A request between entries takes a few milliseconds.
	informTimeout = 250 * time.Millisecond

	// countOrders is the metric that counts orders by what became of their row, and
	// outcomeNotedLate the outcome of orders that were sent before a row named them.
	countOrders      = "instance_orders"
	outcomeNotedLate = "noted_late"
	outcomeUnwritten = "without_write"
)

// Promises replaces the promises of witnesses, for tests. A nil function means that of the tenure.
type Promises struct {
	// MayAct reports whether the instance controller may act now; base is how long it may after
	// its last write without promises. It is called by several goroutines at once.
	MayAct func(base time.Duration) bool

	// Inform tells every witness which instances are about to be ordered. It returns nil once all
	// have promised not to claim the instances, and have thereby taken note of those.
	Inform func(ctx context.Context, instances []string) error
}

// isAsleep reports whether an order moves an instance that sleeps by the current list. Nothing runs
// there, so no owner of a service has to be asked.
func (f *instanceController) isAsleep(o instanceOrder) bool {
	if o.wave > 0 || o.worker.Worker != "" || !f.sleepingPools[o.from] {
		return false
	}
	for _, listed := range f.instances {
		if listed.ID == o.instance {
			return listed.Pool == o.from && listed.Worker == "" && listed.State == outside.InstanceUp
		}
	}
	return false
}

// informed returns the orders that may be sent although no row names them: those for sleeping
// instances, once every witness has promised on a request that named them. A witness that claims
// the instances leaves them alone; any other successor waits until orders of this controller can't
// take effect any more.
func (f *instanceController) informed(ctx context.Context, orders []instanceOrder) []instanceOrder {
	orders = slices.DeleteFunc(slices.Clone(orders), func(o instanceOrder) bool { return !f.isAsleep(o) })
	if len(orders) == 0 || !f.deps.OrderInOutage {
		return nil
	}
	names := make([]string, 0, len(orders))
	for i := range orders {
		orders[i].unwritten = true
		orders[i].informedAt = f.deps.Clock.Now()
		names = append(names, orders[i].instance)
	}
	bounded, cancel := context.WithTimeout(ctx, informTimeout)
	defer cancel()
	if err := f.informWitnesses(bounded, names); err != nil {
		f.deps.Log.Info("orders wait for the store", "count", len(orders), "epoch", f.tenure.epoch, "error", err.Error())
		return nil
	}
	f.deps.Log.Info("instances ordered without a write", "count", len(orders), "epoch", f.tenure.epoch,
		"write_age_ms", f.tenure.age().Milliseconds())
	return orders
}

// noteNamed handles a row that was written: orders that were sent without a write and that it names
// are noted now.
func (f *instanceController) noteNamed(named []string) {
	before := len(f.unnamed)
	for _, instance := range named {
		if f.unnamed[instance] {
			delete(f.unnamed, instance)
			f.deps.Count(countOrders, outcomeNotedLate)
		}
	}
	if late := before - len(f.unnamed); late > 0 {
		f.deps.Log.Info("orders noted late", "count", late, "remaining", len(f.unnamed), "epoch", f.tenure.epoch)
	}
}

// recentOrders returns the instances that were ordered recently, sorted.
func (f *instanceController) recentOrders() []string {
	return slices.Sorted(maps.Keys(f.lastOrders))
}

// namesWith returns the instances that the next row names: those ordered recently and those of the
// given orders, sorted.
func (f *instanceController) namesWith(orders []instanceOrder) []string {
	names := maps.Clone(f.lastOrders)
	for _, o := range orders {
		names[o.instance] = time.Time{}
	}
	return slices.Sorted(maps.Keys(names))
}
