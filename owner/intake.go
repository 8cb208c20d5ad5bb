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

// LookupDroppedError reports a lookup of jobs that was not made.
type LookupDroppedError struct {
	// Jobs is the number of jobs that it asked for.
	Jobs int
}

// Error implements error.
func (e *LookupDroppedError) Error() string {
	return fmt.Sprintf("the lookup of %d jobs was dropped: another one waits", e.Jobs)
}

// askLookup hands a lookup to whoever reads the rows of jobs.
func (d *Duty) askLookup(lookup shard.Lookup) {
	select {
	case d.lookups <- lookup:
	default:
		d.answerLookup(lookup, &LookupDroppedError{
			Jobs: len(lookup.Jobs),
		})
	}
}

// answerLookup tells the shard that a read that began after a lookup was ordered has been
// taken in, or why it was not.
func (d *Duty) answerLookup(lookup shard.Lookup, err error) {
	d.pushLogged(func(d *Duty, now time.Time) { d.core.LookedUp(lookup, err, now) })
}

// watchIntake looks for jobs and cancellations that nobody told the owner of: now and then, and
// at once where the shard asks for jobs that it does not know.
func (d *Duty) watchIntake(ctx context.Context, since int64) error {
	for {
		var asked *shard.Lookup
		select {
		case <-ctx.Done():
			return nil
		case lookup := <-d.lookups:
			asked = &lookup
		case <-time.After(intakePause):
		}
		next, err := d.readIntake(ctx, since)
		if err == nil {
			since = next
		} else {
			d.deps.Log.Warn("changes of jobs not read", "service", d.service, "error", err.Error())
		}
		if asked != nil {
			d.answerLookup(*asked, err)
		}
	}
}

// readIntake takes in what has changed of the jobs' rows since a version, and returns from
// which version to go on. All of it was taken in only where it returns no error.
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
		if err := d.takeRow(row); err != nil {
			return since, err
		}
	}
	return change.Version, nil
}

// takeRow takes in one row of the jobs' table. It returns an error where the row was not passed
// on and has to be read again; one that can't be decoded is left out for good.
func (d *Duty) takeRow(row outside.Row) error {
	if row.Gone {
		return nil
	}
	if id, found := strings.CutPrefix(row.Key.Name, prefixCancel); found {
		return d.push(func(d *Duty, now time.Time) { d.core.CancelByRow(id, now) })
	}
	if _, known := d.shown.Load(row.Key.Name); known {
		return nil
	}
	record, err := shard.DecodeRecord(row.Value)
	if err != nil {
		d.deps.Log.Error("row left out", "table", row.Key.Table, "key", row.Key.Name, "error", err)
		return nil
	}
	return d.push(func(d *Duty, now time.Time) { d.core.Accept(record, row.Version, false, now) })
}
