package owner

import (
	"context"
	"errors"
	"slices"
	"time"

	"lemonstream.dev/lemonstream/outside"
	"lemonstream.dev/lemonstream/shard"
)

// maxWorkerRows bounds the worker rows in one transaction, so that worker and job rows together
// stay below the entries that a transaction may hold.
const maxWorkerRows = 24

// handoverOverheadBytes is the size of a heartbeat row without its workers: the epoch, the
// sequence number, the witnesses, the keys and lengths of the fields, and the evidence.
const handoverOverheadBytes = 512 + maxEvidenceBytes

// plainBeatsAfterRejection is how many heartbeats list no workers after the store has rejected one that
// was alone in its transaction.
const plainBeatsAfterRejection = 16

// maxIncompleteCommits bounds the transactions during a release that are too full to hold every
// end. Each holds about 30 jobs, so they cover several hundred jobs in about the time that a
// release may take.
const maxIncompleteCommits = 8

// commit starts the next transaction, unless one is in flight or the pause after a failed one has
// not passed. An idle owner only writes its heartbeat.
func (d *Duty) commit(ctx context.Context, now time.Time) {
	if d.tenure.failing() {
		d.core.DropPendingRefusals(now)
	}
	if d.committing || now.Before(d.retryAt) {
		if d.tenure.failing() && !d.standby.usable() {
			d.core.RefuseSubmitted(now)
		}
		return
	}
	workers := d.core.WorkerRows(maxWorkerRows)
	if d.releasing {
		// Nothing will start on a new worker any more. A row would mark the worker as one that
		// may run tasks, and the handover would not cover it.
		workers.Used = nil
	}
	batch, found := d.nextBatch(workers, now)
	due := d.probing || now.Sub(d.tenure.lastWrite) >= beatInterval || !workers.Empty() || d.core.NeedsConfirmation()
	if !found && !due && !d.releasing {
		return
	}
	d.committing = true
	complete := !d.probing && (!found || batch.IsComplete())
	releasing := d.releasing && (complete || d.incompleteCommits >= maxIncompleteCommits)
	if d.releasing && !complete {
		d.incompleteCommits++
	}
	handover := d.core.BuildHandover(now, releasing && complete, d.handoverBytes())
	if releasing {
		d.deps.Log.Info("service released", "service", d.service, "epoch", d.tenure.epoch, "whole", complete,
			"idle", len(handover.Idle), "leased", len(handover.Leased))
	}
	tx := d.tenure.transaction(beatOf(handover), d.rows(batch, workers), releasing)
	d.deps.Group.Go("commit of "+d.service, func(context.Context) error {
		version, err := d.tenure.writeOrGiveUp(ctx, tx)
		d.pushAwaited(func(d *Duty, at time.Time) {
			d.committing = false
			if d.handleCommitFailure(batch, err, at) {
				return
			}
			d.probing = false
			d.tenure.beatVersion = version
			d.tenure.recordWrite(now)
			d.core.Confirm(workers, now)
			d.core.BatchWritten(batch, at)
			if releasing {
				close(d.released)
			}
		})
		return nil
	})
}

// nextBatch returns the rows of jobs for the next transaction, beside the rows of workers; false if there
// are none.
func (d *Duty) nextBatch(workers shard.WorkerRows, now time.Time) (shard.Batch, bool) {
	if d.probing {
		return shard.Batch{}, false
	}
	return d.core.NextBatch(outside.MaxEntries-maxTenureEntries-len(workers.Used)-len(workers.Ended), now)
}

// handoverBytes returns how many bytes the list of workers may take in the next heartbeat.
func (d *Duty) handoverBytes() int {
	if d.plainBeats > 0 {
		d.plainBeats--
		return 0
	}
	return d.deps.Site.RowBytes - handoverOverheadBytes
}

// handleCommitFailure handles the error of a transaction that was not applied. It reports false if
// there was no error.
func (d *Duty) handleCommitFailure(batch shard.Batch, err error, now time.Time) bool {
	if err == nil {
		return false
	}
	if outside.IsRejected(err) {
		d.deps.Log.Error("transaction rejected", "service", d.service, "epoch", d.tenure.epoch, "records", len(batch.Records),
			"writes", len(batch.Writes), "refused", len(batch.Refused), "error", err.Error())
		d.deps.Count("transaction_rejected", d.service)
		d.core.UndoBatch(batch, nil, now)
		// A store that rejects everything says nothing about the rows of jobs.
		d.probing = true
		if !d.core.RejectBatch(batch, now) {
			// Without the rows of jobs, only what the heartbeat lists can be too much.
			d.plainBeats = plainBeatsAfterRejection
		}
		d.retryAt = now.Add(commitRetryInterval)
		return true
	}
	if outside.IsNotDone(err) {
		d.core.UndoBatch(batch, nil, now)
		d.retryAt = now.Add(commitRetryInterval)
		if !d.standby.usable() {
			d.core.RefuseSubmitted(now)
		}
		return true
	}
	var exists *ExistsError
	if !errors.As(err, &exists) {
		d.deps.Log.Warn("transaction failed, stepping down", "service", d.service, "epoch", d.tenure.epoch, "error", err.Error())
		d.core.Depose()
		return true
	}
	var existing []shard.Existing
	for _, row := range exists.Rows {
		if row.Key.Table != prefixIntake+d.service || row.Version == 0 {
			continue
		}
		record, err := shard.DecodeRecord(row.Value)
		if err != nil {
			d.deps.Log.Error("row left out", "table", row.Key.Table, "key", row.Key.Name, "error", err)
			continue
		}
		existing = append(existing, shard.Existing{
			Record:  record,
			Version: row.Version,
		})
	}
	d.deps.Log.Info("jobs stand already", "service", d.service, "epoch", d.tenure.epoch, "jobs", len(existing), "records", len(batch.Records))
	d.core.UndoBatch(batch, existing, now)
	d.core.RejectRecords(batch.Records, func(record shard.Record) (shard.SubmitResult, bool) {
		return rejection(exists.Rows, d.recordChecks(record))
	}, now)
	return true
}

