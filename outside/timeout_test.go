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

// TestUnansweredTransactionTimesOutSoon covers a store that loses answers and one that becomes
// slow: in both cases the timeout must grow until transactions succeed. The test reads the
// timeout from the deadline of the call, so it needs simulated time: with real time, a pause of
// the process of 5 ms made it read 190 ms instead of 200 ms.
func TestUnansweredTransactionTimesOutSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		now := time.UnixMilli(1_000_000)
		takes := 10 * time.Millisecond
		reads := 4 * time.Millisecond
		given := time.Duration(0)
		timeout := outside.NewAdaptiveTimeout(clock.Clock{
			Now: func() time.Time { return now },
		})
		table := timeout.Wrap(outside.Table{
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
		is.NoErr(err) // The timeout of the third try is long enough,
		got, err = call()
		is.NoErr(err)
		is.Equal(got, time.Second) // and the next transactions start with a sufficient one.
		takes = 10 * time.Millisecond
		for i := 0; i < 30; i++ {
			got, err = call()
			is.NoErr(err)
		}
		is.Equal(got, 200*time.Millisecond)
		is.True(!timeout.Slow())
		reads = 240 * time.Millisecond
		_, err = table.Feed(context.Background(), "t", 0, time.Second)
		is.NoErr(err)
		is.True(timeout.Slow())
		got, err = call()
		is.NoErr(err)
		is.Equal(got, time.Second) // The slow read raised the usual duration.
	})
}
