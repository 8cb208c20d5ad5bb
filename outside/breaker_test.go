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

// breakers returns breakers with pauses of up to 400 ms. Their clock returns *now, which the
// test advances.
func breakers(now *time.Time) *outside.Breakers {
	return outside.NewBreakers(clock.Clock{
		Now: func() time.Time { return *now },
	}, func() time.Duration { return 400 * time.Millisecond })
}

func TestBreakerAllowsOneTryPerPause(t *testing.T) {
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
	// After the first few, each pause is between 0.5 and 1.5 times 400 ms.
	is.True(tries >= 10_000/600)
	is.True(tries <= 10_000/200+4)
	is.NoErr(b.Try(context.Background(), "b", func(context.Context) error { return nil })) // Another name has its own breaker.
}

func TestBreakerClosesOnFirstSuccess(t *testing.T) {
	is := is.New(t)
	now := time.UnixMilli(1_000_000)
	b := breakers(&now)
	is.True(b.Try(context.Background(), "a", func(context.Context) error { return &outside.NotDoneError{} }) != nil)
	var refused *outside.NotDoneError
	succeed := func(context.Context) error { return nil }
	is.True(errors.As(b.Try(context.Background(), "a", succeed), &refused)) // A call that was not tried certainly had no effect.
	now = now.Add(100 * time.Millisecond)
	is.True(b.Try(context.Background(), "a", func(context.Context) error { return &outside.ConflictError{} }) != nil)
	is.NoErr(b.Try(context.Background(), "a", succeed)) // A conflict is an answer.
}

// TestAbandonedProbeAllowsNextProbe covers a caller that gives up while its try is the probe
// of an open breaker.
func TestAbandonedProbeAllowsNextProbe(t *testing.T) {
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

// TestConcurrentFailuresCountOnce covers many callers whose concurrent tries fail for the
// same reason.
func TestConcurrentFailuresCountOnce(t *testing.T) {
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

// TestFailureAtDeadlineKeepsBreakerOpen covers callers that all reach their deadline while a
// breaker is open. Each was allowed as the probe, failed, and was counted as abandoned by its
// caller, so the next one was allowed at the same instant. An entry made 134 calls instead of
// 20, all but four of them at 250 ms, when its callers reached their deadline.
func TestFailureAtDeadlineKeepsBreakerOpen(t *testing.T) {
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
	}) != nil) // The store caused the failure, not the deadline.
	is.Equal(tries, 1)
}

// TestConcurrentTriesAreLimitedUntilSuccess covers callers that all arrive before the first
// of their tries has failed. All of 300 such callers were allowed, because only a failure
// opened the breaker; the store was spared only because few of them ran at once. After a
// success every try is allowed, until a second passes without another success.
func TestConcurrentTriesAreLimitedUntilSuccess(t *testing.T) {
	is := is.New(t)
	now := time.UnixMilli(1_000_000)
	b := breakers(&now)
	succeed := func(context.Context) error { return nil }
	is.Equal(countConcurrentTries(b, 300), 4) // No try has succeeded or failed yet.
	now = now.Add(100 * time.Millisecond)
	is.NoErr(b.Try(context.Background(), "a", succeed))
	is.Equal(countConcurrentTries(b, 300), 300)
	now = now.Add(100 * time.Millisecond)
	is.NoErr(b.Try(context.Background(), "a", succeed))
	now = now.Add(time.Second)
	is.Equal(countConcurrentTries(b, 300), 4)
}

// countConcurrentTries makes tries that are all in flight before the first of them fails,
// and returns how many were allowed.
func countConcurrentTries(b *outside.Breakers, callers int) int {
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
