package outside

import (
	"context"
	"sync"
	"time"

	"lemonstream.dev/lemonstream/clock"
)

const (
	// minTimeout is the shortest timeout of a transaction. The store usually answers within
	// 10 ms, but a short stall of this process or of the network must not cause a timeout.
	minTimeout = 200 * time.Millisecond

	// maxTimeout is the longest timeout of a transaction. A store that is 60 times slower
	// than usual answers within 0.6 s.
	maxTimeout = time.Second

	// timeoutFactor is the ratio of the timeout to the usual duration of a transaction.
	timeoutFactor = 3

	// readFactor is the ratio of the usual duration of a transaction to that of a read. A
	// transaction takes longer because it also waits for earlier transactions on its part.
	readFactor = 2.5

	// slowThreshold is the usual duration of a transaction from which the store counts as
	// slow. It is ten times the duration without load.
	slowThreshold = 100 * time.Millisecond

	// decayDivisor sets how fast quick answers lower the usual duration: each lowers it by
	// at most 1/decayDivisor. A slow answer raises it at once.
	decayDivisor = 8
)

// AdaptiveTimeout derives the timeout of transactions from their usual duration.
type AdaptiveTimeout struct {
	clock clock.Clock

	mu    sync.Mutex
	usual time.Duration

	// backoff is the minimum timeout of the next transaction after unanswered ones; zero if
	// the last transaction was answered.
	backoff time.Duration
}

// NewAdaptiveTimeout returns an AdaptiveTimeout without any observations.
func NewAdaptiveTimeout(clock clock.Clock) *AdaptiveTimeout {
	return &AdaptiveTimeout{
		clock: clock,
	}
}

// Slow reports whether the store takes much longer than without load, so that every further
// transaction delays the others on its part.
func (t *AdaptiveTimeout) Slow() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.usual >= slowThreshold
}

// Wrap returns a table whose transactions time out after a few times their usual duration, so
// that callers soon retry a transaction whose answer was lost. A transaction that times out
// returns an *UncertainError. The duration of reads distinguishes a slow store from one that
// loses answers, because retries against a slow store add load to the part they wait for.
func (t *AdaptiveTimeout) Wrap(table Table) Table {
	wrapped := table
	wrapped.Feed = func(ctx context.Context, name string, after int64, wait time.Duration) (Change, error) {
		ctx, watch := WithStopwatch(ctx)
		began := t.clock.Now()
		change, err := table.Feed(ctx, name, after, wait)
		t.recordRead(watch.Took(t.clock.Now().Sub(began))-wait, err)
		return change, err
	}
	wrapped.Get = func(ctx context.Context, name, part, from string, limit int) (Page, error) {
		ctx, watch := WithStopwatch(ctx)
		began := t.clock.Now()
		page, err := table.Get(ctx, name, part, from, limit)
		t.recordRead(watch.Took(t.clock.Now().Sub(began)), err)
		return page, err
	}
	wrapped.Row = func(ctx context.Context, key Key) (*Row, error) {
		ctx, watch := WithStopwatch(ctx)
		began := t.clock.Now()
		row, err := table.Row(ctx, key)
		t.recordRead(watch.Took(t.clock.Now().Sub(began)), err)
		return row, err
	}
	wrapped.Transact = func(ctx context.Context, tx Transaction) (Receipt, error) {
		timeout := t.next()
		bounded, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		began := t.clock.Now()
		receipt, err := table.Transact(bounded, tx)
		t.record(timeout, t.clock.Now().Sub(began), IsUncertain(err))
		return receipt, err
	}
	return wrapped
}

// next returns the timeout of the next transaction.
func (t *AdaptiveTimeout) next() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return min(maxTimeout, max(minTimeout, timeoutFactor*t.usual, t.backoff))
}

// record handles the outcome of a transaction that had the given timeout and ended after took.
// unanswered is set if it got no answer.
func (t *AdaptiveTimeout) record(timeout, took time.Duration, unanswered bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if unanswered {
		t.backoff = 2 * timeout
		return
	}
	t.backoff = 0
	t.update(took)
}

// recordRead handles a read that took the given time beyond the time it was allowed to wait for
// a change. A read that returned earlier than that, or failed, is ignored.
func (t *AdaptiveTimeout) recordRead(took time.Duration, err error) {
	if took <= 0 || err != nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.update(time.Duration(readFactor * float64(took)))
}

// update adjusts the usual duration by the actual or estimated duration of a transaction.
func (t *AdaptiveTimeout) update(took time.Duration) {
	t.usual = max(took, t.usual-t.usual/decayDivisor)
}
