package shard_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lemonstream.dev/lemonstream/internal/prove"
	"lemonstream.dev/lemonstream/job"
)

// simulateCancellations cancels jobs at random times under random faults. The oracle only checks
// for how long a cancelled job still runs.
func simulateCancellations(t *rapid.T, w *world) {
	w.run(200 * time.Millisecond)
	names := []string{"w0", "w1", "w2"}
	count := rapid.IntRange(5, 25).Draw(t, "rounds")
	var ids []string
	for i := 0; i < count; i++ {
		f := w.workers[rapid.SampledFrom(names).Draw(t, "worker")]
		switch rapid.IntRange(0, 16).Draw(t, "what") {
		case 0:
			f.partitioned = rapid.Bool().Draw(t, "cut")
		case 1:
			w.removeOwner()
		case 2, 3:
			w.takeOver()
		case 4:
			w.startDelay = time.Duration(rapid.IntRange(0, 12).Draw(t, "late")) * time.Second
		case 5:
			w.stopDelay = time.Duration(rapid.IntRange(0, 12).Draw(t, "late stops")) * time.Second
		case 6:
			w.standbyOn = rapid.Bool().Draw(t, "standby on")
			w.storeDown = rapid.Bool().Draw(t, "down")
		case 7:
			w.standbyDown = rapid.Bool().Draw(t, "standby away")
		case 8:
			f.unlisted = rapid.Bool().Draw(t, "unlisted")
			w.list()
		case 9:
			w.core.SetClosed([]string{f.reg.ID}, w.now)
		case 10:
			f.ignoreStops = 1
		case 11, 12, 13:
			if len(ids) > 0 {
				w.cancelAccepted(rapid.SampledFrom(ids).Draw(t, "job"), rapid.Bool().Draw(t, "by row"))
			}
		default:
			id := fmt.Sprintf("j%d", i)
			ids = append(ids, id)
			s := step(rapid.IntRange(1, 3).Draw(t, "tasks"))
			s.Lasting = rapid.Bool().Draw(t, "lasting")
			if w.ownerless || rapid.Bool().Draw(t, "at the owner") {
				w.submitIfOwned(id, s)
			} else {
				w.submit(id, s)
			}
		}
		w.run(time.Duration(rapid.IntRange(1, 150).Draw(t, "wait")) * tick)
	}
	w.clearAllFaults()
	for _, id := range ids {
		w.cancelAccepted(id, false)
	}
	w.run(20 * time.Second)
	for _, id := range ids {
		if _, cancelled := w.cancelled[id]; cancelled && w.running(id) > 0 {
			w.addViolation("job %s still runs", id)
		}
	}
	for id := range w.cancelRows {
		w.addViolation("the cancellation row of %s was not removed", id)
	}
}

// clearAllFaults ends all faults and runs for 20 s.
func (w *world) clearAllFaults() {
	w.startDelay = 0
	w.stopDelay = 0
	w.storeDown = false
	w.standbyDown = false
	for _, f := range w.workers {
		f.partitioned = false
		f.unlisted = false
	}
	if w.ownerless {
		w.takeOver()
	}
	w.list()
	w.run(20 * time.Second)
}

// cancelAccepted cancels an accepted job as an entry does. It cancels at the owner, or by a row if
// byRow is set, there is no owner, or the owner does not know the job. An entry writes such a row
// only for a job that has not ended by the rows of the store and the standby partition.
func (w *world) cancelAccepted(id string, byRow bool) {
	if !byRow && !w.ownerless && w.cancel(id) {
		return
	}
	_, open := w.recordOf(id)
	_, ended := w.standbyEnded[id]
	if open && !ended && !w.progress[id].State.Final() && !w.storeDown {
		w.cancelByRow(id)
	}
}

// submitIfOwned submits a job if there is an owner.
func (w *world) submitIfOwned(id string, s job.Step) {
	if !w.ownerless {
		w.submitToOwner(id, s)
	}
}

func TestCancelledJobsEndUnderFaults(t *testing.T) {
	prove.Property(t, func(t *rapid.T) {
		w := newWorld(3)
		simulateCancellations(t, w)
		w.check(t)
	})
}

// TestWaitingCancellationsCarryWithdrawals checks that cancelled jobs end although the owner reads
// their cancellation rows before their records. With the guard off, the owner does not see the
// cancellation rows of jobs that it does not know yet, and such jobs keep running.
func TestWaitingCancellationsCarryWithdrawals(t *testing.T) {
	prove.Guard(t, prove.NotRun, "cancellation-waits-for-its-job", func(on bool) func(*rapid.T) {
		return func(t *rapid.T) {
			w := newWorld(2)
			w.skipUnknownCancels = !on
			w.run(200 * time.Millisecond)
			w.storeDown = true
			w.standbyOn = true
			w.submitToOwner("a", lasting(rapid.IntRange(1, 4).Draw(t, "tasks"), 1))
			w.run(time.Second)
			w.removeOwner()
			w.storeDown = false
			w.standbyDown = true
			w.run(time.Duration(rapid.IntRange(1, 100).Draw(t, "without an owner")) * tick)
			w.cancelByRow("a")
			w.takeOver()
			w.run(time.Duration(rapid.IntRange(1, 100).Draw(t, "unread")) * tick)
			w.standbyDown = false
			w.run(8 * time.Second)
			w.check(t)
		}
	})
}

// TestLooksCarryWithdrawals checks that polls find the runs of delayed starts, so that those of
// cancelled jobs are stopped. With the guard off, polls do not list these runs, and they go on.
func TestLooksCarryWithdrawals(t *testing.T) {
	prove.Guard(t, prove.NotRun, "looks-find-late-starts", func(on bool) func(*rapid.T) {
		return func(t *rapid.T) {
			w := newWorld(3)
			w.hideLateRuns = !on
			simulateCancellations(t, w)
			w.check(t)
		}
	})
}
