package work

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/google/uuid"

	"lemonstream.dev/lemonstream/clock"
	"lemonstream.dev/lemonstream/store"
)

const (
	// cancelTries bounds the tries of a cancellation that meets other writes.
	cancelTries = 5

	// longestName bounds a job's id and its pool's name, in bytes.
	longestName = 128

	// mostAtOnce bounds the jobs of one transaction.
	mostAtOnce = 100
)

// ExistsError reports a job whose id is taken.
type ExistsError struct {
	Pool string
	ID   string
}

// InvalidError reports a job that can't be taken.
type InvalidError struct {
	ID     string
	Reason string
}

// Store takes and cancels jobs, at any entry.
type Store struct {
	table store.Table
	clock clock.Clock
}

// NewStore returns a store of jobs.
func NewStore(table store.Table, c clock.Clock) *Store {
	return &Store{
		table: table,
		clock: c,
	}
}

// Error implements error.
func (e *ExistsError) Error() string {
	return fmt.Sprintf("pool %s has a job %s already; nothing was submitted", e.Pool, e.ID)
}

// Error implements error.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("job %q refused: %s", e.ID, e.Reason)
}

// Cancel cancels the pool's jobs called ids, or all of them without ids, a
// hundred in a transaction. Waiting jobs end at once, running ones are stopped.
// It returns how many jobs it cancelled.
func (s *Store) Cancel(ctx context.Context, pool string, ids []string) (int, error) {
	for try := 0; ; try++ {
		count, err := s.cancelOnce(ctx, pool, ids)
		var conflict *store.ConflictError
		if !errors.As(err, &conflict) || try >= cancelTries {
			return count, err
		}
	}
}

// List returns the pool's jobs, ended ones among them, in order of id.
func (s *Store) List(ctx context.Context, pool string) ([]Job, error) {
	page, err := s.table.Scan(ctx, Prefix+pool+"/", 0)
	if err != nil {
		return nil, err
	}
	jobs := make([]Job, 0, len(page.Rows))
	for _, row := range page.Rows {
		if len(row.Value) == 0 {
			continue
		}
		job, err := decodeJob(row)
		if err != nil {
			job = &Job{
				ID:     strings.TrimPrefix(row.Key, Prefix+pool+"/"),
				Pool:   pool,
				State:  StateSetAside,
				Reason: ReasonUnreadable,
			}
		}
		jobs = append(jobs, *job)
	}
	slices.SortFunc(jobs, func(a, b Job) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return jobs, nil
}

// Submit takes up to a hundred jobs, all or none. The same jobs submitted again
// are an *ExistsError.
func (s *Store) Submit(ctx context.Context, jobs []Job) error {
	if len(jobs) == 0 || len(jobs) > mostAtOnce {
		return &InvalidError{
			Reason: fmt.Sprintf("submit between 1 and %d jobs at once", mostAtOnce),
		}
	}
	tx := store.Transaction{
		Op: "submit/" + uuid.NewString(),
	}
	now := clock.Millis(s.clock.Now())
	for _, job := range jobs {
		if err := job.check(); err != nil {
			return err
		}
		fresh := Job{
			ID:           job.ID,
			Pool:         job.Pool,
			Team:         job.Team,
			Urgent:       job.Urgent,
			Unrepeatable: job.Unrepeatable,
			Declared:     job.Declared,
			State:        StateWaiting,
			Submitted:    now,
			Waiting:      now,
		}
		if err := add(&tx, store.Row{
			Key: Key(job.Pool, job.ID),
		}, &fresh); err != nil {
			return err
		}
	}
	_, err := s.table.Commit(ctx, tx)
	var conflict *store.ConflictError
	if errors.As(err, &conflict) {
		return &ExistsError{
			Pool: jobs[0].Pool,
			ID:   conflict.Key,
		}
	}
	return err
}

// Clean deletes the jobs that ended before the instant, a hundred in a
// transaction, and returns how many.
func (s *Store) Clean(ctx context.Context, before time.Time) (int, error) {
	page, err := s.table.Scan(ctx, Prefix, 0)
	if err != nil {
		return 0, err
	}
	var old []store.Row
	for _, row := range page.Rows {
		if len(row.Value) == 0 {
			continue
		}
		job, err := decodeJob(row)
		if err == nil && job.Over() && job.Ended < clock.Millis(before) {
			old = append(old, row)
		}
	}
	for some := range slices.Chunk(old, mostAtOnce) {
		tx := store.Transaction{
			Op: "clean/" + uuid.NewString(),
		}
		for _, row := range some {
			tx.Checks = append(tx.Checks, store.Check{
				Key:     row.Key,
				Version: row.Version,
			})
			tx.Puts = append(tx.Puts, store.Put{
				Key: row.Key,
			})
		}
		if _, err := s.table.Commit(ctx, tx); err != nil {
			return 0, err
		}
	}
	return len(old), nil
}

func (s *Store) cancelOnce(ctx context.Context, pool string, ids []string) (int, error) {
	page, err := s.table.Scan(ctx, Prefix+pool+"/", 0)
	if err != nil {
		return 0, err
	}
	count := 0
	for rows := range slices.Chunk(page.Rows, mostAtOnce) {
		tx := store.Transaction{
			Op: "cancel/" + uuid.NewString(),
		}
		for _, row := range rows {
			if len(row.Value) == 0 {
				continue
			}
			job, err := decodeJob(row)
			if err != nil {
				continue
			}
			named := len(ids) == 0 || slices.Contains(ids, job.ID)
			if !named || job.Over() || job.State == StateCancelling {
				continue
			}
			job.cancel(s.clock.Now())
			if err := add(&tx, row, job); err != nil {
				return count, err
			}
		}
		if len(tx.Puts) == 0 {
			continue
		}
		if _, err := s.table.Commit(ctx, tx); err != nil {
			return count, err
		}
		count += len(tx.Puts)
	}
	return count, nil
}

// check returns an *InvalidError for a job that can't be taken.
func (j *Job) check() error {
	for _, name := range []string{j.ID, j.Pool} {
		if name == "" || len(name) > longestName || strings.Contains(name, "/") {
			return &InvalidError{
				ID:     j.ID,
				Reason: fmt.Sprintf("its id and its pool must have between 1 and %d bytes and no slash", longestName),
			}
		}
	}
	if j.Declared.Milliprocessors < 0 || j.Declared.Memory < 0 || j.Declared.Accelerators < 0 {
		return &InvalidError{
			ID:     j.ID,
			Reason: "its sizes must be at least 0",
		}
	}
	return nil
}

// cancel ends a job that waits and has a running one stopped.
func (j *Job) cancel(now time.Time) {
	if j.State == StateWaiting {
		j.State = StateCancelled
		j.Ended = clock.Millis(now)
		return
	}
	j.State = StateCancelling
}

// add has the transaction replace the row by the job.
func add(tx *store.Transaction, row store.Row, job *Job) error {
	value, err := json.Marshal(job)
	if err != nil {
		return fmt.Errorf("encoding job %s: %w", job.ID, err)
	}
	tx.Checks = append(tx.Checks, store.Check{
		Key:     row.Key,
		Version: row.Version,
	})
	tx.Puts = append(tx.Puts, store.Put{
		Key:   row.Key,
		Value: value,
	})
	return nil
}
