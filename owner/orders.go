package owner

import (
	"context"
	"errors"
	"sort"
	"sync"
	"time"

	"lemonstream.dev/lemonstream/outside"
	"lemonstream.dev/lemonstream/pool"
)

// announce writes which instances are about to be ordered, so that a successor
// leaves just these alone.
func (f *fleet) announce(ctx context.Context, instances []string) error {
	now := f.deps.Clock.Now()
	for instance, at := range f.recent {
		if now.Sub(at) > f.deps.Site.HolderPause+orderFresh {
			delete(f.recent, instance)
		}
	}
	for _, instance := range instances {
		f.recent[instance] = now
	}
	return f.confirm(ctx, nil, false)
}

// recentOrders returns what a successor has to know.
func (f *fleet) recentOrders() []string {
	list := make([]string, 0, len(f.recent))
	for instance := range f.recent {
		list = append(list, instance)
	}
	sort.Strings(list)
	return list
}

// order gives the orders of a plan, all at once, and takes in their answers.
func (f *fleet) order(ctx context.Context, plan pool.Plan) error {
	type outcome struct {
		instance, from, to string
		worker             outside.Incarnation
		wave               int64
		err                error
	}
	outcomes := make([]outcome, 0, len(plan.Moves)+len(plan.Maintenances))
	for _, m := range plan.Moves {
		outcomes = append(outcomes, outcome{
			instance: m.Instance,
			worker:   m.Worker,
			from:     m.From,
			to:       m.To,
		})
	}
	for _, m := range plan.Maintenances {
		outcomes = append(outcomes, outcome{
			instance: m.Instance,
			worker:   m.Worker,
			from:     m.Pool,
			wave:     m.Wave,
		})
	}
	limit := max(1, int(f.deps.Site.InstanceCalls*fleetPause.Seconds()))
	if len(outcomes) > limit {
		outcomes = outcomes[:limit]
	}
	if len(outcomes) == 0 {
		return nil
	}
	announced := make([]string, 0, len(outcomes))
	for _, o := range outcomes {
		announced = append(announced, o.instance)
	}
	if err := f.announce(ctx, announced); err != nil {
		return err
	}
	var all sync.WaitGroup
	for i := range outcomes {
		o := &outcomes[i]
		all.Add(1)
		f.deps.Group.Go("instance order", func(context.Context) error {
			defer all.Done()
			o.err = f.orderOne(ctx, o.instance, o.to, o.wave)
			return nil
		})
	}
	all.Wait()
	for _, o := range outcomes {
		f.settle(o.instance, o.worker, o.from, o.to, o.wave, o.err)
	}
	return nil
}

// orderOne gives one order, if the tenure was confirmed a moment ago.
func (f *fleet) orderOne(ctx context.Context, instance, to string, wave int64) error {
	if age := f.tenure.age(); age > orderFresh {
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

// settle takes in the answer to an order.
func (f *fleet) settle(instance string, worker outside.Incarnation, from, to string, wave int64, err error) {
	now := f.deps.Clock.Now()
	var refused *outside.InstanceRefusedError
	var notDone *outside.NotDoneError
	var lost *LostError
	switch {
	case err == nil:
		f.deps.Log.Info("instance ordered", "instance", instance, "worker", worker.String(), "from", from, "to", to, "wave", wave, "epoch", f.tenure.epoch,
			"load_age_ms", now.Sub(f.asked).Milliseconds())
		f.sizer.Ordered(instance, to, worker, wave, now)
		if f.ended[from] == nil {
			f.ended[from] = make(map[string]time.Time)
		}
		f.ended[from][worker.String()] = now
		f.done(wave, instance)
	case errors.As(err, &refused):
		f.sizer.Refused(instance, to, false, now)
	case outside.IsNotDone(err):
		f.sizer.Refused(instance, to, errors.As(err, &notDone) && notDone.Status == statusBadRequest, now)
	case errors.As(err, &lost):
	default:
		// It may have been done, or may be later: the instance counts as under way.
		f.sizer.Unsure(instance, from, to, worker, wave, now)
	}
	if err != nil {
		f.deps.Log.Warn("instance order without success", "instance", instance, "worker", worker.String(), "from", from, "to", to, "wave", wave, "error", err.Error(),
			"load_age_ms", now.Sub(f.asked).Milliseconds())
	}
}
