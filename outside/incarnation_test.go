package outside_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"lemonstream.dev/lemonstream/internal/prove"
	"lemonstream.dev/lemonstream/outside"
)

func TestIncarnationsDifferByStartTime(t *testing.T) {
	first := outside.Incarnation{
		Worker: "i-1",
		Born:   time.UnixMilli(1_000),
	}
	for _, test := range []struct {
		name  string
		other outside.Incarnation
		same  bool
	}{
		{
			name:  "the same start",
			other: first,
			same:  true,
		},
		{
			name: "another start",
			other: outside.Incarnation{
				Worker: "i-1",
				Born:   time.UnixMilli(1_001),
			},
		},
		{
			name: "a start that is not known",
			other: outside.Incarnation{
				Worker: "i-1",
			},
			same: true,
		},
		{
			name: "another worker",
			other: outside.Incarnation{
				Worker: "i-2",
				Born:   time.UnixMilli(1_000),
			},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(first.Same(test.other), test.same)
			is.Equal(test.other.Same(first), test.same)
		})
	}
}

func TestIncarnationNameRoundTrip(t *testing.T) {
	prove.Property(t, func(t *rapid.T) {
		i := outside.Incarnation{
			Worker: rapid.StringMatching(`[a-z0-9@-]{1,12}`).Draw(t, "worker"),
		}
		if ms := rapid.Int64Range(0, 2_000_000_000_000).Draw(t, "born"); ms > 0 {
			i.Born = time.UnixMilli(ms)
		}
		if got := outside.ParseIncarnation(i.String()); got != i {
			t.Fatalf("%+v is read as %+v", i, got)
		}
	})
}
