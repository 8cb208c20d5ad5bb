package outside_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"lemonstream.dev/lemonstream/clock"
	"lemonstream.dev/lemonstream/outside"
)

// breakers returns breakers with pauses of up to 400 ms over a clock that the test
// steps.
func breakers(now *time.Time) *outside.Breakers {
	return outside.NewBreakers(clock.Clock{
		Now: func() time.Time { return *now },
	}, func() time.Duration { return 400 * time.Millisecond })
}

func TestBreakerLetsOneTryThroughInEachPause(t *testing.T) {
	is := is.New(t)
	now := time.UnixMilli(1_000_000)
	b := breakers(&now)
	tries := 0
	failing := func(context.Context) error {
		tries++
		return &outside.UncertainError{
			Call: "store",
		}
	}
	for range 10_000 {
		err := b.Try(context.Background(), "a", failing)
		is.True(err != nil)
		now = now.Add(time.Millisecond)
	}
	// The pauses are between half and one and a half of 400 ms after the first few.
	is.True(tries >= 10_000/600)
	is.True(tries <= 10_000/200+4)
	is.NoErr(b.Try(context.Background(), "b", func(context.Context) error { return nil })) // Another name has its own.
}

func TestBreakerClosesWithTheFirstSuccess(t *testing.T) {
	is := is.New(t)
	now := time.UnixMilli(1_000_000)
	b := breakers(&now)
	is.True(b.Try(context.Background(), "a", func(context.Context) error { return &outside.NotDoneError{} }) != nil)
	var refused *outside.NotDoneError
	well := func(context.Context) error { return nil }
	is.True(errors.As(b.Try(context.Background(), "a", well), &refused)) // What was not tried certainly has no effect.
	now = now.Add(100 * time.Millisecond)
	is.True(b.Try(context.Background(), "a", func(context.Context) error { return &outside.ConflictError{} }) != nil)
	is.NoErr(b.Try(context.Background(), "a", well)) // A conflict is an answer.
}

// TestAbandonedProbeLetsTheNextThrough covers a caller that goes away while its try
// is the one that an open breaker lets through.
func TestAbandonedProbeLetsTheNextThrough(t *testing.T) {
	is := is.New(t)
	now := time.UnixMilli(1_000_000)
	b := breakers(&now)
	is.True(b.Try(context.Background(), "a", func(context.Context) error { return &outside.NotDoneError{} }) != nil)
	now = now.Add(100 * time.Millisecond)
	ctx, cancel := context.WithCancel(context.Background())
	is.True(b.Try(ctx, "a", func(ctx context.Context) error {
		cancel()
		return ctx.Err()
	}) != nil)
	is.NoErr(b.Try(context.Background(), "a", func(context.Context) error { return nil }))
}

// TestTriesThatWereUnderWayTogetherCountOnce covers many callers that meet the same
// failure at one moment.
func TestTriesThatWereUnderWayTogetherCountOnce(t *testing.T) {
	is := is.New(t)
	now := time.UnixMilli(1_000_000)
	b := breakers(&now)
	failed := &outside.NotDoneError{}
	var nest func(depth int) error
	nest = func(depth int) error {
		if depth == 0 {
			return failed
		}
		is.True(b.Try(context.Background(), "a", func(context.Context) error { return nest(depth - 1) }) != nil)
		return failed
	}
	is.True(nest(50) != nil)
	now = now.Add(75 * time.Millisecond) // The longest first pause.
	is.NoErr(b.Try(context.Background(), "a", func(context.Context) error { return nil }))
}
