package shard_test

import (
	"time"

	"lemonstream.dev/lemonstream/catalog"
	"lemonstream.dev/lemonstream/job"
	"lemonstream.dev/lemonstream/outside"
	"lemonstream.dev/lemonstream/shard"
)

// actOn lets an owner before go on.
func (w *world) actOn() {
	if w.zombie == nil {
		return
	}
	if w.now.After(w.zombieUntil) || w.zombie.Deposed() {
		w.zombie = nil
		return
	}
	orders, _ := w.zombie.Next(w.now)
	w.carryOut(w.zombie, orders)
}

// takeOver starts a new owner from the rows, as after the death of the one
// before.
func (w *world) takeOver() {
	w.zombie = nil
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
	w.zombie = w.core
	w.zombieUntil = w.now.Add(on)
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
	}
	w.takeOver()
}

// lastOrders writes every row that is due, and returns what the owner hands over with
// the last of them.
func (w *world) lastOrders() shard.Handover {
	for {
		if w.batch == nil {
			b, found := w.core.TakeBatch(testEntries)
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
		Lease:    testLease,
		BusyWait: 200 * time.Millisecond,
		IdleWait: 200 * time.Millisecond,
		StopTask: 300 * time.Millisecond,
		ShownFor: time.Hour,
		BlindFor: blind,
		Policy:   func(string) (catalog.Policy, bool) { return catalog.Policy{}, false },
		Report:   func(string, ...any) {},
		Show: func(id string, state job.State) {
			if w.epoch == epoch {
				w.show(id, state)
			}
		},
	})
	// The row of the claim passes on what the last beat said.
	w.core.Inherit(w.handover, w.now)
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
	for id, p := range w.progress {
		if p.State.Final() {
			w.core.RestoreEnded(id, p)
		}
	}
	for id, r := range w.records {
		var known *shard.Progress
		if p, found := w.progress[id]; found {
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
