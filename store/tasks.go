package store

import (
	"context"
	"time"
)

// States of a task.
const (
	// TaskCheckpointed means that the task was saved and stopped; it holds
	// nothing any more.
	TaskCheckpointed TaskState = "checkpointed"

	TaskFailed   TaskState = "failed"
	TaskFinished TaskState = "finished"

	// TaskLapsed means that the worker stopped the task when its lease ran
	// out.
	TaskLapsed TaskState = "lapsed"

	TaskRunning TaskState = "running"
	TaskStopped TaskState = "stopped"
)

// Task is one attempt of a job, as its worker last reported it.
type Task struct {
	// ID names the attempt; it is never used again.
	ID     string    `json:"id"`
	Pool   string    `json:"pool"`
	Worker string    `json:"worker"`
	State  TaskState `json:"state"`

	// Usage is the most that the task was seen to take; it lags.
	Usage Resources `json:"usage"`
}

// Resources is what a worker has or a task takes.
type Resources struct {
	// Milliprocessors is in thousandths of a processor.
	Milliprocessors int64 `json:"milliprocessors"`

	// Memory is in bytes.
	Memory       int64 `json:"memory"`
	Accelerators int64 `json:"accelerators"`
}

// TaskState is where a task is.
type TaskState string

// Tasks is what the platform does with tasks on workers.
type Tasks struct {
	// Checkpoint has the task saved and stopped. Asking again does nothing.
	Checkpoint func(ctx context.Context, id string) error

	// List returns the pool's tasks that run or ended lately.
	List func(ctx context.Context, pool string) ([]Task, error)

	// Renew extends the leases of tasks that run.
	Renew func(ctx context.Context, ids []string, lease time.Duration) error

	// Start starts the attempt on the worker with a lease. An attempt that
	// was started before is not started again, wherever it was.
	Start func(ctx context.Context, task Task, lease time.Duration) error

	// Stop ends the attempt, and lists it as stopped. One that was not started
	// never will be. Asking again does nothing.
	Stop func(ctx context.Context, task Task) error
}
