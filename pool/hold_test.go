package pool_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"lemonstream.dev/lemonstream/internal/prove"
	"lemonstream.dev/lemonstream/pool"
)

// round is the time between two plans in these tests.
const round = 200 * time.Millisecond

// heldFor returns for how long a service that has had no demand for a while still wants the
// instances of its last turn.
func heldFor(cost, gap time.Duration) time.Duration {
	f := newFleet(map[string]int{
		"a":    3,
		"b":    3,
		asleep: 90,
	})
	opts := sizing(1500 * time.Millisecond)
	opts.MoveCost = cost
	f.sizer = pool.NewSizer(opts)
	f.service("a").Load.Used = cpu(20 * 16)
	for range 5 {
		f.plan()
	}
	f.service("a").Load.Used = cpu(0)
	held := time.Duration(0)
	for passed := time.Duration(0); passed < gap; passed += round {
		if f.plan().Targets["a"] > floor {
			held += round
		}
	}
	return held
}

// floor is what a service keeps without any demand.
const floor = 3

// TestInstanceIsHeldForAsLongAsItsMovesCost compares what holding costs with the best choice in
// hindsight, for any pause between two turns of demand and any cost of a move: to hold the
// instance for the whole pause, or to move it twice.
func TestInstanceIsHeldForAsLongAsItsMovesCost(t *testing.T) {
	prove.Property(t, func(t *rapid.T) {
		cost := time.Duration(rapid.IntRange(1, 100).Draw(t, "cost")) * 100 * time.Millisecond
		gap := time.Duration(rapid.IntRange(1, 150).Draw(t, "gap")) * round
		moves := 2 * cost
		spent := heldFor(cost, gap)
		if spent < gap {
			spent += moves
		}
		if best := min(gap, moves); spent > 2*best+2*round {
			t.Fatalf("a move costs %v, and a pause of %v cost %v; the best choice costs %v", cost, gap, spent, best)
		}
	})
}

// TestDearMovesHoldInstancesOverAPause covers a deployment in which a move costs as much as ten
// seconds of an instance held: turns come back after 13 s, and instances were moved twice for
// each pause.
func TestDearMovesHoldInstancesOverAPause(t *testing.T) {
	is := is.New(t)
	const pause = 13 * time.Second
	is.Equal(heldFor(10*time.Second, pause), pause)
	is.True(heldFor(pool.DefaultMoveCost, pause) < 2*time.Second)
}
