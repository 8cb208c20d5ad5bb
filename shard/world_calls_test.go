package shard_test

import (
	"time"

	"lemonstream.dev/lemonstream/outside"
	"lemonstream.dev/lemonstream/shard"
)

var (
	errReplaced = &outside.GoneError{
		ID: "test",
	}
	errNoAnswer = &outside.UncertainError{
		Call: "test",
	}
)

// answerFunc makes an owner handle an answer after a time.
type answerFunc func(after time.Duration, take func())

// executeOrders executes an owner's orders. Answers arrive one tick later, unless a fault delays
// them. Answers to an owner that is no longer active are dropped.
func (w *world) executeOrders(core *shard.Shard, orders shard.Orders) {
	answer := func(d time.Duration, do func()) {
		w.after(d, func() {
			if w.isActive(core) {
				do()
			}
		})
	}
	w.ticketRequests = append(w.ticketRequests, orders.TicketRequests...)
	for _, l := range orders.Lookups {
		w.lookUp(core, l, answer)
	}
	for _, p := range orders.Paces {
		w.workers[p.Worker.ID].shares[p.Task] = p.Percent
		answer(tick, func() { core.Paced(p, nil) })
	}
	sortCalls(w, orders.Polls, func(p shard.Poll) string { return p.Worker.ID })
	sortCalls(w, orders.Stops, func(s shard.Stop) string { return s.Worker.ID + " " + s.Task.String() })
	for _, h := range orders.Polls {
		w.executePoll(core, h, w.counted("polls", answer))
	}
	for _, s := range orders.Starts {
		w.executeStart(core, s, w.counted("starts", answer))
	}
	for _, s := range orders.Stops {
		w.executeStop(core, s, w.counted("stops", answer))
	}
}

// counted counts an order as unanswered until it is answered.
func (w *world) counted(kind string, answer answerFunc) answerFunc {
	w.unanswered[kind]++
	w.mostUnanswered[kind] = max(w.mostUnanswered[kind], w.unanswered[kind])
	answered := false
	return func(after time.Duration, take func()) {
		answer(after, func() {
			if !answered {
				answered = true
				w.unanswered[kind]--
			}
			take()
		})
	}
}

// executePoll makes a worker answer a poll.
func (w *world) executePoll(core *shard.Shard, h shard.Poll, answer answerFunc) {
	f := w.workers[h.Worker.ID]
	w.lastPoll[h.Worker.ID] = h.Call
	sent := w.now
	if w.polled != nil {
		w.polled(h)
	}
	if h.Renewal.Acknowledged > 0 {
		w.ackingPolls++
	}
	if w.pollDelay > 0 && w.reaches(core, f) {
		w.after(w.pollDelay, func() {
			if !f.down && (w.receivedLate || !f.partitioned) {
				w.pollAt(f, h.Renewal)
			}
		})
		answer(w.pollTimeout, func() { core.Polled(h, sent, w.now, outside.WorkerStatus{}, errNoAnswer) })
		return
	}
	if f.replaced && !f.partitioned {
		answer(tick, func() { core.Polled(h, sent, w.now, outside.WorkerStatus{}, errReplaced) })
		return
	}
	if f.crashed && !f.partitioned {
		answer(tick, func() { core.Polled(h, sent, w.now, outside.WorkerStatus{}, errNoAnswer) })
		return
	}
	if !w.reaches(core, f) {
		answer(w.pollTimeout, func() { core.Polled(h, sent, w.now, outside.WorkerStatus{}, errNoAnswer) })
		return
	}
	if h.Renewal.Fence < f.fence {
		answer(tick, func() {
			core.Polled(h, sent, w.now, outside.WorkerStatus{}, &outside.WorkerRefusedError{
				Reason: outside.RefusedFence,
			})
		})
		return
	}
	queued := w.wire.send(pollBytes, w.now)
	if queued > w.pollTimeout {
		w.after(queued, func() { f.renewLease(w, h.Renewal.Fence, h.Renewal.Until) })
		w.wire.unanswered++
		answer(w.pollTimeout, func() { core.Polled(h, sent, w.now, outside.WorkerStatus{}, errNoAnswer) })
		return
	}
	w.pollAt(f, h.Renewal)
	if w.lateAnswers > 0 {
		glance := f.glance(w)
		answer(w.lateAnswers, func() { core.Polled(w.answeredPoll(h), sent, w.now, glance, nil) })
		return
	}
	incarnation := f.restarts
	answer(queued+tick, func() {
		switch {
		case !w.reaches(core, f):
			core.Polled(h, sent, w.now, outside.WorkerStatus{}, errNoAnswer)
		case f.restarts != incarnation:
			w.resendPoll(core, h, sent, answer)
		default:
			core.Polled(w.answeredPoll(h), sent, w.now, f.glance(w), nil)
		}
	})
}

