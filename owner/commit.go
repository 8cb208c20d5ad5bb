package owner

import (
	"context"
	"time"

	"lemonstream.dev/lemonstream/outside"
	"lemonstream.dev/lemonstream/shard"
)

// commit starts the next transaction, unless one is under way. An idle owner
// writes its beat.
func (d *Duty) commit(ctx context.Context, now time.Time) {
	if d.committing {
		return
	}
	batch, found := d.core.TakeBatch()
	due := now.Sub(d.tenure.lastWrite) >= beatPause || d.core.Unconfirmed()
	if !found && !due && !d.releasing {
		return
	}
	d.committing = true
	releasing := d.releasing
	puts, removes := d.rows(batch)
	beat := Beat{
		Lapsed:   d.core.Lapsed(now),
		Ended:    d.core.Ended(now),
		Unlisted: d.core.Unlisted(now),
	}
	tx := d.tenure.transaction(beat, puts, removes, releasing)
	d.deps.Group.Go("commit of "+d.service, func(context.Context) error {
		version, err := d.tenure.write(ctx, tx)
		d.pushLogged(func(d *Duty, at time.Time) {
			d.committing = false
			if err != nil {
				d.deps.Log.Warn("transaction given up", "service", d.service, "epoch", d.tenure.epoch, "error", err.Error())
				d.core.Depose()
				return
			}
			d.tenure.beatVersion = version
			d.tenure.noteWrite(now)
			d.core.Confirm(now)
			d.core.Written(batch, at)
			if releasing {
				close(d.released)
			}
		})
		return nil
	})
}

// rows turns a batch into rows to write and to remove.
func (d *Duty) rows(batch shard.Batch) ([]outside.Put, []outside.Key) {
	var puts []outside.Put
	var removes []outside.Key
	for _, write := range batch.Writes {
		if write.Forget {
			removes = append(removes, ProgressKey(d.service, write.ID))
			continue
		}
		puts = append(puts, outside.Put{
			Key:   ProgressKey(d.service, write.ID),
			Value: write.Progress.Encode(),
		})
		if write.EndsRecord {
			removes = append(removes, IntakeKey(d.service, write.ID))
		}
	}
	return puts, removes
}

// release hands the service over: the last transaction says so, and no order is
// given any more.
func (d *Duty) release(ctx context.Context, wait time.Duration) {
	err := d.push(func(d *Duty, _ time.Time) {
		d.releasing = true
	})
	if err != nil {
		d.deps.Log.Error("release not asked for", "service", d.service, "error", err)
		return
	}
	select {
	case <-d.released:
	case <-ctx.Done():
	case <-d.deps.Clock.After(wait):
	}
}
