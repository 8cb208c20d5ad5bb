package owner

import (
	"context"
	"errors"
	"time"

	"lemonstream.dev/lemonstream/clock"
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
	if !found && now.Sub(d.lastWrite) < beatPause && !d.releasing {
		return
	}
	d.committing = true
	d.sequence++
	tx := d.transaction(batch)
	releasing := d.releasing
	d.deps.Group.Go("commit of "+d.service, func(context.Context) error {
		version, err := d.write(ctx, tx)
		sent := now
		d.pushLogged(func(d *Duty, at time.Time) {
			d.committing = false
			if err != nil {
				d.deps.Log.Warn("transaction given up", "service", d.service, "epoch", d.epoch, "error", err.Error())
				d.core.Depose()
				return
			}
			d.beatVersion = version
			d.lastWrite = sent
			d.wrote.Store(clock.Millis(sent))
			d.core.Written(batch, at)
			if releasing {
				close(d.released)
			}
		})
		return nil
	})
}

// transaction builds the rows of a batch under the owner's conditions.
func (d *Duty) transaction(batch shard.Batch) outside.Transaction {
	tx := outside.Transaction{
		Checks: []outside.Check{{
			Key:     ownerKey(d.service),
			Version: d.ownerVersion,
		}, {
			Key:     beatKey(d.service),
			Version: d.beatVersion,
		}},
		Puts: []outside.Put{{
			Key: beatKey(d.service),
			Value: encodeRow(Beat{
				Epoch:    d.epoch,
				Sequence: d.sequence,
			}),
		}},
	}
	if d.releasing {
		tx.Puts = append(tx.Puts, outside.Put{
			Key: ownerKey(d.service),
			Value: encodeRow(Ownership{
				Epoch:    d.epoch,
				Released: true,
			}),
		})
	}
	for _, write := range batch.Writes {
		if write.Forget {
			tx.Removes = append(tx.Removes, ProgressKey(d.service, write.ID))
			continue
		}
		tx.Puts = append(tx.Puts, outside.Put{
			Key:   ProgressKey(d.service, write.ID),
			Value: write.Progress.Encode(),
		})
		if write.EndsRecord {
			tx.Removes = append(tx.Removes, IntakeKey(d.service, write.ID))
		}
	}
	return tx
}

// write sends a transaction until its fate is known. Every try carries the same
// conditions, so that it takes effect once at the most; a conflict in which the
// beat already shows this transaction's number is the success of an earlier
// try.
func (d *Duty) write(ctx context.Context, tx outside.Transaction) (int64, error) {
	want := string(tx.Puts[0].Value)
	for {
		receipt, err := d.deps.Table.Transact(ctx, tx)
		if err == nil {
			return receipt.Version, nil
		}
		var conflict *outside.ConflictError
		if errors.As(err, &conflict) {
			row, found := conflict.Find(beatKey(d.service))
			if found && string(row.Value) == want {
				return row.Version, nil
			}
			return 0, &LostError{
				Service: d.service,
				Reason:  "the table names another owner",
			}
		}
		d.deps.Log.Warn("transaction without success", "service", d.service, "error", err.Error())
		if !clock.Sleep(ctx, commitRetry) {
			return 0, ctx.Err()
		}
	}
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
