package outside

import (
	"context"
	"sync/atomic"
	"time"
)

// stopwatchKey is the key of a stopwatch in a context.
type stopwatchKey struct{}

// Stopwatch measures how long the answered try of a call took. A call over a connection that
// went silent is retried once, and the time waited before the retry says nothing about the
// speed of the other side.
type Stopwatch struct {
	// took is in nanoseconds; 0 if nothing was recorded.
	took atomic.Int64
}

// WithStopwatch returns a context that carries a new stopwatch for one call, and the stopwatch.
func WithStopwatch(ctx context.Context) (context.Context, *Stopwatch) {
	watch := &Stopwatch{}
	return context.WithValue(ctx, stopwatchKey{}, watch), watch
}

// RecordTook records the duration of the answered try in the stopwatch of ctx, if there is one.
func RecordTook(ctx context.Context, took time.Duration) {
	if watch, timed := ctx.Value(stopwatchKey{}).(*Stopwatch); timed {
		watch.took.Store(int64(took))
	}
}

// Took returns the recorded duration, or whole, the duration of the entire call, if none was
// recorded.
func (s *Stopwatch) Took(whole time.Duration) time.Duration {
	if took := time.Duration(s.took.Load()); took > 0 {
		return took
	}
	return whole
}
