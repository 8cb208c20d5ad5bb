package control

import (
	"context"
	"time"

	"lemonstream.dev/lemonstream/clock"
	"lemonstream.dev/lemonstream/fleet"
	"lemonstream.dev/lemonstream/intent"
)

// Retire takes an instance that is gone for good out of its pool and deletes its
// row. An instance that an active plan took out stays until the plan is over.
func (s *Store) Retire(ctx context.Context, id string) error {
	c := s.begin("retire " + id)
	instance, found := c.view.Instances[id]
	if !found {
		return nil
	}
	if plan, err := planIn(c.view, instance.Plan); err == nil && plan.Active() {
		return &PhaseError{
			Instance: id,
			Phase:    instance.Phase,
			Plan:     instance.Plan,
		}
	}
	pool := c.view.Pools[instance.Pool].Clone()
	delete(pool.Members, id)
	delete(pool.Out, id)
	c.put(fleet.PoolKey(instance.Pool), pool)
	c.remove(fleet.InstanceKey(id))
	return s.commit(ctx, c)
}

// Forget deletes plans that ended, or were proposed and never confirmed, before
// the instant. It returns how many.
func (s *Store) Forget(ctx context.Context, before time.Time) (int, error) {
	c := s.begin("forget")
	count := 0
	for id := range c.view.Plans {
		plan, err := planIn(c.view, id)
		if err != nil || plan.Active() || plan.Created >= clock.Millis(before) || plan.Ended >= clock.Millis(before) {
			continue
		}
		if plan.State == intent.StateAborted && c.holds(id) {
			continue
		}
		c.remove(fleet.PlanKey(id))
		count++
	}
	if count == 0 {
		return 0, nil
	}
	return count, s.commit(ctx, c)
}

// holds reports whether the plan still has an instance out.
func (c *change) holds(plan string) bool {
	for _, instance := range c.view.Instances {
		if instance.Plan == plan {
			return true
		}
	}
	return false
}
