package shard_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"lemonstream.dev/lemonstream/job"
	"lemonstream.dev/lemonstream/shard"
)

func TestSubmittedJobStartsOnceItsRecordIsStored(t *testing.T) {
	is := is.New(t)
	w := newWorld(2)
	w.run(200 * time.Millisecond)
	w.storeDown = true
	w.submitToOwner("a", step(2))
	w.run(2 * time.Second)
	_, answered := w.taken["a"]
	is.True(!answered)
	is.Equal(w.shown["a"], job.State("")) // Callers must not see a job that may still be refused.
	w.storeDown = false
	w.run(100 * time.Millisecond)
	is.True(w.taken["a"])
	w.run(2 * time.Second)
	is.Equal(w.shown["a"], job.Completed)
	w.check(t) // The oracle reports a start before the record is stored.
}

func TestSubmittedJobsShareTransactions(t *testing.T) {
	is := is.New(t)
	w := newWorld(4)
	w.run(200 * time.Millisecond)
	for i := 0; i < 40; i++ {
		w.submitToOwner(fmt.Sprintf("j%02d", i), step(1))
	}
	w.run(300 * time.Millisecond)
	is.Equal(len(w.taken), 40)
	w.run(5 * time.Second)
	is.Equal(len(w.records), 0)
	w.check(t)
}

func TestQueuedJobsAreRefusedWhileStoreIsDown(t *testing.T) {
	is := is.New(t)
	w := newWorld(2)
	w.run(200 * time.Millisecond)
	w.storeDown = true
	w.submitToOwner("a", step(1))
	w.run(50 * time.Millisecond) // The write of the record has no answer yet.
	w.submitToOwner("b", step(1))
	w.core.RefuseSubmitted(w.now)
	taken, answered := w.taken["b"]
	is.True(answered && !taken)
	_, answered = w.taken["a"]
	is.True(!answered)
	w.storeDown = false
	w.run(3 * time.Second)
	is.Equal(w.shown["a"], job.Completed)
	is.True(!w.stored["b"]) // A refused job never runs.
	is.Equal(w.core.Pending()["q"], 0)
	w.check(t)
}

func TestJobsBeyondMaxSubmittedAreRefused(t *testing.T) {
	is := is.New(t)
	w := newWorld(1)
	w.run(200 * time.Millisecond)
	w.storeDown = true
	for i := 0; i <= shard.MaxSubmitted; i++ {
		w.submitToOwner(fmt.Sprintf("j%04d", i), step(1))
	}
	is.Equal(len(w.taken), 1) // All other jobs wait for the store.
	is.True(!w.taken[fmt.Sprintf("j%04d", shard.MaxSubmitted)])
}

func TestJobAlsoWrittenByAnEntryIsOneJob(t *testing.T) {
	is := is.New(t)
	w := newWorld(2)
	w.run(200 * time.Millisecond)
	w.submitToOwner("a", step(1))
	w.submitToOwner("b", step(1))
	w.store(w.record("a", step(1)))
	w.run(3 * time.Second)
	is.True(w.taken["a"])
	is.True(w.taken["b"])
	is.Equal(w.shown["a"], job.Completed)
	is.Equal(w.shown["b"], job.Completed)
	is.Equal(w.core.Pending()["q"], 0)
	w.check(t)
}

func TestJobSubmittedTwiceIsOneJob(t *testing.T) {
	is := is.New(t)
	w := newWorld(2)
	w.run(200 * time.Millisecond)
	w.submitToOwner("a", step(1))
	w.submitToOwner("a", step(1))
	w.run(3 * time.Second)
	is.True(w.taken["a"])
	w.taken["a"] = false
	w.submitToOwner("a", step(1))
	is.True(w.taken["a"]) // The job has ended and the owner still knows it.
	w.run(time.Second)
	is.Equal(len(w.records), 0)
	w.check(t)
}

func TestJobCancelledBeforeItsRecordIsStoredNeverRuns(t *testing.T) {
	cases := map[string]time.Duration{
		"no batch holds it": 0,
		"it is under way":   2 * tick,
	}
	for name, wait := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(2)
			w.run(200 * time.Millisecond)
			w.storeDown = true
			w.submitToOwner("a", step(1))
			w.run(wait)
			cancelled := false
			is.True(w.core.Cancel("a", w.now, func() { cancelled = true }))
			w.storeDown = false
			w.run(2 * time.Second)
			is.True(cancelled)
			is.True(w.taken["a"])
			is.Equal(w.shown["a"], job.Cancelled)
			is.Equal(len(w.records), 0)
			is.Equal(w.core.Pending()["q"], 0)
			w.check(t)
		})
	}
}

// TestCancelledJobIsNotWrittenAgain cancels a job while the batch with its record is being written,
// and then undoes the batch. Only the final state of the job is written afterwards.
func TestCancelledJobIsNotWrittenAgain(t *testing.T) {
	is := is.New(t)
	w := newWorld(1)
	w.run(200 * time.Millisecond)
	w.submitToOwner("a", step(1))
	b, found := w.core.NextBatch(testBatchEntries, w.now)
	is.True(found)
	is.Equal(len(b.Records), 1)
	is.True(w.cancel("a"))
	w.core.UndoBatch(b, nil, w.now)
	b, found = w.core.NextBatch(testBatchEntries, w.now)
	is.True(found)
	is.Equal(len(b.Records), 0)
	is.Equal(len(b.Writes), 1)
	w.core.BatchWritten(b, w.now)
	is.True(w.taken["a"])
	is.Equal(w.shown["a"], job.Cancelled)
}
