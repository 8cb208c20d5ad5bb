// Package freshness tells how old a copy of the store's rows is on which answers and decisions
// rest.
package freshness

import (
	"sync/atomic"
	"time"

	"lemonstream.dev/lemonstream/clock"
)

// Copy is what this process knows of a table that it follows.
type Copy struct {
	clock clock.Clock

	// confirmed is the latest instant at which the store certainly had no change that this
	// process has not applied, in milliseconds since 1970; 0 before the first read. It never
	// goes back.
	confirmed atomic.Int64
}

// NewCopy returns a copy that was never read.
func NewCopy(clock clock.Clock) *Copy {
	return &Copy{
		clock: clock,
	}
}

// Confirm notes that all changes up to an instant are applied.
func (c *Copy) Confirm(at time.Time) {
	next := clock.Millis(at)
	for {
		before := c.confirmed.Load()
		if next <= before || c.confirmed.CompareAndSwap(before, next) {
			return
		}
	}
}

// Age returns how long ago the store confirmed that the copy is complete. Before the first read
// that is the time since 1970.
func (c *Copy) Age() time.Duration {
	return c.clock.Now().Sub(clock.FromMillis(c.confirmed.Load()))
}
