// Package wave groups instances that must leave for maintenance into waves. It does
// no I/O and is deterministic: every entry computes the same waves for the same fleet.
package wave

import (
	"sort"

	"lemonstream.dev/lemonstream/budget"
)

// Item is an instance that must leave for maintenance.
type Item struct {
	ID   string
	Pool string
	Rack string
	Zone string
}

// InfeasibleError reports instances that fit no wave: taking out any one of them exceeds
// the budget of its pool. Instances of earlier waves count as out only if they stay out
// by the plan.
type InfeasibleError struct {
	// IDs are the IDs of the instances, sorted.
	IDs []string

	// Cause is the error of the budget that is exceeded.
	Cause error
}

// Policy holds the size limits of waves.
type Policy struct {
	// First is the size of the first wave, at least 1.
	First int

	// Growth multiplies the size after each wave, at least 1.
	Growth int

	// Width is the largest number of instances of one pool in a wave. With 0, only
	// the pool's budget limits it.
	Width int
}

// Error implements error.
func (e *InfeasibleError) Error() string {
	return "no wave can hold " + e.IDs[0] + ": " + e.Cause.Error()
}

// Unwrap returns the budget's error.
func (e *InfeasibleError) Unwrap() error {
	return e.Cause
}

// Plan splits items into waves that keep within the budget of every pool. Instances of
// earlier waves count as back in service, or as out if stay is set. The first wave has
// the size policy.First, and each next one is policy.Growth times as large. A wave takes
// instances rack by rack, so that a whole rack can be maintained at once and the spare
// instances of other racks stay in service. If the remaining instances fit no wave, Plan
// returns the waves so far and an *InfeasibleError.
func Plan(items []Item, pools map[string]budget.Pool, policy Policy, stay bool) ([][]string, error) {
	left := append([]Item(nil), items...)
	sort.Slice(left, func(i, j int) bool { return less(left[i], left[j]) })
	pools = clonePools(pools)
	size := max(policy.First, 1)
	var waves [][]string
	for len(left) > 0 {
		wave, rest, blocked := pick(left, pools, size, policy.Width)
		if len(wave) == 0 {
			return waves, &InfeasibleError{
				IDs:   sortedIDs(rest),
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

func sortedIDs(items []Item) []string {
	names := make([]string, 0, len(items))
	for _, item := range items {
		names = append(names, item.ID)
	}
	sort.Strings(names)
	return names
}

// less orders by zone, rack and ID, so that a wave takes all instances of one failure
// domain before those of the next.
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

// pick selects up to size items that together keep within the budgets of all pools. It
// returns the IDs of these, the remaining items, and the last budget error, if any.
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
