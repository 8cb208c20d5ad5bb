package standin

import (
	"context"
	"sort"
	"sync"
	"time"

	"lemonstream.dev/lemonstream/platform"
)

// Tasks stands in for the workers that run tasks.
type Tasks struct {
	// Length is how long a task runs, Fails whether it fails at once, and Save
	// how long a checkpoint takes. All are set before use.
	Length func(task platform.Task) time.Duration
	Fails  func(task platform.Task) bool
	Save   time.Duration

	// Now is the time as workers see it.
	Now func() time.Time

	mu    sync.Mutex
	tasks map[string]*task
}

// task is a task on its worker.
type task struct {
	platform.Task

	started time.Time
	ends    time.Time
	lease   time.Time

	// saved is when a checkpoint is done; zero without one.
	saved time.Time
}

// NewTasks returns workers on which every task takes length.
func NewTasks(now func() time.Time, length time.Duration) *Tasks {
	return &Tasks{
		Length: func(platform.Task) time.Duration { return length },
		Fails:  func(platform.Task) bool { return false },
		Now:    now,
		tasks:  make(map[string]*task),
	}
}

// Adapter returns the seam of tasks.
func (t *Tasks) Adapter() platform.Tasks {
	return platform.Tasks{
		Checkpoint: func(_ context.Context, id string) error { t.checkpoint(id); return nil },
		List:       func(_ context.Context, pool string) ([]platform.Task, error) { return t.List(pool), nil },
		Renew: func(_ context.Context, ids []string, lease time.Duration) error {
			t.renew(ids, lease)
			return nil
		},
		Start: func(_ context.Context, one platform.Task, lease time.Duration) error {
			t.start(one, lease)
			return nil
		},
		Stop: func(_ context.Context, one platform.Task) error { t.stop(one); return nil },
	}
}

// List returns the pool's tasks as they are now, in order of id.
func (t *Tasks) List(pool string) []platform.Task {
	t.mu.Lock()
	defer t.mu.Unlock()
	var some []platform.Task
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
		if one := t.tasks[id]; one != nil {
			t.settle(one)
			one.lease = t.Now().Add(lease)
		}
	}
}

// settle brings a task to where it is now.
func (t *Tasks) settle(one *task) {
	now := t.Now()
	switch {
	case one.State != platform.TaskRunning:
	case t.Fails(one.Task):
		one.State = platform.TaskFailed
	case !one.ends.After(now) && (one.saved.IsZero() || one.ends.Before(one.saved)):
		one.State = platform.TaskFinished
	case !one.saved.IsZero() && !one.saved.After(now):
		one.State = platform.TaskCheckpointed
	case !one.lease.After(now):
		one.State = platform.TaskLapsed
	}
}

func (t *Tasks) start(one platform.Task, lease time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.tasks[one.ID] != nil {
		return
	}
	now := t.Now()
	one.State = platform.TaskRunning
	t.tasks[one.ID] = &task{
		Task:    one,
		started: now,
		ends:    now.Add(t.Length(one)),
		lease:   now.Add(lease),
	}
}

// stop ends the task; one that never started never will.
func (t *Tasks) stop(wanted platform.Task) {
	t.mu.Lock()
	defer t.mu.Unlock()
	one := t.tasks[wanted.ID]
	if one == nil {
		wanted.State = platform.TaskStopped
		t.tasks[wanted.ID] = &task{
			Task: wanted,
		}
		return
	}
	t.settle(one)
	if one.State == platform.TaskRunning {
		one.State = platform.TaskStopped
	}
}
