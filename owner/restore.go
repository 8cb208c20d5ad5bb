package owner

import (
	"context"
	"strings"
	"time"

	"lemonstream.dev/lemonstream/outside"
	"lemonstream.dev/lemonstream/shard"
)

// load reads all rows of the service and restores the shard from them. It returns the version
// from which changes of the jobs are followed.
func (d *Duty) load(ctx context.Context) (int64, error) {
	records, since, err := d.readWithHeartbeat(ctx, prefixIntake+d.service)
	if err != nil {
		return 0, err
	}
	rows, _, err := d.readWithHeartbeat(ctx, tableProgress)
	if err != nil {
		return 0, err
	}
	used, _, err := d.readWithHeartbeat(ctx, tableUsed)
	if err != nil {
		return 0, err
	}
	refused, _, err := d.readWithHeartbeat(ctx, tableRefused)
	if err != nil {
		return 0, err
	}
	now := d.deps.Clock.Now()
	d.restoreWorkers(ctx, used, now)
	d.restoreRefusals(refused)
	progress := make(map[string]*shard.Progress, len(rows))
	d.orphanProgress = make(map[string]shard.Progress)
	for _, row := range rows {
		p, err := shard.DecodeProgress(row.Value)
		if err != nil {
			d.deps.Log.Error("row left out", "table", row.Key.Table, "key", row.Key.Name, "error", err)
			continue
		}
		progress[row.Key.Name] = &p
		if p.State.Final() {
			d.core.RestoreEnded(row.Key.Name, p)
			continue
		}
		d.orphanProgress[row.Key.Name] = p
	}
	for _, row := range records {
		if strings.HasPrefix(row.Key.Name, prefixCancel) {
			continue
		}
		delete(d.orphanProgress, row.Key.Name)
		record, err := shard.DecodeRecord(row.Value)
		if err == nil {
			err = d.core.Restore(record, row.Version, progress[row.Key.Name], now)
		}
		if err != nil {
			d.deps.Log.Error("row left out", "table", row.Key.Table, "key", row.Key.Name, "error", err)
		}
	}
	for _, row := range records {
		if id, found := strings.CutPrefix(row.Key.Name, prefixCancel); found {
			d.core.CancelByRow(id, now)
		}
	}
	d.deps.Log.Info("shard loaded", "service", d.service, "epoch", d.tenure.epoch, "records", len(records), "progress", len(rows))
	return since, nil
}

// restoreRefusals restores the refusals of jobs by earlier owners.
func (d *Duty) restoreRefusals(rows []outside.Row) {
	for _, row := range rows {
		refusal, err := shard.DecodeRefusal(row.Value)
		if err != nil {
			d.deps.Log.Error("row left out", "table", row.Key.Table, "key", row.Key.Name, "error", err)
			continue
		}
		d.core.RestoreRefusal(row.Key.Name, refusal)
	}
}

// readWithHeartbeat reads the rows of the service in a table and writes heartbeats meanwhile:
// with a long backlog and a slow link, reading takes longer than an owner may be silent.
// Without the heartbeats each new owner lost the service while it was reading, and none ever
// served: over links of 2 Mbit/s, one service had 36 owners in a row.
func (d *Duty) readWithHeartbeat(ctx context.Context, table string) ([]outside.Row, int64, error) {
	var rows []outside.Row
	version, err := d.deps.Table.ReadPages(ctx, table, d.service, func(page []outside.Row) error {
		rows = append(rows, page...)
		return d.writeDueHeartbeat(ctx)
	})
	return rows, version, err
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
