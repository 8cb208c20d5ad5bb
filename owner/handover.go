package owner

import (
	"context"
	"log/slog"
	"sort"
	"time"

	"lemonstream.dev/lemonstream/job"
	"lemonstream.dev/lemonstream/shard"
)

// maxTakenRows bounds the taken instances that a heartbeat lists, newest first. That is several
// times what the platform lets all entries order within endedRetention, and fills a third of a row.
const maxTakenRows = 256

// beatOf returns a heartbeat that carries a handover.
func beatOf(h shard.Handover) Beat {
	b := Beat{
		IdleWorkers:      h.Idle,
		Evidence:         EncodeEvidence(h.Evidence),
		UnobservedMillis: ceilMillis(h.UnobservedFor),
	}
	for _, l := range h.Leased {
		row := LeasedRow{
			Worker:          l.Worker,
			RemainingMillis: ceilMillis(l.Remaining),
			AnyTask:         l.AnyTask,
		}
		for _, task := range l.Tasks {
			row.Tasks = append(row.Tasks, task.String())
		}
		b.Leased = append(b.Leased, row)
	}
	return b
}

// handoverOf returns the handover in a heartbeat. If a task ID of a worker can't be parsed, the
// worker counts as one that may run any task.
func handoverOf(b Beat, log *slog.Logger) shard.Handover {
	h := shard.Handover{
		Idle:          b.IdleWorkers,
		Evidence:      DecodeEvidence(b.Evidence, log),
		UnobservedFor: time.Duration(b.UnobservedMillis) * time.Millisecond,
	}
	for _, row := range b.Leased {
		l := shard.Leased{
			Worker:    row.Worker,
			Remaining: time.Duration(row.RemainingMillis) * time.Millisecond,
			AnyTask:   row.AnyTask,
		}
		for _, name := range row.Tasks {
			task, err := job.ParseTaskID(name)
			if err != nil {
				log.Error("task ID in heartbeat row not parsed", "worker", row.Worker, "error", err)
				l.AnyTask = true
				continue
			}
			l.Tasks = append(l.Tasks, task)
		}
		h.Leased = append(h.Leased, l)
	}
	return h
}

// ceilMillis returns a duration in milliseconds, rounded up: a wait that is too short would let a
// task run twice.
func ceilMillis(d time.Duration) int64 {
	return int64((d + time.Millisecond - 1) / time.Millisecond)
}

// takenRows returns the workers whose instances were taken within endedRetention, newest first.
func (f *instanceController) takenRows(now time.Time) []TakenRow {
	var list []TakenRow
	for service, workers := range f.ended {
		for worker, since := range workers {
			remaining := endedRetention - now.Sub(since)
			if remaining <= 0 {
				continue
			}
			list = append(list, TakenRow{
				Service:         service,
				Worker:          worker,
				RemainingMillis: ceilMillis(remaining),
			})
		}
	}
	sort.Slice(list, func(a, b int) bool {
		if list[a].RemainingMillis != list[b].RemainingMillis {
			return list[a].RemainingMillis > list[b].RemainingMillis
		}
		return list[a].Worker < list[b].Worker
	})
	return list[:min(len(list), maxTakenRows)]
}

// restoreTaken restores the instances that the previous instance controller took recently. It may
// not have notified the owners of the services.
func (f *instanceController) restoreTaken(list []TakenRow, now time.Time) {
	for _, row := range list {
		if f.ended[row.Service] == nil {
			f.ended[row.Service] = make(map[string]time.Time)
		}
		remaining := time.Duration(row.RemainingMillis) * time.Millisecond
		f.ended[row.Service][row.Worker] = now.Add(remaining - endedRetention)
	}
}

// restoreTaken reads the heartbeat of the instance controller: the instances of the service that
// were taken recently, and those that it is about to order by the load of the previous owner. So
// this owner need not wait for a directive. If the read fails, a directive follows anyway, and the
// shard starts nothing on idle workers for a while.
func (d *Duty) restoreTaken(ctx context.Context, now time.Time) {
	if !d.deps.Site.Instances.IsValid() {
		return
	}
	row, err := d.deps.Table.Row(ctx, beatKey(partInstances))
	if err != nil {
		d.deps.Log.Warn("heartbeat of the instance controller not read", "service", d.service, "epoch", d.tenure.epoch, "error", err.Error())
		d.core.RestoreReleased(nil, false, d.deps.Clock.Now())
		return
	}
	if row == nil {
		return
	}
	beat, err := decodeBeat(row.Value)
	if err != nil {
		d.deps.Log.Error("row left out", "table", row.Key.Table, "key", row.Key.Part, "error", err)
		d.core.RestoreReleased(nil, false, d.deps.Clock.Now())
		return
	}
	var released []string
	for _, given := range beat.ReleasedWorkers {
		if given.Service == d.service {
			released = append(released, given.Worker)
		}
	}
	d.core.RestoreReleased(released, true, d.deps.Clock.Now())
	var ended []string
	for _, taken := range beat.Taken {
		if taken.Service == d.service {
			ended = append(ended, taken.Worker)
		}
	}
	d.core.RemoveTaken(ended, now)
}
