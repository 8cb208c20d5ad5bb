package carry

import (
	"context"
	"log/slog"
	"time"

	"lemonstream.dev/lemonstream/clock"
	"lemonstream.dev/lemonstream/control"
	"lemonstream.dev/lemonstream/lease"
	"lemonstream.dev/lemonstream/state"
	"lemonstream.dev/lemonstream/work"
)

const (
	// cleanEvery is the pause between two rounds of cleaning.
	cleanEvery = 5 * time.Minute

	// forgetJobsAfter is how long jobs that ended stay visible.
	forgetJobsAfter = time.Hour

	// forgetLeasesAfter is how long leases that lapsed stay.
	forgetLeasesAfter = time.Hour

	// forgetPlansAfter is how long plans that ended stay visible; it covers the
	// report's longest window.
	forgetPlansAfter = 96 * time.Hour

	// retireAfter is how long an instance must be missing from the list
	// before it counts as gone for good.
	retireAfter = time.Hour
)

// Cleaner is the duty that retires instances that were replaced and deletes what
// nobody needs any more, so that the state does not grow with the days.
type Cleaner struct {
	store  *control.Store
	jobs   *work.Store
	leases *lease.Holder
	watch  *state.Watch
	clock  clock.Clock
	log    *slog.Logger

	// missing maps an instance to since when this entry misses it on the list.
	missing map[string]time.Time
}

// NewCleaner returns the duty.
func NewCleaner(store *control.Store, jobs *work.Store, leases *lease.Holder, w *state.Watch, c clock.Clock, log *slog.Logger) *Cleaner {
	return &Cleaner{
		store:   store,
		jobs:    jobs,
		leases:  leases,
		watch:   w,
		clock:   c,
		log:     log,
		missing: make(map[string]time.Time),
	}
}

// Run cleans until ctx ends.
func (c *Cleaner) Run(ctx context.Context) error {
	return clock.Every(ctx, cleanEvery, c.Round)
}

// Round notes who is missing and, if this entry holds the lease, cleans.
func (c *Cleaner) Round(ctx context.Context) {
	gone := c.gone()
	if _, held, err := c.leases.Hold(ctx, "clean"); err != nil || !held {
		return
	}
	for _, id := range gone {
		if err := c.store.Retire(ctx, id); err != nil {
			c.log.Debug("instance not retired", "instance", id, "error", err)
		}
	}
	now := c.clock.Now()
	if _, err := c.store.Forget(ctx, now.Add(-forgetPlansAfter)); err != nil {
		c.log.Debug("plans not forgotten", "error", err)
	}
	if _, err := c.jobs.Clean(ctx, now.Add(-forgetJobsAfter)); err != nil {
		c.log.Debug("jobs not cleaned", "error", err)
	}
	if _, err := c.leases.Clean(ctx, now.Add(-forgetLeasesAfter)); err != nil {
		c.log.Debug("leases not cleaned", "error", err)
	}
}

// gone returns the instances that were missing from the list for so long that
// they count as gone for good. A list that is old or empty says nothing.
func (c *Cleaner) gone() []string {
	view := c.watch.View()
	now := c.clock.Now()
	if now.Sub(c.watch.ListedAt()) > cleanEvery || len(view.Listed) == 0 {
		return nil
	}
	var gone []string
	for id := range view.Instances {
		if _, listed := view.Listed[id]; listed {
			delete(c.missing, id)
			continue
		}
		since, known := c.missing[id]
		if !known {
			c.missing[id] = now
			continue
		}
		if now.Sub(since) >= retireAfter {
			gone = append(gone, id)
		}
	}
	return gone
}
