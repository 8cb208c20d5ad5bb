package budget_test

import (
	"errors"
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"lemonstream.dev/lemonstream/budget"
	"lemonstream.dev/lemonstream/internal/prove"
)

// pool returns a pool of count instances, two per rack.
func pool(count, least, reserve int) budget.Pool {
	p := budget.Pool{
		Name:         "p",
		Least:        least,
		ReserveRacks: reserve,
	}
	for number := range count {
		p.Instances = append(p.Instances, budget.Instance{
			ID:   fmt.Sprintf("w%d", number),
			Rack: fmt.Sprintf("r%d", number/2),
		})
	}
	return p
}

func TestCheck(t *testing.T) {
	cases := map[string]struct {
		pool   budget.Pool
		change func(p *budget.Pool)
		ids    []string
		free   int
		ok     bool
	}{
		"within budget": {
			pool: pool(6, 3, 0),
			ids:  []string{"w0", "w1", "w2"},
			ok:   true,
		},
		"one above budget": {
			pool: pool(6, 3, 0),
			ids:  []string{"w0", "w1", "w2", "w3"},
			free: 3,
		},
		"lost instance counts first": {
			pool:   pool(6, 3, 0),
			change: func(p *budget.Pool) { p.Instances[5].Lost = true },
			ids:    []string{"w0", "w1", "w2"},
			free:   2,
		},
		"instance that is out counts": {
			pool:   pool(6, 3, 0),
			change: func(p *budget.Pool) { p.Instances[5].Out = true },
			ids:    []string{"w0", "w1", "w2"},
			free:   2,
		},
		"lost instance may always leave": {
			pool:   pool(6, 5, 0),
			change: func(p *budget.Pool) { p.Instances[0].Lost = true },
			ids:    []string{"w0"},
			ok:     true,
		},
		"one rack reserved": {
			pool: pool(6, 3, 1),
			ids:  []string{"w0", "w1"},
			free: 1,
		},
		"rack of a leaving instance needs no reserve": {
			pool: pool(4, 1, 1),
			ids:  []string{"w0"},
			ok:   true,
		},
		"more lost than the budget allows": {
			pool:   pool(4, 4, 1),
			change: func(p *budget.Pool) { p.Instances[0].Lost = true },
			ids:    []string{"w1"},
			free:   0,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			if c.change != nil {
				c.change(&c.pool)
			}
			err := c.pool.Check(c.ids)
			is.Equal(err == nil, c.ok)
			var exceeded *budget.ExceededError
			if errors.As(err, &exceeded) {
				is.Equal(exceeded.Free, c.free)
			}
		})
	}
}

// TestRackLossAfterPermit checks that the budget still holds if a rack fails after a
// permit for instances to leave was given.
func TestRackLossAfterPermit(t *testing.T) {
	prove.Property(t, func(t *rapid.T) {
		p := pool(rapid.IntRange(1, 16).Draw(t, "count"), rapid.IntRange(0, 10).Draw(t, "least"), 1)
		var ids []string
		for _, instance := range p.Instances {
			if rapid.Bool().Draw(t, "leaves") {
				ids = append(ids, instance.ID)
			}
		}
		if len(ids) == 0 || p.Check(ids) != nil {
			return
		}
		lost := rapid.IntRange(0, 8).Draw(t, "rack")
		serving := 0
		for number, instance := range p.Instances {
			leaves := false
			for _, id := range ids {
				leaves = leaves || id == instance.ID
			}
			if !leaves && number/2 != lost {
				serving++
			}
		}
		if serving < p.Least {
			t.Fatalf("%d available after the loss of rack %d, the budget requires %d", serving, lost, p.Least)
		}
	})
}
