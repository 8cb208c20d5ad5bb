package control

import (
	"context"
	"fmt"

	"lemonstream.dev/lemonstream/clock"
	"lemonstream.dev/lemonstream/fleet"
	"lemonstream.dev/lemonstream/intent"
	"lemonstream.dev/lemonstream/state"
	"lemonstream.dev/lemonstream/store"
)

// PhaseError reports a step on an instance that is not where the step starts.
type PhaseError struct {
	Instance string
	Phase    fleet.Phase

	// Plan is the plan that the instance belongs to; empty for none.
	Plan string
}

// Step is one step of an instance from one phase to the next.
type Step struct {
	Instance string
	From     fleet.Phase
	To       fleet.Phase

	// Pool is where the instance serves from now on, for a step to serving.
	Pool string

	// Boot is the platform's count of the instance's starts as of now.
	Boot int64

	// Epoch is the version of the epoch of membership as of which every member
	// gave its word, for a step to drained.
	Epoch int64
}

// Error implements error.
func (e *PhaseError) Error() string {
	return fmt.Sprintf("instance %s is %s under plan %q; the step does not start there", e.Instance, e.Phase, e.Plan)
}

// Enroll writes the rows of instances that the platform lists and the table
// does not know, all of one pool.
func (s *Store) Enroll(ctx context.Context, name string, lines []store.Listed) error {
	c := s.begin("enroll")
	pool := c.view.Pools[name].Clone()
	pool.Name = name
	for _, line := range lines {
		pool.Members[line.ID] = true
		s.putInstance(c, fleet.Instance{
			ID:      line.ID,
			Pool:    name,
			Rack:    line.Rack,
			Zone:    line.Zone,
			Address: line.Address,
			Phase:   fleet.PhaseServing,
			Boot:    line.Boot,
		})
	}
	c.put(fleet.PoolKey(name), pool)
	return s.commit(ctx, c)
}

// Permit lets ids of one pool leave for the plan, if the budget of the pool
// allows all of them together now. The transaction covers the pool, the
// instances, the configuration and the plan, so a permit given on an old view
// of any of them does not take effect.
func (s *Store) Permit(ctx context.Context, planID, pool string, ids []string) error {
	now := s.clock.Now()
	if age := now.Sub(s.source.ListedAt()); age > listFreshness {
		return &StaleListError{
			Age: age,
		}
	}
	c := s.begin("permit " + planID)
	if _, err := c.plan(planID, "carried on", intent.StateConfirmed); err != nil {
		return err
	}
	if err := s.guards.Budget(s.planner(c.view).Pool(pool), ids); err != nil {
		return err
	}
	c.expect(fleet.ConfigKey)
	row := c.view.Pools[pool].Clone()
	for _, id := range ids {
		instance, err := c.instance(id, "", fleet.PhaseServing)
		if err != nil {
			return err
		}
		row.Out[id] = planID
		instance.Phase = fleet.PhaseDraining
		instance.Plan = planID
		s.putInstance(c, instance)
	}
	c.put(fleet.PoolKey(pool), row)
	return s.commit(ctx, c)
}

// Advance makes steps of instances that the plan took out, all or none. A step
// to serving readmits the instance in its pool or in another one; the
// instance's row and both pools' rows change together, so that it is in exactly
// one pool at any moment. A plan that was paused or aborted still sees the
// instances through that it took out.
func (s *Store) Advance(ctx context.Context, planID string, steps []Step) error {
	c := s.begin("advance " + planID)
	pools := make(map[string]state.Pool)
	for _, step := range steps {
		instance, err := c.instance(step.Instance, planID, step.From)
		if err != nil {
			return err
		}
		if step.To == fleet.PhaseDrained && s.guards.Members() {
			c.expectAt(fleet.EpochKey, step.Epoch)
		}
		instance.Phase = step.To
		instance.Boot = step.Boot
		if step.To == fleet.PhaseServing {
			readmit(c, pools, &instance, step.Pool)
		}
		s.putInstance(c, instance)
	}
	for name, pool := range pools {
		c.put(fleet.PoolKey(name), pool)
	}
	return s.commit(ctx, c)
}

// readmit takes the instance off those that are out, and into its new pool.
func readmit(c *change, pools map[string]state.Pool, instance *fleet.Instance, to string) {
	for _, name := range []string{instance.Pool, to} {
		if _, found := pools[name]; !found {
			pools[name] = c.view.Pools[name].Clone()
		}
	}
	delete(pools[instance.Pool].Out, instance.ID)
	if to != instance.Pool {
		delete(pools[instance.Pool].Members, instance.ID)
		target := pools[to]
		target.Name = to
		target.Members[instance.ID] = true
		pools[to] = target
	}
	instance.Pool = to
	instance.Plan = ""
}

// Adopt gives a drained instance to the plan that is to readmit it.
func (s *Store) Adopt(ctx context.Context, planID, id string) error {
	c := s.begin("adopt " + id + " for " + planID)
	if _, err := c.plan(planID, "carried on", intent.StateConfirmed); err != nil {
		return err
	}
	instance := c.view.Instances[id]
	if instance.Phase != fleet.PhaseDrained && instance.Phase != fleet.PhaseFailed {
		return &PhaseError{
			Instance: id,
			Phase:    instance.Phase,
			Plan:     instance.Plan,
		}
	}
	instance.Plan = planID
	s.putInstance(c, instance)
	return s.commit(ctx, c)
}

// Fail counts an instance that did not come back, and stops the plan once so
// many failed that the cause must be common.
func (s *Store) Fail(ctx context.Context, planID, id string, stopAt int, reason string) error {
	c := s.begin("failure of " + id + " in " + planID)
	plan, err := c.plan(planID, "carried on", intent.StateConfirmed, intent.StatePaused, intent.StateStopped)
	if err != nil {
		return err
	}
	instance, err := c.instance(id, planID, fleet.PhaseRebooting)
	if err != nil {
		return err
	}
	plan.Failures++
	if plan.Failures >= stopAt && plan.State == intent.StateConfirmed {
		plan.State = intent.StateStopped
		plan.Reason = reason
	}
	instance.Phase = fleet.PhaseFailed
	s.putInstance(c, instance)
	c.put(fleet.PlanKey(planID), plan)
	return s.commit(ctx, c)
}

// instance returns the instance as of the change's view, on which the change
// then depends. It fails with a *PhaseError unless the instance is in the
// phase and belongs to the plan.
func (c *change) instance(id, planID string, phase fleet.Phase) (fleet.Instance, error) {
	c.expect(fleet.InstanceKey(id))
	instance := c.view.Instances[id]
	if instance.Phase != phase || instance.Plan != planID {
		return instance, &PhaseError{
			Instance: id,
			Phase:    instance.Phase,
			Plan:     instance.Plan,
		}
	}
	return instance, nil
}

func (s *Store) putInstance(c *change, instance fleet.Instance) {
	instance.Since = clock.Millis(s.clock.Now())
	c.put(fleet.InstanceKey(instance.ID), instance)
}
