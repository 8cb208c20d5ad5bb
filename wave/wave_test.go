package wave_test

import (
	"errors"
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"lemonstream.dev/lemonstream/budget"
	"lemonstream.dev/lemonstream/internal/prove"
	"lemonstream.dev/lemonstream/wave"
)

// build returns count instances spread over pools, two to a rack. At least least
// instances of each pool must stay in service.
func build(count, pools, least int) ([]wave.Item, map[string]budget.Pool) {
	byName := make(map[string]budget.Pool)
	var items []wave.Item
	for number := range count {
		item := wave.Item{
			ID:   fmt.Sprintf("w%02d", number),
			Pool: fmt.Sprintf("p%d", number%pools),
			Rack: fmt.Sprintf("r%d", number/2),
		}
		items = append(items, item)
		pool := byName[item.Pool]
		pool.Name = item.Pool
		pool.Least = least
		pool.Instances = append(pool.Instances, budget.Instance{
			ID:   item.ID,
			Rack: item.Rack,
		})
		byName[item.Pool] = pool
	}
	return items, byName
}

func TestWavesStartSmallAndGrow(t *testing.T) {
	is := is.New(t)
	items, pools := build(14, 1, 2)
	waves, err := wave.Plan(items, pools, wave.Policy{
		First:  1,
		Growth: 2,
	}, false)
	is.NoErr(err)
	var sizes []int
	for _, one := range waves {
		sizes = append(sizes, len(one))
	}
	is.Equal(sizes, []int{1, 2, 4, 7})
}

func TestNoWaveFits(t *testing.T) {
	is := is.New(t)
	items, pools := build(4, 1, 4)
	_, err := wave.Plan(items, pools, wave.Policy{}, false)
	var never *wave.InfeasibleError
	is.True(errors.As(err, &never))
	is.Equal(len(never.IDs), 4)
	var exceeded *budget.ExceededError
	is.True(errors.As(err, &exceeded)) // The error names the exceeded budget.
}

// TestEveryWaveIsAffordable checks that each instance is in exactly one wave and that
// every wave keeps within the budget of every pool.
func TestEveryWaveIsAffordable(t *testing.T) {
	prove.Property(t, func(t *rapid.T) {
		items, pools := build(rapid.IntRange(1, 30).Draw(t, "count"), rapid.IntRange(1, 4).Draw(t, "pools"), rapid.IntRange(0, 4).Draw(t, "least"))
		stay := rapid.Bool().Draw(t, "stay")
		waves, err := wave.Plan(items, pools, wave.Policy{
			First:  rapid.IntRange(1, 4).Draw(t, "first"),
			Growth: rapid.IntRange(1, 3).Draw(t, "growth"),
			Width:  rapid.IntRange(0, 3).Draw(t, "width"),
		}, stay)
		if err != nil {
			return
		}
		seen := make(map[string]bool)
		out := make(map[string]int)
		total := make(map[string]int)
		poolOf := make(map[string]string)
		for _, item := range items {
			poolOf[item.ID] = item.Pool
			total[item.Pool]++
		}
		for _, one := range waves {
			if !stay {
				clear(out)
			}
			for _, id := range one {
				if seen[id] {
					t.Fatalf("%s is in two waves", id)
				}
				seen[id] = true
				out[poolOf[id]]++
			}
			for name, count := range out {
				if total[name]-count < pools[name].Least {
					t.Fatalf("%d of %d instances of pool %s are out, at least %d must be in service", count, total[name], name, pools[name].Least)
				}
			}
		}
		if len(seen) != len(items) {
			t.Fatalf("waves hold %d of %d instances", len(seen), len(items))
		}
	})
}
