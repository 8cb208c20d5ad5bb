package shard_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"lemonstream.dev/lemonstream/job"
)

// TestJobRunsWhileOnlyStandbyPartitionIsUp covers an outage of the own partition of a service:
// jobs are accepted, started and published as ended, and none of that happens twice once the
// partition is back.
func TestJobRunsWhileOnlyStandbyPartitionIsUp(t *testing.T) {
	is := is.New(t)
	w := newWorld(2)
	w.run(200 * time.Millisecond)
	w.submitToOwner("before", step(1))
	w.run(200 * time.Millisecond)
	w.storeDown = true
	w.standbyOn = true
	w.submitToOwner("meanwhile", step(1))
	w.run(200 * time.Millisecond)
	is.True(w.taken["meanwhile"])
	w.run(2 * time.Second)
	is.Equal(w.shown["before"], job.Completed)
	is.Equal(w.shown["meanwhile"], job.Completed)
	is.Equal(len(w.acked), 0) // Ends are acknowledged only once they are stored in the own partition.
	w.storeDown = false
	w.run(2 * time.Second)
	is.Equal(len(w.acked), 2)
	is.Equal(len(w.standbyRecords)+len(w.standbyEnded), 0)
	is.Equal(w.progress["meanwhile"].State, job.Completed)
	w.check(t)
}

// TestNextOwnerRestoresStandbyPartition lets the owner die together with all workers. An ended
// job and a running one are stored only in the standby partition, and no worker is left to list
// their ends.
func TestNextOwnerRestoresStandbyPartition(t *testing.T) {
	for name, unread := range map[string]time.Duration{
		"read at once":                0,
		"not to be read for a second": time.Second,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(2)
			w.run(200 * time.Millisecond)
			w.submitToOwner("old", step(1))
			w.run(200 * time.Millisecond)
			w.storeDown = true
			w.standbyOn = true
			w.submitToOwner("ended", step(1))
			w.run(2 * time.Second)
			w.submitToOwner("open", step(1))
			w.run(100 * time.Millisecond)
			is.Equal(w.shown["ended"], job.Completed)
			for _, f := range w.workers {
				f.down = true
			}
			w.addWorker("new", "r0-1")
			w.storeDown = false
			w.standbyDown = unread > 0
			w.takeOver()
			// A caller submits a job again. This owner can't know yet that the job has ended.
			w.submitToOwner("ended", step(1))
			w.run(unread + 10*time.Millisecond)
			w.standbyDown = false
			w.run(8 * time.Second)
			is.Equal(w.shown["old"], job.Completed)
			is.Equal(w.shown["ended"], job.Completed)
			is.Equal(w.shown["open"], job.Completed)
			w.check(t) // The oracle reports a start after a job was published as completed.
		})
	}
}

// TestCancellationIsStoredWhileOnlyStandbyPartitionIsUp cancels a job during an outage of the own
// partition, after which the owner dies.
func TestCancellationIsStoredWhileOnlyStandbyPartitionIsUp(t *testing.T) {
	is := is.New(t)
	w := newWorld(2)
	w.run(200 * time.Millisecond)
	w.submitToOwner("a", step(1, 0)) // The step depends on itself, so that it never starts.
	w.run(200 * time.Millisecond)
	w.storeDown = true
	w.standbyOn = true
	written := false
	is.True(w.core.Cancel("a", w.now, func() { written = true }))
	w.run(200 * time.Millisecond)
	is.True(written)
	w.takeOver()
	w.storeDown = false
	w.run(5 * time.Second)
	is.Equal(w.shown["a"], job.Cancelled)
	is.Equal(len(w.records), 0)
	w.check(t)
}

// TestNextOwnerKnowsEndsOfStandbyJobs lets the own partition return before a job ends that was
// accepted during the outage. The progress of the job is stored in the own partition and its
// record in the standby partition. The worker forgets the ends that were acknowledged.
func TestNextOwnerKnowsEndsOfStandbyJobs(t *testing.T) {
	is := is.New(t)
	w := newWorld(2)
	w.run(200 * time.Millisecond)
	w.submitToOwner("other", step(1))
	w.run(tick) // The write of its record is in flight; that of the next job has not begun.
	w.storeDown = true
	w.standbyOn = true
	w.submitToOwner("a", step(2), step(2, 0))
	w.run(100 * time.Millisecond)
	is.True(w.taken["a"])
	w.storeDown = false
	w.run(1300 * time.Millisecond)
	is.Equal(len(w.acked), 3)
	is.Equal(len(w.records), 0)
	w.takeOver()
	w.run(5 * time.Second)
	is.Equal(w.shown["a"], job.Completed)
	w.check(t) // The oracle reports a start after an acknowledged end.
}

// TestRunsOfStandbyJobsContinue lets the owner die while a job runs that is stored only in the
// standby partition, which then cannot be read for a while.
func TestRunsOfStandbyJobsContinue(t *testing.T) {
	is := is.New(t)
	w := newWorld(2)
	w.run(200 * time.Millisecond)
	w.storeDown = true
	w.standbyOn = true
	w.submitToOwner("a", lasting(2, 0))
	w.run(time.Second)
	w.storeDown = false
	w.standbyDown = true
	w.takeOver()
	w.run(time.Second)
	w.standbyDown = false
	w.run(time.Second)
	runs := 0
	for _, f := range w.workers {
		for _, r := range f.runs {
			is.True(r.number < 1<<20) // The first owner started this run.
			runs++
		}
	}
	is.Equal(runs, 2)
	w.check(t)
}

// TestStandbyJobSubmittedAgainRunsOnce covers a job that is stored only in the standby partition
// and that its caller submits again, seconds after it was accepted, to a next owner that has not
// read that partition yet. Tasks that have ended must not run again.
func TestStandbyJobSubmittedAgainRunsOnce(t *testing.T) {
	is := is.New(t)
	w := newWorld(2)
	w.run(200 * time.Millisecond)
	w.submitToOwner("other", step(1))
	w.run(tick) // The write of its record is in flight; that of the next job has not begun.
	w.storeDown = true
	w.standbyOn = true
	w.submitToOwner("again", step(2), step(1, 0))
	w.run(1300 * time.Millisecond)
	is.True(w.taken["again"])
	w.storeDown = false
	w.run(300 * time.Millisecond) // The ends are stored and acknowledged.
	is.True(len(w.acked) > 0)
	is.Equal(len(w.records), 0)
	w.standbyDown = true
	w.takeOver()
	w.run(100 * time.Millisecond)
	w.submitToOwner("again", step(2), step(1, 0))
	w.run(200 * time.Millisecond)
	w.standbyDown = false
	w.run(10 * time.Second)
	is.Equal(w.shown["again"], job.Completed)
	is.True(w.taken["again"])
	w.check(t)
}
