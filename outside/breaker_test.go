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

// TestCallersAtTheirDeadlineDoNotOpenTheWay covers callers that are all at their
// deadline while a breaker is open. Each was let through as the one try of a pause,
// failed, and counted as one that its caller had given up on, so that the next was let
// through at the same instant: an entry made 134 calls in place of 20, all but four of
// them at 250 ms, when the time of its callers was over.
func TestCallersAtTheirDeadlineDoNotOpenTheWay(t *testing.T) {
	is := is.New(t)
	now := time.UnixMilli(1_000_000)
	b := breakers(&now)
	tries := 0
	is.True(b.Try(context.Background(), "a", func(context.Context) error { return &outside.NotDoneError{} }) != nil)
	now = now.Add(100 * time.Millisecond)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for range 300 {
		is.True(b.Try(ctx, "a", func(context.Context) error {
			tries++
			cancel()
			return &outside.UncertainError{}
		}) != nil)
	}
	is.Equal(tries, 1)
	is.True(b.Try(context.Background(), "a", func(context.Context) error {
		tries++
		return nil
	}) != nil) // The failure was the store's own.
	is.Equal(tries, 1)
}

// TestCallersThatComeTogetherAreLetThroughAFewAtATime covers callers that all arrive
// before the first of their tries has failed. Of 300 such callers each one was let
// through, since only a failure opened the breaker; what saved the store was that few
// of them ran at once. Once something has succeeded, everyone is let through again,
// and after a second without a success it has to be shown anew.
func TestCallersThatComeTogetherAreLetThroughAFewAtATime(t *testing.T) {
	is := is.New(t)
	now := time.UnixMilli(1_000_000)
	b := breakers(&now)
	well := func(context.Context) error { return nil }
	is.Equal(together(b, 300), 4) // Nothing is known.
	now = now.Add(100 * time.Millisecond)
	is.NoErr(b.Try(context.Background(), "a", well))
	is.Equal(together(b, 300), 300)
	now = now.Add(100 * time.Millisecond)
	is.NoErr(b.Try(context.Background(), "a", well))
	now = now.Add(time.Second)
	is.Equal(together(b, 300), 4)
}

// together makes tries that are all under way before the first of them fails, and
// returns how many were made.
func together(b *outside.Breakers, callers int) int {
	made := 0
	var nest func(depth int) error
	nest = func(depth int) error {
		if depth > 0 {
			_ = b.Try(context.Background(), "a", func(context.Context) error {
				made++
				return nest(depth - 1)
			})
		}
		return &outside.NotDoneError{}
	}
	_ = nest(callers)
	return made
}
