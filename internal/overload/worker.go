package overload

import (
	"sort"
	"time"

	"lemonstream.dev/lemonstream/job"
	"lemonstream.dev/lemonstream/outside"
	"lemonstream.dev/lemonstream/shard"
)

// worker runs what it is told.
type worker struct {
	reg    outside.Registration
	runs   map[job.TaskID]run
	ends   []outside.End
	number int64
}

type run struct {
	number int64
	until  time.Time
}

func (o *worker) glance(now time.Time) outside.WorkerStatus {
	g := outside.WorkerStatus{
		Clock: now.Sub(time.UnixMilli(0)),
		Ends:  append([]outside.End(nil), o.ends...),
	}
	for id, r := range o.runs {
		g.Runs = append(g.Runs, outside.RunningTask{
			Task:    id,
			Run:     r.number,
			Percent: 100,
		})
	}
	sort.Slice(g.Runs, func(i, j int) bool { return g.Runs[i].Task.String() < g.Runs[j].Task.String() })
	return g
}

func (w *world) start(order shard.Start) {
	c := w.byID[order.Order.Task.Job]
	if c.started.IsZero() {
		c.started = w.now
		w.waiting--
	}
	w.workers[order.Worker.ID].runs[order.Order.Task] = run{
		number: order.Order.Run,
		until:  w.now.Add(c.spec.Steps[order.Order.Task.Step].Estimate),
	}
	w.later(func() { w.core.Started(order, w.now, w.now.Sub(time.UnixMilli(0)), nil) })
}

// work ends the runs whose time has passed.
func (w *world) work() {
	for _, one := range w.workers {
		var ended []job.TaskID
		for id, r := range one.runs {
			if !r.until.After(w.now) {
				ended = append(ended, id)
			}
		}
		sort.Slice(ended, func(i, j int) bool { return ended[i].String() < ended[j].String() })
		for _, id := range ended {
			one.number++
			one.ends = append(one.ends, outside.End{
				Number: one.number,
				Task:   id,
				Run:    one.runs[id].number,
				Kind:   outside.EndDone,
			})
			delete(one.runs, id)
		}
	}
}
