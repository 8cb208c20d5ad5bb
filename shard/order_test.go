package shard_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"lemonstream.dev/lemonstream/job"
)

// TestStartedJobIsFinishedFirst submits a job with a slightly earlier deadline while another
// job is half done and the worker has capacity for only one of them. The started job must
// finish first: otherwise both miss their deadlines.
func TestStartedJobIsFinishedFirst(t *testing.T) {
	is := is.New(t)
	w := newWorld(1)
	w.run(200 * time.Millisecond)
	// A step takes the whole worker for a second.
	width := w.workers["w0"].reg.Capacity.MilliCPU / step(1).Need.MilliCPU
	w.policy.Stretch = 2
	w.submit("begun", step(width), step(width, 0))
	w.run(300 * time.Millisecond)
	w.policy.Stretch = 1.5
	w.submit("tighter", step(width), step(width, 0))
	w.run(2200 * time.Millisecond)
	is.Equal(w.shown["begun"], job.Completed)
	w.run(3 * time.Second)
	is.Equal(w.shown["tighter"], job.Completed)
	w.check(t)
}
