package shard_test

import (
	"slices"
	"time"

	"lemonstream.dev/lemonstream/catalog"
	"lemonstream.dev/lemonstream/job"
	"lemonstream.dev/lemonstream/outside"
	"lemonstream.dev/lemonstream/shard"
)

// zombie is an owner before that acts on without having noticed that it is succeeded.
type zombie struct {
	core  *shard.Shard
	until time.Time

	// beside is the one worker that it reaches, cut or not; nil stands for all that are
	// not cut.
	beside *fakeWorker
}

// actOn lets owners before go on.
func (w *world) actOn() {
	w.zombies = slices.DeleteFunc(w.zombies, func(z zombie) bool {
		return w.now.After(z.until) || z.core.Deposed()
	})
	for _, z := range w.zombies {
		orders, _ := z.core.Next(w.now)
		w.carryOut(z.core, orders)
	}
}

// acts reports whether an owner is the newest one or one before that acts on.
func (w *world) acts(core *shard.Shard) bool {
	if core == w.core {
		return !w.ownerless
	}
	return slices.ContainsFunc(w.zombies, func(z zombie) bool { return z.core == core })
}

// reaches reports whether calls of an owner get through to a worker.
func (w *world) reaches(core *shard.Shard, f *fakeWorker) bool {
	if f.down {
		return false
	}
	for _, z := range w.zombies {
		if z.core == core && z.beside != nil {
			return f == z.beside
		}
	}
	return !f.cut
}

// takeOver starts a new owner from the rows, as after the death of the one
// before. Those before that one may still act on.
func (w *world) takeOver() {
	w.takeOverAfter(0)
}

// takeOverWith starts a new owner that inherits what the one before knew of its
// workers.
func (w *world) takeOverWith(handover shard.Handover) {
	w.handover = handover
	w.takeOver()
}

// takeOverFromLiving starts a new owner while the one before acts on for a while
// without the store.
func (w *world) takeOverFromLiving(on time.Duration) {
	w.takeOverFromBeside(on, nil)
}

// takeOverFromBeside is takeOverFromLiving of an owner that is cut off from all but one
// worker, which is cut off from the others.
func (w *world) takeOverFromBeside(on time.Duration, f *fakeWorker) {
	if f != nil {
		f.cut = true
	}
	w.zombies = append(w.zombies, zombie{
		core:   w.core,
		until:  w.now.Add(on),
		beside: f,
	})
	w.takeOverAfter(on)
}

// release lets the owner write what it has to, hand over in its last transaction, and
// end; a successor takes the service after a while. Where nothing can be written, it
// just ends.
func (w *world) release(after time.Duration) {
	writes := !w.storeDown && !w.frozen
	if writes {
		w.handover = w.lastOrders()
	}
	for end := w.now.Add(after); w.now.Before(end); {
		w.now = w.now.Add(tick)
		w.deliver()
		w.work()
		w.actOn()
	}
	w.takeOver()
}

// lastOrders writes every row that is due, and returns what the owner hands over with
// the last of them.
func (w *world) lastOrders() shard.Handover {
	for {
		if w.batch == nil {
			b, found := w.core.TakeBatch(testEntries, w.now)
			if !found {
				return w.core.HandOver(w.now, true, testRowBytes)
			}
			w.batch = &b
		}
		w.apply()
	}
}

// takeOverAfter starts a new owner; the one before may act on for the given time.
func (w *world) takeOverAfter(on time.Duration) {
	w.epoch++
	w.batch = nil
	w.ownerless = false
	w.disturbed = w.now
	blind := time.Duration(0)
	if w.epoch > 1 {
		blind = testLease + testLease/10 + on
	}
	epoch := w.epoch
	w.core = shard.New("s", w.epoch, w.version, w.now, shard.Options{
		Lease:     testLease,
		LeaseMost: testLeaseMost,
		BusyWait:  200 * time.Millisecond,
		IdleWait:  200 * time.Millisecond,
		StopTask:  300 * time.Millisecond,
		ShownFor:  time.Hour,
		BlindFor:  blind,
		Starts:    w.starts,
		Evacuated: w.isEvacuated,
		Quota:     w.quotaOf(w.epoch),
		Policy:    func(string) (catalog.Policy, bool) { return catalog.Policy{}, false },
		Report: func(event string, fields ...any) {
			if w.report != nil {
				w.report(event, fields...)
			}
		},
		Refused: func(reason string) { w.refusedFor[reason]++ },
		Show: func(id string, state job.State) {
			if w.epoch == epoch {
				w.show(id, state)
			}
		},
	})
	// The row of the claim passes on what the last beat said, and for how long the owner
	// before may matter.
	if w.waitless {
		w.handover.Blind = 0
	}
	w.core.Inherit(w.handover, w.now)
	w.handover.Blind = max(w.handover.Blind, blind)
	w.standbyBatch = nil
	w.standbyRead = w.epoch == 1
	if !w.standbyRead {
		w.core.AwaitStandby()
	}
	w.restore()
}

// restore lets a new owner read the rows.
func (w *world) restore() {
	for id := range w.used {
		w.core.InheritWorker(outside.WorkerRef{
			ID:      id,
			Address: w.workers[id].reg.Address,
		}, w.now)
	}
	w.core.InheritGiven(w.giving, !w.givingUnread, w.now)
	w.core.End(w.takenFirst, w.now)
	for id, p := range w.progress {
		if p.State.Final() {
			w.core.RestoreEnded(id, p)
		}
	}
	for id, r := range w.refused {
		w.core.RestoreRefusal(id, r)
	}
	for id, r := range w.records {
		var known *shard.Progress
		if p, found := w.progress[id]; found {
			if w.unmarked {
				p.Crashed = nil
			}
			if w.untried {
				p.Trials = nil
			}
			known = &p
		}
		if err := w.core.Restore(r, known, w.now); err != nil {
			w.fault("restore %s: %v", id, err)
		}
	}
	for id := range w.cancelRows {
		w.readCancelRow(id)
	}
	w.list()
}
