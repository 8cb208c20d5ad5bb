package shard_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"lemonstream.dev/lemonstream/job"
)

// TestCancellationsBeyondTheirBoundAreCarriedOut lets a new owner read the rows of more cancellations
// than it keeps until the standby partition is read. All of them were confirmed to their callers.
func TestCancellationsBeyondTheirBoundAreCarriedOut(t *testing.T) {
	const rows = 4200
	is := is.New(t)
	w := newWorld(1)
	w.run(200 * time.Millisecond)
	for i := range rows {
		id := fmt.Sprintf("j%d", i)
		w.store(w.record(id, lasting(1, 1)))
		w.cancelRows[id] = true
		w.confirmCancel(id)
	}
	w.takeOver()
	w.run(5 * time.Second)
	w.check(t)
	open := 0
	for id := range w.stored {
		if state, _ := w.core.JobState(id); state != job.Cancelled {
			open++
		}
	}
	is.Equal(open, 0)
}
