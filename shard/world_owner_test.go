package shard_test

import (
	"slices"
	"time"

	"lemonstream.dev/lemonstream/catalog"
	"lemonstream.dev/lemonstream/job"
	"lemonstream.dev/lemonstream/outlier"
	"lemonstream.dev/lemonstream/shard"
)

// zombie is a previous owner that is still active and has not noticed its successor.
type zombie struct {
	core  *shard.Shard
	until time.Time

	// reachable is the only worker that the zombie reaches, partitioned or not; nil means
	// all workers that are not partitioned.
	reachable *fakeWorker
}

// runZombies executes the orders of previous owners that are still active.
func (w *world) runZombies() {
	w.zombies = slices.DeleteFunc(w.zombies, func(z zombie) bool {
		return w.now.After(z.until) || z.core.Deposed()
	})
	for _, z := range w.zombies {
		orders, _ := z.core.Next(w.now)
		w.executeOrders(z.core, orders)
	}
}

// isActive reports whether an owner is the current one or a zombie.
func (w *world) isActive(core *shard.Shard) bool {
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
		if z.core == core && z.reachable != nil {
			return f == z.reachable
		}
	}
	return !f.partitioned
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
func (w *world) takeOverFromActive(activeFor time.Duration) {
	w.takeOverFromPartitioned(activeFor, nil)
}

// takeOverFromPartitioned is takeOverFromActive with a network partition: the previous owner
// reaches only the worker f, and other owners don't reach f. Without f, there is no partition.
func (w *world) takeOverFromPartitioned(activeFor time.Duration, f *fakeWorker) {
	if f != nil {
		f.partitioned = true
	}
	w.zombies = append(w.zombies, zombie{
		core:      w.core,
		until:     w.now.Add(activeFor),
		reachable: f,
	})
	w.takeOverAfter(activeFor)
}

// release makes the owner write its pending rows, write its handover in the last transaction,
// and end; the next owner takes over after the given time. If nothing can be written, the owner
// ends at once.
func (w *world) release(after time.Duration) {
	writes := !w.storeDown && !w.frozen
	if writes {
		w.handover = w.writeAndHandOver()
	}
	for end := w.now.Add(after); w.now.Before(end); {
		w.now = w.now.Add(tick)
		w.deliver()
		w.advanceWorkers()
		w.runZombies()
	}
	w.takeOver()
}

// writeAndHandOver writes every pending row, and returns the handover that the owner writes with
// the last of them.
func (w *world) writeAndHandOver() shard.Handover {
	for {
		if w.batch == nil {
			b, found := w.core.NextBatch(testBatchEntries, w.now)
			if !found {
				return w.core.BuildHandover(w.now, true, testHandoverBytes)
			}
			w.batch = &b
		}
		w.applyBatch()
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
	w.shares.Close()
	w.shares = w.limits.Shares()
	w.core = shard.New("s", w.epoch, w.version, w.now, shard.Options{
		Lease:         testLease,
		LeaseLimit:    testMaxLease,
		BusyPollWait:  200 * time.Millisecond,
		IdlePollWait:  200 * time.Millisecond,
		StopTimeout:   300 * time.Millisecond,
		DrainTime:     lingerTime,
		JobRetention:  time.Hour,
		UnobservedFor: unobserved,
		Starts:        w.starts,
		UnderWay:      w.shares,
		RowBytes:      maxRowBytes,
		Evacuated:     w.isEvacuated,
		Usable:        func() bool { return !w.operatorUnknown },
		EjectShare:    w.ejectShare,
		ProbeAfter:    outlier.DefaultProbeAfter,

		EstimateFaults: w.estimateFaults,
		Quota:          w.quotaOf(w.epoch),
		Weight:         w.weight,
		Foreign: func(submitted shard.Record, known catalog.JobOwner) bool {
			return w.comparesOrganisations && submitted.Organisation != known.Organisation
		},
		Policy: func(string) (catalog.Policy, bool) { return catalog.Policy{}, false },
		LogEvent: func(event string, fields ...any) {
			if w.logEvent != nil {
				w.logEvent(event, fields...)
			}
		},
		CountRefusal: func(reason string) { w.waitReasons[reason]++ },
		PublishState: func(id string, state job.State) {
			if w.epoch == epoch {
				w.show(id, state)
			}
		},
	})
	// The claim's row passes on the last heartbeat's handover, and how long the previous
	// owner may still be active.
	if w.dropHandoverWait {
		w.handover.UnobservedFor = 0
	}
	if w.dropEvidence {
		w.handover.Evidence = nil
	}
	w.core.ApplyHandover(w.handover, w.now)
	w.handover.UnobservedFor = max(w.handover.UnobservedFor, unobserved)
	w.standbyBatch = nil
	w.standbyRead = w.epoch == 1
	if !w.standbyRead {
		w.core.MarkStandbyUnread()
	}
	w.restore()
}

// restore makes a new owner read the stored rows.
func (w *world) restore() {
	for _, id := range walk(w, w.used) {
		w.core.RestoreWorker(w.used[id], w.now)
	}
	w.core.RestoreReleased(w.released, !w.releasedUnread, w.now)
	w.core.RemoveTaken(w.takenBeforeListing, w.now)
	for _, id := range walk(w, w.progress) {
		p := w.progress[id]
		if p.State.Final() {
			w.core.RestoreEnded(id, p)
		}
	}
	for _, id := range walk(w, w.refused) {
		w.core.RestoreRefusal(id, w.refused[id])
	}
	for _, id := range walk(w, w.records) {
		r := w.records[id]
		var known *shard.Progress
		if p, found := w.progress[id]; found {
			if w.hideCrashes {
				p.Crashed = nil
			}
			if w.hidePossibleCrashes {
				p.PossibleCrashes = nil
			}
			known = &p
		}
		if err := w.core.Restore(r, w.version, known, w.now); err != nil {
			w.addViolation("restore %s: %v", id, err)
		}
	}
	for _, id := range walk(w, w.cancelRows) {
		w.readCancelRow(id)
	}
	w.list()
}