// rejection returns why a record can't be stored any more after a transaction met the given rows, and
// false if nothing is in its way. checks are the conditions of the record.
func rejection(rows []outside.Row, checks []outside.Check) (shard.SubmitResult, bool) {
	for _, row := range rows {
		for _, check := range checks {
			if row.Key == check.Key && row.Version != check.Version {
				return shard.SubmitResult{
					Moved:     row.Key.Table == tableFence,
					Withdrawn: row.Key.Table == tableWithdrawn,
				}, true
			}
		}
	}
	return shard.SubmitResult{}, false
}

// recordChecks returns the conditions under which a record may be stored in the service's own partition:
// its job was not withdrawn, and the fence of its queue was not raised.
func (d *Duty) recordChecks(record shard.Record) []outside.Check {
	var checks []outside.Check
	for _, scope := range record.WithdrawalScopes() {
		checks = append(checks, outside.Check{
			Key: WithdrawnKey(d.service, scope, record.ID),
		})
	}
	if record.Fence == nil {
		return checks
	}
	return append(checks, outside.Check{
		Key:     FenceKey(d.service, record.Fence.Queue),
		Version: record.Fence.Version,
	})
}

// standbyRecordChecks is like recordChecks, for the standby partition.
func (d *Duty) standbyRecordChecks(record shard.Record) []outside.Check {
	checks := d.recordChecks(record)
	for i := range checks {
		checks[i].Key.Part = prefixStandby + d.service
		if checks[i].Key.Table == tableFence {
			checks[i].Version = record.Fence.StandbyVersion
		}
	}
	return checks
}

// addChecks adds conditions, each once.
func (r *rowChanges) addChecks(checks []outside.Check) {
	for _, check := range checks {
		if !slices.Contains(r.checks, check) {
			r.checks = append(r.checks, check)
		}
	}
}

// rows converts a batch and worker changes into rows to write and to remove.
func (d *Duty) rows(batch shard.Batch, workers shard.WorkerRows) rowChanges {
	var rows rowChanges
	for _, worker := range workers.Used {
		rows.puts = append(rows.puts, outside.Put{
			Key:   usedKey(d.service, worker.ID),
			Value: encodeUsed(worker),
		})
	}
	for _, id := range workers.Ended {
		rows.removes = append(rows.removes, usedKey(d.service, id))
	}
	for _, record := range batch.Records {
		key := IntakeKey(d.service, record.ID)
		rows.addChecks(d.recordChecks(record))
		rows.creates = append(rows.creates, key)
		rows.puts = append(rows.puts, outside.Put{
			Key:   key,
			Value: record.Encode(),
		})
	}
	for _, write := range batch.Writes {
		d.addProgressRow(&rows, write)
	}
	d.addRefusalRows(&rows, batch)
	return rows
}

// addRefusalRows adds the rows of the jobs that a batch refuses, on condition that none of their
// records is stored, and removes the rows of expired refusals.
func (d *Duty) addRefusalRows(rows *rowChanges, batch shard.Batch) {
	for _, id := range batch.ExpiredRefusals {
		rows.removes = append(rows.removes, RefusedKey(d.service, id))
	}
	for _, refused := range batch.Refused {
		rows.creates = append(rows.creates, IntakeKey(d.service, refused.ID))
		rows.puts = append(rows.puts, outside.Put{
			Key:   RefusedKey(d.service, refused.ID),
			Value: refused.Encode(),
		})
	}
}

// addProgressRow adds the progress row of a job and removes the rows that it makes redundant.
func (d *Duty) addProgressRow(rows *rowChanges, write shard.Write) {
	key := ProgressKey(d.service, write.ID)
	if write.RequireNoRecord {
		rows.creates = append(rows.creates, IntakeKey(d.service, write.ID))
	}
	if write.RemoveProgress {
		rows.removes = append(rows.removes, key)
		return
	}
	rows.puts = append(rows.puts, outside.Put{
		Key:   key,
		Value: write.Row,
	})
	if write.RemoveRecord {
		rows.removes = append(rows.removes, IntakeKey(d.service, write.ID))
	}
	if write.RemoveCancelRequest {
		rows.removes = append(rows.removes, CancelKey(d.service, write.ID))
	}
}

// release hands the service over and waits until the last transaction is applied, at most for
// wait. That transaction marks the service as released. No order is sent once it begins.
func (d *Duty) release(ctx context.Context, wait time.Duration) {
	err := d.push(func(d *Duty, _ time.Time) {
		d.releasing = true
	})
	if err != nil {
		d.deps.Log.Error("release could not be requested", "service", d.service, "error", err)
		return
	}
	select {
	case <-d.released:
	case <-d.done:
	case <-ctx.Done():
	case <-d.deps.Clock.After(wait):
	}
}
