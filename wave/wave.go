// Package wave orders the instances that are to leave into waves. It is pure:
// the same fleet gives the same waves at every entry.
package wave

import (
	"sort"

	"lemonstream.dev/lemonstream/budget"
)

// Item is an instance that is to leave for maintenance.
type Item struct {
	ID   string
	Pool string
	Rack string
	Zone string
}

// NeverError reports instances that could not leave even if everything else
// served, because their pool's budget has no room for any.
type NeverError struct {
	// IDs are the instances, sorted.
	IDs []string

	// Cause says which budget is in the way.
	Cause error
}

// Policy holds the numbers of wave planning.
type Policy struct {
	// First is the size of the first wave, at least 1.
	First int

	// Growth multiplies the size after each wave, at least 1.
	Growth int

	// Width is the largest number of instances of one pool in a wave; 0 sets
	// no limit beside the pool's budget.
	Width int
}

// Error implements error.
func (e *NeverError) Error() string {
	return "no wave can hold " + e.IDs[0] + ": " + e.Cause.Error()
}

// Unwrap returns the budget's error.
func (e *NeverError) Unwrap() error {
	return e.Cause
}

// Plan splits items into waves, each of which every pool can afford while the
// waves before it are back in service; with stay set the waves before it stay
// out. Waves start at the policy's first size and grow; within a wave the
// instances come from one rack as long as it lasts, so that a rack is open
// for maintenance at once and the reserve of another rack stays whole.
func Plan(items []Item, pools map[string]budget.Pool, policy Policy, stay bool) ([][]string, error) {
	left := append([]Item(nil), items...)
	sort.Slice(left, func(i, j int) bool { return less(left[i], left[j]) })
	pools = clonePools(pools)
	size := max(policy.First, 1)
	var waves [][]string
	for len(left) > 0 {
		wave, rest, blocked := pick(left, pools, size, policy.Width)
		if len(wave) == 0 {
			return waves, &NeverError{
				IDs:   ids(rest),
				Cause: blocked,
			}
		}
		waves = append(waves, wave)
		left = rest
		if stay {
			markOut(pools, wave)
		}
		size *= max(policy.Growth, 1)
	}
	return waves, nil
}

// Peak returns the largest number of instances out at once.
func Peak(waves [][]string, stay bool) int {
	peak := 0
	total := 0
	for _, wave := range waves {
		total += len(wave)
		peak = max(peak, len(wave))
	}
	if stay {
		return total
	}
	return peak
}

func clonePools(pools map[string]budget.Pool) map[string]budget.Pool {
	clone := make(map[string]budget.Pool, len(pools))
	for name, pool := range pools {
		pool.Instances = append([]budget.Instance(nil), pool.Instances...)
		clone[name] = pool
	}
	return clone
}

func ids(items []Item) []string {
	names := make([]string, 0, len(items))
	for _, item := range items {
		names = append(names, item.ID)
	}
	sort.Strings(names)
	return names
}

// less orders by zone, rack and id, so that a wave opens one failure domain
// before the next.
func less(a, b Item) bool {
	if a.Zone != b.Zone {
		return a.Zone < b.Zone
	}
	if a.Rack != b.Rack {
		return a.Rack < b.Rack
	}
	return a.ID < b.ID
}

func markOut(pools map[string]budget.Pool, wave []string) {
	gone := make(map[string]bool, len(wave))
	for _, id := range wave {
		gone[id] = true
	}
	for _, pool := range pools {
		for i := range pool.Instances {
			if gone[pool.Instances[i].ID] {
				pool.Instances[i].Out = true
			}
		}
	}
}

// pick takes up to size items that all pools can afford together. It returns
// the rest and the last budget that stood in the way.
func pick(items []Item, pools map[string]budget.Pool, size, width int) (wave []string, rest []Item, blocked error) {
	chosen := make(map[string][]string)
	for _, item := range items {
		full := width > 0 && len(chosen[item.Pool]) >= width
		if len(wave) >= size || full {
			rest = append(rest, item)
			continue
		}
		trial := append(chosen[item.Pool], item.ID)
		if err := pools[item.Pool].Check(trial); err != nil {
			blocked = err
			rest = append(rest, item)
			continue
		}
		chosen[item.Pool] = trial
		wave = append(wave, item.ID)
	}
	return wave, rest, blocked
}
