package main

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sort"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"lemonstream.dev/lemonstream/fleet"
	"lemonstream.dev/lemonstream/internal/standin"
	"lemonstream.dev/lemonstream/lease"
	"lemonstream.dev/lemonstream/platform"
	"lemonstream.dev/lemonstream/state"
	"lemonstream.dev/lemonstream/work"
)

// The urgent measure: nine entries that each look once a second, at moments of
// their own, at a pool of twelve workers full of refits that take 2 s to save.
// The clock is the measure's own.
const (
	urgentEntries = 9
	urgentWorkers = 12
	urgentSeeds   = 300
	urgentSave    = 2 * time.Second
	urgentTick    = 20 * time.Millisecond
	urgentLook    = time.Second
	urgentLease   = 20 * time.Second
	urgentMost    = time.Minute
)

func newUrgentCmd() *ffcli.Command {
	return newMeasureCmd("urgent", "Wait of urgent work to its start in a full pool, over seeds.", func(ctx context.Context) error {
		for _, mode := range []string{"all-well", "holder-frozen", "holder-frozen-table-away-1s"} {
			var waits []float64
			for seed := range uint64(urgentSeeds) {
				wait, err := measureUrgent(ctx, mode, seed)
				if err != nil {
					return err
				}
				waits = append(waits, wait.Seconds())
			}
			sort.Float64s(waits)
			report("urgent-wait-p50-"+mode, sizeTarget, ours, waits[len(waits)/2], "s")
			report("urgent-wait-max-"+mode, sizeTarget, ours, waits[len(waits)-1], "s")
		}
		return nil
	})
}

// measureUrgent returns how long one urgent job waited.
func measureUrgent(ctx context.Context, mode string, seed uint64) (time.Duration, error) {
	random := rand.New(rand.NewPCG(seed, 8))
	now := standin.NewManual(time.UnixMilli(1_000_000_000))
	clock := now.Clock(func() time.Duration { return 0 })
	tasks := standin.NewTasks(clock.Now, time.Hour)
	tasks.Save = urgentSave
	var faults standin.Switch
	outside := platform.Platform{
		Table: standin.InMemory(standin.NewTable(), &faults, &standin.Late{}),
		Tasks: tasks.Adapter(),
	}
	view, err := urgentView()
	if err != nil {
		return 0, err
	}
	var duties []*work.Duty
	var next []time.Time
	for entry := range urgentEntries {
		leases := lease.NewHolder(outside.Table, clock, fmt.Sprint(entry), urgentLease)
		duties = append(duties, work.NewDuty(outside, leases, func() *state.View { return view }, clock, slog.New(slog.DiscardHandler), urgentLook))
		next = append(next, clock.Now().Add(time.Duration(random.Int64N(int64(urgentLook)))))
	}
	store := work.NewStore(outside.Table, clock)
	holder := -1
	act := func() {
		now.Step(urgentTick)
		for entry, duty := range duties {
			if clock.Now().Before(next[entry]) || entry == holder {
				continue
			}
			next[entry] = next[entry].Add(urgentLook)
			duty.Round(ctx)
		}
	}
	var refits []work.Job
	for number := range 2 * urgentWorkers {
		refits = append(refits, urgentJob(fmt.Sprintf("refit%d", number), false))
	}
	if err := store.Submit(ctx, refits); err != nil {
		return 0, err
	}
	first := firstOfAll(next)
	for range 10 * int(time.Second/urgentTick) {
		act()
	}
	if mode != "all-well" {
		holder = first
	}
	for range random.IntN(int(time.Second / urgentTick)) {
		act()
	}
	if err := store.Submit(ctx, []work.Job{urgentJob("alert", true)}); err != nil {
		return 0, err
	}
	submitted := clock.Now()
	for !runs(tasks, "alert") {
		waited := clock.Now().Sub(submitted)
		if waited > urgentMost {
			return 0, fmt.Errorf("seed %d: the urgent job did not start within %s", seed, urgentMost)
		}
		if mode == "holder-frozen-table-away-1s" {
			faults.Set(standin.FaultNone)
			if waited < time.Second {
				faults.Set(standin.FaultDown)
			}
		}
		act()
	}
	return clock.Now().Sub(submitted), nil
}

// firstOfAll returns the entry that acts first, which gets the pool's lease.
func firstOfAll(next []time.Time) int {
	first := 0
	for entry := range next {
		if next[entry].Before(next[first]) {
			first = entry
		}
	}
	return first
}

func runs(tasks *standin.Tasks, job string) bool {
	for _, task := range tasks.List("modelos") {
		if strings.Contains(task.ID, "/"+job+"/") && task.State == platform.TaskRunning {
			return true
		}
	}
	return false
}

func urgentJob(id string, urgent bool) work.Job {
	return work.Job{
		ID:     id,
		Pool:   "modelos",
		Urgent: urgent,
		Declared: platform.Resources{
			Milliprocessors: 4000,
		},
	}
}

func urgentView() (*state.View, error) {
	var rows []platform.Row
	var listed []platform.Listed
	for number := range urgentWorkers {
		id := fmt.Sprintf("w%02d", number)
		rows = append(rows, encodeRow(fleet.InstanceKey(id), fleet.Instance{
			ID:    id,
			Pool:  "modelos",
			Phase: fleet.PhaseServing,
		}))
		listed = append(listed, platform.Listed{
			ID:    id,
			State: platform.ListedLive,
			Size: platform.Resources{
				Milliprocessors: 8000,
			},
		})
	}
	return state.BuildView(nil, rows, listed)
}
