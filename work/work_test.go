package work_test

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"lemonstream.dev/lemonstream/fleet"
	"lemonstream.dev/lemonstream/internal/prove"
	"lemonstream.dev/lemonstream/internal/standin"
	"lemonstream.dev/lemonstream/lease"
	"lemonstream.dev/lemonstream/place"
	"lemonstream.dev/lemonstream/state"
	"lemonstream.dev/lemonstream/store"
	"lemonstream.dev/lemonstream/work"
)

// A lease of length 0 lets every entry act in every round.

// farm is a pool of workers with entries that place jobs on them.
type farm struct {
	now    *standin.Manual
	table  *standin.Table
	faults *standin.Switch
	tasks  *standin.Tasks
	duties []*work.Duty
	store  *work.Store
	view   *state.View

	// starts counts the calls that started a task, by job.
	starts map[string]map[string]bool
}

func newFarm(entries, workers int, length, leased time.Duration) *farm {
	f := &farm{
		now:    standin.NewManual(time.UnixMilli(1_000_000_000)),
		table:  standin.NewTable(),
		faults: &standin.Switch{},
		starts: make(map[string]map[string]bool),
	}
	var rows []store.Row
	var listed []store.Listed
	for number := range workers {
		id := fmt.Sprintf("w%d", number)
		body, err := json.Marshal(fleet.Instance{
			ID:    id,
			Pool:  "modelos",
			Phase: fleet.PhaseServing,
		})
		if err != nil {
			panic(err)
		}
		rows = append(rows, store.Row{
			Key:     fleet.InstanceKey(id),
			Version: 1,
			Value:   body,
		})
		listed = append(listed, store.Listed{
			ID:    id,
			State: store.ListedLive,
			Size: store.Resources{
				Milliprocessors: 8000,
			},
		})
	}
	view, err := state.BuildView(nil, rows, listed)
	if err != nil {
		panic(err)
	}
	f.view = view
	clock := f.now.Clock(func() time.Duration { return 0 })
	f.tasks = standin.NewTasks(clock.Now, length)
	f.tasks.Save = 2 * time.Second
	adapter := f.tasks.Adapter()
	start := adapter.Start
	adapter.Start = func(ctx context.Context, task store.Task, lease time.Duration) error {
		job := task.ID[:len(task.ID)-2]
		if f.starts[job] == nil {
			f.starts[job] = make(map[string]bool)
		}
		f.starts[job][task.ID] = true
		return start(ctx, task, lease)
	}
	outside := store.Platform{
		Table: standin.InMemory(f.table, f.faults, &standin.Late{}),
		Tasks: adapter,
	}
	for number := range entries {
		leases := lease.NewHolder(outside.Table, clock, fmt.Sprint(number), leased)
		f.duties = append(f.duties, work.NewDuty(outside, leases, func() *state.View { return f.view }, clock, slog.New(slog.DiscardHandler), time.Second))
	}
	f.store = work.NewStore(outside.Table, clock)
	return f
}

func (f *farm) submit(jobs ...work.Job) error {
	for i := range jobs {
		jobs[i].Pool = "modelos"
		if jobs[i].Declared.Milliprocessors == 0 {
			jobs[i].Declared.Milliprocessors = 4000
		}
	}
	return f.store.Submit(context.Background(), jobs)
}

func (f *farm) jobs() map[string]work.Job {
	jobs, err := f.store.List(context.Background(), "modelos")
	if err != nil {
		return nil
	}
	byID := make(map[string]work.Job)
	for _, job := range jobs {
		byID[job.ID] = job
	}
	return byID
}

// round lets every entry act and half a second pass.
func (f *farm) round() {
	for _, duty := range f.duties {
		duty.Round(context.Background())
	}
	f.now.Step(500 * time.Millisecond)
}

func TestUrgentStartsInTimeInAFullPool(t *testing.T) {
	for name, frozen := range map[string]bool{
		"all well":              false,
		"lease's holder frozen": true,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFarm(3, 4, time.Hour, 20*time.Second)
			for number := range 8 {
				is.NoErr(f.submit(work.Job{
					ID: fmt.Sprintf("refit%d", number),
				}))
			}
			for range 4 {
				f.round()
			}
			if frozen {
				f.duties = f.duties[1:]
			}
			is.NoErr(f.submit(work.Job{
				ID:     "alert",
				Urgent: true,
			}))
			rounds := 0
			for ; len(f.starts["modelos/alert"]) == 0; rounds++ {
				is.True(rounds < 17) // Half a second each: 8.1 s by the clock of the test.
				f.round()
			}
			t.Logf("the urgent job started after %d rounds of 500 ms", rounds)
		})
	}
}

