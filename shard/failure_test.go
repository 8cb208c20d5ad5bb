package shard_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"lemonstream.dev/lemonstream/job"
	"lemonstream.dev/lemonstream/shard"
)

// TestRowOfFailedJobSaysWhy checks that the evidence on which a job was failed outlasts its owner.
func TestRowOfFailedJobSaysWhy(t *testing.T) {
	for name, fail := range map[string]func(w *world){
		"attempts": func(w *world) {
			w.workers["w0"].reg.Labels = append(w.workers["w0"].reg.Labels, "poison")
			w.list()
			poison := step(1)
			poison.Label = "poison"
			w.submit("a", poison)
		},
		"crashes": func(w *world) {
			w.culprits[job.TaskID{
				Job: "a",
			}] = tick
			w.submit("a", step(1))
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(6)
			w.restartDelay = 2 * time.Second
			w.run(200 * time.Millisecond)
			fail(w)
			w.run(40 * time.Second)
			is.Equal(w.shown["a"], job.Failed)
			row, err := shard.DecodeProgress(w.progress["a"].Encode())
			is.NoErr(err)
			is.True(row.Failure != nil)
			is.Equal(row.Failure.Task, "a.0.0.0")
			is.Equal(row.Failure.Epoch, w.epoch)
			is.Equal(len(row.Failure.FailedRuns)+len(row.Failure.Crashed), 3)
			is.Equal(len(row.Failure.LogFields()), 12)
		})
	}
}
