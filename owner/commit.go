package owner

import (
	"context"
	"time"

	"lemonstream.dev/lemonstream/outside"
	"lemonstream.dev/lemonstream/shard"
)

// workerRowsMost bounds the rows of workers in one transaction; with those of
// jobs they stay below what one may hold.
const workerRowsMost = 24

// commit starts the next transaction, unless one is under way. An idle owner
// writes its beat.
func (d *Duty) commit(ctx context.Context, now time.Time) {
	if d.committing {
		return
	}
	batch, found := d.core.TakeBatch()
	workers := d.core.WorkerRows(workerRowsMost)
	due := now.Sub(d.tenure.lastWrite) >= beatPause || !workers.Empty() || d.core.Unconfirmed()
	if !found && !due && !d.releasing {
		return
	}
	d.committing = true
	releasing := d.releasing
	puts, removes := d.rows(batch, workers)
	beat := Beat{
		Lapsed: d.core.Lapsed(now),
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
			d.core.Confirm(workers, now)
			d.core.Written(batch, at)
			if releasing {
				close(d.released)
			}
		})
		return nil
	})
}

// rows turns a batch into rows to write and to remove.
func (d *Duty) rows(batch shard.Batch, workers shard.WorkerRows) ([]outside.Put, []outside.Key) {
	var puts []outside.Put
	var removes []outside.Key
	for _, worker := range workers.Used {
		puts = append(puts, outside.Put{
			Key:   usedKey(d.service, worker.ID),
			Value: []byte(worker.Address.String()),
		})
	}
	for _, id := range workers.Ended {
		removes = append(removes, usedKey(d.service, id))
	}
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
