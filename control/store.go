// Package control changes the fleet: it proposes and confirms plans, gives
// permits to leave, and records each step of an instance. Every change is one
// conditional transaction over the rows it depends on, so that it holds
// whoever believes to be in charge.
package control

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/google/uuid"

	"lemonstream.dev/lemonstream/budget"
	"lemonstream.dev/lemonstream/clock"
	"lemonstream.dev/lemonstream/fleet"
	"lemonstream.dev/lemonstream/intent"
	"lemonstream.dev/lemonstream/state"
	"lemonstream.dev/lemonstream/store"
)

// listFreshness is how old the platform's list may be for a permit.
const listFreshness = 10 * time.Second

// Guards are the checks that carry the promises. Each is a field, so that a
// test can replace it by one that always agrees and see the promise break.
type Guards struct {
	// Budget decides whether ids may leave the pool.
	Budget func(pool budget.Pool, ids []string) error

	// Members decides whether a step that rests on the members' words fails
	// when another member joined since.
	Members func() bool

	// Checks returns the conditions of a transaction.
	Checks func(checks []store.Check) []store.Check
}

// NoPlanError reports a plan that does not exist.
type NoPlanError struct {
	Plan string
}

// StaleListError reports a permit that was not given because the platform's
// list is too old to know what is lost.
type StaleListError struct {
	// Age is how old the list is.
	Age time.Duration
}

// Source is where the store reads what it decides on. Decisions on old rows
// do no harm: the transaction that carries them fails.
type Source struct {
	View     func() *state.View
	ListedAt func() time.Time

	// Suspects are instances that entries see failing.
	Suspects func() map[string]bool

	// Refresh asks for newer rows.
	Refresh func()

	// Tell hands on the rows that a transaction wrote.
	Tell func(rows []store.Row)

	// Wait waits a moment for the view to fulfil a condition and reports
	// whether it does.
	Wait func(ctx context.Context, condition func(*state.View) bool) bool
}

// Store makes the changes.
type Store struct {
	table  store.Table
	clock  clock.Clock
	source Source
	guards Guards
}

// NewStore returns a store with every guard on.
func NewStore(table store.Table, c clock.Clock, source Source) *Store {
	return NewGuardedStore(table, c, source, AllGuards())
}

// NewGuardedStore returns a store with the given guards.
func NewGuardedStore(table store.Table, c clock.Clock, source Source, guards Guards) *Store {
	return &Store{
		table:  table,
		clock:  c,
		source: source,
		guards: guards,
	}
}

// AllGuards returns the guards that hold the promises.
func AllGuards() Guards {
	return Guards{
		Budget:  func(pool budget.Pool, ids []string) error { return pool.Check(ids) },
		Members: func() bool { return true },
		Checks:  func(checks []store.Check) []store.Check { return checks },
	}
}

// Error implements error.
func (e *NoPlanError) Error() string {
	return fmt.Sprintf("plan %s does not exist; lemonctl plans lists those that do", e.Plan)
}

// Error implements error.
func (e *StaleListError) Error() string {
	return fmt.Sprintf("the platform's list is %s old, so losses can't be counted; no instance may leave until it answers", e.Age)
}

// Planner returns a planner over the newest view.
func (s *Store) Planner() intent.Planner {
	return s.planner(s.source.View())
}

func (s *Store) planner(view *state.View) intent.Planner {
	return intent.Planner{
		View:     view,
		Suspects: s.source.Suspects(),
	}
}

// Plan returns the plan as the newest view knows it. A plan that another entry
// has just made may take a moment to be known here.
func (s *Store) Plan(ctx context.Context, id string) (*intent.Plan, error) {
	s.expectPlan(ctx, id)
	return planIn(s.source.View(), id)
}

// expectPlan gives a plan that is not known here a moment to become so.
func (s *Store) expectPlan(ctx context.Context, id string) {
	known := func(view *state.View) bool {
		_, found := view.Rows[fleet.PlanKey(id)]
		return found
	}
	if known(s.source.View()) {
		return
	}
	s.source.Refresh()
	s.source.Wait(ctx, known)
}

// Plans returns every plan that is known, in no order. A row that can't be
// decoded is left out.
func (s *Store) Plans() []*intent.Plan {
	view := s.source.View()
	plans := make([]*intent.Plan, 0, len(view.Plans))
	for id := range view.Plans {
		if plan, err := planIn(view, id); err == nil {
			plans = append(plans, plan)
		}
	}
	return plans
}

// change collects the checks and puts of one transaction.
type change struct {
	tx   store.Transaction
	view *state.View
	err  error
}

// begin opens a change whose operation id says what it is for.
func (s *Store) begin(purpose string) *change {
	return &change{
		tx: store.Transaction{
			Op: purpose + "/" + uuid.NewString(),
		},
		view: s.source.View(),
	}
}

// plan returns the plan as of the change's view; the change depends on it. It
// fails with an *intent.StateError unless the plan is in one of the states.
func (c *change) plan(id, verb string, states ...intent.State) (*intent.Plan, error) {
	c.expect(fleet.PlanKey(id))
	plan, err := planIn(c.view, id)
	if err != nil {
		return nil, err
	}
	if !slices.Contains(states, plan.State) {
		return nil, &intent.StateError{
			Plan:  id,
			State: plan.State,
			Verb:  verb,
		}
	}
	return plan, nil
}

// expect makes the change depend on the row as the view knows it.
func (c *change) expect(key string) {
	c.expectAt(key, c.view.Rows[key].Version)
}

// expectAt makes the change depend on the row's version. Of two different
// versions of a row the change can meet neither, and fails.
func (c *change) expectAt(key string, version int64) {
	for _, check := range c.tx.Checks {
		if check.Key == key && check.Version == version {
			return
		}
	}
	c.tx.Checks = append(c.tx.Checks, store.Check{
		Key:     key,
		Version: version,
	})
}

// put writes value to a row that the change depends on.
func (c *change) put(key string, value any) {
	c.expect(key)
	body, err := json.Marshal(value)
	if err != nil {
		c.err = errors.Join(c.err, fmt.Errorf("encoding %s: %w", key, err))
		return
	}
	for i := range c.tx.Puts {
		if c.tx.Puts[i].Key == key {
			c.tx.Puts[i].Value = body
			return
		}
	}
	c.tx.Puts = append(c.tx.Puts, store.Put{
		Key:   key,
		Value: body,
	})
}

// remove deletes a row that the change depends on.
func (c *change) remove(key string) {
	c.expect(key)
	c.tx.Puts = append(c.tx.Puts, store.Put{
		Key: key,
	})
}

// commit carries the change out and tells the rows that it wrote.
func (s *Store) commit(ctx context.Context, c *change) error {
	if c.err != nil {
		return c.err
	}
	c.tx.Checks = s.guards.Checks(c.tx.Checks)
	revision, err := s.table.Commit(ctx, c.tx)
	if err != nil {
		s.source.Refresh()
		return err
	}
	s.source.Tell(c.tx.Written(revision))
	// The change is done; waiting only lets the next call here see it.
	s.source.Wait(ctx, func(view *state.View) bool { return view.Revision >= revision })
	return nil
}

// planIn decodes a plan of the view.
func planIn(view *state.View, id string) (*intent.Plan, error) {
	row, found := view.Rows[fleet.PlanKey(id)]
	if !found || len(row.Value) == 0 {
		return nil, &NoPlanError{
			Plan: id,
		}
	}
	var plan intent.Plan
	if err := json.Unmarshal(row.Value, &plan); err != nil {
		return nil, fmt.Errorf("decoding row %s: %w", row.Key, err)
	}
	return &plan, nil
}
