package clock

import (
	"context"
	"time"
)

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
