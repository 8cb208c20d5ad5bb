package owner

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"lemonstream.dev/lemonstream/outside"
	"lemonstream.dev/lemonstream/shard"
)

// LookupDroppedError reports that a lookup was dropped because another one was waiting.
type LookupDroppedError struct {
	// Jobs is the number of jobs in the lookup.
	Jobs int
}

// Error implements error.
func (e *LookupDroppedError) Error() string {
	return fmt.Sprintf("lookup of %d jobs dropped: another lookup is waiting", e.Jobs)
}

// requestLookup passes a lookup to the goroutine that reads the jobs' rows. It drops the lookup if
// another one is waiting.
func (d *Duty) requestLookup(lookup shard.Lookup) {
	select {
	case d.lookups <- lookup:
	default:
		d.finishLookup(lookup, &LookupDroppedError{
			Jobs: len(lookup.Jobs),
		})
	}
}

// finishLookup notifies the shard that a read that began after the lookup was ordered has been
// applied, or why it failed.
func (d *Duty) finishLookup(lookup shard.Lookup, err error) {
	// The loop itself may call this, so that it does not wait for the queue. The shard orders a lookup
	// again that gets no answer.
	pushErr := d.push(func(d *Duty, now time.Time) { d.core.LookedUp(lookup, err, now) })
	if pushErr != nil {
		d.deps.Log.Warn("event dropped", "service", d.service, "error", pushErr.Error())
	}
}

// pollIntake reads jobs and cancellations that an entry wrote without calling the owner. It reads
// every intakeInterval, and at once if the shard orders a lookup of unknown jobs.
func (d *Duty) pollIntake(ctx context.Context, since int64) error {
	for {
		var requested *shard.Lookup
		select {
		case <-ctx.Done():
			return nil
		case lookup := <-d.lookups:
			requested = &lookup
		case <-time.After(intakeInterval):
		}
		next, err := d.readIntake(ctx, since)
		if err == nil {
			since = next
		} else {
			d.deps.Log.Warn("changes of jobs not read", "service", d.service, "error", err.Error())
		}
		if requested != nil {
			d.finishLookup(*requested, err)
		}
	}
}

// readIntake applies the changes of the jobs' rows since a version and returns the version to
// continue from. If it returns an error, some changes may not have been applied.
func (d *Duty) readIntake(ctx context.Context, since int64) (int64, error) {
	change, err := d.deps.Table.Feed(ctx, prefixIntake+d.service, since, 0)
	var gone *outside.HistoryGoneError
	if errors.As(err, &gone) {
		rows, version, readErr := d.deps.Table.ReadAll(ctx, prefixIntake+d.service, d.service)
		change = outside.Change{
			Rows:    rows,
			Version: version,
		}
		err = readErr
	}
	if err != nil {
		return since, err
	}
	for _, row := range change.Rows {
		if err := d.applyIntakeRow(row); err != nil {
			return since, err
		}
	}
	return change.Version, nil
}

// applyIntakeRow handles one row of the intake table. It returns an error if the event could not
// be queued and the row has to be read again. A row that can't be decoded is skipped for good.
func (d *Duty) applyIntakeRow(row outside.Row) error {
	if row.Gone {
		return nil
	}
	if id, found := strings.CutPrefix(row.Key.Name, prefixCancel); found {
		return d.push(func(d *Duty, now time.Time) { d.core.CancelByRow(id, now) })
	}
	if _, known := d.published.Load(row.Key.Name); known {
		// The record of a published job is stored, or its final state is written on condition that
		// there is none: nothing but its end drops the job.
		return nil
	}
	record, err := shard.DecodeRecord(row.Value)
	if err != nil {
		d.deps.Log.Error("row left out", "table", row.Key.Table, "key", row.Key.Name, "error", err)
		return nil
	}
	return d.push(func(d *Duty, now time.Time) { d.core.Accept(record, row.Version, false, now) })
}
