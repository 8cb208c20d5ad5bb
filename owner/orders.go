package owner

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"lemonstream.dev/lemonstream/outside"
	"lemonstream.dev/lemonstream/pool"
)

// instanceOrder is one order of a plan and its result.
type instanceOrder struct {
	instance, from, to string
	worker             outside.Incarnation
	wave               int64
	reason             string
	err                error

	// unwritten says that the order is sent although no row names it. informedAt is when the
	// witnesses were asked to take note of it.
	unwritten  bool
	informedAt time.Time
}

// sendOrders sends the orders of a plan that may be sent now. Each has to be named by a row first;
// without one, see informed. While the store is away, orders that can't be sent must not take the
// place of those that can. Unwritten orders go first: the reads for the others may take until the
// promises have ended.
func (f *instanceController) sendOrders(ctx context.Context, plan pool.Plan, away bool) error {
	orders := ordersOf(plan)
	if away {
		fresh := f.tenure.age() <= maxOrderWriteAge
		orders = slices.DeleteFunc(orders, func(o instanceOrder) bool { return !f.isAsleep(o) && (!fresh || !f.isAnnounced(o)) })
	}
	orders = f.limitOrders(orders)
	if len(orders) == 0 {
		return nil
	}
	if err := f.announce(ctx, orders); err != nil {
		return err
	}
	var written, rest []instanceOrder
	for _, o := range orders {
		if f.isAnnounced(o) {
			written = append(written, o)
		} else {
			rest = append(rest, o)
		}
	}
	unwritten := f.informed(ctx, rest)
	// The transaction may have shown meanwhile that there is another owner.
	if err := f.pollWrite(); err != nil {
		return err
	}
	f.dispatch(ctx, unwritten)
	f.dispatch(ctx, f.dropOutdated(ctx, written))
	return nil
}

// announce writes which instances are about to be ordered, so that a successor leaves only these
// alone for a while. It waits for the result at most for announceWait, and not at all for a
// transaction that has taken longer already.
func (f *instanceController) announce(ctx context.Context, orders []instanceOrder) error {
	if !slices.ContainsFunc(orders, func(o instanceOrder) bool { return !f.isAnnounced(o) }) {
		return nil
	}
	began := f.deps.Clock.Now()
	if f.writing != nil {
		if err := f.awaitWrite(ctx, f.writing.builtAt.Add(announceWait).Sub(began)); err != nil {
			return err
		}
	}
	if f.writing != nil {
		return nil
	}
	f.startWrite(ctx, orders, false)
	return f.awaitWrite(ctx, began.Add(announceWait).Sub(f.deps.Clock.Now()))
}

// isAnnounced reports whether the last applied row names the order.
func (f *instanceController) isAnnounced(o instanceOrder) bool {
	worker, found := f.announced[o.instance]
	return found && worker == o.worker.Worker
}

// dispatch sends orders concurrently and handles their results.
func (f *instanceController) dispatch(ctx context.Context, orders []instanceOrder) {
	if len(orders) == 0 {
		return
	}
	f.orderedAt = f.deps.Clock.Now()
	var all sync.WaitGroup
	for i := range orders {
		o := &orders[i]
		f.lastOrders[o.instance] = f.orderedAt
		delete(f.announced, o.instance)
		all.Add(1)
		f.deps.Group.Go("instance order", func(context.Context) error {
			defer all.Done()
			o.err = f.sendOrder(ctx, *o)
			return nil
		})
	}
	all.Wait()
	for _, o := range orders {
		f.handleResult(o)
	}
}

