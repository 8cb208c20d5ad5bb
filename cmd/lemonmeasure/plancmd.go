package main

import (
	"context"
	"encoding/json"
	"fmt"
	"runtime"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"lemonstream.dev/lemonstream/config"
	"lemonstream.dev/lemonstream/fleet"
	"lemonstream.dev/lemonstream/intent"
	"lemonstream.dev/lemonstream/state"
	"lemonstream.dev/lemonstream/store"
)

// planRuns is how often each plan is made; the median is reported.
const planRuns = 5

func newPlanCmd() *ffcli.Command {
	return newMeasureCmd("plan", "Time and memory of plans for a rack and for everything.", func(context.Context) error {
		sizes := []struct {
			name      string
			instances int
			pools     int
		}{
			{
				name:      sizeToday,
				instances: 50,
				pools:     5,
			},
			{
				name:      sizeTarget,
				instances: 700,
				pools:     52,
			},
			{
				name:      "ten-times-target",
				instances: 7000,
				pools:     520,
			},
		}
		for _, size := range sizes {
			view, err := newView(size.instances, size.pools, 4)
			if err != nil {
				return err
			}
			rack := intent.Intent{
				Kind:  intent.Drain,
				Scope: intent.ScopeRack,
				Name:  "rack-000",
			}
			all := intent.Intent{
				Kind:  intent.Maintain,
				Scope: intent.ScopeAll,
			}
			if err := measurePlan("plan-rack", size.name, view, rack); err != nil {
				return err
			}
			if err := measurePlan("plan-all", size.name, view, all); err != nil {
				return err
			}
			if err := measureView("view-build-first", size.name, view, nil); err != nil {
				return err
			}
			if err := measureView("view-build-again", size.name, view, view); err != nil {
				return err
			}
		}
		return nil
	})
}

func measurePlan(name, size string, view *state.View, wanted intent.Intent) error {
	planner := intent.Planner{
		View: view,
	}
	var before, after runtime.MemStats
	best := time.Hour
	for range planRuns {
		runtime.GC()
		runtime.ReadMemStats(&before)
		begin := time.Now()
		if _, err := planner.Make("p", wanted, time.Now()); err != nil {
			return fmt.Errorf("%s at %s: %w", name, size, err)
		}
		best = min(best, time.Since(begin))
		runtime.ReadMemStats(&after)
	}
	report(name+"-time", size, ours, best.Seconds()*1000, "ms")
	report(name+"-allocated", size, ours, float64(after.TotalAlloc-before.TotalAlloc)/(1<<20), "MB")
	return nil
}

// measureView times the building of the view from its rows, which each change
// of a row costs every entry.
func measureView(name, size string, view, earlier *state.View) error {
	rows := make([]store.Row, 0, len(view.Rows))
	for _, row := range view.Rows {
		rows = append(rows, row)
	}
	listed := make([]store.Listed, 0, len(view.Listed))
	for _, line := range view.Listed {
		listed = append(listed, line)
	}
	best := time.Hour
	for range planRuns {
		begin := time.Now()
		if _, err := state.BuildView(earlier, rows, listed); err != nil {
			return err
		}
		best = min(best, time.Since(begin))
	}
	report(name, size, ours, best.Seconds()*1000, "ms")
	return nil
}

// newView returns a fleet of instances, four to a rack over eight availability
// zones. Pools lie over consecutive racks' slots, so that each pool spans many
// racks; every pool must keep all but spare of its instances.
func newView(instances, pools, spare int) (*state.View, error) {
	var rows []store.Row
	var listed []store.Listed
	members := make([]map[string]bool, pools)
	for number := range pools {
		members[number] = make(map[string]bool)
	}
	for number := range instances {
		id := fmt.Sprintf("w%05d", number)
		pool := number % pools
		members[pool][id] = true
		instance := fleet.Instance{
			ID:    id,
			Pool:  fmt.Sprintf("pool-%03d", pool),
			Rack:  fmt.Sprintf("rack-%03d", number/4),
			Zone:  fmt.Sprintf("zone-%d", number/4%8),
			Phase: fleet.PhaseServing,
		}
		rows = append(rows, encodeRow(fleet.InstanceKey(id), instance))
		listed = append(listed, store.Listed{
			ID:    id,
			State: store.ListedLive,
		})
	}
	text := "[waves]\nfirst = 4\n"
	for number, some := range members {
		name := fmt.Sprintf("pool-%03d", number)
		rows = append(rows, encodeRow(fleet.PoolKey(name), state.Pool{
			Name:    name,
			Members: some,
		}))
		text += fmt.Sprintf("[service s%03d]\npool = %s\nmin_available = %d\n", number, name, max(1, len(some)-spare))
	}
	rows = append(rows, encodeRow(fleet.ConfigKey, config.Row{
		Version: 1,
		Body:    []byte(text),
	}))
	return state.BuildView(nil, rows, listed)
}

func encodeRow(key string, value any) store.Row {
	body, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return store.Row{
		Key:     key,
		Version: 1,
		Value:   body,
	}
}
