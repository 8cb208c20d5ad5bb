package shard_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lemonstream.dev/lemonstream/internal/prove"
	"lemonstream.dev/lemonstream/job"
	"lemonstream.dev/lemonstream/shard"
)

const (
	// maxActiveAfterClaim is how long a replaced owner acts on after the claim of the next one: 4 s
	// without a write, of which the next one has seen 0.75 s.
	maxActiveAfterClaim = 3250 * time.Millisecond

	// maxStoreOutage is the longest outage of the store in which an owner keeps its service.
	maxStoreOutage = 3900 * time.Millisecond
)

// TestOwnerChainsUnderFaults lets owners follow each other that were released, died, were frozen or
// are cut off. Registrations lapse in outages of the store that the next owner does not see, zones
// are cut off, orders to instances are announced and not carried out, and jobs are stored by entries
// that tell any of the owners or none.
func TestOwnerChainsUnderFaults(t *testing.T) {
	prove.Property(t, func(t *rapid.T) {
		w := newWorld(6)
		w.standbyOn = rapid.Bool().Draw(t, "standby on")
		w.run(200 * time.Millisecond)
		for i := range rapid.IntRange(8, 40).Draw(t, "rounds") {
			w.disturbChain(t, fmt.Sprintf("j%d", i))
			if rapid.IntRange(0, 3).Draw(t, "quick") > 0 {
				w.run(time.Duration(rapid.IntRange(1, 120).Draw(t, "wait")) * tick)
			}
		}
		w.endOutage()
		w.standbyDown = false
		w.lookupsFail = false
		w.released = nil
		w.run(maxStoreOutage)
		for _, f := range w.workers {
			f.unlisted = f.down
		}
		w.sendRegistrations()
		w.endSimulation(t)
	})
}

// disturbChain begins one fault, changes the owner, or submits a job.
func (w *world) disturbChain(t *rapid.T, id string) {
	f := w.workers[rapid.SampledFrom(w.busyOrAny()).Draw(t, "worker")]
	span := func(name string, most time.Duration) time.Duration {
		return time.Duration(rapid.IntRange(1, int(most/tick)).Draw(t, name)) * tick
	}
	switch rapid.IntRange(0, 19).Draw(t, "what") {
	case 0:
		w.cutOff(f, span("cut for", 12*time.Second))
	case 1:
		away := span("zone cut for", 8*time.Second)
		for _, workerID := range w.workerIDs() {
			if other := w.workers[workerID]; other.reg.Zone == f.reg.Zone {
				w.cutOff(other, away)
			}
		}
	case 2, 3:
		w.changeOwner(func() { w.takeOver() })
	case 4, 5:
		free := span("free for", 500*time.Millisecond)
		w.changeOwner(func() { w.release(free) })
	case 6, 7:
		beside := f
		if f.down || rapid.Bool().Draw(t, "reaches all") {
			beside = nil
		}
		active := span("acts on", maxActiveAfterClaim)
		w.changeOwner(func() { w.takeOverFromPartitioned(active, beside) })
		if beside != nil {
			w.after(active+span("cut longer", 6*time.Second), func() { beside.partitioned = false })
		}
	case 8:
		frozen := span("frozen for", maxActiveAfterClaim)
		w.changeOwner(func() { w.takeOverFromFrozen(frozen) })
	case 9, 10:
		w.beginOutage(f, span("store away for", maxStoreOutage), rapid.IntRange(0, 3).Draw(t, "registrations that lapse"))
	case 11:
		w.standbyDown = !w.standbyDown
	case 12:
		// Announced, and not carried out.
		w.released = []string{f.reg.ID}
		w.core.SetClosed(w.released, w.now)
	case 13:
		w.takeInstance(f, span("told after", 4*time.Second))
	case 14:
		w.lookupsFail = rapid.Bool().Draw(t, "lookups fail")
		w.lookupDelay = span("lookups take", time.Second)
	case 15:
		w.lateAnswers = span("late answers", 500*time.Millisecond) - tick
	default:
		w.submitSomewhere(t, id)
	}
}

// submitSomewhere submits a job to the owner, or stores it as an entry does that tells the owner, a
// replaced one, or nobody. The owner reads the row feedDelay later. The job may be submitted to the
// owner again, except in the case of TestStandbyCopyOfStoredJobIsNotFresh.
func (w *world) submitSomewhere(t *rapid.T, id string) {
	s := step(rapid.IntRange(1, 5).Draw(t, "tasks"))
	s.Estimate = time.Duration(rapid.IntRange(5, 1500).Draw(t, "takes")) * tick
	steps := []job.Step{s, step(2, 0)}
	if rapid.IntRange(0, 2).Draw(t, "at the owner") == 0 {
		w.submitToOwner(id, steps...)
		return
	}
	if w.storeDown {
		return
	}
	record := w.record(id, steps...)
	w.store(record)
	told := rapid.IntRange(0, 2).Draw(t, "told")
	again := rapid.IntRange(0, 3).Draw(t, "handed in again") == 0
	switch {
	case told == 0 && len(w.zombies) > 0:
		again = again && !w.standbyOn
		w.zombies[len(w.zombies)-1].core.Accept(record, w.version, true, w.now)
	case told < 2:
		w.core.Accept(record, w.version, true, w.now)
	}
	w.readRow(record, w.version)
	if again {
		w.submitToOwner(id, steps...)
	}
}

// readRow lets the owner of that time read the row of a job feedDelay later, if it still stands.
func (w *world) readRow(record shard.Record, version int64) {
	w.after(feedDelay, func() {
		if w.storeDown {
			w.readRow(record, version)
			return
		}
		if _, stands := w.records[record.ID]; stands {
			w.core.Accept(record, version, false, w.now)
		}
	})
}

// changeOwner changes the owner, which takes a store that answers. The next owner has not seen any
// outage of it.
func (w *world) changeOwner(change func()) {
	w.endOutage()
	w.regained = time.Time{}
	change()
}

// takeOverFromFrozen starts a new owner while the previous one is frozen for part of the time for
// which it would act on. It goes on with what it knew.
func (w *world) takeOverFromFrozen(frozen time.Duration) {
	before := w.core
	until := w.now.Add(maxActiveAfterClaim)
	w.takeOverAfter(maxActiveAfterClaim)
	w.after(frozen, func() {
		w.zombies = append(w.zombies, zombie{
			core:  before,
			until: until,
		})
	})
}

// beginOutage makes the store unavailable for a while, in which some registrations lapse. They are
// back within two seconds of its return.
func (w *world) beginOutage(f *fakeWorker, span time.Duration, lapse int) {
	if w.storeDown {
		return
	}
	w.storeDown = true
	w.listStale = true
	for i, id := range w.workerIDs() {
		if other := w.workers[id]; !other.down && (other == f || i < lapse) {
			other.unlisted = true
			w.after(span+heartbeatInterval, func() {
				other.unlisted = other.down && !other.crashed
				w.sendRegistrations()
			})
		}
	}
	epoch := w.epoch
	w.after(span, func() {
		if w.epoch == epoch {
			w.endOutage()
		}
	})
}

// endOutage makes the store available again.
func (w *world) endOutage() {
	if !w.storeDown {
		return
	}
	w.storeDown = false
	w.listStale = false
	w.regained = w.now
	w.sendRegistrations()
}
