package outside

import (
	"context"
	"sync/atomic"
	"time"
)

// stopwatchKey is the key of a stopwatch in a context.
type stopwatchKey struct{}

// Stopwatch takes the time of a call from the outside in. A call over a connection
// that went silent is tried once more, and what it waited before that says nothing
// about how quick the other side is.
type Stopwatch struct {
	// took is in nanoseconds; 0 where nothing was noted.
	took atomic.Int64
}

// Timed returns a context whose call notes how long the try took that was answered.
func Timed(ctx context.Context) (context.Context, *Stopwatch) {
	watch := &Stopwatch{}
	return context.WithValue(ctx, stopwatchKey{}, watch), watch
}

// NoteTook notes how long the try of a call took that was answered.
func NoteTook(ctx context.Context, took time.Duration) {
	if watch, timed := ctx.Value(stopwatchKey{}).(*Stopwatch); timed {
		watch.took.Store(int64(took))
	}
}

// Took returns what was noted, or the whole time of the call where nothing was.
func (s *Stopwatch) Took(whole time.Duration) time.Duration {
	if took := time.Duration(s.took.Load()); took > 0 {
		return took
	}
	return whole
}
