package owner

import (
	"context"
	"log/slog"
	"sort"
	"time"

	"lemonstream.dev/lemonstream/job"
	"lemonstream.dev/lemonstream/shard"
)

// takenMost bounds the taken instances that a beat names, newest first: what the
// platform lets all entries order in endedFor, several times over, and a third of a
// row.
const takenMost = 256

// beatOf returns a beat that says what is handed over.
func beatOf(h shard.Handover) Beat {
	b := Beat{
		Lapsed:      h.Idle,
		BlindMillis: millisUp(h.Blind),
	}
	for _, l := range h.Leased {
		row := LeasedRow{
			Worker:     l.Worker,
			LeftMillis: millisUp(l.Left),
			Unknown:    l.Unknown,
		}
		for _, task := range l.Tasks {
			row.Tasks = append(row.Tasks, task.String())
		}
		b.Leased = append(b.Leased, row)
	}
	return b
}

// handoverOf returns what a beat hands over. A worker of which a task can't be read
// may run any.
func handoverOf(b Beat, log *slog.Logger) shard.Handover {
	h := shard.Handover{
		Idle:  b.Lapsed,
		Blind: time.Duration(b.BlindMillis) * time.Millisecond,
	}
	for _, row := range b.Leased {
		l := shard.Leased{
			Worker:  row.Worker,
			Left:    time.Duration(row.LeftMillis) * time.Millisecond,
			Unknown: row.Unknown,
		}
		for _, name := range row.Tasks {
			task, err := job.ParseTaskID(name)
			if err != nil {
				log.Error("task of a beat not read", "worker", row.Worker, "error", err)
				l.Unknown = true
				continue
			}
			l.Tasks = append(l.Tasks, task)
		}
		h.Leased = append(h.Leased, l)
	}
	return h
}

// millisUp returns a span in milliseconds, rounded up: one that is too short would
// let a task run twice.
func millisUp(d time.Duration) int64 {
	return int64((d + time.Millisecond - 1) / time.Millisecond)
}

// taken returns the workers whose instances were taken lately.
func (f *fleet) taken(now time.Time) []TakenRow {
	var list []TakenRow
	for service, workers := range f.ended {
		for worker, since := range workers {
			left := endedFor - now.Sub(since)
			if left <= 0 {
				continue
			}
			list = append(list, TakenRow{
				Service:    service,
				Worker:     worker,
				LeftMillis: millisUp(left),
			})
		}
	}
	sort.Slice(list, func(a, b int) bool {
		if list[a].LeftMillis != list[b].LeftMillis {
			return list[a].LeftMillis > list[b].LeftMillis
		}
		return list[a].Worker < list[b].Worker
	})
	return list[:min(len(list), takenMost)]
}

// inheritTaken takes in which instances the holder before took lately. Owners of
// services may not have heard of them.
func (f *fleet) inheritTaken(list []TakenRow, now time.Time) {
	for _, row := range list {
		if f.ended[row.Service] == nil {
			f.ended[row.Service] = make(map[string]time.Time)
		}
		left := time.Duration(row.LeftMillis) * time.Millisecond
		f.ended[row.Service][row.Worker] = now.Add(left - endedFor)
	}
}

// inheritTaken reads which instances of the service were taken lately, so that this
// owner need not wait until it is told, and which are about to be ordered by what the owner
// before has told. Without the answer it is told all the same, and starts nothing on empty
// workers for a while.
func (d *Duty) inheritTaken(ctx context.Context, now time.Time) {
	if !d.deps.Site.Instances.IsValid() {
		return
	}
	row, err := d.deps.Table.Row(ctx, beatKey(partInstances))
	if err != nil {
		d.deps.Log.Warn("taken instances not read", "service", d.service, "epoch", d.tenure.epoch, "error", err.Error())
		d.core.InheritGiven(nil, false, d.deps.Clock.Now())
		return
	}
	if row == nil {
		return
	}
	beat, err := decodeBeat(row.Value)
	if err != nil {
		d.deps.Log.Error("row left out", "table", row.Key.Table, "key", row.Key.Part, "error", err)
		d.core.InheritGiven(nil, false, d.deps.Clock.Now())
		return
	}
	var given []string
	for _, one := range beat.Given {
		if one.Service == d.service {
			given = append(given, one.Worker)
		}
	}
	d.core.InheritGiven(given, true, d.deps.Clock.Now())
	var ended []string
	for _, taken := range beat.Taken {
		if taken.Service == d.service {
			ended = append(ended, taken.Worker)
		}
	}
	d.core.End(ended, now)
}
