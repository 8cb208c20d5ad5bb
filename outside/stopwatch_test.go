package outside_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"lemonstream.dev/lemonstream/clock"
	"lemonstream.dev/lemonstream/outside"
)

// TestSilentConnectionDoesNotCountAsSlowStore covers a read over a connection that went silent:
// the retry is answered at once, so the store is not slow.
func TestSilentConnectionDoesNotCountAsSlowStore(t *testing.T) {
	const silent, quick, wait = 450 * time.Millisecond, 4 * time.Millisecond, time.Second
	is := is.New(t)
	now := time.UnixMilli(1_000_000)
	timeout := outside.NewAdaptiveTimeout(clock.Clock{
		Now: func() time.Time { return now },
	})
	answer := func(ctx context.Context) {
		now = now.Add(silent + quick)
		outside.RecordTook(ctx, quick)
	}
	table := timeout.Wrap(outside.Table{
		Feed: func(ctx context.Context, _ string, _ int64, wait time.Duration) (outside.Change, error) {
			now = now.Add(wait)
			answer(ctx)
			return outside.Change{}, nil
		},
		Get: func(ctx context.Context, _, _, _ string, _ int) (outside.Page, error) {
			answer(ctx)
			return outside.Page{}, nil
		},
		Row: func(ctx context.Context, _ outside.Key) (*outside.Row, error) {
			answer(ctx)
			return nil, nil
		},
	})
	ctx := context.Background()
	_, err := table.Feed(ctx, "t", 1, wait)
	is.NoErr(err)
	is.True(!timeout.Slow())
	_, err = table.Get(ctx, "t", "", "", 0)
	is.NoErr(err)
	is.True(!timeout.Slow())
	_, err = table.Row(ctx, outside.Key{})
	is.NoErr(err)
	is.True(!timeout.Slow())
}
