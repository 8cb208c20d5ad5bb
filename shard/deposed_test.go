package shard_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"lemonstream.dev/lemonstream/job"
)

// TestJobThatADeposedOwnerWasToldOfRunsOnce covers an owner that was refused by the store and
// deposed while it stayed active. An entry that did not know the next owner wrote a job itself and
// told the deposed owner, which started the job. The next owner polled these runs before it knew
// the job. It stopped them as not wanted and ignored their ends. Once it had read the job's row, it
// started the tasks again, beside the first runs and after them.
func TestJobThatADeposedOwnerWasToldOfRunsOnce(t *testing.T) {
	for name, delays := range map[string]struct{ poll, row time.Duration }{
		"its runs are being stopped": {poll: 100 * time.Millisecond, row: 100 * time.Millisecond},
		"its runs have ended well":   {poll: 1500 * time.Millisecond, row: 500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(3)
			w.run(200 * time.Millisecond)
			w.standbyDown = true
			w.takeOverFromActive(2 * time.Second)
			w.run(100 * time.Millisecond)
			record := w.record("a", step(4))
			w.store(record)
			startUnconfirmed(w, w.zombies[0].core, record)
			w.run(delays.poll)
			w.standbyDown = false
			w.run(delays.row)
			w.core.Accept(record, w.version, false, w.now)
			w.run(10 * time.Second)
			w.check(t)
			is.Equal(w.shown["a"], job.Completed)
		})
	}
}
