package carry_test

import (
	"context"
	"fmt"
	"testing"

	"lemonstream.dev/lemonstream/budget"
	"lemonstream.dev/lemonstream/fleet"
	"lemonstream.dev/lemonstream/intent"
	"lemonstream.dev/lemonstream/internal/prove"
	"lemonstream.dev/lemonstream/member"
	"lemonstream.dev/lemonstream/store"
)

// scenario leads a world to where only one guard stands between it and a broken
// promise. It makes the same steps each time; the state machine in
// TestFleetKeepsItsPromises looks for what nobody thought of.
type scenario struct {
	promise string
	remove  func(g *guards)
	play    func(w *world)
}

// violation is what a world panics with when a promise breaks.
type violation string

// stopper ends a scenario at the first violation.
type stopper struct{}

// Fatalf implements failer.
func (stopper) Fatalf(format string, args ...any) {
	panic(violation(fmt.Sprintf(format, args...)))
}

func TestFleetGuards(t *testing.T) {
	scenarios := map[string]scenario{
		"entries-words": {
			promise: prove.PlannedStop,
			remove:  func(g *guards) { g.quiet = func(member.Hold, bool, int64) bool { return true } },
			play:    playSilentEntry,
		},
		"forward-only": {
			promise: prove.Configuration,
			remove:  func(g *guards) { g.newer = func(store.Row, store.Row) bool { return true } },
			play:    playOldConfiguration,
		},
		"members-epoch": {
			promise: prove.PlannedStop,
			remove:  func(g *guards) { g.control.Members = func() bool { return false } },
			play:    playEntryThatJoins,
		},
		"permit-check": {
			promise: prove.Budget,
			remove:  func(g *guards) { g.control.Budget = func(budget.Pool, []string) error { return nil } },
			play:    func(w *world) { playTwoDrains(w, w.operators[0]) },
		},
		"permit-transaction": {
			promise: prove.Budget,
			remove:  dropChecks,
			play:    func(w *world) { playTwoDrains(w, w.operators[1]) },
		},
		"pool-transaction": {
			promise: prove.OnePool,
			remove:  dropChecks,
			play:    playTwoMoves,
		},
		"word-version": {
			promise: prove.PlannedStop,
			remove: func(g *guards) {
				g.quiet = func(hold member.Hold, told bool, _ int64) bool { return told && hold.Count == 0 }
			},
			play: playOldWord,
		},
	}
	for name, s := range scenarios {
		t.Run(name, func(t *testing.T) {
			prove.Scenario(t, s.promise, name, func(on bool) string {
				used := allGuards()
				if !on {
					s.remove(&used)
				}
				return seen(func() {
					w := newWorld(stopper{}, used)
					s.play(w)
					w.checkAll()
				})
			})
		})
	}
}

// seen returns the violation that play ends with, or the empty string.
func seen(play func()) (text string) {
	defer func() {
		if broken, ok := recover().(violation); ok {
			text = string(broken)
		}
	}()
	play()
	return ""
}

func dropChecks(g *guards) {
	g.control.Checks = func([]store.Check) []store.Check { return nil }
}

// playEntryThatJoins has an entry join, and send to an instance, after the
// carrier read who the members are.
func playEntryThatJoins(w *world) {
	w.begin(maintainFirst())
	w.carry(1, w.tell)
	late := w.add()
	late.inflight["w00"]++
	for range 4 {
		w.operators[0].duty.Round(context.Background())
	}
}

// playOldConfiguration has a peer tell an old row again.
func playOldConfiguration(w *world) {
	old := w.table.Read(fleet.ConfigKey)
	w.begin(intent.Intent{
		Kind:   intent.Rollout,
		Config: configuration,
	})
	w.carry(1, w.tell)
	w.checkAll()
	w.merge(w.operators[1], []store.Row{old})
}

// playOldWord takes an instance out twice. The second time one entry has told
// nothing since the first, and has a request in flight.
func playOldWord(w *world) {
	slow := w.operators[1]
	w.begin(maintainFirst())
	w.carry(8, func(o *operator) {
		if o != slow || o.view.Instances["w00"].Phase != fleet.PhaseServing {
			w.tell(o)
		}
	})
	if w.phase("w00") != fleet.PhaseServing {
		w.t.Fatalf("the instance did not come back: %v", w.phase("w00"))
	}
	slow.inflight["w00"]++
	w.begin(maintainFirst())
	w.carry(8, func(o *operator) {
		if o != slow {
			w.tell(o)
		}
	})
}

// playSilentEntry has an entry send to an instance and say nothing.
func playSilentEntry(w *world) {
	w.operators[1].inflight["w00"]++
	w.begin(maintainFirst())
	for range 6 {
		w.operators[0].duty.Round(context.Background())
		w.tell(w.operators[0])
	}
}

// playTwoDrains confirms the drains of two racks, which together are more than
// the budgets have, and has second carry the second one out as of before the
// first.
func playTwoDrains(w *world, second *operator) {
	first := w.operators[0]
	var plans []*intent.Plan
	for _, rack := range []string{"r0", "r1"} {
		plan, err := first.store.Propose(context.Background(), intent.Intent{
			Kind:  intent.Drain,
			Scope: intent.ScopeRack,
			Name:  rack,
		})
		w.must(err)
		plans = append(plans, plan)
	}
	_, err := first.store.Confirm(context.Background(), plans[0].ID, plans[0].Digest)
	w.must(err)
	_, err = first.store.Confirm(context.Background(), plans[1].ID, plans[1].Digest)
	w.must(err)
	w.refresh(second)
	for pool, ids := range map[string][]string{"one": {"w00", "w02"}, "two": {"w01", "w03"}} {
		w.must(first.store.Permit(context.Background(), plans[0].ID, pool, ids))
	}
	_ = second.store.Permit(context.Background(), plans[1].ID, "one", []string{"w04", "w06"})
}

// playTwoMoves moves two instances by two plans. One entry acts on the first
// plan as of before the second moved.
func playTwoMoves(w *world) {
	old := w.operators[1]
	w.begin(moveToTwo("w00"))
	w.carry(2, w.tell)
	if w.phase("w00") != fleet.PhaseDrained {
		w.t.Fatalf("the instance is %s, not drained", w.phase("w00"))
	}
	old.told["w02"] = member.Hold{
		Version: 1 << 40,
	}
	others := []*operator{w.operators[0], w.operators[2]}
	w.begin(moveToTwo("w02"))
	for range 6 {
		w.operators[0].duty.Round(context.Background())
		for _, o := range others {
			w.refresh(o)
			w.tell(o)
		}
	}
	old.duty.Round(context.Background())
}

func maintainFirst() intent.Intent {
	return intent.Intent{
		Kind:  intent.Maintain,
		Scope: intent.ScopeInstance,
		Name:  "w00",
	}
}

func moveToTwo(id string) intent.Intent {
	return intent.Intent{
		Kind:  intent.Move,
		Scope: intent.ScopeInstance,
		Name:  id,
		Pool:  "two",
	}
}
