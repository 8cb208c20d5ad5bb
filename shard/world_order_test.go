package shard_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
)

// walk returns the keys of a map of the world in the order in which to visit them. If the world
// has an order, each walk is drawn from it, so that a run with the same seeds repeats exactly.
// Otherwise it is that of the map, which differs from run to run.
func walk[K comparable, V any](w *world, m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	if w.order == nil {
		return keys
	}
	slices.SortFunc(keys, func(a, b K) int { return strings.Compare(fmt.Sprint(a), fmt.Sprint(b)) })
	w.order.Shuffle(len(keys), func(i, j int) { keys[i], keys[j] = keys[j], keys[i] })
	return keys
}

// sortCalls sorts calls that an owner orders at the same time by a key and then shuffles them, if
// the world has an order.
func sortCalls[C any](w *world, calls []C, key func(C) string) {
	if w.order == nil {
		return
	}
	slices.SortStableFunc(calls, func(a, b C) int { return strings.Compare(key(a), key(b)) })
	w.order.Shuffle(len(calls), func(i, j int) { calls[i], calls[j] = calls[j], calls[i] })
}

// newOrderedWorld returns a world that repeats exactly for the same seed of its order.
func newOrderedWorld(count int, seed uint64) *world {
	w := newWorld(count)
	w.order = rand.New(rand.NewPCG(seed, 3))
	return w
}
