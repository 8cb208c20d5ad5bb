package conns

import (
	"maps"
	"sync"
)

// Counts are the counters of bounds, for processes without other counters.
type Counts struct {
	mu     sync.Mutex
	counts map[CountKey]int64
}

// CountKey names a counter.
type CountKey struct {
	Name   string
	Reason string
}

// NewCounts returns counters that stand at 0.
func NewCounts() *Counts {
	return &Counts{
		counts: make(map[CountKey]int64),
	}
}

// Add adds one to a counter.
func (c *Counts) Add(name, reason string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[CountKey{
		Name:   name,
		Reason: reason,
	}]++
}

// All returns the counters that do not stand at 0.
func (c *Counts) All() map[CountKey]int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.counts)
}
