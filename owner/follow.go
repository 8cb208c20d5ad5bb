package owner

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"lemonstream.dev/lemonstream/clock"
	"lemonstream.dev/lemonstream/outside"
)

const (
	// followPause is the pause after a failed read of changes.
	followPause = 150 * time.Millisecond

	// followWait is how long a read may wait for a change. It is short because
	// a connection that was cut is noticed only after it: a new configuration
	// has to be in force within two seconds.
	followWait = time.Second
)

// Follow reads a table with read, and then hands every change of it to apply,
// until ctx ends. Where the history is gone it reads anew.
func Follow(ctx context.Context, table outside.Table, name string, log *slog.Logger,
	read func(context.Context) (int64, error), apply func([]outside.Row),
) error {
	version := int64(-1)
	for ctx.Err() == nil {
		next, err := followOnce(ctx, table, name, version, read, apply)
		if err == nil {
			version = next
			continue
		}
		var gone *outside.HistoryGoneError
		if errors.As(err, &gone) {
			log.Warn("history of a table is gone", "table", name, "after", version)
			version = -1
			continue
		}
		if ctx.Err() == nil {
			log.Warn("changes not read", "table", name, "after", version, "error", err.Error())
		}
		clock.Sleep(ctx, followPause)
	}
	return nil
}

func followOnce(ctx context.Context, table outside.Table, name string, version int64,
	read func(context.Context) (int64, error), apply func([]outside.Row),
) (int64, error) {
	if version < 0 {
		return read(ctx)
	}
	change, err := table.Feed(ctx, name, version, followWait)
	if err != nil {
		return 0, err
	}
	apply(change.Rows)
	return change.Version, nil
}
