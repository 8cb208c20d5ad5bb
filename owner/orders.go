package owner

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sort"
	"sync"
	"time"

	"lemonstream.dev/lemonstream/outside"
	"lemonstream.dev/lemonstream/pool"
)

// announce writes which instances are about to be ordered, so that a successor leaves only these
// alone for a while.
func (f *instanceController) announce(ctx context.Context, instances []string) error {
	now := f.deps.Clock.Now()
	for _, instance := range instances {
		f.lastOrders[instance] = now
	}
	return f.confirmOwnership(ctx, nil, false)
}

// recentOrders returns the instances that were recently ordered, for the successor.
func (f *instanceController) recentOrders() []string {
	list := make([]string, 0, len(f.lastOrders))
	for instance := range f.lastOrders {
		list = append(list, instance)
	}
	sort.Strings(list)
	return list
}

// instanceOrder is one order of a plan and its result.
type instanceOrder struct {
	instance, from, to string
	worker             outside.Incarnation
	wave               int64
	reason             string
	err                error
}

// sendOrders sends the orders of a plan concurrently and handles their results.
func (f *instanceController) sendOrders(ctx context.Context, plan pool.Plan) error {
	orders := ordersOf(plan)
	orders = orders[:min(len(orders), f.maxOrders())]
	if len(orders) == 0 {
		return nil
	}
	f.orderedAt = f.deps.Clock.Now()
	announced := make([]string, 0, len(orders))
	f.releasedWorkers = nil
	for _, o := range orders {
		announced = append(announced, o.instance)
		if o.worker.Worker != "" {
			f.releasedWorkers = append(f.releasedWorkers, ReleasedRow{
				Service: o.from,
				Worker:  o.worker.Worker,
			})
		}
	}
	if err := f.announce(ctx, announced); err != nil {
		return err
	}
	orders = f.dropOutdated(ctx, orders)
	var all sync.WaitGroup
	for i := range orders {
		o := &orders[i]
		all.Add(1)
		f.deps.Group.Go("instance order", func(context.Context) error {
			defer all.Done()
			o.err = f.sendOrder(ctx, o.instance, o.to, o.wave)
			return nil
		})
	}
	all.Wait()
	f.releasedWorkers = nil
	for _, o := range orders {
		f.handleResult(o)
	}
	return nil
}

// maxOrders returns how many orders may be sent now: as many as the platform accepts in the time
// since the last orders (one second at most), and no more than the heartbeat row can list. That
// time is measured because a round takes longer in a larger fleet.
func (f *instanceController) maxOrders() int {
	now := f.deps.Clock.Now()
	maps.DeleteFunc(f.lastOrders, func(_ string, at time.Time) bool { return now.Sub(at) > f.deps.Site.HolderPause+maxOrderWriteAge })
	since := min(orderRateWindow, max(controlInterval, now.Sub(f.orderedAt)))
	most := max(1, int(f.deps.Site.InstanceCalls*since.Seconds()))
	if f.deps.Site.RowBytes <= 0 {
		return most
	}
	return max(0, min(most, int(maxOrderedShare*float64(f.deps.Site.RowBytes))/orderedEntryBytes-len(f.lastOrders)))
}

// ordersOf returns the orders of a plan.
func ordersOf(plan pool.Plan) []instanceOrder {
	orders := make([]instanceOrder, 0, len(plan.Moves)+len(plan.Maintenances))
	for _, m := range plan.Moves {
		orders = append(orders, instanceOrder{
			instance: m.Instance,
			worker:   m.Worker,
			from:     m.From,
			to:       m.To,
			reason:   m.Reason,
		})
	}
	for _, m := range plan.Maintenances {
		orders = append(orders, instanceOrder{
			instance: m.Instance,
			worker:   m.Worker,
			from:     m.Pool,
			wave:     m.Wave,
		})
	}
	return orders
}

