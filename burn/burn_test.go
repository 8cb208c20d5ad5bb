package burn_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"lemonstream.dev/lemonstream/burn"
)

func TestWindows(t *testing.T) {
	is := is.New(t)
	r := burn.NewRecorder()
	now := time.UnixMilli(1_000_000_000_000)
	r.Add(now, burn.Refused)
	now = now.Add(30 * time.Minute)
	for range 9 {
		r.Add(now, burn.Whole)
	}
	r.Add(now, burn.Unknown)
	is.Equal(r.Over(now, 5*time.Minute)[burn.Refused], int64(0)) // It is half an hour old.
	is.Equal(r.Over(now, time.Hour)[burn.Refused], int64(1))
	is.Equal(r.Over(now, time.Hour)[burn.Whole], int64(9))
	is.Equal(r.Over(now.Add(100*time.Hour), 72*time.Hour), burn.Counts{}) // All is past.
	is.Equal(r.Total()[burn.Whole], int64(9))                             // Totals stay.
}

func TestSpent(t *testing.T) {
	is := is.New(t)
	counts := burn.Counts{}
	counts[burn.Whole] = 990
	counts[burn.Late] = 10
	spend := burn.Spent(counts, time.Hour, 0.99)
	is.Equal(spend.Total, int64(1000))
	is.Equal(spend.Bad, int64(10))
	is.True(spend.Burn > 0.999 && spend.Burn < 1.001) // Exactly the budget.
	is.Equal(burn.Spent(burn.Counts{}, time.Hour, 0.99).Burn, 0.0)
}
