package witness_test

import (
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"lemonstream.dev/lemonstream/internal/prove"
	"lemonstream.dev/lemonstream/witness"
)

const (
	// daysVariable sets the number of days of TestPromisesUnderFaults.
	daysVariable = "WITNESS_DAYS"
	normalDays   = 60

	dayLength   = 3 * time.Minute
	guardLength = 2 * time.Minute
)

// TestPromisesUnderFaults lets owners, witnesses and others go through outages of the store for all,
// some or one of them, freezes, restarts, and lost and late answers. It guards against an owner
// that acts by promises beside a later owner, or while a claim of a witness may be applied.
func TestPromisesUnderFaults(t *testing.T) {
	days := normalDays
	if text := os.Getenv(daysVariable); text != "" {
		var err error
		if days, err = strconv.Atoi(text); err != nil {
			t.Fatal(err)
		}
	}
	continued, taken, outside := 0, 0, 0
	for seed := range uint64(days) {
		w := newWorld(seed, witness.Standard())
		w.run(dayLength)
		continued += w.continued
		taken += w.taken
		outside += w.outside
		if w.violation != "" {
			t.Errorf("seed %d: %s", seed, w.violation)
		}
	}
	t.Logf("days=%d continued_s=%.0f taken=%d by_outsiders=%d", days, (time.Duration(continued) * tick).Seconds(), taken, outside)
	is := is.New(t)
	// The days show nothing if nobody relies on promises or nobody takes over.
	is.True(continued > 0)
	is.True(outside > 0)
}

// TestGuardsOfPromises shows that the days above detect each missing guard.
func TestGuardsOfPromises(t *testing.T) {
	standard := witness.Standard()
	for name, remove := range map[string]func(*witness.Rules){
		"witness-refuses-while-claiming": func(r *witness.Rules) { r.RefuseClaiming = false },
		"all-witnesses-promise":          func(r *witness.Rules) { r.Enough = func(promised, _ int) bool { return promised > 0 } },
		"span-counts-from-sending":       func(r *witness.Rules) { r.CountFrom = func(_, received time.Time) time.Time { return received } },
		"outsider-waits":                 func(r *witness.Rules) { r.OutsiderWait = func(time.Duration) time.Duration { return 0 } },
		"limit-of-8s":                    func(r *witness.Rules) { r.WithinLimit = func(time.Duration, time.Duration) bool { return true } },
	} {
		t.Run(name, func(t *testing.T) {
			prove.Guard(t, prove.AtMostOnce, name, func(on bool) func(*rapid.T) {
				rules := standard
				if !on {
					remove(&rules)
				}
				return func(t *rapid.T) {
					seed := rapid.Uint64Range(0, 100_000).Draw(t, "seed")
					w := newWorld(seed, rules)
					w.run(guardLength)
					if w.violation != "" {
						t.Fatal(w.violation)
					}
				}
			})
		})
	}
}

// TestRequestShowsEpoch lets a witness whose claim has no known result get a request of the owner that
// followed. It then promised the owner before that one, although its own claim had been applied.
func TestRequestShowsEpoch(t *testing.T) {
	is := is.New(t)
	now := time.UnixMilli(0)
	p := witness.NewPromises(witness.Standard(), time.Second)
	is.True(p.BeginClaim(now, 1, 10, false))
	p.EndClaim(witness.ResultUncertain)
	span, reason := p.Grant(now, witness.Request{
		Epoch: 1,
	}, witness.Known{})
	is.Equal(span, time.Duration(0))
	is.Equal(reason, witness.ReasonClaiming)
	span, _ = p.Grant(now, witness.Request{
		Epoch: 3,
	}, witness.Known{})
	is.Equal(span, witness.Span)
	span, reason = p.Grant(now, witness.Request{
		Epoch: 1,
	}, witness.Known{})
	is.Equal(span, time.Duration(0))
	is.Equal(reason, witness.ReasonEpoch)
}

// TestWitnessesOfUnansweredWriteHaveToPromise guards against an owner that relies on the witnesses of its
// last known write although a later one, which names others or none, may have been applied.
func TestWitnessesOfUnansweredWriteHaveToPromise(t *testing.T) {
	is := is.New(t)
	list := func(names ...string) func() []string { return func() []string { return names } }
	h := witness.NewHolder(witness.Standard(), witness.Limit)
	h.Name(list("a"))
	is.Equal(len(h.Required()), 0)
	h.Applied()
	is.Equal(h.Required(), []string{"a"})
	h.Name(list("b"))
	is.Equal(h.Required(), []string{"a", "b"})
	is.Equal(h.Name(list("c")), []string{"b"})
	h.Applied()
	is.Equal(h.Required(), []string{"b"})
	h.Name(list())
	is.Equal(len(h.Required()), 0)
}

// TestToldInstancesAreKept covers the instances that a claiming witness adds to those of the row.
func TestToldInstancesAreKept(t *testing.T) {
	is := is.New(t)
	now := time.UnixMilli(0)
	p := witness.NewPromises(witness.Standard(), time.Second)
	for _, instance := range []string{"i2", "i1", "i2"} {
		p.Grant(now, witness.Request{
			Epoch:   2,
			Ordered: []string{instance},
		}, witness.Known{})
	}
	is.Equal(p.Ordered(now, 2), []string{"i1", "i2"})
	is.Equal(len(p.Ordered(now, 1)), 0)
	is.Equal(len(p.Ordered(now.Add(time.Second+time.Millisecond), 2)), 0)
	many := make([]string, 300)
	for i := range many {
		many[i] = strconv.Itoa(i)
	}
	span, reason := p.Grant(now, witness.Request{
		Epoch:   2,
		Ordered: many,
	}, witness.Known{})
	is.Equal(span, time.Duration(0))
	is.Equal(reason, witness.ReasonOrdered)
}
