package carry

import (
	"context"
	"fmt"
	"net"
	"net/netip"

	"lemonstream.dev/lemonstream/clock"
	"lemonstream.dev/lemonstream/control"
	"lemonstream.dev/lemonstream/fleet"
	"lemonstream.dev/lemonstream/intent"
	"lemonstream.dev/lemonstream/member"
	"lemonstream.dev/lemonstream/store"
)

// Connects reports whether the address takes a connection.
func Connects(ctx context.Context, address netip.AddrPort) bool {
	dialer := net.Dialer{
		Timeout: probeTimeout,
	}
	conn, err := dialer.DialContext(ctx, "tcp", address.String())
	if err != nil {
		return false
	}
	return conn.Close() == nil
}

// Lets reports whether an entry's word covers the instance's row at version
// and nothing of the entry is in flight there. An entry that told nothing lets
// nothing go.
func Lets(hold member.Hold, told bool, version int64) bool {
	return told && hold.Version >= version && hold.Count == 0
}

// next returns the next step of an instance that the plan took out, or nil when
// none can be made now.
func (d *Duty) next(ctx context.Context, plan *intent.Plan, instance fleet.Instance) (*control.Step, error) {
	aborted := plan.State == intent.StateAborted
	switch instance.Phase {
	case fleet.PhaseDraining:
		if aborted {
			return d.to(instance, fleet.PhaseServing, instance.Pool), nil
		}
		// Who the members are is read before their words.
		epoch := d.outside.View().Rows[fleet.EpochKey].Version
		if !d.outside.Quiet(instance.ID) || !d.outside.Idle(ctx, instance) {
			return nil, nil
		}
		step := d.to(instance, fleet.PhaseDrained, "")
		step.Epoch = epoch
		return step, nil
	case fleet.PhaseDrained:
		if aborted {
			return d.to(instance, fleet.PhaseServing, instance.Pool), nil
		}
		return d.nextDrained(ctx, plan, instance), nil
	case fleet.PhaseRebooting:
		return d.nextRebooting(ctx, plan, instance)
	case fleet.PhaseFailed:
		return d.nextIfBack(ctx, instance, instance.Boot), nil
	default:
		return nil, nil
	}
}

// nextDrained does what the instance was drained for.
func (d *Duty) nextDrained(ctx context.Context, plan *intent.Plan, instance fleet.Instance) *control.Step {
	switch plan.Action {
	case intent.ActionMove:
		return d.to(instance, fleet.PhaseServing, plan.To)
	case intent.ActionReturn:
		return d.nextIfBack(ctx, instance, 0)
	case intent.ActionReboot:
		return d.to(instance, fleet.PhaseRebooting, "")
	default:
		return nil
	}
}

// nextIfBack readmits an instance that runs, with at least the given count of
// starts, and takes connections.
func (d *Duty) nextIfBack(ctx context.Context, instance fleet.Instance, boot int64) *control.Step {
	line, found := d.outside.View().Listed[instance.ID]
	if !found || line.State != store.ListedLive || line.Boot < boot {
		return nil
	}
	if !d.outside.Healthy(ctx, line.Address) {
		return nil
	}
	return d.to(instance, fleet.PhaseServing, instance.Pool)
}

// nextRebooting asks for the reboot, which the platform runs once for the op
// however often it is asked, and readmits the instance once it is back.
func (d *Duty) nextRebooting(ctx context.Context, plan *intent.Plan, instance fleet.Instance) (*control.Step, error) {
	if step := d.nextIfBack(ctx, instance, instance.Boot+1); step != nil {
		return step, nil
	}
	waited := d.clock.Now().Sub(clock.FromMillis(instance.Since))
	if waited > backWithin {
		stopAt := d.outside.View().Config.Waves.FailStop
		reason := fmt.Sprintf("instance %s did not come back within %s of its reboot; look at its rack %s, then resume or abort", instance.ID, backWithin, instance.Rack)
		return nil, d.store.Fail(ctx, plan.ID, instance.ID, stopAt, reason)
	}
	op := fmt.Sprintf("%s/%s/%d", plan.ID, instance.ID, instance.Boot)
	return nil, d.outside.Reboot(ctx, instance.ID, op)
}

// to returns the step of the instance to a phase. The count of starts only
// grows, also when the list leaves the instance out for a moment.
func (d *Duty) to(instance fleet.Instance, phase fleet.Phase, pool string) *control.Step {
	return &control.Step{
		Instance: instance.ID,
		From:     instance.Phase,
		To:       phase,
		Pool:     pool,
		Boot:     max(instance.Boot, d.outside.View().Listed[instance.ID].Boot),
	}
}
