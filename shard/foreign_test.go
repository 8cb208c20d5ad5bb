package shard_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"lemonstream.dev/lemonstream/job"
	"lemonstream.dev/lemonstream/shard"
)

// TestJobUnderAForeignIDIsNotAccepted covers a job that is submitted under the ID of another
// organisation's job, which the owner may come to know only as it writes the record: the caller was
// told that its job was accepted, and a cancellation of it cancelled the other organisation's job.
func TestJobUnderAForeignIDIsNotAccepted(t *testing.T) {
	cases := map[string]struct {
		prepare func(w *world, theirs shard.Record)
		cancel  bool
	}{
		"known": {func(w *world, theirs shard.Record) {
			w.store(theirs)
			w.core.Accept(theirs, w.version, true, w.now)
		}, false},
		"written by an entry":                         {(*world).store, false},
		"written by an entry, cancelled in the batch": {(*world).store, true},
		"in the standby partition": {func(w *world, theirs shard.Record) {
			w.standbyRecords[theirs.ID] = theirs
			w.noteStored(theirs)
			w.standbyDown = true
			w.takeOver()
		}, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(2)
			w.comparesOrganisations = true
			w.run(200 * time.Millisecond)
			theirs := w.record("a", step(1))
			theirs.Organisation = "theirs"
			ours := theirs
			ours.Organisation = "ours"
			c.prepare(w, theirs)
			var answers []shard.SubmitResult
			w.core.Submit(ours, w.now, func(answer shard.SubmitResult) { answers = append(answers, answer) })
			cancelled := false
			if c.cancel {
				of, _ := w.core.JobOwner("a")
				is.Equal(of.Organisation, "ours") // So far only the submitted job is known.
				w.core.Cancel("a", w.now, func() { cancelled = true })
			}
			w.standbyDown = false
			w.run(8 * time.Second)
			is.Equal(answers, []shard.SubmitResult{{
				Foreign: true,
			}})
			is.Equal(cancelled, c.cancel)
			is.Equal(w.shown["a"], job.Completed)
			is.Equal(w.progress["a"].Organisation, "theirs")
		})
	}
}
