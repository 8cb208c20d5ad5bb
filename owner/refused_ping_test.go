package owner_test

import (
	"context"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"lemonstream.dev/lemonstream/internal/standin"
	"lemonstream.dev/lemonstream/owner"
)

// refusedPings is a site whose first owner reaches one worker that the second one does not reach, and
// whose pings are refused.
type refusedPings struct {
	rows        *standin.Rows
	near, far   *fakeWorkers
	first, next *entry

	// writesFail says that the transactions of the first owner get no answer, nor do its reads of the
	// owners' rows.
	writesFail atomic.Bool

	// restarted says that another process answers at the address of the first owner.
	restarted atomic.Bool
}

// refusedLease is the lease of the workers.
const refusedLease = time.Second

// startRefused returns a site whose first owner runs a task, and whose next owner has just claimed the
// service.
func startRefused(t *testing.T) *refusedPings {
	t.Helper()
	s := &refusedPings{
		rows: standin.NewRows(),
	}
	s.near = newFakeWorkers(s.rows, "w0")
	s.far = newFakeWorkers(s.rows, "w0")
	s.far.cutOff("w0")
	shorten := func(h *fakeWorkers) func(owner.Deps, string) owner.Deps {
		return func(deps owner.Deps, name string) owner.Deps {
			deps = h.deps(deps, name)
			deps.Options.Lease = refusedLease
			return deps
		}
	}
	s.first = newEntryWith(t, "a", withWritesDown(s.rows.Table(), &s.writesFail), alive("a"), shorten(s.near))
	until(t, "the first entry owns the service", s.first.owns)
	writeLongRunningJob(s.rows, "j")
	until(t, "the task runs", func() bool { return s.near.startsOf("j") == 1 })
	s.writesFail.Store(true)
	ping := func(ctx context.Context, to netip.AddrPort, service string) (owner.Pong, error) {
		if s.restarted.Load() {
			return alive("next process")(ctx, to, service)
		}
		return refusePing(ctx, to, service)
	}
	s.next = newEntryWith(t, "b", s.rows.Table(), ping, shorten(s.far))
	until(t, "the next entry owns the service", s.next.owns)
	s.far.register(s.rows, "w1")
	return s
}

// TestRefusedPingIsNoProofOfTheOwnersEnd covers an owner that lives and whose pings are refused by
// the network. It reaches one worker that its successor does not reach, and renews its lease for as
// long as it goes on without the store. The successor starts the task elsewhere only after that.
func TestRefusedPingIsNoProofOfTheOwnersEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := startRefused(t)
		until(t, "the next entry starts the task", func() bool { return s.far.startsOf("j") == 1 })
		is.Equal(s.first.lines.of("service lost"), 1)
		is.True(time.Since(s.first.lines.seenAt("service lost")) >= refusedLease)
	})
}

// TestRestartedOwnerIsWaitedForOneLease covers an owner whose process has ended: its pings are refused
// until another process answers there.
func TestRestartedOwnerIsWaitedForOneLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := startRefused(t)
		s.first.group.Stop()
		time.Sleep(500 * time.Millisecond)
		s.restarted.Store(true)
		ended := time.Now()
		until(t, "the next entry starts the task", func() bool { return s.far.startsOf("j") == 1 })
		is.True(time.Since(ended) >= refusedLease)
		is.True(time.Since(ended) <= 2*refusedLease)
	})
}
