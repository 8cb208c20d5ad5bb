package underway_test

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"lemonstream.dev/lemonstream/underway"
)

// TestSharesOfABound draws services that take and give back. The bound is kept, no service takes all of
// it, and one that holds nothing always gets some.
func TestSharesOfABound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		most := rapid.IntRange(8, 200).Draw(t, "most")
		bound := underway.NewBound(most)
		shares := make([]*underway.Share, 3)
		held := make([]int, len(shares))
		for i := range shares {
			shares[i] = bound.Share()
		}
		sum := 0
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			i := rapid.IntRange(0, len(shares)-1).Draw(t, "service")
			count := rapid.IntRange(1, most).Draw(t, "count")
			if rapid.Bool().Draw(t, "gives") {
				count = min(count, held[i])
				shares[i].Done(count)
				held[i] -= count
				sum -= count
				continue
			}
			if held[i] == 0 && !shares[i].Take() {
				t.Fatalf("a service that holds nothing gets none of %d, %v are held", most, held)
			} else if held[i] == 0 {
				held[i]++
				sum++
			}
			for range count {
				room := shares[i].Room()
				took := shares[i].Take()
				if took != (room > 0) {
					t.Fatalf("room is %d, took: %v", room, took)
				}
				if took {
					held[i]++
					sum++
				}
			}
			if use := bound.Use(); use.Taken != sum || sum > most || held[i] > (most+1)/2+1 {
				t.Fatalf("%d of %d are taken, %v held: %+v", sum, most, held, use)
			}
		}
		for _, share := range shares {
			share.Close()
		}
		if use := bound.Use(); use.Taken != 0 {
			t.Fatalf("after the end: %+v", use)
		}
	})
}

// TestLimitsFollowTheMachine pins the bounds of two machines that the pages name.
func TestLimitsFollowTheMachine(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		memory int64
		cores  float64
		most   map[string]int
	}{
		{
			memory: 284 << 20,
			cores:  0.4,
			most:   map[string]int{"starts": 560, "stops": 560, "paces": 363, "polls": 681, "runs": 48_469},
		},
		{
			memory: 160 << 20,
			cores:  0.12,
			most:   map[string]int{"starts": 168, "stops": 168, "paces": 168, "polls": 384, "runs": 27_306},
		},
	} {
		for kind, use := range underway.NewLimits(c.memory, c.cores).Uses() {
			is.Equal(use.Most, c.most[kind])
		}
	}
}
