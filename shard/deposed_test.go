package shard_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"lemonstream.dev/lemonstream/job"
)

// An owner was turned away by the store and succeeded while it lived. An entry that had not heard
// of the successor wrote a job itself and told the owner before, which started it. The successor
// found those runs before it knew the job: it stopped them as not wanted and took in their ends
// for nothing, and started the job's tasks beside them and after them once it read its row.
func TestJobThatADeposedOwnerWasToldOfRunsOnce(t *testing.T) {
	for name, moments := range map[string]struct{ sight, row time.Duration }{
		"its runs are being stopped": {sight: 100 * time.Millisecond, row: 100 * time.Millisecond},
		"its runs have ended well":   {sight: 1500 * time.Millisecond, row: 500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(3)
			w.run(200 * time.Millisecond)
			w.standbyAway = true
			w.takeOverFromLiving(2 * time.Second)
			w.run(100 * time.Millisecond)
			record := w.record("a", step(4))
			w.store(record)
			w.zombies[0].core.Accept(record, w.version, true, w.now)
			w.run(moments.sight)
			w.standbyAway = false
			w.run(moments.row)
			w.core.Accept(record, w.version, false, w.now)
			w.run(10 * time.Second)
			w.check(t)
			is.Equal(w.shown["a"], job.Completed)
		})
	}
}