// resendPoll sends a poll once more whose connection broke because the worker ended. The next incarnation
// can't tell that the poll was meant for the former one. A poll that is sent again acknowledges nothing.
func (w *world) resendPoll(core *shard.Shard, h shard.Poll, sent time.Time, answer answerFunc) {
	f := w.workers[h.Worker.ID]
	again := h.Renewal
	again.Acknowledged = 0
	w.pollAt(f, again)
	answer(tick, func() {
		if !w.reaches(core, f) || again.Fence < f.fence {
			core.Polled(h, sent, w.now, outside.WorkerStatus{}, errNoAnswer)
			return
		}
		core.Polled(w.answeredPoll(h), sent, w.now, f.glance(w), nil)
	})
}

// executeStart makes a worker answer an order to start a task.
func (w *world) executeStart(core *shard.Shard, s shard.Start, answer answerFunc) {
	f := w.workers[s.Worker.ID]
	if w.startError != nil {
		answer(w.startErrorDelay, func() { core.Started(s, w.now, 0, w.startError) })
		return
	}
	if w.startDelay > 0 {
		sent := w.now
		w.after(w.startDelay, func() {
			// A delayed start that reaches an incarnation before any owner does is left out: no
			// owner can prevent it.
			if w.receivedLate || (!f.partitioned && f.fence > 0) {
				_ = w.startAt(f, s.Order, sent)
			}
		})
		answer(700*time.Millisecond, func() { core.Started(s, w.now, 0, errNoAnswer) })
		return
	}
	if f.replaced && !f.partitioned {
		answer(tick, func() { core.Started(s, w.now, 0, errReplaced) })
		return
	}
	if !w.reaches(core, f) {
		answer(700*time.Millisecond, func() { core.Started(s, w.now, 0, errNoAnswer) })
		return
	}
	queued := w.wire.send(startBytes+len(s.Order.Text), w.now)
	if queued > startTimeout {
		sent := w.now
		w.after(queued, func() { _ = w.startAt(f, s.Order, sent) })
		w.wire.unanswered++
		answer(startTimeout, func() { core.Started(s, w.now, 0, errNoAnswer) })
		return
	}
	err := w.startAt(f, s.Order, w.now)
	zero := f.clockZero
	answer(queued+w.startAnswerDelay, func() { core.Started(s, w.now, w.now.Sub(zero), err) })
}

// executeStop makes a worker answer an order to stop a run.
func (w *world) executeStop(core *shard.Shard, s shard.Stop, answer answerFunc) {
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
	unanswered := w.stopDelay > 0 && w.stops%w.unansweredStopEvery == 0
	if !w.reaches(core, f) || unanswered {
		if unanswered {
			w.delayedStops[withoutCall(s)] = true
			w.after(w.stopDelay, func() {
				if !f.partitioned {
					_ = w.stopAt(f, s)
				}
			})
		}
		answer(700*time.Millisecond, func() { core.Stopped(s, w.now, 0, errNoAnswer) })
		return
	}
	err := w.stopAt(f, s)
	zero := f.clockZero
	answer(tick, func() { core.Stopped(s, w.now, w.now.Sub(zero), err) })
}

