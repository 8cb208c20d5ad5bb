package owner_test

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/matryer/is"

	"lemonstream.dev/lemonstream/clock"
	"lemonstream.dev/lemonstream/internal/standin"
	"lemonstream.dev/lemonstream/kernel"
	"lemonstream.dev/lemonstream/outside"
	"lemonstream.dev/lemonstream/owner"
)

// TestFollowerBacksOff covers a store whose rate limits are exceeded. If several hundred
// entries retried at once, the store would stay above its limits.
func TestFollowerBacksOff(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	var at []time.Time
	rows := standin.NewRows()
	_ = owner.Follower{
		Table: rows.Table(),
		Name:  "t",
		Clock: clock.System(),
		Log:   slog.New(slog.NewTextHandler(io.Discard, nil)),
		Wait:  owner.ShortFeedWait,
		Read: func(context.Context) (int64, error) {
			at = append(at, time.Now())
			if len(at) == 6 {
				cancel()
			}
			return 0, &outside.NotDoneError{
				Call: "read",
			}
		},
	}.Run(ctx)
	is.Equal(len(at), 6)
	is.True(at[5].Sub(at[4]) > 450*time.Millisecond) // By then the backoff has reached its maximum.
}

// TestFollowerEndsWithAReadThatPanics covers reads that run beside the follower: the process has to
// end, not to go on without them.
func TestFollowerEndsWithAReadThatPanics(t *testing.T) {
	is := is.New(t)
	rows := standin.NewRows()
	err := owner.Follower{
		Table: rows.Table(),
		Name:  "t",
		Clock: clock.System(),
		Log:   slog.New(slog.DiscardHandler),
		Read:  func(context.Context) (int64, error) { panic("a fault") },
	}.Run(t.Context())
	var panicked *kernel.PanicError
	is.True(errors.As(err, &panicked))
}
