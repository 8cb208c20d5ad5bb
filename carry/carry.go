// Package carry is the duty that carries confirmed plans out. It looks at the
// whole state, compares it with what the plan wants, and does the next steps;
// so any entry can go on at any step, and doing a step twice changes nothing.
package carry

import (
	"context"
	"errors"
	"log/slog"
	"net/netip"
	"slices"
	"sort"
	"time"

	"lemonstream.dev/lemonstream/budget"
	"lemonstream.dev/lemonstream/clock"
	"lemonstream.dev/lemonstream/control"
	"lemonstream.dev/lemonstream/fleet"
	"lemonstream.dev/lemonstream/intent"
	"lemonstream.dev/lemonstream/lease"
	"lemonstream.dev/lemonstream/state"
	"lemonstream.dev/lemonstream/store"
)

const (
	// backWithin is how long a rebooted instance may take to come back.
	backWithin = 10 * time.Minute

	// stepsAtOnce bounds the instances of one transaction.
	stepsAtOnce = 25

	// probeTimeout bounds one look at an instance's health.
	probeTimeout = time.Second
)

// Outside is what the duty sees and does beyond the table.
type Outside struct {
	View func() *state.View

	// Quiet reports whether every entry that may be alive has said that it
	// sends nothing to the instance and waits for nothing from it.
	Quiet func(instance string) bool

	// Idle reports whether no task runs on the instance.
	Idle func(ctx context.Context, instance fleet.Instance) bool

	// Reboot asks the platform for one reboot for each op.
	Reboot func(ctx context.Context, instance, op string) error

	// Healthy reports whether the endpoint takes connections.
	Healthy func(ctx context.Context, address netip.AddrPort) bool

	// ConfigEverywhere reports whether every entry that may be alive has the
	// version, or a later one, in force.
	ConfigEverywhere func(version int64) bool
}

// Duty carries plans out.
type Duty struct {
	store   *control.Store
	leases  *lease.Holder
	outside Outside
	clock   clock.Clock
	log     *slog.Logger
	pause   time.Duration
}

// New returns the duty, which looks at the state once in every pause.
func New(store *control.Store, leases *lease.Holder, outside Outside, c clock.Clock, log *slog.Logger, pause time.Duration) *Duty {
	return &Duty{
		store:   store,
		leases:  leases,
		outside: outside,
		clock:   c,
		log:     log,
		pause:   pause,
	}
}

// Run carries plans out until ctx ends.
func (d *Duty) Run(ctx context.Context) error {
	return clock.Every(ctx, d.pause, d.Round)
}

// Round does the next steps of every plan whose lease this entry gets.
func (d *Duty) Round(ctx context.Context) {
	plans := d.store.Plans()
	sort.Slice(plans, func(i, j int) bool { return plans[i].ID < plans[j].ID })
	for _, plan := range plans {
		if !d.unfinished(plan) {
			continue
		}
		_, held, err := d.leases.Hold(ctx, "plan/"+plan.ID)
		if err != nil || !held {
			continue
		}
		if err := d.advance(ctx, plan); err != nil {
			d.note(plan, err)
		}
	}
}

// advance does the next steps of the plan.
func (d *Duty) advance(ctx context.Context, plan *intent.Plan) error {
	if plan.Intent.Kind == intent.Rollout {
		return d.advanceRollout(ctx, plan)
	}
	failures := []error{d.makeSteps(ctx, plan)}
	if plan.State == intent.StateConfirmed {
		failures = append(failures, d.openWave(ctx, plan))
	}
	return errors.Join(failures...)
}

// makeSteps makes the next steps of all instances that the plan took out, many
// in a transaction, so that a large wave does not overload the table.
func (d *Duty) makeSteps(ctx context.Context, plan *intent.Plan) error {
	var failures []error
	var steps []control.Step
	for _, id := range plan.Instances() {
		instance := d.outside.View().Instances[id]
		if instance.Plan != plan.ID {
			continue
		}
		step, err := d.next(ctx, plan, instance)
		failures = append(failures, err)
		if step != nil {
			steps = append(steps, *step)
		}
	}
	for some := range slices.Chunk(steps, stepsAtOnce) {
		failures = append(failures, d.store.Advance(ctx, plan.ID, some))
	}
	return errors.Join(failures...)
}

func (d *Duty) advanceRollout(ctx context.Context, plan *intent.Plan) error {
	if plan.State != intent.StateConfirmed || !d.outside.ConfigEverywhere(plan.ConfigVersion) {
		return nil
	}
	return d.store.Finish(ctx, plan.ID)
}

// note logs why a plan did not get on. Conflicts and spent budgets are part of
// the ordinary course.
func (d *Duty) note(plan *intent.Plan, err error) {
	var conflict *store.ConflictError
	var exceeded *budget.ExceededError
	var phase *control.PhaseError
	level := slog.LevelWarn
	if errors.As(err, &conflict) || errors.As(err, &exceeded) || errors.As(err, &phase) {
		level = slog.LevelDebug
	}
	d.log.Log(context.Background(), level, "plan waits", "plan", plan.ID, "error", err)
}

// openWave takes out the next wave, or what the budgets allow of it, once the
// wave before is done; with no wave left the plan is finished.
func (d *Duty) openWave(ctx context.Context, plan *intent.Plan) error {
	view := d.outside.View()
	for _, wave := range plan.Waves {
		undone := slices.DeleteFunc(slices.Clone(wave), func(id string) bool { return plan.DoneWith(view, id) })
		if len(undone) == 0 {
			continue
		}
		return d.takeOut(ctx, plan, view, undone)
	}
	return d.store.Finish(ctx, plan.ID)
}

// takeOut asks for the permits of the instances that are still in service.
func (d *Duty) takeOut(ctx context.Context, plan *intent.Plan, view *state.View, ids []string) error {
	waiting := make(map[string][]string)
	for _, id := range ids {
		instance := view.Instances[id]
		if plan.Action == intent.ActionReturn {
			if instance.Plan != plan.ID {
				return d.store.Adopt(ctx, plan.ID, id)
			}
			continue
		}
		if instance.Phase == fleet.PhaseServing && instance.Plan == "" {
			waiting[instance.Pool] = append(waiting[instance.Pool], id)
		}
	}
	var failures []error
	for pool, some := range waiting {
		failures = append(failures, d.permitSome(ctx, plan, pool, some))
	}
	return errors.Join(failures...)
}

// permitSome asks for all ids together, then for as many as the budget has
// free.
func (d *Duty) permitSome(ctx context.Context, plan *intent.Plan, pool string, ids []string) error {
	err := d.store.Permit(ctx, plan.ID, pool, ids)
	var exceeded *budget.ExceededError
	if !errors.As(err, &exceeded) || exceeded.Free == 0 || exceeded.Free >= len(ids) {
		return err
	}
	return d.store.Permit(ctx, plan.ID, pool, ids[:exceeded.Free])
}

// unfinished reports whether the plan may still change something: it is
// active, or it was aborted with instances still out.
func (d *Duty) unfinished(plan *intent.Plan) bool {
	if plan.Active() {
		return true
	}
	if plan.State != intent.StateAborted {
		return false
	}
	view := d.outside.View()
	return slices.ContainsFunc(plan.Instances(), func(id string) bool {
		return view.Instances[id].Plan == plan.ID
	})
}
