package scheduler

import (
	"context"
	"log/slog"
	"time"

	"lemonstream.dev/lemonstream/clock"
)

// leftOutPause is the time between two looks at how many lines of the log were left out.
const leftOutPause = 5 * time.Second

// reportLeftOut logs from time to time how many lines of which event were left out since the
// last time: a log that lacks lines must say so, or what is missing passes for what never
// happened.
func reportLeftOut(ctx context.Context, take func() map[string]int, log *slog.Logger) error {
	for clock.Sleep(ctx, leftOutPause) {
		for event, lines := range take() {
			log.Warn("lines left out", "event", event, "lines", lines)
		}
	}
	return nil
}
