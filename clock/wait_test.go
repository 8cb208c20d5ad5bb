package clock_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"lemonstream.dev/lemonstream/clock"
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
				got := clock.Backoff(100*time.Millisecond, 500*time.Millisecond, c.failures)
				is.True(got >= c.middle/2 && got <= c.middle*3/2)
			}
		})
	}
}
