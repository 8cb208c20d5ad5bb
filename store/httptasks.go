package store

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"time"
)

// Paths of tasks.
const (
	PathTasks          = "/tasks"
	PathTaskCheckpoint = "/tasks/checkpoint"
	PathTaskRenew      = "/tasks/renew"
	PathTaskStop       = "/tasks/stop"
)

// RenewRequest is the body that renews leases.
type RenewRequest struct {
	IDs []string `json:"ids"`

	// LeaseMillis is in milliseconds.
	LeaseMillis int64 `json:"lease_ms"`
}

// StartRequest is the body that starts a task.
type StartRequest struct {
	Task Task `json:"task"`

	// LeaseMillis is in milliseconds.
	LeaseMillis int64 `json:"lease_ms"`
}

func (a *httpAdapter) checkpointTask(ctx context.Context, id string) error {
	return a.post(ctx, PathTaskCheckpoint+"?id="+url.QueryEscape(id), nil)
}

func (a *httpAdapter) listTasks(ctx context.Context, pool string) ([]Task, error) {
	_, body, _, err := a.call(ctx, http.MethodGet, PathTasks+"?pool="+url.QueryEscape(pool), nil, "")
	if err != nil {
		return nil, err
	}
	var tasks []Task
	if err := json.Unmarshal(body, &tasks); err != nil {
		return nil, fmt.Errorf("decoding tasks of %s: %w", pool, err)
	}
	return tasks, nil
}

func (a *httpAdapter) post(ctx context.Context, path string, value any) error {
	body, err := json.Marshal(value)
	if err != nil {
		return fmt.Errorf("encoding %s: %w", path, err)
	}
	_, _, _, err = a.call(ctx, http.MethodPost, path, body, "")
	return err
}

func (a *httpAdapter) renewTasks(ctx context.Context, ids []string, lease time.Duration) error {
	return a.post(ctx, PathTaskRenew, RenewRequest{
		IDs:         ids,
		LeaseMillis: lease.Milliseconds(),
	})
}

func (a *httpAdapter) startTask(ctx context.Context, task Task, lease time.Duration) error {
	return a.post(ctx, PathTasks, StartRequest{
		Task:        task,
		LeaseMillis: lease.Milliseconds(),
	})
}

func (a *httpAdapter) stopTask(ctx context.Context, task Task) error {
	return a.post(ctx, PathTaskStop, task)
}
