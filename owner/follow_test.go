package owner_test

import (
	"context"
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/matryer/is"

	"lemonstream.dev/lemonstream/internal/standin"
	"lemonstream.dev/lemonstream/outside"
	"lemonstream.dev/lemonstream/owner"
)

func TestBackoffDoublesAndIsSpread(t *testing.T) {
	cases := map[string]struct {
		failures int
		middle   time.Duration
	}{
		"first": {
			failures: 1,
			middle:   100 * time.Millisecond,
		},
		"second": {
			failures: 2,
			middle:   200 * time.Millisecond,
		},
		"third": {
			failures: 3,
			middle:   400 * time.Millisecond,
		},
		"most": {
			failures: 4,
			middle:   500 * time.Millisecond,
		},
		"many": {
			failures: 1000,
			middle:   500 * time.Millisecond,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for i := 0; i < 100; i++ {
				got := owner.Backoff(100*time.Millisecond, 500*time.Millisecond, c.failures)
				is.True(got >= c.middle/2 && got <= c.middle*3/2)
			}
		})
	}
}

// TestFollowerComesBackLessAndLessOften covers a store above its rates: what
// several hundred entries ask again at once keeps it there.
func TestFollowerComesBackLessAndLessOften(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	var at []time.Time
	rows := standin.NewRows()
	_ = owner.Follower{
		Table: rows.Table(),
		Name:  "t",
		Log:   slog.New(slog.NewTextHandler(io.Discard, nil)),
		Wait:  owner.PromptWait,
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
	is.True(at[5].Sub(at[4]) > 450*time.Millisecond) // By then the pause is at its most.
}