func TestCancellationsComeInWaves(t *testing.T) {
	is := is.New(t)
	f := newFarm(1, 4, time.Hour, 0)
	for batch := range 4 {
		var jobs []work.Job
		for number := range 100 {
			jobs = append(jobs, work.Job{
				ID: fmt.Sprintf("j%d-%02d", batch, number),
			})
		}
		is.NoErr(f.submit(jobs...))
	}
	f.round()
	before, _ := f.table.Counts()
	count, err := f.store.Cancel(context.Background(), "modelos", nil)
	is.NoErr(err)
	is.Equal(count, 400)
	after, _ := f.table.Counts()
	is.Equal(after-before, int64(4)) // A hundred in a write.
	for range 6 {
		f.round()
	}
	for _, job := range f.jobs() {
		is.Equal(job.State, work.StateCancelled)
	}
	for _, task := range f.tasks.List("modelos") {
		is.True(task.State != store.TaskRunning) // Nothing goes on.
	}
}

func TestBadWorkerAndBadJob(t *testing.T) {
	is := is.New(t)
	f := newFarm(1, 5, time.Second, 0)
	f.tasks.Fails = func(task store.Task) bool {
		return task.Worker == "w0" || task.ID[:len(task.ID)-2] == "modelos/bad"
	}
	is.NoErr(f.submit(work.Job{
		ID: "bad",
	}, work.Job{
		ID: "huge",
		Declared: store.Resources{
			Milliprocessors: 99_000,
		},
	}))
	for number := range 12 {
		is.NoErr(f.submit(work.Job{
			ID: fmt.Sprintf("good%02d", number),
		}))
	}
	for range 80 {
		f.round()
	}
	for id, job := range f.jobs() {
		switch id {
		case "bad", "huge":
			is.Equal(job.State, work.StateSetAside)
			is.True(job.Reason != "")
		default:
			is.Equal(job.State, work.StateFinished) // A bad worker's fault is not theirs.
		}
	}
}

// TestJobThatLosesItsWorkersIsSetAside covers a job under which each worker ends that
// starts it. Its attempts lapsed with their workers, and a lapse counted as nothing, so
// that it took one worker after the other: 8 of 8 in this test.
func TestJobThatLosesItsWorkersIsSetAside(t *testing.T) {
	is := is.New(t)
	f := newFarm(1, 8, time.Second, 0)
	crashed := make(map[string]bool)
	f.tasks.Crashed = func(worker string) bool { return crashed[worker] }
	f.tasks.Fails = func(task store.Task) bool {
		if task.ID[:len(task.ID)-2] == "modelos/bad" {
			crashed[task.Worker] = true
			line := f.view.Listed[task.Worker]
			line.State = ""
			f.view.Listed[task.Worker] = line
		}
		return false
	}
	is.NoErr(f.submit(work.Job{
		ID: "bad",
	}))
	for number := range 5 {
		is.NoErr(f.submit(work.Job{
			ID: fmt.Sprintf("good%02d", number),
		}))
	}
	for range 1200 {
		f.round()
	}
	is.Equal(len(crashed), 3)
	for id, job := range f.jobs() {
		if id == "bad" {
			is.Equal(job.State, work.StateSetAside)
			is.Equal(job.Reason, place.ReasonLosesWorkers)
			continue
		}
		is.Equal(job.State, work.StateFinished)
	}
}

// TestJobThatLosesOneWorkerAgainAndAgainIsSetAside covers a job that crashes the only worker
// there is, which starts again under its id. It was listed as live by the time that the
// attempt lapsed, or counted once for its id, so that the job went on without end: 9 starts
// in 1,200 rounds, one after each lease.
func TestJobThatLosesOneWorkerAgainAndAgainIsSetAside(t *testing.T) {
	is := is.New(t)
	f := newFarm(1, 1, time.Hour, 0)
	start := func() {
		line := f.view.Listed["w0"]
		line.Boot++
		f.view.Listed["w0"] = line
	}
	start()
	down := 0
	f.tasks.Crashed = func(string) bool { return down > 0 }
	f.tasks.Fails = func(task store.Task) bool {
		if down == 0 {
			down = 150 // The attempt lapses after 120 rounds.
		}
		return false
	}
	is.NoErr(f.submit(work.Job{
		ID: "bad",
	}))
	for range 1200 {
		f.round()
		if down == 0 {
			continue
		}
		if down--; down == 142 {
			start()
		}
	}
	t.Logf("starts=%d", len(f.starts["modelos/bad"]))
	is.Equal(f.jobs()["bad"].State, work.StateSetAside)
	is.Equal(f.jobs()["bad"].Reason, place.ReasonLosesWorkers)
	is.Equal(len(f.starts["modelos/bad"]), 3)
}

// TestJobOnCutOffWorkersIsNotSetAside cuts off four workers under a job, each for two leases.
func TestJobOnCutOffWorkersIsNotSetAside(t *testing.T) {
	is := is.New(t)
	const cuts, cutRounds = 4, 250
	f := newFarm(1, 8, time.Second, 0)
	down := make(map[string]int)
	set := func(worker string, state store.ListedState) {
		line := f.view.Listed[worker]
		line.State = state
		line.Boot = 1
		f.view.Listed[worker] = line
	}
	for worker := range f.view.Listed {
		set(worker, store.ListedLive)
	}
	seen := 0
	f.tasks.Crashed = func(worker string) bool { return down[worker] > 0 }
	f.tasks.Fails = func(task store.Task) bool {
		if down[task.Worker] == 0 && seen < cuts {
			seen++
			down[task.Worker] = cutRounds
			set(task.Worker, "")
		}
		return false
	}
	is.NoErr(f.submit(work.Job{
		ID: "cut",
	}))
	for range 1200 {
		f.round()
		for worker, left := range down {
			if left > 0 {
				down[worker]--
			}
			if left == 1 {
				set(worker, store.ListedLive)
			}
		}
	}
	is.Equal(seen, cuts)
	is.Equal(f.jobs()["cut"].State, work.StateFinished)
}

