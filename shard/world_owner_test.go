package shard_test

import (
	"slices"
	"time"

	"lemonstream.dev/lemonstream/catalog"
	"lemonstream.dev/lemonstream/job"
	"lemonstream.dev/lemonstream/outside"
	"lemonstream.dev/lemonstream/shard"
)

// zombie is a previous owner that is still active and has not noticed its successor.
type zombie struct {
	core  *shard.Shard
	until time.Time

	// reachable is the only worker that the zombie reaches, partitioned or not; nil means
	// all workers that are not partitioned.
	beside *fakeWorker
}

// runZombies executes the orders of previous owners that are still active.
func (w *world) actOn() {
	w.zombies = slices.DeleteFunc(w.zombies, func(z zombie) bool {
		return w.now.After(z.until) || z.core.Deposed()
	})
	for _, z := range w.zombies {
		orders, _ := z.core.Next(w.now)
		w.carryOut(z.core, orders)
	}
}

// isActive reports whether an owner is the current one or a zombie.
func (w *world) acts(core *shard.Shard) bool {
	if core == w.core {
		return !w.ownerless
	}
	return slices.ContainsFunc(w.zombies, func(z zombie) bool { return z.core == core })
}

// reaches reports whether an owner's calls reach a worker.
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

// takeOver starts a new owner from the stored rows, as after a crash of the previous owner.
// Zombies may still be active.
func (w *world) takeOver() {
	w.takeOverAfter(0)
}

// takeOverWith starts a new owner that receives the given handover of the previous one.
func (w *world) takeOverWith(handover shard.Handover) {
	w.handover = handover
	w.takeOver()
}

// takeOverFromActive starts a new owner while the previous one stays active for the given time
// without access to the store.
func (w *world) takeOverFromLiving(activeFor time.Duration) {
	w.takeOverFromBeside(activeFor, nil)
}

// takeOverFromPartitioned is takeOverFromActive with a network partition: the previous owner
// reaches only the worker f, and other owners don't reach f. Without f, there is no partition.
func (w *world) takeOverFromBeside(activeFor time.Duration, f *fakeWorker) {
	if f != nil {
		f.cut = true
	}
	w.zombies = append(w.zombies, zombie{
		core:   w.core,
		until:  w.now.Add(activeFor),
		beside: f,
	})
	w.takeOverAfter(activeFor)
}

// release makes the owner write its pending rows, write its handover in the last transaction,
// and end; the next owner takes over after the given time. If nothing can be written, the owner
// ends at once.
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

// writeAndHandOver writes every pending row, and returns the handover that the owner writes with
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

// takeOverAfter starts a new owner; the previous one may stay active for the given time.
func (w *world) takeOverAfter(activeFor time.Duration) {
	w.epoch++
	w.batch = nil
	w.ownerless = false
	w.disturbed = w.now
	unobserved := time.Duration(0)
	if w.epoch > 1 {
		unobserved = testLease + testLease/10 + activeFor
	}
	epoch := w.epoch
	w.core = shard.New("s", w.epoch, w.version, w.now, shard.Options{
		Lease:     testLease,
		LeaseMost: testLeaseMost,
		BusyWait:  200 * time.Millisecond,
		IdleWait:  200 * time.Millisecond,
		StopTask:  300 * time.Millisecond,
		ShownFor:  time.Hour,
		BlindFor:  unobserved,
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
	// The claim's row passes on the last heartbeat's handover, and how long the previous
	// owner may still be active.
	if w.waitless {
		w.handover.Blind = 0
	}
	w.core.Inherit(w.handover, w.now)
	w.handover.Blind = max(w.handover.Blind, unobserved)
	w.standbyBatch = nil
	w.standbyRead = w.epoch == 1
	if !w.standbyRead {
		w.core.AwaitStandby()
	}
	w.restore()
}

// restore makes a new owner read the stored rows.
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
