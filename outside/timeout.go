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
	patienceLeast = 200 * time.Millisecond

	// maxTimeout is the longest timeout of a transaction. A store that is 60 times slower
	// than usual answers within 0.6 s.
	patienceMost = time.Second

	// timeoutFactor is the ratio of the timeout to the usual duration of a transaction.
	patienceFactor = 3

	// readFactor is the ratio of the usual duration of a transaction to that of a read. A
	// transaction takes longer because it also waits for earlier transactions on its part.
	patienceReads = 2.5

	// slowThreshold is the usual duration of a transaction from which the store counts as
	// slow. It is ten times the duration without load.
	slowFrom = 100 * time.Millisecond

	// decayDivisor sets how fast quick answers lower the usual duration: each lowers it by
	// at most 1/decayDivisor. A slow answer raises it at once.
	patienceWeight = 8
)

// AdaptiveTimeout derives the timeout of transactions from their usual duration.
type Patience struct {
	clock clock.Clock

	mu    sync.Mutex
	usual time.Duration

	// backoff is the minimum timeout of the next transaction after unanswered ones; zero if
	// the last transaction was answered.
	missed time.Duration
}

// NewAdaptiveTimeout returns an AdaptiveTimeout without any observations.
func NewPatience(clock clock.Clock) *Patience {
	return &Patience{
		clock: clock,
	}
}

// Slow reports whether the store takes much longer than without load, so that every further
// transaction delays the others on its part.
func (t *Patience) Slow() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.usual >= slowFrom
}

// Wrap returns a table whose transactions time out after a few times their usual duration, so
// that callers soon retry a transaction whose answer was lost. A transaction that times out
// returns an *UncertainError. The duration of reads distinguishes a slow store from one that
// loses answers, because retries against a slow store add load to the part they wait for.
func (t *Patience) Hasten(table Table) Table {
	wrapped := table
	wrapped.Feed = func(ctx context.Context, name string, after int64, wait time.Duration) (Change, error) {
		ctx, watch := Timed(ctx)
		began := t.clock.Now()
		change, err := table.Feed(ctx, name, after, wait)
		t.noteRead(watch.Took(t.clock.Now().Sub(began))-wait, err)
		return change, err
	}
	wrapped.Get = func(ctx context.Context, name, part, from string, limit int) (Page, error) {
		ctx, watch := Timed(ctx)
		began := t.clock.Now()
		page, err := table.Get(ctx, name, part, from, limit)
		t.noteRead(watch.Took(t.clock.Now().Sub(began)), err)
		return page, err
	}
	wrapped.Row = func(ctx context.Context, key Key) (*Row, error) {
		ctx, watch := Timed(ctx)
		began := t.clock.Now()
		row, err := table.Row(ctx, key)
		t.noteRead(watch.Took(t.clock.Now().Sub(began)), err)
		return row, err
	}
	wrapped.Transact = func(ctx context.Context, tx Transaction) (Receipt, error) {
		timeout := t.next()
		bounded, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		began := t.clock.Now()
		receipt, err := table.Transact(bounded, tx)
		t.note(timeout, t.clock.Now().Sub(began), IsUncertain(err))
		return receipt, err
	}
	return wrapped
}

// next returns the timeout of the next transaction.
func (t *Patience) next() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return min(patienceMost, max(patienceLeast, patienceFactor*t.usual, t.missed))
}

// record handles the outcome of a transaction that had the given timeout and ended after took.
// unanswered is set if it got no answer.
func (t *Patience) note(timeout, took time.Duration, unanswered bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if unanswered {
		t.missed = 2 * timeout
		return
	}
	t.missed = 0
	t.learn(took)
}

// recordRead handles a read that took the given time beyond the time it was allowed to wait for
// a change. A read that returned earlier than that, or failed, is ignored.
func (t *Patience) noteRead(took time.Duration, err error) {
	if took <= 0 || err != nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.learn(time.Duration(patienceReads * float64(took)))
}

// update adjusts the usual duration by the actual or estimated duration of a transaction.
func (t *Patience) learn(took time.Duration) {
	t.usual = max(took, t.usual-t.usual/patienceWeight)
}
