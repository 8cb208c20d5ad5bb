package owner_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"lemonstream.dev/lemonstream/internal/standin"
	"lemonstream.dev/lemonstream/outside"
	"lemonstream.dev/lemonstream/owner"
)

// TestOwnerThatCannotReleaseOrdersNothingMore lets an owner stop while the store rejects its
// transactions. Its process then closes its port, which the next owner takes for its end: from that
// on it waits one lease only. So no order may be sent once the release has given up.
func TestOwnerThatCannotReleaseOrdersNothingMore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		rows := standin.NewRows()
		var full, stopped atomic.Bool
		var late atomic.Int64
		h := newFakeWorkers(rows, "w0")
		e := newEntryWith(t, "a", withFullStore(rows, &full), alive("a"), func(deps owner.Deps, name string) owner.Deps {
			deps = h.deps(deps, name)
			poll := deps.Workers.Poll
			deps.Workers.Poll = func(ctx context.Context, worker outside.WorkerRef, renewal outside.Renewal) (outside.WorkerStatus, error) {
				if stopped.Load() {
					late.Add(1)
				}
				return poll(ctx, worker, renewal)
			}
			return deps
		})
		until(t, "the worker is used", func() bool { return isUsed(t, rows, "w0") })
		full.Store(true)
		time.Sleep(time.Second)
		before := h.pollsOf("w0")
		is.True(before > 0)
		e.keeper.Release(context.Background(), 1200*time.Millisecond)
		stopped.Store(true)
		is.True(e.owns()) // Nothing was released.
		time.Sleep(8 * time.Second)
		is.Equal(late.Load(), int64(0))
	})
}
