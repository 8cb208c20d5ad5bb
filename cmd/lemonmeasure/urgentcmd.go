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
	"lemonstream.dev/lemonstream/state"
	"lemonstream.dev/lemonstream/store"
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

// urgentFarm is one run of the measure: entries that act at moments of their
// own.
type urgentFarm struct {
	now    *standin.Manual
	faults standin.Switch
	tasks  *standin.Tasks
	store  *work.Store
	duties []*work.Duty

	// next is when each entry acts next; frozen never does, or is -1.
	next   []time.Time
	frozen int
}

// measureUrgent returns how long one urgent job waited.
func measureUrgent(ctx context.Context, mode string, seed uint64) (time.Duration, error) {
	random := rand.New(rand.NewPCG(seed, 8))
	farm, err := newUrgentFarm(random)
	if err != nil {
		return 0, err
	}
	holder := firstOfAll(farm.next)
	var refits []work.Job
	for number := range 2 * urgentWorkers {
		refits = append(refits, urgentJob(fmt.Sprintf("refit%d", number), false))
	}
	if err := farm.store.Submit(ctx, refits); err != nil {
		return 0, err
	}
	farm.pass(ctx, 10*time.Second)
	if mode != "all-well" {
		farm.frozen = holder
	}
	farm.pass(ctx, time.Duration(random.Int64N(int64(time.Second))))
	if err := farm.store.Submit(ctx, []work.Job{urgentJob("alert", true)}); err != nil {
		return 0, err
	}
	if mode == "holder-frozen-table-away-1s" {
		farm.faults.Set(standin.FaultDown)
	}
	for waited := time.Duration(0); waited < urgentMost; waited += urgentTick {
		if runs(farm.tasks, "alert") {
			return waited, nil
		}
		if waited >= time.Second {
			farm.faults.Set(standin.FaultNone)
		}
		farm.pass(ctx, urgentTick)
	}
	return 0, fmt.Errorf("seed %d: the urgent job did not start within %s", seed, urgentMost)
}

func newUrgentFarm(random *rand.Rand) (*urgentFarm, error) {
	farm := &urgentFarm{
		now:    standin.NewManual(time.UnixMilli(1_000_000_000)),
		frozen: -1,
	}
	clock := farm.now.Clock(func() time.Duration { return 0 })
	farm.tasks = standin.NewTasks(clock.Now, time.Hour)
	farm.tasks.Save = urgentSave
	outside := store.Platform{
		Table: standin.InMemory(standin.NewTable(), &farm.faults, &standin.Late{}),
		Tasks: farm.tasks.Adapter(),
	}
	farm.store = work.NewStore(outside.Table, clock)
	view, err := urgentView()
	if err != nil {
		return nil, err
	}
	for entry := range urgentEntries {
		leases := lease.NewHolder(outside.Table, clock, fmt.Sprint(entry), urgentLease)
		farm.duties = append(farm.duties, work.NewDuty(outside, leases, func() *state.View { return view }, clock, slog.New(slog.DiscardHandler), urgentLook))
		farm.next = append(farm.next, clock.Now().Add(time.Duration(random.Int64N(int64(urgentLook)))))
	}
	return farm, nil
}

// pass lets time pass, in which the entries act at their moments.
func (f *urgentFarm) pass(ctx context.Context, length time.Duration) {
	clock := f.now.Clock(func() time.Duration { return 0 })
	for range length / urgentTick {
		f.now.Step(urgentTick)
		for entry, duty := range f.duties {
			if clock.Now().Before(f.next[entry]) || entry == f.frozen {
				continue
			}
			f.next[entry] = f.next[entry].Add(urgentLook)
			duty.Round(ctx)
		}
	}
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
		if strings.Contains(task.ID, "/"+job+"/") && task.State == store.TaskRunning {
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
		Declared: store.Resources{
			Milliprocessors: 4000,
		},
	}
}

func urgentView() (*state.View, error) {
	var rows []store.Row
	var listed []store.Listed
	for number := range urgentWorkers {
		id := fmt.Sprintf("w%02d", number)
		rows = append(rows, encodeRow(fleet.InstanceKey(id), fleet.Instance{
			ID:    id,
			Pool:  "modelos",
			Phase: fleet.PhaseServing,
		}))
		listed = append(listed, store.Listed{
			ID:    id,
			State: store.ListedLive,
			Size: store.Resources{
				Milliprocessors: 8000,
			},
		})
	}
	return state.BuildView(nil, rows, listed)
}
