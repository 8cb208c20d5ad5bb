package outside_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"lemonstream.dev/lemonstream/clock"
	"lemonstream.dev/lemonstream/outside"
)

// TestTransactionWithoutAnswerIsGivenUpOnSoon covers a store that loses answers,
// and one that turns slow: neither may be given up on too soon for good. It reads the
// time that a call is given off the call's deadline, so no real time may pass: a process
// that stood still for 5 ms in between read 190 ms in place of 200.
func TestTransactionWithoutAnswerIsGivenUpOnSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		now := time.UnixMilli(1_000_000)
		takes := 10 * time.Millisecond
		reads := 4 * time.Millisecond
		given := time.Duration(0)
		patience := outside.NewPatience(clock.Clock{
			Now: func() time.Time { return now },
		})
		table := patience.Hasten(outside.Table{
			Transact: func(ctx context.Context, _ outside.Transaction) (outside.Receipt, error) {
				deadline, _ := ctx.Deadline()
				given = time.Until(deadline).Round(10 * time.Millisecond)
				now = now.Add(min(takes, given))
				if takes > given {
					return outside.Receipt{}, &outside.UncertainError{
						Call: "transaction",
					}
				}
				return outside.Receipt{}, nil
			},
			Feed: func(_ context.Context, _ string, _ int64, wait time.Duration) (outside.Change, error) {
				now = now.Add(wait + reads)
				return outside.Change{}, nil
			},
		})
		call := func() (time.Duration, error) {
			_, err := table.Transact(context.Background(), outside.Transaction{})
			return given, err
		}
		got, err := call()
		is.NoErr(err)
		is.Equal(got, 200*time.Millisecond)
		takes = 540 * time.Millisecond
		for _, want := range []time.Duration{200, 400, 800} {
			got, err = call()
			is.Equal(got, want*time.Millisecond)
		}
		is.NoErr(err) // The third try is given enough time,
		got, err = call()
		is.NoErr(err)
		is.Equal(got, time.Second) // and the next ones are from the start.
		takes = 10 * time.Millisecond
		for i := 0; i < 30; i++ {
			got, err = call()
			is.NoErr(err)
		}
		is.Equal(got, 200*time.Millisecond)
		is.True(!patience.Slow())
		reads = 240 * time.Millisecond
		_, err = table.Feed(context.Background(), "t", 0, time.Second)
		is.NoErr(err)
		is.True(patience.Slow())
		got, err = call()
		is.NoErr(err)
		is.Equal(got, time.Second) // A read has shown that the store is slow.
	})
}
