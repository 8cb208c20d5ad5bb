package shard_test

import (
	"time"

	"lemonstream.dev/lemonstream/outside"
	"lemonstream.dev/lemonstream/shard"
)

var (
	errReborn = &outside.GoneError{
		ID: "test",
	}
	errSilent = &outside.UncertainError{
		Call: "test",
	}
)

// answerFunc makes an owner handle an answer after a time.
type answerer func(after time.Duration, take func())

// executeOrders executes an owner's orders. Answers arrive one tick later, unless a fault delays
// them. Answers to an owner that is no longer active are dropped.
func (w *world) carryOut(core *shard.Shard, orders shard.Orders) {
	answer := func(d time.Duration, do func()) {
		w.after(d, func() {
			if w.acts(core) {
				do()
			}
		})
	}
	w.asks = append(w.asks, orders.Asks...)
	for _, l := range orders.Lookups {
		w.lookUp(core, l, answer)
	}
	for _, p := range orders.Paces {
		w.workers[p.Worker.ID].shares[p.Task] = p.Percent
		answer(tick, func() { core.Paced(p, nil) })
	}
	for _, h := range orders.Holds {
		w.carryOutHold(core, h, answer)
	}
	for _, s := range orders.Starts {
		w.carryOutStart(core, s, answer)
	}
	for _, s := range orders.Stops {
		w.carryOutStop(core, s, answer)
	}
}

// executePoll makes a worker answer a poll.
func (w *world) carryOutHold(core *shard.Shard, h shard.Hold, answer answerer) {
	f := w.workers[h.Worker.ID]
	w.lastLook[h.Worker.ID] = h.Call
	sent := w.now
	if h.Renewal.Acknowledged > 0 {
		w.acknowledging++
	}
	if w.loseLooks > 0 && w.reaches(core, f) {
		w.after(w.loseLooks, func() {
			if !f.down && !f.cut {
				w.holdAt(f, h.Renewal)
			}
		})
		answer(w.lookFails, func() { core.Held(h, sent, w.now, outside.Glance{}, errSilent) })
		return
	}
	if f.reborn && !f.cut {
		answer(tick, func() { core.Held(h, sent, w.now, outside.Glance{}, errReborn) })
		return
	}
	if f.crashed && !f.cut {
		answer(tick, func() { core.Held(h, sent, w.now, outside.Glance{}, errSilent) })
		return
	}
	if !w.reaches(core, f) {
		answer(w.lookFails, func() { core.Held(h, sent, w.now, outside.Glance{}, errSilent) })
		return
	}
	if h.Renewal.Fence < f.fence {
		answer(tick, func() {
			core.Held(h, sent, w.now, outside.Glance{}, &outside.WorkerRefusedError{
				Reason: outside.RefusedFence,
			})
		})
		return
	}
	queued := w.wire.send(lookBytes, w.now)
	if queued > w.lookFails {
		w.after(queued, func() { f.renew(w, h.Renewal.Fence, h.Renewal.Until) })
		w.wire.unanswered++
		answer(w.lookFails, func() { core.Held(h, sent, w.now, outside.Glance{}, errSilent) })
		return
	}
	w.holdAt(f, h.Renewal)
	if w.lateAnswers > 0 {
		glance := f.glance(w)
		answer(w.lateAnswers, func() { core.Held(w.nameLook(h), sent, w.now, glance, nil) })
		return
	}
	incarnation := f.lives
	answer(queued+tick, func() {
		if !w.reaches(core, f) || f.lives != incarnation {
			core.Held(h, sent, w.now, outside.Glance{}, errSilent)
			return
		}
		core.Held(w.nameLook(h), sent, w.now, f.glance(w), nil)
	})
}

// executeStart makes a worker answer an order to start a task.
func (w *world) carryOutStart(core *shard.Shard, s shard.Start, answer answerer) {
	f := w.workers[s.Worker.ID]
	if w.refuseStarts != nil {
		answer(w.refuseAfter, func() { core.Started(s, w.now, 0, w.refuseStarts) })
		return
	}
	if w.lose > 0 {
		sent := w.now
		w.after(w.lose, func() {
			// A delayed start that reaches an incarnation before any owner does is left out: no
			// owner can prevent it.
			if !f.cut && f.fence > 0 {
				_ = w.startAt(f, s.Order, sent)
			}
		})
		answer(700*time.Millisecond, func() { core.Started(s, w.now, 0, errSilent) })
		return
	}
	if f.reborn && !f.cut {
		answer(tick, func() { core.Started(s, w.now, 0, errReborn) })
		return
	}
	if !w.reaches(core, f) {
		answer(700*time.Millisecond, func() { core.Started(s, w.now, 0, errSilent) })
		return
	}
	queued := w.wire.send(startBytes+len(s.Order.Text), w.now)
	if queued > startFails {
		sent := w.now
		w.after(queued, func() { _ = w.startAt(f, s.Order, sent) })
		w.wire.unanswered++
		answer(startFails, func() { core.Started(s, w.now, 0, errSilent) })
		return
	}
	err := w.startAt(f, s.Order, w.now)
	zero := f.clockZero
	answer(queued+w.startAnswers, func() { core.Started(s, w.now, w.now.Sub(zero), err) })
}

