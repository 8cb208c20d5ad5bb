package work

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/google/uuid"

	"lemonstream.dev/lemonstream/clock"
	"lemonstream.dev/lemonstream/fleet"
	"lemonstream.dev/lemonstream/lease"
	"lemonstream.dev/lemonstream/place"
	"lemonstream.dev/lemonstream/state"
	"lemonstream.dev/lemonstream/store"
)

const (
	// renewEvery is the pause between two renewals of task leases.
	renewEvery = 10 * time.Second

	// urgentPatience is how long an urgent job waits for the holder of its
	// pool's lease before any entry acts. With a look a second and a
	// checkpoint of two, it starts well within the users' 8.1 s.
	urgentPatience = 2 * time.Second

	// taskLease is how long a task runs on without a renewal.
	taskLease = time.Minute
)

// Duty places and runs the jobs of the pools whose lease it gets.
type Duty struct {
	table  store.Table
	tasks  store.Tasks
	leases *lease.Holder
	view   func() *state.View
	clock  clock.Clock
	log    *slog.Logger
	pause  time.Duration

	// pools maps a pool to what the duty knows of its jobs.
	pools map[string]*known

	// revision is the table's as of the last scan of jobs.
	revision int64
}

// known is the jobs of one pool that have not ended.
type known struct {
	// rows and jobs have the same keys: the ids of jobs.
	rows map[string]store.Row
	jobs map[string]*Job

	// renewed is when task leases were last renewed.
	renewed time.Time
}

// NewDuty returns the duty, which looks at each pool once in every pause.
func NewDuty(p store.Platform, leases *lease.Holder, view func() *state.View, c clock.Clock, log *slog.Logger, pause time.Duration) *Duty {
	return &Duty{
		table:  p.Table,
		tasks:  p.Tasks,
		leases: leases,
		view:   view,
		clock:  c,
		log:    log,
		pause:  pause,
		pools:  make(map[string]*known),
	}
}

// Run places and runs jobs until ctx ends.
func (d *Duty) Run(ctx context.Context) error {
	return clock.Every(ctx, d.pause, d.Round)
}

// Round does the next steps of every pool that has jobs. One scan finds the
// jobs of all pools; only pools with jobs cost a lease.
func (d *Duty) Round(ctx context.Context) {
	if err := d.refresh(ctx); err != nil {
		d.log.Debug("jobs not read", "error", err)
		return
	}
	for _, pool := range slices.Sorted(maps.Keys(d.pools)) {
		if len(d.pools[pool].jobs) == 0 {
			continue
		}
		_, held, err := d.leases.Hold(ctx, "jobs/"+pool)
		if err != nil || (!held && !d.overdue(d.pools[pool])) {
			continue
		}
		if err := d.roundPool(ctx, pool, d.pools[pool]); err != nil {
			d.log.Debug("jobs wait", "pool", pool, "error", err)
		}
	}
}

// overdue reports whether an urgent job waits so long that the lease's holder
// must be gone. Any entry may then act: the transactions keep the promises, the
// lease only saves work.
func (d *Duty) overdue(k *known) bool {
	now := d.clock.Now()
	for _, job := range k.jobs {
		waited := now.Sub(clock.FromMillis(job.Waiting))
		open := job.State == StateWaiting || job.State == StateStarting
		if job.Urgent && open && waited > urgentPatience {
			return true
		}
	}
	return false
}

// refresh reads the job rows that changed since the last round. A row that can't
// be decoded is left alone; it holds up no other job.
func (d *Duty) refresh(ctx context.Context) error {
	page, err := d.table.Scan(ctx, Prefix, d.revision)
	if err != nil {
		return err
	}
	for _, row := range page.Rows {
		if len(row.Value) == 0 {
			continue
		}
		job, err := decodeJob(row)
		if err != nil {
			d.log.Error("job left alone", "error", err)
			continue
		}
		k := d.pool(job.Pool)
		if k.rows[job.ID].Version >= row.Version {
			continue
		}
		k.set(row, job)
	}
	d.revision = page.Revision
	return nil
}

// pool returns what is known of a pool.
func (d *Duty) pool(name string) *known {
	k, found := d.pools[name]
	if !found {
		k = &known{
			rows: make(map[string]store.Row),
			jobs: make(map[string]*Job),
		}
		d.pools[name] = k
	}
	return k
}

// roundPool looks at the whole pool, writes what changes in one transaction,
// and then has the platform do what the rows say.
func (d *Duty) roundPool(ctx context.Context, pool string, k *known) error {
	tasks, err := d.tasks.List(ctx, pool)
	if err != nil {
		return err
	}
	byID := make(map[string]store.Task, len(tasks))
	for _, task := range tasks {
		byID[task.ID] = task
	}
	next := k.clone()
	now := d.clock.Now()
	for _, job := range next {
		job.withdrawLosses(d.answersAgain)
		if task, found := byID[job.TaskID()]; found && job.Worker != "" {
			job.observe(task, d.endedSilently(job), now)
		}
	}
	d.decide(pool, next)
	if err := d.write(ctx, pool, k, next); err != nil {
		return err
	}
	return d.enact(ctx, k, byID, now)
}

// endedSilently reports whether a job's worker is lost that nobody wanted to leave, or has
// started again since.
func (d *Duty) endedSilently(job *Job) bool {
	view := d.view()
	again := job.Boot != 0 && view.Listed[job.Worker].Boot != job.Boot
	return (again || view.Lost(job.Worker)) && view.Instances[job.Worker].Phase == fleet.PhaseServing
}

// answersAgain reports whether a worker that counted as lost answers, and has not started again since.
func (d *Duty) answersAgain(worker string, boot int64) bool {
	view := d.view()
	return boot != 0 && view.Listed[worker].Boot == boot && !view.Lost(worker)
}

