package figures_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"lemonstream.dev/lemonstream/figures"
	"lemonstream.dev/lemonstream/outside"
)

func TestFiguresOfCalls(t *testing.T) {
	is := is.New(t)
	set := figures.New()
	table := figures.ObserveTable(set, outside.Table{
		Transact: func(context.Context, outside.Transaction) (outside.Receipt, error) {
			return outside.Receipt{}, &outside.NotDoneError{}
		},
	})
	_, err := table.Transact(context.Background(), outside.Transaction{})
	is.True(outside.IsNotDone(err)) // The answer is passed on as it is.
	set.Observe("caller_post", 30*time.Millisecond, "200")
	text := set.Text()
	is.True(strings.Contains(text, `lemonstream_store_transact_total{outcome="not_done"} 1`))
	is.True(strings.Contains(text, `lemonstream_caller_post_total{outcome="200"} 1`))
	is.True(strings.Contains(text, `lemonstream_caller_post_ms{quantile="0.5"} 30`))
}

// TestFiguresOfServicesAreKeptApart guards against one service's figure replacing another's.
func TestFiguresOfServicesAreKeptApart(t *testing.T) {
	is := is.New(t)
	set := figures.New()
	set.SetService("ejected_workers", "a", 2)
	set.SetService("ejected_workers", "b", 1)
	set.SetService("ejected_workers", "a", 0)
	is.Equal(set.Text(), "lemonstream_ejected_workers{service=\"a\"} 0\nlemonstream_ejected_workers{service=\"b\"} 1\n")
}

func TestGaugeIsReadWhenItIsAskedFor(t *testing.T) {
	is := is.New(t)
	set := figures.New()
	value := 1.0
	set.Gauge("evacuated_zones", func() float64 { return value })
	is.True(strings.Contains(set.Text(), "lemonstream_evacuated_zones 1\n"))
	value = 2
	is.True(strings.Contains(set.Text(), "lemonstream_evacuated_zones 2\n"))
}
