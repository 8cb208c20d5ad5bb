package shard_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"lemonstream.dev/lemonstream/job"
)

func TestFillersArePacedByTailLatency(t *testing.T) {
	is := is.New(t)
	w := newWorld(1)
	w.run(200 * time.Millisecond)
	serving := lasting(1, 1)
	serving.TailTarget = 100 * time.Millisecond
	w.submit("serve", serving)
	filling := lasting(1, 1)
	filling.Filler = true
	w.submit("fill", filling)
	f := w.workers["w0"]
	f.tailLatency = 20
	w.run(2 * time.Second)
	is.Equal(len(f.runs), 2)
	is.Equal(len(f.shares), 0) // No filler is paced while the tail latency is below its target.
	f.tailLatency = 150
	w.run(3 * time.Second)
	filler := job.TaskID{
		Job: "fill",
	}
	is.Equal(f.shares[filler], 0) // A tail latency above the target halts the filler.
	f.tailLatency = 20
	w.run(5 * time.Second)
	is.Equal(f.shares[filler], 100) // The filler resumes once the tail latency is below its target.
	_, paced := f.shares[job.TaskID{
		Job: "serve",
	}]
	is.True(!paced) // A serving task is never paced.
	w.check(t)
}
