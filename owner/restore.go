package owner

import (
	"context"
	"strings"
	"time"

	"lemonstream.dev/lemonstream/outside"
	"lemonstream.dev/lemonstream/shard"
)

// storedRecord is a record that was read, or why it can't be.
type storedRecord struct {
	key     outside.Key
	record  shard.Record
	version int64
	err     error
}

// load reads all rows of the service and restores the shard from them. It returns the version
// from which changes of the jobs are followed. Each page is decoded as it arrives, so that the rows are
// not held beside what they say.
func (d *Duty) load(ctx context.Context) (int64, error) {
	var records []storedRecord
	var cancelled []string
	since, err := d.readWithHeartbeat(ctx, prefixIntake+d.service, func(row outside.Row) {
		if id, found := strings.CutPrefix(row.Key.Name, prefixCancel); found {
			cancelled = append(cancelled, id)
			return
		}
		record, err := shard.DecodeRecord(row.Value)
		records = append(records, storedRecord{
			key:     row.Key,
			record:  record,
			version: row.Version,
			err:     err,
		})
	})
	if err != nil {
		return 0, err
	}
	progress := make(map[string]*shard.Progress)
	_, err = d.readWithHeartbeat(ctx, tableProgress, func(row outside.Row) {
		p, err := shard.DecodeProgress(row.Value)
		if err != nil {
			d.logLeftOut(row.Key, err)
			return
		}
		progress[row.Key.Name] = &p
	})
	if err != nil {
		return 0, err
	}
	var used, refused []outside.Row
	_, err = d.readWithHeartbeat(ctx, tableUsed, func(row outside.Row) { used = append(used, row) })
	if err != nil {
		return 0, err
	}
	_, err = d.readWithHeartbeat(ctx, tableRefused, func(row outside.Row) { refused = append(refused, row) })
	if err != nil {
		return 0, err
	}
	now := d.deps.Clock.Now()
	d.restoreWorkers(ctx, used, now)
	d.restoreRefusals(refused)
	d.restoreJobs(records, progress, now)
	for _, id := range cancelled {
		d.core.CancelByRow(id, now)
	}
	d.deps.Log.Info("shard loaded", "service", d.service, "epoch", d.tenure.epoch, "records", len(records), "progress", len(progress))
	return since, nil
}

// restoreJobs restores the jobs from their records and the rows of their progress.
func (d *Duty) restoreJobs(records []storedRecord, progress map[string]*shard.Progress, now time.Time) {
	d.orphanProgress = make(map[string]shard.Progress)
	for id, p := range progress {
		if p.State.Final() {
			d.core.RestoreEnded(id, *p)
			continue
		}
		d.orphanProgress[id] = *p
	}
	for _, stored := range records {
		delete(d.orphanProgress, stored.key.Name)
		err := stored.err
		if err == nil {
			err = d.core.Restore(stored.record, stored.version, progress[stored.key.Name], now)
		}
		if err != nil {
			d.logLeftOut(stored.key, err)
		}
	}
}

func (d *Duty) logLeftOut(key outside.Key, err error) {
	d.deps.Log.Error("row left out", "table", key.Table, "key", key.Name, "error", err)
}

// restoreRefusals restores the refusals of jobs by earlier owners.
func (d *Duty) restoreRefusals(rows []outside.Row) {
	for _, row := range rows {
		refusal, err := shard.DecodeRefusal(row.Value)
		if err != nil {
			d.logLeftOut(row.Key, err)
			continue
		}
		d.core.RestoreRefusal(row.Key.Name, refusal)
	}
}

// readWithHeartbeat reads the rows of the service in a table, calls each with every row, and writes
// heartbeats meanwhile: with a long backlog and a slow link, reading takes longer than an owner may be
// silent. Without the heartbeats each new owner lost the service while it was reading, and none ever
// served: over links of 2 Mbit/s, one service had 36 owners in a row.
func (d *Duty) readWithHeartbeat(ctx context.Context, table string, each func(outside.Row)) (int64, error) {
	return d.deps.Table.ReadPages(ctx, table, d.service, func(page []outside.Row) error {
		for _, row := range page {
			each(row)
		}
		return d.writeDueHeartbeat(ctx)
	})
}

// writeDueHeartbeat writes a heartbeat if one is due. It repeats the content of the claim's
// heartbeat, as this owner has ordered nothing yet.
func (d *Duty) writeDueHeartbeat(ctx context.Context) error {
	now := d.deps.Clock.Now()
	if now.Sub(d.tenure.lastWrite) < beatInterval {
		return nil
	}
	version, err := d.tenure.write(ctx, d.tenure.transaction(d.inheritedBeat, rowChanges{}, false))
	if err != nil {
		return err
	}
	d.tenure.beatVersion = version
	d.tenure.recordWrite(now)
	return nil
}

// restoreWorkers restores the workers to which the previous owner may have given tasks, and
// marks those that have ended with their instances.
func (d *Duty) restoreWorkers(ctx context.Context, rows []outside.Row, now time.Time) {
	for _, row := range rows {
		worker, err := decodeUsed(row.Key.Name, row.Value)
		if err != nil {
			d.deps.Log.Error("row left out", "table", row.Key.Table, "key", row.Key.Name, "error", err)
			continue
		}
		d.core.RestoreWorker(worker, now)
	}
	d.restoreTaken(ctx, now)
}
