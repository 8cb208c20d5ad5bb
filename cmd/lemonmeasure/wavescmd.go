package main

import (
	"context"
	"fmt"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"lemonstream.dev/lemonstream/budget"
	"lemonstream.dev/lemonstream/config"
	"lemonstream.dev/lemonstream/intent"
	"lemonstream.dev/lemonstream/state"
	"lemonstream.dev/lemonstream/store"
)

// The waves measure counts each wave with the times that plans are reckoned
// with, on a fleet in which as many instances are lost as fail in an ordinary
// day.
const (
	wavesEach  = 125 * time.Second
	wavesLost  = 8
	wavesShare = 0.1
)

// weighted is a deployment's weights.
type weighted struct {
	name    string
	weights config.Weights
}

func newWavesCmd() *ffcli.Command {
	return newMeasureCmd("waves", "Moves, buffer cost and roll-out time against plain baselines.", func(context.Context) error {
		sizes := []struct {
			name      string
			instances int
			pools     int
			lost      int
		}{
			{
				name:      sizeToday,
				instances: 50,
				pools:     5,
				lost:      1,
			},
			{
				name:      sizeTarget,
				instances: 700,
				pools:     52,
				lost:      wavesLost,
			},
		}
		for _, size := range sizes {
			view, err := newView(size.instances, size.pools, 4)
			if err != nil {
				return err
			}
			for number := range size.lost {
				id := fmt.Sprintf("w%05d", (number*37+11)%size.instances)
				line := view.Listed[id]
				line.State = store.ListedLeaving
				view.Listed[id] = line
			}
			if err := measureWaves(size.name, view); err != nil {
				return err
			}
		}
		return nil
	})
}

func measureWaves(size string, view *state.View) error {
	intents := map[string]intent.Intent{
		"rack-maintain": {
			Kind:  intent.Maintain,
			Scope: intent.ScopeRack,
			Name:  "rack-003",
		},
		"zone-maintain": {
			Kind:  intent.Maintain,
			Scope: intent.ScopeZone,
			Name:  "zone-1",
		},
		"term": {
			Kind:  intent.Maintain,
			Scope: intent.ScopeAll,
		},
		"grow-fifth": {
			Kind:  intent.Grow,
			Pool:  "pool-001",
			Count: len(view.Instances) / len(view.Pools) / 5,
		},
	}
	for name, wanted := range intents {
		for _, by := range []weighted{
			{
				name: "ours-by-buffer",
				weights: config.Weights{
					Buffer:  10,
					RollOut: 1,
				},
			},
			{
				name: "ours-by-roll-out",
				weights: config.Weights{
					Buffer:  1,
					RollOut: 10,
				},
			},
			{
				name: ours,
				weights: config.Weights{
					Buffer:  1,
					RollOut: 1,
				},
			},
		} {
			changed := *view
			changed.Config = &config.Config{}
			*changed.Config = *view.Config
			changed.Config.Weights = by.weights
			plan, err := intent.Planner{
				View: &changed,
			}.Make("p", wanted, time.Now())
			if err != nil {
				return fmt.Errorf("%s at %s: %w", name, size, err)
			}
			reportPlan(name, size, by.name, plan.Cost, len(plan.Waves))
		}
		reportBaselines(name, size, view, wanted)
	}
	return nil
}

func reportBaselines(name, size string, view *state.View, wanted intent.Intent) {
	planner := intent.Planner{
		View: view,
	}
	one, err := planner.Make("p", wanted, time.Now())
	if err != nil {
		return
	}
	count := len(one.Instances())
	reserve := 0
	for pool := range one.Budgets {
		reserve += planner.Pool(pool).Reserve(nil)
	}
	reportPlan(name, size, "one-at-a-time", intent.Cost{
		Moves:      count,
		BufferCost: 1 + reserve,
	}, count)
	broken := 0
	out := 0
	for pool := range one.Budgets {
		some := planner.Pool(pool)
		wave := max(1, int(wavesShare*float64(len(some.Instances))+0.999))
		out += wave
		if some.Check(firstOf(some, wave)) != nil {
			broken++
		}
	}
	reportPlan(name, size, "fixed-10-percent", intent.Cost{
		Moves:      count,
		BufferCost: min(out, count) + reserve,
	}, max(1, (count+out-1)/out))
	report("waves-pools-without-reserve-"+name, size, "fixed-10-percent", float64(broken), "pools")
	if wanted.Kind == intent.Grow {
		reportPlan(name, size, "from-scratch", intent.Cost{
			Moves:      len(view.Instances) - len(view.Instances)/len(view.Pools),
			BufferCost: reserve + out,
		}, 10)
	}
}

func firstOf(pool budget.Pool, count int) []string {
	var ids []string
	for _, instance := range pool.Instances {
		if len(ids) < count && !instance.Lost {
			ids = append(ids, instance.ID)
		}
	}
	return ids
}

func reportPlan(name, size, policy string, cost intent.Cost, waves int) {
	report("waves-moves-"+name, size, policy, float64(cost.Moves), "instances")
	report("waves-buffer-"+name, size, policy, float64(cost.BufferCost), "instances")
	report("waves-roll-out-"+name, size, policy, float64(waves)*wavesEach.Seconds(), "s")
}