// decide changes the jobs as package place says.
func (d *Duty) decide(pool string, jobs map[string]*Job) {
	view := d.view()
	input := d.input(pool, jobs)
	steps := input.Next()
	for id, reason := range steps.SetAside {
		if job := jobs[id]; job.State == StateWaiting {
			job.State = StateSetAside
			job.Reason = reason
		}
	}
	for _, id := range steps.Checkpoint {
		jobs[id].State = StateCheckpointing
	}
	for id, worker := range steps.Start {
		job := jobs[id]
		job.State = StateStarting
		job.Worker = worker
		job.Boot = view.Listed[worker].Boot
		job.Attempt++
	}
	for _, id := range steps.TakeOut {
		d.log.Warn("worker fails every job; it gets none", "pool", pool, "worker", id)
	}
	// What runs on an instance that leaves is saved, unless it can't go on
	// elsewhere; that one is waited for.
	for _, job := range jobs {
		leaves := view.Instances[job.Worker].Phase != fleet.PhaseServing
		placed := job.State == StateRunning || job.State == StateStarting
		if placed && leaves && !job.Unrepeatable {
			job.State = StateCheckpointing
		}
	}
}

// input returns the pool as package place sees it. An unrepeatable job that was
// started is never displaced, so it counts as urgent.
func (d *Duty) input(pool string, jobs map[string]*Job) place.Pool {
	view := d.view()
	input := place.Pool{
		Quotas: make(map[string]place.Size),
	}
	for _, id := range view.InPool(pool) {
		line := view.Listed[id]
		input.Workers = append(input.Workers, place.Worker{
			ID:      id,
			Size:    place.Size(line.Size),
			Leaving: view.Instances[id].Phase != fleet.PhaseServing || view.Lost(id),
		})
	}
	for _, id := range slices.Sorted(maps.Keys(jobs)) {
		job := jobs[id]
		if job.Over() {
			continue
		}
		sized := job.sized()
		sized.Urgent = job.Urgent || (job.Unrepeatable && job.Worker != "")
		input.Jobs = append(input.Jobs, sized)
	}
	for name, quota := range view.Config.Teams {
		if quota.JobProcessors > 0 {
			input.Quotas[name] = place.Size{
				Milliprocessors: int64(quota.JobProcessors) * 1000,
				Memory:          math.MaxInt64,
				Accelerators:    math.MaxInt64,
			}
		}
	}
	return input
}

// write puts the jobs that changed, in one transaction.
func (d *Duty) write(ctx context.Context, pool string, k *known, next map[string]*Job) error {
	tx := store.Transaction{
		Op: "jobs of " + pool + "/" + uuid.NewString(),
	}
	for id, job := range next {
		if job.Over() && job.Ended == 0 {
			job.Ended = clock.Millis(d.clock.Now())
		}
		value, err := json.Marshal(job)
		if err != nil {
			return fmt.Errorf("encoding job %s: %w", id, err)
		}
		if string(value) == string(k.rows[id].Value) {
			continue
		}
		tx.Checks = append(tx.Checks, store.Check{
			Key:     k.rows[id].Key,
			Version: k.rows[id].Version,
		})
		tx.Puts = append(tx.Puts, store.Put{
			Key:   k.rows[id].Key,
			Value: value,
		})
	}
	if len(tx.Puts) == 0 {
		return nil
	}
	revision, err := d.table.Commit(ctx, tx)
	if err != nil {
		return err
	}
	for _, row := range tx.Written(revision) {
		job, err := decodeJob(row)
		if err != nil {
			return err
		}
		k.set(row, job)
	}
	return nil
}

// enact has the platform do what the rows say. Every call may be made again.
func (d *Duty) enact(ctx context.Context, k *known, tasks map[string]store.Task, now time.Time) error {
	var failures []error
	var running []string
	saving := make(map[string]bool)
	for _, job := range k.jobs {
		if job.State == StateCheckpointing {
			saving[job.Worker] = true
		}
	}
	for _, job := range k.jobs {
		task, started := tasks[job.TaskID()]
		switch job.State {
		case StateStarting, StateRunning:
			if started {
				running = append(running, task.ID)
				continue
			}
			// Room on a worker that saves other tasks is there once it is done.
			if !saving[job.Worker] {
				failures = append(failures, d.start(ctx, job))
			}
		case StateCheckpointing:
			if started {
				failures = append(failures, d.tasks.Checkpoint(ctx, task.ID))
			} else {
				// It was to be saved before it started: start it to save it.
				failures = append(failures, d.start(ctx, job))
			}
		case StateCancelling:
			// Stopping an attempt that has not started keeps it from starting.
			failures = append(failures, d.tasks.Stop(ctx, job.task()))
		}
	}
	if len(running) > 0 && now.Sub(k.renewed) >= renewEvery {
		failures = append(failures, d.tasks.Renew(ctx, running, taskLease))
		k.renewed = now
	}
	return errors.Join(failures...)
}

func (d *Duty) start(ctx context.Context, job *Job) error {
	return d.tasks.Start(ctx, job.task(), taskLease)
}

// clone returns copies of the jobs that may be changed.
func (k *known) clone() map[string]*Job {
	jobs := make(map[string]*Job, len(k.jobs))
	for id, job := range k.jobs {
		copied := *job
		copied.FailedOn = maps.Clone(job.FailedOn)
		copied.LostOn = maps.Clone(job.LostOn)
		jobs[id] = &copied
	}
	return jobs
}

// set remembers a job, or forgets one that ended.
func (k *known) set(row store.Row, job *Job) {
	if job.Over() {
		delete(k.rows, job.ID)
		delete(k.jobs, job.ID)
		return
	}
	k.rows[job.ID] = row
	k.jobs[job.ID] = job
}
