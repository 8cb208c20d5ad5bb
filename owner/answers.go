package owner

import (
	"context"
	"time"

	"lemonstream.dev/lemonstream/catalog"
	"lemonstream.dev/lemonstream/job"
	"lemonstream.dev/lemonstream/shard"
)

// publishedJob is the state of a job that callers may see, and whose job it is.
type publishedJob struct {
	state job.State
	owner catalog.JobOwner
}

// Offer queues an accepted job for the loop of the duty.
func (d *Duty) Offer(record shard.Record, version int64, first bool) error {
	return d.push(func(d *Duty, now time.Time) {
		d.core.Accept(record, version, first, now)
	})
}

// WriteAge returns how long ago the duty sent its last transaction that was applied.
func (d *Duty) WriteAge() time.Duration {
	return d.tenure.age()
}

// State returns the job state that callers may see. It reports false for an unfinished job
// until the standby partition is read, as that may hold the job's final state. A job that the
// caller may not see is answered as an unknown one.
func (d *Duty) State(caller catalog.Caller, id string) (job.State, bool) {
	found, known := d.published.Load(id)
	if !known {
		return "", false
	}
	published, ok := found.(publishedJob)
	if !d.admits(caller, published.owner) || (!published.state.Final() && !d.standbyRead.Load()) {
		return "", false
	}
	return published.state, ok
}

// admits reports whether a caller may see and cancel a job.
func (d *Duty) admits(caller catalog.Caller, of catalog.JobOwner) bool {
	if d.deps.Admits != nil {
		return d.deps.Admits(caller, of)
	}
	return d.deps.Catalog().Admits(caller, of)
}

// Pending returns how many jobs of a route have not started. It reports false while the duty is
// still reading its rows.
func (d *Duty) Pending(route string) (int, bool) {
	counts := d.pending.Load()
	if counts == nil {
		return 0, false
	}
	return (*counts)[route], true
}

// Load applies a directive of the instance controller and returns the demand and the capacity of
// the service.
func (d *Duty) Load(ctx context.Context, directive Directive) (shard.Load, error) {
	answer := make(chan shard.Load, 1)
	err := d.push(func(d *Duty, now time.Time) {
		d.core.RemoveTaken(directive.Ended, now)
		d.core.SetClosed(directive.Closed, now)
		d.core.SetMaxInstances(directive.Most)
		answer <- d.core.Load(now)
	})
	if err != nil {
		return shard.Load{}, err
	}
	select {
	case load := <-answer:
		return load, nil
	case <-ctx.Done():
		return shard.Load{}, ctx.Err()
	}
}

// Cancel cancels a job and waits until the cancellation is stored. It reports false if the duty
// does not know the job, and likewise if the caller may not cancel it.
func (d *Duty) Cancel(ctx context.Context, caller catalog.Caller, id string) (bool, error) {
	written := make(chan bool, 1)
	err := d.push(func(d *Duty, now time.Time) {
		of, known := d.core.JobOwner(id)
		if !known || !d.admits(caller, of) || !d.core.Cancel(id, now, func() { written <- true }) {
			written <- false
		}
	})
	if err != nil {
		return false, err
	}
	select {
	case known := <-written:
		return known, nil
	case <-ctx.Done():
		return true, ctx.Err()
	}
}
