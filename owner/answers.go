package owner

import (
	"context"
	"time"

	"lemonstream.dev/lemonstream/job"
	"lemonstream.dev/lemonstream/shard"
)

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
// until the standby partition is read, as that may hold the job's final state.
func (d *Duty) State(id string) (job.State, bool) {
	state, found := d.published.Load(id)
	if !found {
		return "", false
	}
	published, ok := state.(job.State)
	if !published.Final() && !d.standbyRead.Load() {
		return "", false
	}
	return published, ok
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
// does not know the job.
func (d *Duty) Cancel(ctx context.Context, id string) (bool, error) {
	written := make(chan bool, 1)
	err := d.push(func(d *Duty, now time.Time) {
		if !d.core.Cancel(id, now, func() { written <- true }) {
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
