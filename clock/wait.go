package clock

import (
	"context"
	"math/rand/v2"
	"time"
)

// Backoff returns the pause after a number of failures in a row: it doubles from
// first to most, and is spread by half, so that many entries do not come back at
// the same moment.
func Backoff(first, most time.Duration, failures int) time.Duration {
	pause := first
	for i := 1; i < failures && pause < most; i++ {
		pause *= 2
	}
	pause = min(pause, most)
	return pause/2 + rand.N(pause)
}

// Every calls round at once and then once in every pause until ctx ends. It is
// the loop of a duty; it returns nil.
func Every(ctx context.Context, pause time.Duration, round func(ctx context.Context)) error {
	ticker := time.NewTicker(pause)
	defer ticker.Stop()
	for {
		round(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// Sleep waits for d; it reports false when ctx ended first.
func Sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