func TestBadRowHoldsUpNothing(t *testing.T) {
	is := is.New(t)
	f := newFarm(1, 1, time.Second, 0)
	_, err := f.table.Transact(store.Transaction{
		Puts: []store.Put{{
			Key:   work.Key("modelos", "broken"),
			Value: []byte("{"),
		}},
	})
	is.NoErr(err)
	is.NoErr(f.submit(work.Job{
		ID: "good",
	}))
	f.round()
	is.Equal(len(f.starts["modelos/good"]), 1)
	for _, id := range []string{"", "a/b"} {
		is.True(f.submit(work.Job{
			ID: id,
		}) != nil)
	}
}

func TestDuplicateSubmission(t *testing.T) {
	is := is.New(t)
	f := newFarm(1, 1, time.Hour, 0)
	is.NoErr(f.submit(work.Job{
		ID: "a",
	}))
	is.True(f.submit(work.Job{
		ID: "b",
	}, work.Job{
		ID: "a",
	}) != nil)
	is.Equal(len(f.jobs()), 1) // All or none.
}

// TestJobsKeepTheirPromises has entries with old copies, faults of the table,
// pauses longer than task leases, failing workers and cancellations. An
// unrepeatable job starts at most once, no job runs in two places, and once the
// faults end every job ends.
func TestJobsKeepTheirPromises(t *testing.T) {
	prove.Property(t, func(t *rapid.T) {
		f := newFarm(3, 3, 3*time.Second, 0)
		f.tasks.Fails = func(task store.Task) bool { return task.Worker == "w0" && len(task.ID)%2 == 0 }
		number := 0
		t.Repeat(map[string]func(*rapid.T){
			"": f.check,
			"submit": func(t *rapid.T) {
				number++
				_ = f.submit(work.Job{
					ID:           fmt.Sprintf("j%03d", number),
					Urgent:       rapid.IntRange(0, 3).Draw(t, "urgent") == 0,
					Unrepeatable: rapid.IntRange(0, 2).Draw(t, "unrepeatable") == 0,
				})
			},
			"act":    func(t *rapid.T) { f.duties[rapid.IntRange(0, 2).Draw(t, "entry")].Round(context.Background()) },
			"act 2":  func(t *rapid.T) { f.duties[rapid.IntRange(0, 2).Draw(t, "entry")].Round(context.Background()) },
			"pause":  func(t *rapid.T) { f.now.Step(time.Duration(rapid.IntRange(1, 90).Draw(t, "s")) * time.Second) },
			"moment": func(*rapid.T) { f.now.Step(300 * time.Millisecond) },
			"cancel": func(t *rapid.T) {
				_, _ = f.store.Cancel(context.Background(), "modelos", []string{fmt.Sprintf("j%03d", rapid.IntRange(1, number+1).Draw(t, "job"))})
			},
			"fault": func(t *rapid.T) {
				faults := []standin.Fault{standin.FaultNone, standin.FaultNone, standin.FaultDown, standin.FaultLose, standin.FaultLoseOnce}
				f.faults.Set(rapid.SampledFrom(faults).Draw(t, "fault"))
			},
		})
		f.faults.Set(standin.FaultNone)
		for round := 0; f.open() > 0; round++ {
			if round > 300 {
				t.Fatalf("%d jobs never end: %+v", f.open(), f.jobs())
			}
			f.round()
			f.check(t)
		}
	})
}

func (f *farm) open() int {
	count := 0
	for _, job := range f.jobs() {
		if !job.Over() {
			count++
		}
	}
	return count
}

// check is the oracle: it reads what the workers run.
func (f *farm) check(t *rapid.T) {
	running := make(map[string]int)
	used := make(map[string]int)
	for _, task := range f.tasks.List("modelos") {
		if task.State == store.TaskRunning {
			running[task.ID[:len(task.ID)-2]]++
			used[task.Worker]++
		}
	}
	for job, count := range running {
		if count > 1 {
			t.Fatalf("job %s runs in %d places", job, count)
		}
	}
	for worker, count := range used {
		if count > 2 {
			t.Fatalf("worker %s holds %d jobs of half its size", worker, count)
		}
	}
	for id, job := range f.jobs() {
		if job.Unrepeatable && len(f.starts["modelos/"+id]) > 1 {
			t.Fatalf("unrepeatable job %s was started %d times", id, len(f.starts["modelos/"+id]))
		}
	}
}
