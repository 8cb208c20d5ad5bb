package owner_test

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"lemonstream.dev/lemonstream/internal/standin"
	"lemonstream.dev/lemonstream/outside"
	"lemonstream.dev/lemonstream/owner"
)

// TestFullQueueLosesNoWorker lets the answer of a worker arrive while the queue of the owner's loop
// is full. The owner has to poll that worker again, or its runs lapse and it is never used again.
func TestFullQueueLosesNoWorker(t *testing.T) {
	is := is.New(t)
	rows := standin.NewRows()
	workers := newFakeWorkers(rows, "w0")
	var holding, stopping atomic.Bool
	var held, answered atomic.Int32
	answer := make(chan struct{})
	stopped := make(chan struct{})
	resume := make(chan struct{})
	e := newEntryWith(t, "a", rows.Table(), alive("a"), func(deps owner.Deps, name string) owner.Deps {
		deps = workers.deps(deps, name)
		poll := deps.Workers.Poll
		deps.Workers.Poll = func(ctx context.Context, worker outside.WorkerRef, renewal outside.Renewal) (outside.WorkerStatus, error) {
			if holding.Load() {
				held.Add(1)
				<-answer
				defer answered.Add(1)
			}
			return poll(ctx, worker, renewal)
		}
		deps.Count = func(_, outcome string) {
			if outcome == "job taken" && stopping.CompareAndSwap(true, false) {
				close(stopped)
				<-resume
			}
		}
		return deps
	})
	until(t, "the worker is polled", func() bool { return workers.pollsOf("w0") > 0 })
	duty, _ := e.keeper.Duty("s")
	holding.Store(true)
	until(t, "a poll is open", func() bool { return held.Load() > 0 })
	stopping.Store(true)
	e.group.Go("submit", func(ctx context.Context) error { return duty.Submit(ctx, record("a")) })
	<-stopped // The loop handles nothing until it is resumed.
	gone, cancel := context.WithCancel(t.Context())
	cancel()
	var notDone *outside.NotDoneError
	for !errors.As(duty.Submit(gone, record("b")), &notDone) {
	}
	is.Equal(notDone.Reason, "queue is full")
	holding.Store(false)
	close(answer)
	until(t, "the poll is answered", func() bool { return answered.Load() == held.Load() })
	time.Sleep(100 * time.Millisecond) // The answer is queued or dropped.
	before := workers.pollsOf("w0")
	close(resume)
	until(t, "the worker is polled again", func() bool { return workers.pollsOf("w0") > before })
}
