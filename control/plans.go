package control

import (
	"context"
	"fmt"
	"sort"

	"github.com/google/uuid"

	"lemonstream.dev/lemonstream/clock"
	"lemonstream.dev/lemonstream/config"
	"lemonstream.dev/lemonstream/fleet"
	"lemonstream.dev/lemonstream/intent"
	"lemonstream.dev/lemonstream/state"
)

// Verbs on a plan.
const (
	VerbAbort  Verb = "abort"
	VerbPause  Verb = "pause"
	VerbResume Verb = "resume"
)

// Verb is what an operator does to a confirmed plan.
type Verb string

// Propose computes a plan for the intent and stores it. Nothing of the fleet
// changes.
func (s *Store) Propose(ctx context.Context, i intent.Intent) (*intent.Plan, error) {
	id := "p" + uuid.NewString()[:8]
	plan, err := s.Planner().Make(id, i, s.clock.Now())
	if err != nil {
		return nil, err
	}
	c := s.begin("propose " + id + " by " + i.Operator)
	c.put(fleet.PlanKey(id), plan)
	return plan, s.commit(ctx, c)
}

// Confirm puts the plan in force if digest names it and its base still holds.
// Confirming a plan twice with the same digest changes nothing the second
// time. It fails with *intent.DigestError, *intent.StateError,
// *intent.ChangedError, *intent.ConflictError or an error of the table.
func (s *Store) Confirm(ctx context.Context, id, digest string) (*intent.Plan, error) {
	s.expectPlan(ctx, id)
	c := s.begin("confirm " + id)
	plan, err := planIn(c.view, id)
	if err != nil {
		return nil, err
	}
	if plan.Digest != digest {
		return nil, &intent.DigestError{
			Plan: id,
			Want: plan.Digest,
			Have: digest,
		}
	}
	if plan.Active() || plan.State == intent.StateDone {
		return plan, nil
	}
	if _, err := c.plan(id, "confirmed", intent.StateProposed); err != nil {
		return nil, err
	}
	c.tx.Op = "confirm " + id + " by " + plan.Intent.Operator + "/" + uuid.NewString()
	if err := s.checkBase(c, plan); err != nil {
		return nil, err
	}
	plan.State = intent.StateConfirmed
	plan.Confirmed = clock.Millis(s.clock.Now())
	s.enroll(c, plan)
	if plan.Intent.Kind == intent.Rollout {
		if err := s.putConfig(c, plan); err != nil {
			return nil, err
		}
	}
	c.put(fleet.PlanKey(id), plan)
	return plan, s.commit(ctx, c)
}

// Apply carries out a verb on the plan.
func (s *Store) Apply(ctx context.Context, id string, verb Verb, operator string) (*intent.Plan, error) {
	s.expectPlan(ctx, id)
	c := s.begin(string(verb) + " " + id + " by " + operator)
	plan, err := planIn(c.view, id)
	if err != nil {
		return nil, err
	}
	next, err := nextState(plan, verb)
	if err != nil || next == plan.State {
		return plan, err
	}
	plan.State = next
	plan.Reason = string(verb) + " by " + operator
	if verb == VerbResume {
		plan.Failures = 0
	}
	if next == intent.StateAborted {
		plan.Ended = clock.Millis(s.clock.Now())
		s.release(c, plan)
	}
	c.put(fleet.PlanKey(id), plan)
	return plan, s.commit(ctx, c)
}

// Finish marks a confirmed plan as done.
func (s *Store) Finish(ctx context.Context, id string) error {
	c := s.begin("finish " + id)
	plan, err := c.plan(id, "finished", intent.StateConfirmed)
	if err != nil {
		return err
	}
	plan.State = intent.StateDone
	plan.Reason = ""
	plan.Ended = clock.Millis(s.clock.Now())
	s.release(c, plan)
	c.put(fleet.PlanKey(id), plan)
	return s.commit(ctx, c)
}

