package carry_test

import (
	"context"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"lemonstream.dev/lemonstream/control"
	"lemonstream.dev/lemonstream/fleet"
	"lemonstream.dev/lemonstream/intent"
	"lemonstream.dev/lemonstream/store"
)

// state returns the plan that began last, as the first entry knows it.
func (w *world) state() *intent.Plan {
	plan, err := w.operators[0].store.Plan(context.Background(), w.plan)
	w.must(err)
	return plan
}

func (w *world) phase(id string) fleet.Phase {
	return w.operators[0].view.Instances[id].Phase
}

// TestCorrelatedFailureStopsThePlan takes a wave out of which two instances do
// not come back. The plan stops with a reason, goes on after an operator's word,
// and readmits those that came back late.
func TestCorrelatedFailureStopsThePlan(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, allGuards())
	w.rebooted = func(id string) { w.down[id] = id == "w00" || id == "w01" }
	w.begin(intent.Intent{
		Kind:  intent.Maintain,
		Scope: intent.ScopeAll,
	})
	w.carry(6, w.tell)
	is.Equal(w.phase("w00"), fleet.PhaseRebooting)
	w.now.Step(11 * time.Minute)
	w.carry(3, w.tell)
	plan := w.state()
	is.Equal(plan.State, intent.StateStopped)
	is.True(strings.Contains(plan.Reason, "did not come back")) // It says why.
	is.Equal(w.phase("w00"), fleet.PhaseFailed)
	out := 0
	for id := range w.truth {
		if w.phase(id) != fleet.PhaseServing {
			out++
		}
	}
	is.Equal(out, 2) // Nothing more was taken out.

	clear(w.down)
	w.rebooted = nil
	_, err := w.operators[0].store.Apply(context.Background(), w.plan, control.VerbResume, "ana")
	is.NoErr(err)
	w.carry(40, w.tell)
	is.Equal(w.state().State, intent.StateDone)
	is.Equal(w.phase("w00"), fleet.PhaseServing)
	for id := range w.truth {
		is.Equal(w.truth[id].Boot, int64(1)) // Each rebooted once.
	}
}

func TestInstanceComesBackWithAnotherAddress(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, allGuards())
	elsewhere := netip.MustParseAddrPort("127.0.0.2:2")
	w.rebooted = func(id string) {
		line := w.truth[id]
		line.Address = elsewhere
		w.truth[id] = line
	}
	w.maintain("w00", w.tell)
	is.Equal(w.state().State, intent.StateDone)
	is.Equal(w.phase("w00"), fleet.PhaseServing)
	is.Equal(w.operators[0].view.Listed["w00"].Address, elsewhere)
}

// TestAbortPutsBack aborts a drain half-way.
func TestAbortPutsBack(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, allGuards())
	w.begin(intent.Intent{
		Kind:  intent.Drain,
		Scope: intent.ScopeRack,
		Name:  "r0",
	})
	w.carry(1, w.tell)
	is.Equal(w.phase("w00"), fleet.PhaseDraining)
	_, err := w.operators[0].store.Apply(context.Background(), w.plan, control.VerbAbort, "ana")
	is.NoErr(err)
	w.carry(4, w.tell)
	for id := range w.truth {
		is.Equal(w.phase(id), fleet.PhaseServing)
	}
	is.Equal(len(w.operators[0].view.Pools["one"].Out), 0)
}

// TestReplacedInstanceIsRetired retires an instance, enrolls another in its
// place, and takes the first one in again when it comes back after all.
func TestReplacedInstanceIsRetired(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, allGuards())
	first := w.operators[0]
	ctx := context.Background()
	is.NoErr(first.store.Retire(ctx, "w00"))
	w.refresh(first)
	_, known := first.view.Instances["w00"]
	is.True(!known)
	is.True(!first.view.Pools["one"].Members["w00"])
	is.NoErr(first.store.Enroll(ctx, "one", []store.Listed{w.truth["w00"]}))
	w.refresh(first)
	is.Equal(w.phase("w00"), fleet.PhaseServing)
}

func TestOldPlansAreForgotten(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, allGuards())
	w.maintain("w00", w.tell)
	first := w.operators[0]
	count, err := first.store.Forget(context.Background(), time.UnixMilli(0))
	is.NoErr(err)
	is.Equal(count, 0) // Nothing is that old.
	w.begin(intent.Intent{
		Kind:  intent.Drain,
		Scope: intent.ScopeInstance,
		Name:  "w02",
	})
	count, err = first.store.Forget(context.Background(), time.UnixMilli(1<<50))
	is.NoErr(err)
	is.Equal(count, 2)                               // The rollout and the maintenance.
	is.Equal(w.state().State, intent.StateConfirmed) // Not the one that runs.
}

// TestRolloutDoesNotBreakABudget plans a larger budget while everything serves
// and confirms it while instances are out.
func TestRolloutDoesNotBreakABudget(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, allGuards())
	first := w.operators[0]
	larger, err := first.store.Propose(context.Background(), intent.Intent{
		Kind:   intent.Rollout,
		Config: strings.Replace(configuration, "min_available = 3", "min_available = 6", 1),
	})
	is.NoErr(err)
	w.begin(intent.Intent{
		Kind:  intent.Drain,
		Scope: intent.ScopeInstance,
		Name:  "w00",
	})
	w.carry(1, w.tell)
	_, err = first.store.Confirm(context.Background(), larger.ID, larger.Digest)
	is.True(err != nil) // Five of six serve.
	is.Equal(first.view.Config.MinAvailable("one"), 3)
}
