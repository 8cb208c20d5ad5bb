package queue

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"lemonstream.dev/lemonstream/catalog"
	"lemonstream.dev/lemonstream/outside"
	"lemonstream.dev/lemonstream/owner"
	"lemonstream.dev/lemonstream/shard"
)

// A former service is left out of a placement once it holds no row of the queue's jobs. As it is closed,
// none can come.

const (
	// firstPrune is the time until rows of former services are looked for. Those of ended jobs are kept
	// for about two minutes. maxPrunePause is the longest pause between two looks, which read all rows
	// of a service.
	firstPrune    = 3 * time.Minute
	maxPrunePause = time.Hour
)

// pruneIfDue looks for rows of former services in the background. The entries spread their looks, so
// that mostly one of them finds that nothing is left.
func (b *Book) pruneIfDue(v *view, placement Placement) {
	if len(placement.Former()) == 0 || !b.isPruneDue(v) {
		return
	}
	b.Group.Go("former services of a queue", func(ctx context.Context) error {
		if err := b.prune(ctx, v); err != nil {
			b.Log.Info("former services of queue not looked through", "queue", v.queue, "error", err.Error())
		}
		return nil
	})
}

// isPruneDue reports whether the next look is due, and determines when the one after it is.
func (b *Book) isPruneDue(v *view) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Clock.Now()
	if v.nextPrune.IsZero() {
		v.prunePause = firstPrune
		v.nextPrune = now.Add(spread(firstPrune))
		return false
	}
	if now.Before(v.nextPrune) {
		return false
	}
	v.prunePause = min(2*v.prunePause, maxPrunePause)
	v.nextPrune = now.Add(spread(v.prunePause))
	return true
}

// spread returns a pause between one and two times the given one.
func spread(pause time.Duration) time.Duration {
	return pause + rand.N(pause)
}

// prune leaves the former services without rows out of the placement. Callers of the queue do not wait
// for it.
func (b *Book) prune(ctx context.Context, v *view) error {
	row, err := b.Table.Row(ctx, RowKey(v.queue))
	if err != nil || row == nil {
		return err
	}
	placement, err := DecodePlacement(row.Value)
	if err != nil {
		return err
	}
	next := placement
	for _, s := range placement.Former() {
		if !s.Closed {
			continue
		}
		used, err := b.hasRows(ctx, v.queue, s)
		if err != nil {
			return err
		}
		if !used {
			next = next.without(s.Name)
			b.Log.Info("former service of queue left out", "queue", v.queue, "service", s.Name)
		}
	}
	select {
	case v.turn <- struct{}{}:
		defer v.end()
	case <-ctx.Done():
		return fmt.Errorf("waiting for the placement: %w", ctx.Err())
	}
	if row.Version < v.version {
		return nil
	}
	if len(next.Services) == len(placement.Services) {
		return nil
	}
	if err := v.apply(row); err != nil {
		return err
	}
	return b.write(ctx, v, next)
}

// hasRows reports whether a service has rows of jobs that it accepted under one of the queue's routes, or
// that were withdrawn from the queue.
func (b *Book) hasRows(ctx context.Context, queue string, s Service) (bool, error) {
	for _, key := range []outside.Key{
		owner.IntakeKey(s.Name, ""),
		owner.ProgressKey(s.Name, ""),
		owner.WithdrawnKey(s.Name, "", ""),
		owner.StandbyIntakeKey(s.Name, ""),
		owner.StandbyProgressKey(s.Name, ""),
		owner.StandbyWithdrawnKey(s.Name, "", ""),
	} {
		used := false
		_, err := b.Table.ReadPages(ctx, key.Table, key.Part, func(rows []outside.Row) error {
			for _, row := range rows {
				used = used || isRowOf(queue, s, row)
			}
			return nil
		})
		if err != nil || used {
			return used, err
		}
	}
	return false, nil
}

// isRowOf reports whether a row at a service may be that of a job of the queue. The row of a cancellation
// stands beside that of its job.
func isRowOf(queue string, s Service, row outside.Row) bool {
	if strings.HasPrefix(row.Key.Name, owner.CancelKey(s.Name, "").Name) {
		return false
	}
	var route string
	var err error
	switch row.Key.Table {
	case owner.WithdrawnKey(s.Name, "", "").Table:
		withdrawal, err := shard.DecodeWithdrawal(row.Value)
		return err != nil || withdrawal.Queue == queue
	case owner.ProgressKey(s.Name, "").Table:
		var progress shard.Progress
		progress, err = shard.DecodeProgress(row.Value)
		route = progress.Route
	default:
		var of catalog.JobOwner
		of, err = shard.DecodeJobOwner(row.Value)
		route = of.Route
	}
	return err != nil || route == "" || slices.Contains(s.Routes, route)
}