// checkBase refuses a plan whose base changed, or that shares instances with
// an active plan.
func (s *Store) checkBase(c *change, plan *intent.Plan) error {
	var changes []string
	c.expect(fleet.ConfigKey)
	if plan.Intent.Kind == intent.Rollout && c.view.Config.Version != plan.Base.Config {
		changes = append(changes, changed(c.view, fleet.ConfigKey))
	}
	for id, version := range plan.Base.Instances {
		key := fleet.InstanceKey(id)
		c.expect(key)
		if c.view.Rows[key].Version != version {
			changes = append(changes, changed(c.view, key))
		}
	}
	if len(changes) > 0 {
		sort.Strings(changes)
		return &intent.ChangedError{
			Plan:    plan.ID,
			Changes: changes,
		}
	}
	return s.checkConflicts(c, plan)
}

func (s *Store) checkConflicts(c *change, plan *intent.Plan) error {
	for pool := range plan.Budgets {
		for other := range c.view.Pools[pool].Plans {
			active, err := planIn(c.view, other)
			if err != nil || !active.Active() {
				continue
			}
			if shared := shared(plan, active); len(shared) > 0 {
				return &intent.ConflictError{
					Plan:      plan.ID,
					Other:     other,
					Operator:  active.Intent.Operator,
					Instances: shared,
				}
			}
		}
	}
	return nil
}

// enroll notes the plan at each pool that it touches, so that two plans over
// the same instances can't be confirmed at once.
func (s *Store) enroll(c *change, plan *intent.Plan) {
	for name := range plan.Budgets {
		pool, found := c.view.Pools[name]
		if !found || len(plan.Waves) == 0 {
			continue
		}
		pool = pool.Clone()
		pool.Plans[plan.ID] = true
		c.put(fleet.PoolKey(name), pool)
	}
}

// putConfig writes the configuration, if its budgets hold now. The change
// depends on the pools' rows, so that no permit comes in between.
func (s *Store) putConfig(c *change, plan *intent.Plan) error {
	if err := s.planner(c.view).CheckBudgets(plan.Budgets); err != nil {
		return err
	}
	for pool := range plan.Budgets {
		c.expect(fleet.PoolKey(pool))
	}
	plan.ConfigVersion = c.view.Config.Version + 1
	c.put(fleet.ConfigKey, config.Row{
		Version:  plan.ConfigVersion,
		Body:     []byte(plan.Intent.Config),
		Accepted: plan.Confirmed,
	})
	return nil
}

// release takes the plan's note off its pools.
func (s *Store) release(c *change, plan *intent.Plan) {
	for name, pool := range c.view.Pools {
		if !pool.Plans[plan.ID] {
			continue
		}
		pool = pool.Clone()
		delete(pool.Plans, plan.ID)
		c.put(fleet.PoolKey(name), pool)
	}
}

func changed(view *state.View, key string) string {
	row := view.Rows[key]
	return fmt.Sprintf("%s is at version %d by %q", key, row.Version, row.Op)
}

func nextState(plan *intent.Plan, verb Verb) (intent.State, error) {
	allowed := map[Verb]map[intent.State]intent.State{
		VerbAbort: {
			intent.StateProposed:  intent.StateAborted,
			intent.StateConfirmed: intent.StateAborted,
			intent.StatePaused:    intent.StateAborted,
			intent.StateStopped:   intent.StateAborted,
			intent.StateAborted:   intent.StateAborted,
		},
		VerbPause: {
			intent.StateConfirmed: intent.StatePaused,
			intent.StatePaused:    intent.StatePaused,
		},
		VerbResume: {
			intent.StatePaused:    intent.StateConfirmed,
			intent.StateStopped:   intent.StateConfirmed,
			intent.StateConfirmed: intent.StateConfirmed,
		},
	}
	next, found := allowed[verb][plan.State]
	if !found {
		return plan.State, &intent.StateError{
			Plan:  plan.ID,
			State: plan.State,
			Verb:  string(verb) + "d",
		}
	}
	return next, nil
}

// shared returns the instances that both plans name, sorted.
func shared(a, b *intent.Plan) []string {
	named := make(map[string]bool)
	for _, id := range a.Instances() {
		named[id] = true
	}
	var both []string
	for _, id := range b.Instances() {
		if named[id] {
			both = append(both, id)
		}
	}
	sort.Strings(both)
	return both
}