// lookUp answers a lookup with the rows that are stored at the time of the order.
func (w *world) lookUp(core *shard.Shard, l shard.Lookup, answer answerFunc) {
	if w.storeDown || w.lookupsFail {
		answer(tick, func() { core.LookedUp(l, errNoAnswer, w.now) })
		return
	}
	var records []shard.Record
	for _, id := range l.Jobs {
		if record, found := w.records[id]; found {
			records = append(records, record)
		}
	}
	version := w.version
	answer(max(tick, w.lookupDelay), func() {
		for _, record := range records {
			core.Accept(record, version, false, w.now)
		}
		core.LookedUp(l, nil, w.now)
	})
}

// answeredPoll returns the poll that an answer belongs to. With mismatchPolls, it is the last one.
func (w *world) answeredPoll(h shard.Poll) shard.Poll {
	if w.mismatchPolls {
		h.Call = w.lastPoll[h.Worker.ID]
	}
	return h
}

// pollAt executes a poll at a worker, which ignores one with an outdated fencing token.
func (w *world) pollAt(f *fakeWorker, r outside.Renewal) {
	if r.Fence < f.fence {
		return
	}
	f.renewLease(w, r.Fence, r.Until)
	w.acknowledge(f, r.Acknowledged)
}

// stopAt executes a stop at a worker. The worker refuses a stop of a previous owner once it knows
// a newer one. Stops that were delayed are exempt from the rule on unavailable tasks.
func (w *world) stopAt(f *fakeWorker, s shard.Stop) error {
	if f.down {
		return errNoAnswer
	}
	if s.Fence < f.fence {
		return &outside.WorkerRefusedError{
			Reason: outside.RefusedFence,
			Clock:  f.clock(w.now),
		}
	}
	f.fence = s.Fence
	f.highestRun[s.Task] = max(f.highestRun[s.Task], s.Run)
	if f.ignoreStops > 0 {
		f.ignoreStops--
		return nil
	}
	if r, found := f.runs[s.Task]; found && r.number <= s.Run {
		if w.checkRetriedStops || !w.delayedStops[withoutCall(s)] {
			w.checkStop(f, s.Task, r)
		}
		w.checkOrderedEnd(f, s.Task, r, "a stop", w.delayedStops[withoutCall(s)])
		r.stopAt = w.now.Add(200 * time.Millisecond)
	}
	return nil
}

// withoutCall returns a stop without what tells it from its retries.
func withoutCall(s shard.Stop) shard.Stop {
	s.Call = 0
	s.Fence = 0
	return s
}

// acknowledge removes acknowledged ends at a worker and records them for the oracle.
func (w *world) acknowledge(f *fakeWorker, last int64) {
	for len(f.ends) > 0 && f.ends[0].Number <= last {
		if f.ends[0].Kind == outside.EndDone {
			w.checkAcked(f, f.ends[0])
			w.acked[f.ends[0].Task] = w.now
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
		return errNoAnswer
	}
	if o.Fence < f.fence {
		return refuse(outside.RefusedFence)
	}
	f.fence = o.Fence
	if f.clock(w.now) > o.Until {
		return refuse(outside.RefusedLate)
	}
	// A start that is refused as old sets the deadline as well.
	f.renewLease(w, o.Fence, o.Until)
	if r, found := f.runs[o.Task]; found && r.number == o.Run {
		return nil
	}
	if o.Run <= f.highestRun[o.Task] {
		return refuse(outside.RefusedOld)
	}
	if w.turned[o.Task.Job] {
		w.addViolation("%s starts, but the last answer for its job was a refusal", o.Task)
	}
	step := w.stepOf(o.Task)
	w.checkStart(f, o.Task, step, sent)
	f.highestRun[o.Task] = o.Run
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
	w.checkQuota(o.Task)
	return nil
}
