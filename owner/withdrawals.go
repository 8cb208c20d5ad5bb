package owner

import (
	"context"
	"time"

	"lemonstream.dev/lemonstream/clock"
	"lemonstream.dev/lemonstream/outside"
	"lemonstream.dev/lemonstream/shard"
)

const (
	// withdrawalSweep is the time between two removals of rows of withdrawn jobs, withdrawalRetention
	// how long such a row is kept at least: several times as long as an entry tries to hand a job in.
	// What the store may still carry out is not a matter of time: the fences of the queues are raised
	// with the removal.
	withdrawalSweep     = time.Minute
	withdrawalRetention = time.Minute

	// maxSweptRows bounds the rows that one transaction removes. Each has a condition, and the fence of
	// a queue that is raised.
	maxSweptRows = 32
)

// withdrawnRow is a row of a withdrawn job that is to be removed.
type withdrawnRow struct {
	key     outside.Key
	version int64
	queue   string
}

// sweepWithdrawals removes rows of withdrawn jobs from both partitions of the service until ctx ends.
func (d *Duty) sweepWithdrawals(ctx context.Context) {
	for clock.Sleep(ctx, withdrawalSweep) {
		for _, part := range []string{d.service, prefixStandby + d.service} {
			if err := d.sweepPartition(ctx, part); err != nil && ctx.Err() == nil {
				d.deps.Log.Info("rows of withdrawn jobs not removed", "part", part, "error", err.Error())
			}
		}
	}
}

// sweepPartition removes the rows of withdrawn jobs from one partition that are old enough.
func (d *Duty) sweepPartition(ctx context.Context, part string) error {
	rows, _, err := d.deps.Table.ReadAll(ctx, tableWithdrawn, part)
	if err != nil {
		return err
	}
	before := d.deps.Clock.Now().Add(-withdrawalRetention)
	var old []withdrawnRow
	for _, row := range rows {
		withdrawal, err := shard.DecodeWithdrawal(row.Value)
		if err != nil {
			d.deps.Log.Error("row left out", "table", row.Key.Table, "part", part, "key", row.Key.Name, "error", err)
			continue
		}
		if withdrawal.At().Before(before) {
			old = append(old, withdrawnRow{
				key:     row.Key,
				version: row.Version,
				queue:   withdrawal.Queue,
			})
		}
	}
	for len(old) > 0 {
		count := min(len(old), maxSweptRows)
		if _, err := d.deps.Table.Transact(ctx, sweepTransaction(part, old[:count])); err != nil {
			return err
		}
		d.deps.Log.Info("rows of withdrawn jobs removed", "part", part, "rows", count)
		old = old[count:]
	}
	return nil
}

// sweepTransaction removes rows of withdrawn jobs, unless one has changed, and raises the fences of their
// queues: a write of such a job's record that is still under way meets the fence instead of the row.
func sweepTransaction(part string, rows []withdrawnRow) outside.Transaction {
	var tx outside.Transaction
	raised := make(map[outside.Key]bool)
	for _, row := range rows {
		tx.Checks = append(tx.Checks, outside.Check{
			Key:     row.key,
			Version: row.version,
		})
		tx.Removes = append(tx.Removes, row.key)
		key := FenceKey(part, row.queue)
		if !raised[key] {
			raised[key] = true
			tx.Puts = append(tx.Puts, FencePut(key))
		}
	}
	return tx
}
