package owner

import (
	"context"
	"errors"
	"time"

	"lemonstream.dev/lemonstream/clock"
	"lemonstream.dev/lemonstream/outside"
	"lemonstream.dev/lemonstream/shard"
)

const (
	// prefixStandby is the prefix of the names of the standby partitions, one for each
	// service. No service name can begin with it.
	prefixStandby = "/standby/"

	// maxStandbyBackoff is the maximum time between two attempts to open the standby
	// partition. No job that an earlier owner may have seen starts before it is open.
	maxStandbyBackoff = 250 * time.Millisecond

	// maxStandbyRows is the maximum number of rows and conditions in one transaction. It leaves room
	// below the limit of a transaction for the rows of the tenure.
	maxStandbyRows = 80

	// standbyCleanupInterval is the time between two removals of redundant rows.
	standbyCleanupInterval = 500 * time.Millisecond
)

// standby is the partition of the store to which a Duty writes while its own partition rejects
// writes: an outage may affect only some partitions. It is owned like the service's own
// partition, under the same epoch, and only the loop of the Duty accesses it.
type standby struct {
	// tenure is nil until the partition is owned and read.
	tenure *tenure

	// busy reports whether a transaction is in progress.
	busy bool

	// notBefore is the earliest time of the next transaction after one without effect.
	// cleanedAt is when redundant rows were last removed.
	notBefore time.Time
	cleanedAt time.Time
}

// StandbyIntakeKey returns the key of the row of an accepted job in the standby partition.
func StandbyIntakeKey(service, id string) outside.Key {
	key := IntakeKey(service, id)
	key.Part = prefixStandby + service
	return key
}

// StandbyProgressKey returns the key of the row of a final state in the standby partition.
func StandbyProgressKey(service, id string) outside.Key {
	key := ProgressKey(service, id)
	key.Part = prefixStandby + service
	return key
}

// usable reports whether the standby partition can accept jobs that the service's own
// partition rejects.
func (s *standby) usable() bool {
	return s.tenure != nil && !s.tenure.failing()
}

// openStandby claims and reads the standby partition. It retries until it succeeds, ownership
// is lost or ctx ends.
func (d *Duty) openStandby(ctx context.Context) error {
	for failures := 1; ; failures++ {
		err := d.tryOpenStandby(ctx)
		var lost *LostError
		switch {
		case err == nil:
			return nil
		case errors.As(err, &lost):
			d.pushAwaited(func(d *Duty, _ time.Time) { d.core.Depose() })
			return nil
		}
		d.deps.Log.Info("standby part not opened", "service", d.service, "epoch", d.tenure.epoch, "error", err.Error())
		if !clock.Sleep(ctx, clock.Backoff(commitRetryInterval, maxStandbyBackoff, failures)) {
			return nil
		}
	}
}

func (d *Duty) tryOpenStandby(ctx context.Context) error {
	owned, err := d.claimStandby(ctx)
	if err != nil {
		return err
	}
	records, ended, err := d.readStandby(ctx, owned.ownerVersion)
	if err != nil {
		return err
	}
	return d.push(func(d *Duty, now time.Time) {
		d.standby.tenure = owned
		if err := d.core.RestoreStandby(records, ended, d.orphanProgress, now); err != nil {
			d.deps.Log.Error("standby rows skipped", "part", prefixStandby+d.service, "error", err)
		}
		d.standbyRead.Store(true)
		d.deps.Log.Info("standby part opened", "service", d.service, "epoch", d.tenure.epoch, "records", len(records), "ended", len(ended))
		d.orphanProgress = nil
	})
}

// claimStandby claims the standby partition for this owner, so that no transaction of an
// earlier owner takes effect there any more. An earlier attempt of this owner may already have
// succeeded.
func (d *Duty) claimStandby(ctx context.Context) (*tenure, error) {
	part := prefixStandby + d.service
	row, err := d.deps.Table.Row(ctx, ownerKey(part))
	if err != nil {
		return nil, err
	}
	beat, err := d.deps.Table.Row(ctx, beatKey(part))
	if err != nil {
		return nil, err
	}
	version, beatVersion := versionOf(row), versionOf(beat)
	if row != nil {
		before, err := decodeOwnership(row.Value)
		if err != nil {
			// The claim replaces it. The service's own part tells whether there is a newer owner.
			d.deps.Count("row_left_out", TableOwners)
			d.deps.Log.Error("row left out", "table", row.Key.Table, "key", part, "error", err)
		}
		if before.Epoch > d.tenure.epoch {
			return nil, &LostError{
				Part:   part,
				Reason: "a newer owner holds it",
			}
		}
		if before.Epoch == d.tenure.epoch {
			return d.standbyTenure(part, version, beatVersion), nil
		}
	}
	receipt, err := d.deps.Table.Transact(ctx, claimTransaction(part, version, beatVersion, Ownership{
		Epoch: d.tenure.epoch,
	}, Beat{}))
	if err != nil {
		return nil, err
	}
	return d.standbyTenure(part, receipt.Version, receipt.Version), nil
}

func (d *Duty) standbyTenure(part string, version, beatVersion int64) *tenure {
	t := newTenure(d.deps, part, claim{
		epoch:   d.tenure.epoch,
		version: version,
	}, d.deps.Clock.Now())
	t.beatVersion = beatVersion
	return t
}

