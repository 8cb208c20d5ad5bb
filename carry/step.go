package carry

import (
	"context"
	"fmt"
	"net"
	"net/netip"

	"lemonstream.dev/lemonstream/clock"
	"lemonstream.dev/lemonstream/fleet"
	"lemonstream.dev/lemonstream/intent"
	"lemonstream.dev/lemonstream/member"
	"lemonstream.dev/lemonstream/platform"
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

// step does the next step of an instance that the plan took out, if it can be
// done now.
func (d *Duty) step(ctx context.Context, plan *intent.Plan, instance fleet.Instance) error {
	aborted := plan.State == intent.StateAborted
	boot := d.outside.View().Listed[instance.ID].Boot
	switch instance.Phase {
	case fleet.PhaseDraining:
		if aborted {
			return d.store.Readmit(ctx, plan.ID, instance.ID, instance.Phase, instance.Pool, instance.Boot)
		}
		if !d.outside.Quiet(instance.ID) {
			return nil
		}
		return d.store.Step(ctx, plan.ID, instance.ID, fleet.PhaseDraining, fleet.PhaseDrained, boot)
	case fleet.PhaseDrained:
		if aborted {
			return d.store.Readmit(ctx, plan.ID, instance.ID, instance.Phase, instance.Pool, instance.Boot)
		}
		return d.stepDrained(ctx, plan, instance, boot)
	case fleet.PhaseRebooting:
		return d.stepRebooting(ctx, plan, instance)
	case fleet.PhaseFailed:
		return d.stepFailed(ctx, plan, instance, boot)
	default:
		return nil
	}
}

// stepDrained does what the instance was drained for.
func (d *Duty) stepDrained(ctx context.Context, plan *intent.Plan, instance fleet.Instance, boot int64) error {
	switch plan.Action {
	case intent.ActionMove:
		return d.store.Readmit(ctx, plan.ID, instance.ID, fleet.PhaseDrained, plan.To, boot)
	case intent.ActionReturn:
		if !d.back(ctx, instance.ID, 0) {
			return nil
		}
		return d.store.Readmit(ctx, plan.ID, instance.ID, fleet.PhaseDrained, instance.Pool, boot)
	case intent.ActionReboot:
		return d.store.Step(ctx, plan.ID, instance.ID, fleet.PhaseDrained, fleet.PhaseRebooting, boot)
	default:
		return nil
	}
}

// stepRebooting asks for the reboot, which the platform runs once for the op
// however often it is asked, and readmits the instance once it is back.
func (d *Duty) stepRebooting(ctx context.Context, plan *intent.Plan, instance fleet.Instance) error {
	if d.back(ctx, instance.ID, instance.Boot+1) {
		boot := d.outside.View().Listed[instance.ID].Boot
		return d.store.Readmit(ctx, plan.ID, instance.ID, fleet.PhaseRebooting, instance.Pool, boot)
	}
	waited := d.clock.Now().Sub(clock.FromMillis(instance.Since))
	if waited > backWithin {
		stopAt := d.outside.View().Config.Waves.FailStop
		reason := fmt.Sprintf("instance %s did not come back within %s of its reboot; look at its rack %s, then resume or abort", instance.ID, backWithin, instance.Rack)
		return d.store.Fail(ctx, plan.ID, instance.ID, stopAt, reason)
	}
	return d.outside.Reboot(ctx, instance.ID, fmt.Sprintf("%s/%s/%d", plan.ID, instance.ID, instance.Boot))
}

// stepFailed readmits an instance that came back late, or that an operator
// returns.
func (d *Duty) stepFailed(ctx context.Context, plan *intent.Plan, instance fleet.Instance, boot int64) error {
	if !d.back(ctx, instance.ID, instance.Boot) {
		return nil
	}
	return d.store.Readmit(ctx, plan.ID, instance.ID, fleet.PhaseFailed, instance.Pool, boot)
}

// back reports whether the instance runs, with at least the given count of
// starts, and takes connections.
func (d *Duty) back(ctx context.Context, id string, boot int64) bool {
	line, found := d.outside.View().Listed[id]
	if !found || line.State != platform.ListedLive || line.Boot < boot {
		return false
	}
	return d.outside.Healthy(ctx, line.Address)
}