// dropOutdated drops orders for workers whose service has a new owner: only the previous owner has
// reported that nothing runs there. It checks after the orders were announced. A successor that
// claims later reads the announcement and starts nothing on these workers.
func (f *instanceController) dropOutdated(ctx context.Context, orders []instanceOrder) []instanceOrder {
	owned := make(map[string]bool)
	for _, o := range orders {
		if _, asked := owned[o.from]; o.worker.Worker != "" && !asked {
			owned[o.from] = f.isLoadCurrent(ctx, o.from)
		}
	}
	return slices.DeleteFunc(orders, func(o instanceOrder) bool { return o.worker.Worker != "" && !owned[o.from] })
}

// isLoadCurrent reports whether the owner that reported the last load of a service still owns it.
// Owners of earlier versions send no fencing token with the load; they count as current.
func (f *instanceController) isLoadCurrent(ctx context.Context, service string) bool {
	fence := f.fences[service]
	if fence == 0 {
		return true
	}
	row, err := f.deps.Table.Row(ctx, ownerKey(service))
	if err != nil {
		f.deps.Log.Warn("orders dropped: owner row not read", "service", service, "error", err.Error())
		return false
	}
	if row == nil {
		return false
	}
	o, err := decodeOwnership(row.Value)
	if err != nil {
		f.deps.Log.Error("row left out", "table", row.Key.Table, "key", row.Key.Part, "error", err)
		return false
	}
	if o.Epoch != fence {
		f.deps.Log.Info("orders dropped: service has a new owner", "service", service, "told", fence, "epoch", o.Epoch)
	}
	return o.Epoch == fence
}

// sendOrder sends one order. It fails if the last write is older than maxOrderWriteAge.
func (f *instanceController) sendOrder(ctx context.Context, instance, to string, wave int64) error {
	if age := f.tenure.age(); age > maxOrderWriteAge {
		return &LostError{
			Part:   partInstances,
			Reason: "the last write is " + age.String() + " old",
		}
	}
	if wave > 0 {
		return f.deps.Instances.Maintain(ctx, instance, wave, f.deps.Holder, f.tenure.epoch)
	}
	return f.deps.Instances.Move(ctx, instance, to, f.deps.Holder, f.tenure.epoch)
}

// handleResult handles the result of an order.
func (f *instanceController) handleResult(o instanceOrder) {
	now := f.deps.Clock.Now()
	var refused *outside.InstanceRefusedError
	var notDone *outside.NotDoneError
	var lost *LostError
	switch {
	case o.err == nil:
		f.deps.Log.Info("instance ordered", "instance", o.instance, "worker", o.worker.String(), "from", o.from, "to", o.to, "wave", o.wave,
			"epoch", f.tenure.epoch, "load_age_ms", now.Sub(f.loadsRequestedAt).Milliseconds())
		if o.reason != "" {
			f.deps.Count("instance_move", o.reason)
		}
		f.sizer.Ordered(o.instance, o.to, o.worker, o.wave, now)
		if f.ended[o.from] == nil {
			f.ended[o.from] = make(map[string]time.Time)
		}
		f.ended[o.from][o.worker.String()] = now
		f.markDone(o.wave, o.instance)
	case errors.As(o.err, &refused):
		f.sizer.Refused(o.instance, o.to, false, now)
	case outside.IsNotDone(o.err):
		f.sizer.Refused(o.instance, o.to, errors.As(o.err, &notDone) && notDone.Status == statusBadRequest, now)
	case errors.As(o.err, &lost):
	default:
		// The order may have been carried out, or may be later. The instance counts as one whose
		// order is in progress.
		f.sizer.Uncertain(o.instance, o.from, o.to, o.worker, o.wave, now)
	}
	if o.err != nil {
		f.deps.Log.Warn("instance order without success", "instance", o.instance, "worker", o.worker.String(), "from", o.from, "to", o.to, "wave", o.wave,
			"error", o.err.Error(), "load_age_ms", now.Sub(f.loadsRequestedAt).Milliseconds())
	}
}