// readStandby reads the records and final states that earlier owners wrote to the standby
// partition, which this owner claimed at the given version. Rows that cannot be decoded are logged
// and skipped. A younger row is that of a newer owner, and reported as a *LostError.
func (d *Duty) readStandby(ctx context.Context, claimed int64) ([]shard.Record, map[string]shard.Progress, error) {
	part := prefixStandby + d.service
	ended := make(map[string]shard.Progress)
	_, err := d.deps.Table.ReadPages(ctx, tableProgress, part, func(page []outside.Row) error {
		for _, row := range page {
			progress, err := shard.DecodeProgress(row.Value)
			if err != nil {
				d.deps.Log.Error("row left out", "table", row.Key.Table, "part", part, "key", row.Key.Name, "error", err)
				continue
			}
			ended[row.Key.Name] = progress
		}
		return nil
	})
	if err != nil {
		return nil, nil, err
	}
	var records []shard.Record
	_, err = d.deps.Table.ReadPages(ctx, prefixIntake+d.service, part, func(page []outside.Row) error {
		for _, row := range page {
			if row.Version > claimed {
				return &LostError{
					Part:   part,
					Reason: "a newer owner has written to it",
				}
			}
			record, err := shard.DecodeRecord(row.Value)
			if err != nil {
				d.deps.Log.Error("row left out", "table", row.Key.Table, "part", part, "key", row.Key.Name, "error", err)
				continue
			}
			records = append(records, record)
		}
		return nil
	})
	return records, ended, err
}

// commitStandby writes to the standby partition while the service's own partition rejects
// writes. Otherwise it removes redundant rows.
func (d *Duty) commitStandby(ctx context.Context, now time.Time) {
	s := &d.standby
	if s.tenure == nil || s.busy || d.releasing || now.Before(s.notBefore) {
		return
	}
	if d.tenure.failing() {
		d.writeStandby(ctx)
		return
	}
	if now.Sub(s.cleanedAt) >= standbyCleanupInterval {
		s.cleanedAt = now
		d.cleanStandby(ctx)
	}
}

// writeStandby writes the records and final states that callers wait for. If there are none
// and the standby partition has failed, it sends an empty write to test whether the partition
// accepts writes again.
func (d *Duty) writeStandby(ctx context.Context) {
	batch := d.core.NextStandbyBatch(maxStandbyRows)
	if batch.Empty() && d.standby.usable() {
		return
	}
	var rows rowChanges
	for _, record := range batch.Records {
		rows.addChecks(d.standbyRecordChecks(record))
		rows.puts = append(rows.puts, outside.Put{
			Key:   StandbyIntakeKey(d.service, record.ID),
			Value: record.Encode(),
		})
	}
	for _, write := range batch.Ended {
		rows.puts = append(rows.puts, outside.Put{
			Key:   StandbyProgressKey(d.service, write.ID),
			Value: write.Row,
		})
	}
	d.transactStandby(ctx, rows, func(err error, at time.Time) {
		var exists *ExistsError
		switch {
		case errors.As(err, &exists):
			d.core.UndoStandby(batch, at)
			d.core.RejectRecords(batch.Records, func(record shard.Record) (shard.SubmitResult, bool) {
				return rejection(exists.Rows, d.standbyRecordChecks(record))
			}, at)
			return
		case err != nil:
			d.core.UndoStandby(batch, at)
			d.core.RefuseSubmitted(at)
			return
		}
		d.core.StandbyWritten(batch, at)
		d.deps.Log.Info("standby part written", "service", d.service, "epoch", d.tenure.epoch, "records", len(batch.Records), "ended", len(batch.Ended))
	})
}

// cleanStandby removes the rows of jobs whose final state is stored in the service's own
// partition.
func (d *Duty) cleanStandby(ctx context.Context) {
	ids := d.core.RedundantStandby(maxStandbyRows / 2)
	if len(ids) == 0 {
		return
	}
	var rows rowChanges
	for _, id := range ids {
		rows.removes = append(rows.removes, StandbyIntakeKey(d.service, id), StandbyProgressKey(d.service, id))
	}
	d.transactStandby(ctx, rows, func(err error, _ time.Time) {
		if err == nil {
			d.core.StandbyRemoved(ids)
		}
	})
}

// transactStandby sends one transaction until its outcome is known, and then calls then in the
// loop, with an error if it certainly had no effect. It does not call then if the outcome stays unknown
// because the partition is lost or the Duty ends: an earlier attempt may have taken effect.
func (d *Duty) transactStandby(ctx context.Context, rows rowChanges, then func(err error, at time.Time)) {
	owned := d.standby.tenure
	tx := owned.transaction(Beat{}, rows, false)
	d.standby.busy = true
	d.deps.Group.Go("standby of "+d.service, func(context.Context) error {
		version, err := owned.writeOrGiveUp(ctx, tx)
		d.pushAwaited(func(d *Duty, at time.Time) {
			d.standby.busy = false
			var lost *LostError
			var exists *ExistsError
			switch {
			case err == nil:
				owned.beatVersion = version
				then(nil, at)
			case outside.IsNotDone(err), errors.As(err, &exists):
				d.standby.notBefore = at.Add(commitRetryInterval)
				then(err, at)
			case errors.As(err, &lost):
				d.core.Depose()
			default:
				d.deps.Log.Info("outcome of standby write unknown", "service", d.service, "epoch", d.tenure.epoch, "error", err.Error())
			}
		})
		return nil
	})
}

// versionOf returns the version of a row, or 0 if the row does not exist.
func versionOf(row *outside.Row) int64 {
	if row == nil {
		return 0
	}
	return row.Version
}
