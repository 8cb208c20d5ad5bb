package standin

import (
	"context"
	"sort"
	"sync"
	"time"

	"lemonstream.dev/lemonstream/store"
)

// Tasks stands in for the workers that run tasks.
type Tasks struct {
	// Length is how long a task runs, Fails whether it fails at once, and Save
	// how long a checkpoint takes. All are set before use.
	Length func(task store.Task) time.Duration
	Fails  func(task store.Task) bool
	Save   time.Duration

	// Crashed reports whether a worker has ended without a word: what ran there goes on
	// being listed until its lease is over.
	Crashed func(worker string) bool

	// Now is the time as workers see it.
	Now func() time.Time

	mu    sync.Mutex
	tasks map[string]*task
}

// task is a task on its worker.
type task struct {
	store.Task

	started time.Time
	ends    time.Time
	lease   time.Time

	// saved is when a checkpoint is done; zero without one.
	saved time.Time
}

// NewTasks returns workers on which every task takes length.
func NewTasks(now func() time.Time, length time.Duration) *Tasks {
	return &Tasks{
		Length:  func(store.Task) time.Duration { return length },
		Fails:   func(store.Task) bool { return false },
		Crashed: func(string) bool { return false },
		Now:     now,
		tasks:   make(map[string]*task),
	}
}

// Adapter returns the seam of tasks.
func (t *Tasks) Adapter() store.Tasks {
	return store.Tasks{
		Checkpoint: func(_ context.Context, id string) error { t.checkpoint(id); return nil },
		List:       func(_ context.Context, pool string) ([]store.Task, error) { return t.List(pool), nil },
		Renew: func(_ context.Context, ids []string, lease time.Duration) error {
			t.renew(ids, lease)
			return nil
		},
		Start: func(_ context.Context, one store.Task, lease time.Duration) error {
			t.start(one, lease)
			return nil
		},
		Stop: func(_ context.Context, one store.Task) error { t.stop(one); return nil },
	}
}

// List returns the pool's tasks as they are now, in order of id.
func (t *Tasks) List(pool string) []store.Task {
	t.mu.Lock()
	defer t.mu.Unlock()
	var some []store.Task
	for _, one := range t.tasks {
		t.settle(one)
		if one.Pool == pool {
			some = append(some, one.Task)
		}
	}
	sort.Slice(some, func(i, j int) bool { return some[i].ID < some[j].ID })
	return some
}

func (t *Tasks) checkpoint(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	one := t.tasks[id]
	if one != nil && one.saved.IsZero() {
		t.settle(one)
		one.saved = t.Now().Add(t.Save)
	}
}

func (t *Tasks) renew(ids []string, lease time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, id := range ids {
		if one := t.tasks[id]; one != nil && !t.Crashed(one.Worker) {
			t.settle(one)
			one.lease = t.Now().Add(lease)
		}
	}
}

// settle brings a task to where it is now.
func (t *Tasks) settle(one *task) {
	now := t.Now()
	switch {
	case one.State != store.TaskRunning:
	case t.Crashed(one.Worker):
		if !one.lease.After(now) {
			one.State = store.TaskLapsed
		}
	case t.Fails(one.Task):
		one.State = store.TaskFailed
	case !one.ends.After(now) && (one.saved.IsZero() || one.ends.Before(one.saved)):
		one.State = store.TaskFinished
	case !one.saved.IsZero() && !one.saved.After(now):
		one.State = store.TaskCheckpointed
	case !one.lease.After(now):
		one.State = store.TaskLapsed
	}
}

func (t *Tasks) start(one store.Task, lease time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.tasks[one.ID] != nil {
		return
	}
	now := t.Now()
	one.State = store.TaskRunning
	t.tasks[one.ID] = &task{
		Task:    one,
		started: now,
		ends:    now.Add(t.Length(one)),
		lease:   now.Add(lease),
	}
}

// stop ends the task; one that never started never will.
func (t *Tasks) stop(wanted store.Task) {
	t.mu.Lock()
	defer t.mu.Unlock()
	one := t.tasks[wanted.ID]
	if one == nil {
		wanted.State = store.TaskStopped
		t.tasks[wanted.ID] = &task{
			Task: wanted,
		}
		return
	}
	t.settle(one)
	if one.State == store.TaskRunning {
		one.State = store.TaskStopped
	}
}
