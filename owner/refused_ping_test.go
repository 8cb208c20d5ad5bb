package owner_test

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"lemonstream.dev/lemonstream/internal/standin"
	"lemonstream.dev/lemonstream/owner"
)

// TestRefusedPingIsNoProofOfTheOwnersEnd covers an owner that lives and whose pings are refused by
// the network. It reaches one worker that its successor does not reach, and renews its lease for as
// long as it goes on without the store. The successor starts the task elsewhere only after that.
func TestRefusedPingIsNoProofOfTheOwnersEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const lease = time.Second
		rows := standin.NewRows()
		var down atomic.Bool
		near := newFakeWorkers(rows, "w0")
		far := newFakeWorkers(rows, "w0")
		far.cutOff("w0")
		shorten := func(h *fakeWorkers) func(owner.Deps, string) owner.Deps {
			return func(deps owner.Deps, name string) owner.Deps {
				deps = h.deps(deps, name)
				deps.Options.Lease = lease
				return deps
			}
		}
		first := newEntryWith(t, "a", withPartitionDown(rows, "s", &down), alive("a"), shorten(near))
		until(t, "the first entry owns the service", first.owns)
		writeLongRunningJob(rows, "j")
		until(t, "the task runs", func() bool { return near.startsOf("j") == 1 })
		down.Store(true)
		second := newEntryWith(t, "b", rows.Table(), refusePing, shorten(far))
		until(t, "the second entry owns the service", second.owns)
		far.register(rows, "w1")
		until(t, "the second entry starts the task", func() bool { return far.startsOf("j") == 1 })
		is.Equal(first.lines.of("service lost"), 1)
		is.True(time.Since(first.lines.seenAt("service lost")) >= lease)
	})
}
