package link_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"lemonstream.dev/lemonstream/internal/prove"
	"lemonstream.dev/lemonstream/link"
)

// TestBudgetIsNeverExceeded draws orders of random sizes at random times. At no time may
// the bytes sent since the start exceed the sum of the share of the link, the burst of a
// tenth of a second, and one order that was larger than the available bytes.
func TestBudgetIsNeverExceeded(t *testing.T) {
	prove.Property(t, func(t *rapid.T) {
		const bits = 2_000_000
		const perSecond = 0.45 * bits / 8
		b := link.StartBudget(bits)
		start := time.UnixMilli(0)
		now := start
		sent := 0
		largest := 0
		for range rapid.IntRange(1, 200).Draw(t, "orders") {
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "pause")) * time.Millisecond)
			size := rapid.IntRange(200, 6000).Draw(t, "size")
			largest = max(largest, size)
			if b.Take(size, now) {
				sent += size
			}
			maxSent := perSecond*(now.Sub(start).Seconds()+0.1) + float64(largest)
			if float64(sent) > maxSent {
				t.Fatalf("%d bytes sent in %v, at most %f allowed", sent, now.Sub(start), maxSent)
			}
		}
	})
}

// TestReadyAtIsEarliestTake checks that Take fails just before ReadyAt and succeeds just
// after it.
func TestReadyAtIsEarliestTake(t *testing.T) {
	is := is.New(t)
	b := link.StartBudget(2_000_000)
	now := time.UnixMilli(0)
	for b.Take(1000, now) {
	}
	ready := b.ReadyAt(now)
	is.True(ready.After(now))
	is.True(!b.Take(1000, ready.Add(-time.Millisecond)))
	is.True(b.Take(1000, ready.Add(time.Millisecond)))
}

// TestUnknownRateHasNoLimit covers settings without a link rate.
func TestUnknownRateHasNoLimit(t *testing.T) {
	is := is.New(t)
	b := link.StartBudget(0)
	for range 1000 {
		is.True(b.Take(1<<20, time.UnixMilli(0)))
	}
}