// executeStop makes a worker answer an order to stop a run.
func (w *world) carryOutStop(core *shard.Shard, s shard.Stop, answer answerer) {
	f := w.workers[s.Worker.ID]
	w.stops++
	if f.unhealthy {
		answer(tick, func() {
			core.Stopped(s, w.now, 0, &outside.WorkerRefusedError{
				Reason: outside.RefusedUnhealthy,
			})
		})
		return
	}
	unanswered := w.loseStops > 0 && w.stops%w.loseEach == 0
	if !w.reaches(core, f) || unanswered {
		if unanswered {
			w.heldUp[uncalled(s)] = true
			w.after(w.loseStops, func() {
				if !f.cut {
					_ = w.stopAt(f, s)
				}
			})
		}
		answer(700*time.Millisecond, func() { core.Stopped(s, w.now, 0, errSilent) })
		return
	}
	err := w.stopAt(f, s)
	zero := f.clockZero
	answer(tick, func() { core.Stopped(s, w.now, w.now.Sub(zero), err) })
}

// lookUp answers a lookup with the rows that are stored at the time of the order.
func (w *world) lookUp(core *shard.Shard, l shard.Lookup, answer answerer) {
	if w.storeDown || w.lookupsFail {
		answer(tick, func() { core.LookedUp(l, errSilent, w.now) })
		return
	}
	var records []shard.Record
	for _, id := range l.Jobs {
		if record, found := w.records[id]; found {
			records = append(records, record)
		}
	}
	version := w.version
	answer(max(tick, w.lookupsLate), func() {
		for _, record := range records {
			core.Accept(record, version, false, w.now)
		}
		core.LookedUp(l, nil, w.now)
	})
}

// answeredPoll returns the poll that an answer belongs to. With mismatchPolls, it is the last one.
func (w *world) nameLook(h shard.Hold) shard.Hold {
	if w.unnamed {
		h.Call = w.lastLook[h.Worker.ID]
	}
	return h
}

// pollAt executes a poll at a worker, which ignores one with an outdated fencing token.
func (w *world) holdAt(f *fakeWorker, r outside.Renewal) {
	if r.Fence < f.fence {
		return
	}
	f.renew(w, r.Fence, r.Until)
	w.acknowledge(f, r.Acknowledged)
}

// stopAt executes a stop at a worker. The worker refuses a stop of a previous owner once it knows
// a newer one. Stops that were delayed are exempt from the rule on unavailable tasks.
func (w *world) stopAt(f *fakeWorker, s shard.Stop) error {
	if f.down {
		return errSilent
	}
	if s.Fence < f.fence {
		return &outside.WorkerRefusedError{
			Reason: outside.RefusedFence,
			Clock:  f.clock(w.now),
		}
	}
	f.fence = s.Fence
	f.top[s.Task] = max(f.top[s.Task], s.Run)
	if f.deaf > 0 {
		f.deaf--
		return nil
	}
	if r, found := f.runs[s.Task]; found && r.number <= s.Run {
		if w.judgeRepeated || !w.heldUp[uncalled(s)] {
			w.judgeStop(f, s.Task, r)
		}
		w.judgeOrdered(f, s.Task, r, "a stop", w.heldUp[uncalled(s)])
		r.stopAt = w.now.Add(200 * time.Millisecond)
	}
	return nil
}

// withoutCall returns a stop without what tells it from its retries.
func uncalled(s shard.Stop) shard.Stop {
	s.Call = 0
	s.Fence = 0
	return s
}

// acknowledge removes acknowledged ends at a worker and records them for the oracle.
func (w *world) acknowledge(f *fakeWorker, last int64) {
	for len(f.ends) > 0 && f.ends[0].Number <= last {
		if f.ends[0].Kind == outside.EndDone {
			w.judgeNoted(f, f.ends[0])
			w.noted[f.ends[0].Task] = w.now
		}
		f.ends = f.ends[1:]
	}
}

// startAt executes a start that was sent at the given time, and checks it against the rules of
// the oracle.
func (w *world) startAt(f *fakeWorker, o outside.StartOrder, sent time.Time) error {
	refuse := func(reason outside.Refusal) error {
		return &outside.WorkerRefusedError{
			Reason: reason,
			Clock:  f.clock(w.now),
		}
	}
	if f.down {
		return errSilent
	}
	if o.Fence < f.fence {
		return refuse(outside.RefusedFence)
	}
	f.fence = o.Fence
	if f.clock(w.now) > o.Until {
		return refuse(outside.RefusedLate)
	}
	if r, found := f.runs[o.Task]; found && r.number == o.Run {
		return nil
	}
	if o.Run <= f.top[o.Task] {
		return refuse(outside.RefusedOld)
	}
	f.renew(w, o.Fence, o.Until)
	if w.turned[o.Task.Job] {
		w.fault("%s starts, but the last answer for its job was a refusal", o.Task)
	}
	step := w.stepOf(o.Task)
	w.judge(f, o.Task, step, sent)
	f.top[o.Task] = o.Run
	if o.Ticket != "" {
		f.tickets++
	}
	f.began++
	if !sent.Before(w.now) {
		w.started[o.Task] = w.now
	}
	f.runs[o.Task] = &fakeRun{
		number:   o.Run,
		step:     step,
		began:    w.now,
		workLeft: step.Estimate,
		late:     sent.Before(w.now),
	}
	w.judgeQuota(o.Task)
	return nil
}