// limitOrders returns the first orders of a list, as many as may be sent now: as many as the
// platform accepts in the time since the last orders (one second at most), and no more than the
// heartbeat row can list. That time is measured because a round takes longer in a larger fleet.
func (f *instanceController) limitOrders(orders []instanceOrder) []instanceOrder {
	now := f.deps.Clock.Now()
	maps.DeleteFunc(f.lastOrders, func(instance string, at time.Time) bool {
		return !f.unnamed[instance] && now.Sub(at) > f.deps.Site.HolderPause+maxOrderWriteAge
	})
	since := min(orderRateWindow, max(controlInterval, now.Sub(f.orderedAt)))
	most := max(1, int(f.deps.Site.InstanceCalls*since.Seconds()))
	room := most
	if f.deps.Site.RowBytes > 0 {
		room = int(maxOrderedShare*float64(f.deps.Site.RowBytes))/orderedEntryBytes - len(f.lastOrders)
	}
	var list []instanceOrder
	for _, o := range orders {
		_, listed := f.lastOrders[o.instance]
		switch {
		case len(list) >= most:
			return list
		case listed:
		case room <= 0:
			continue
		default:
			room--
		}
		list = append(list, o)
	}
	return list
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
// claims later reads the announcement and starts nothing on these workers. The reads take no longer
// than the announcement: with a silent store they took up to 1.3 s, in which no instance was ordered.
func (f *instanceController) dropOutdated(ctx context.Context, orders []instanceOrder) []instanceOrder {
	bounded, cancel := context.WithTimeout(ctx, announceWait)
	defer cancel()
	owned := make(map[string]bool)
	for _, o := range orders {
		if _, asked := owned[o.from]; o.worker.Worker != "" && !asked {
			owned[o.from] = f.isLoadCurrent(bounded, o.from)
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

// sendOrder sends one order. It fails if the last write is older than maxOrderWriteAge, unless the
// instance sleeps and the witnesses have promised not to claim the instances. An order for an
// instance with a worker depends on rows, which witnesses do not replace.
func (f *instanceController) sendOrder(ctx context.Context, o instanceOrder) error {
	allowed := f.tenure.age() <= maxOrderWriteAge
	if o.wave == 0 && o.worker.Worker == "" {
		allowed = f.mayAct(maxOrderWriteAge)
	}
	if o.unwritten && f.deps.Clock.Now().Sub(o.informedAt) > maxOrderWriteAge {
		// The witnesses remember an instance for a limited time.
		allowed = false
	}
	if !allowed || f.tenure.replaced.Load() {
		return &LostError{
			Part:   partInstances,
			Reason: "the last write is " + f.tenure.age().String() + " old",
		}
	}
	if o.wave > 0 {
		return f.deps.Instances.Maintain(ctx, o.instance, o.wave, f.deps.Holder, f.tenure.epoch)
	}
	return f.deps.Instances.Move(ctx, o.instance, o.to, f.deps.Holder, f.tenure.epoch)
}

// noteEnded records a worker that ended with its instance, so that the owner of its service is told.
func (f *instanceController) noteEnded(service string, worker outside.Incarnation, now time.Time) {
	if f.ended[service] == nil {
		f.ended[service] = make(map[string]time.Time)
	}
	f.ended[service][worker.String()] = now
}

// handleResult handles the result of an order.
func (f *instanceController) handleResult(o instanceOrder) {
	now := f.deps.Clock.Now()
	var refused *outside.InstanceRefusedError
	var notDone *outside.NotDoneError
	var lost *LostError
	if o.unwritten && !errors.As(o.err, &lost) {
		f.unnamed[o.instance] = true
		f.deps.Count(countOrders, outcomeUnwritten)
	}
	switch {
	case o.err == nil:
		f.deps.Log.Info("instance ordered", "instance", o.instance, "worker", o.worker.String(), "from", o.from, "to", o.to, "wave", o.wave,
			"epoch", f.tenure.epoch, "load_age_ms", now.Sub(f.loadsRequestedAt).Milliseconds())
		if o.reason != "" {
			f.deps.Count("instance_move", o.reason)
		}
		f.sizer.Ordered(o.instance, o.to, o.worker, o.wave, now)
		if o.wave == 0 {
			f.noteEnded(o.from, o.worker, now)
		}
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
