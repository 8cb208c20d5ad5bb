// Package freshness bounds the age of copies of the store's rows on which answers and decisions
// rest.
//
// A copy is kept by reading the changes of a table. While no read succeeds, nobody can tell
// whether the rows have changed. Up to Options.Limit after the last confirmation the copy is
// fresh: a change of that age need not be in force anywhere yet. Up to Options.OutageLimit it is
// usable for work that has begun and for what can be asked again.
package freshness

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"lemonstream.dev/lemonstream/clock"
)

const (
	// wantedShare is the part of Options.Limit from which a read is wanted at once when the store
	// answers another call.
	wantedShare = 0.875

	// maxWaiting bounds the calls that wait for a fresh copy.
	maxWaiting = 1024
)

// Copy is what this process knows of a table that it follows.
type Copy struct {
	Options

	// confirmed is the latest instant at which the store certainly had no change that this
	// process has not applied, in milliseconds since 1970; 0 before the first read. It never goes
	// back.
	confirmed atomic.Int64

	// wanted holds a token after a read was wanted.
	wanted chan struct{}

	mu sync.Mutex

	// waiting is how many calls wait for changed, which is closed and replaced when a copy that
	// was not fresh is confirmed.
	waiting int
	changed chan struct{}
}

// Options bound the age of a copy.
type Options struct {
	Clock clock.Clock

	// Limit is the greatest age of a fresh copy, at most the time in which a change has to be in
	// force. OutageLimit is that of a usable one, and not below Limit.
	Limit       time.Duration
	OutageLimit time.Duration
}

// NewCopy returns a copy that was never read.
func NewCopy(options Options) *Copy {
	return &Copy{
		Options: options,
		wanted:  make(chan struct{}, 1),
		changed: make(chan struct{}),
	}
}

// Age returns how long ago the store confirmed that the copy is complete. Before the first read
// that is the time since 1970.
func (c *Copy) Age() time.Duration {
	return c.Clock.Now().Sub(clock.FromMillis(c.confirmed.Load()))
}

// AwaitFresh waits for a fresh copy until an instant, and reports whether there is one. It reports
// false at once if too many calls wait.
func (c *Copy) AwaitFresh(ctx context.Context, until time.Time) bool {
	timer := time.NewTimer(until.Sub(c.Clock.Now()))
	defer timer.Stop()
	for {
		changed, entered := c.enter()
		if !entered {
			return c.Fresh()
		}
		var ended bool
		select {
		case <-changed:
		case <-timer.C:
			ended = true
		case <-ctx.Done():
			ended = true
		}
		c.leave()
		if ended || c.Fresh() {
			return c.Fresh()
		}
	}
}

// Confirm notes that all changes up to an instant are applied.
func (c *Copy) Confirm(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.confirmed.Store(max(c.confirmed.Load(), clock.Millis(at)))
	if c.waiting > 0 && c.Fresh() {
		close(c.changed)
		c.changed = make(chan struct{})
	}
}

// Fresh reports whether the copy is so young that any answer may rest on it. Whoever uses rows of
// the copy asks before it looks at them.
func (c *Copy) Fresh() bool {
	return c.Age() <= c.Limit
}

// Heard is called when the store has answered a call of this process. A copy that is old is to be read
// at once: the store is back, or only the reads of this table have trouble.
func (c *Copy) Heard() {
	if c.Age() <= time.Duration(wantedShare*float64(c.Limit)) {
		return
	}
	select {
	case c.wanted <- struct{}{}:
	default:
		// A token is there already.
	}
}

// Usable reports whether work that has begun may go on by the copy, such as that of an owner that
// continues in an outage of the store.
func (c *Copy) Usable() bool {
	return c.Age() <= c.OutageLimit
}

// Wanted delivers a token when the copy is to be read at once.
func (c *Copy) Wanted() <-chan struct{} {
	return c.wanted
}

// enter adds a call that waits for the next confirmation. It reports false if the copy is fresh, or
// too many calls wait.
func (c *Copy) enter() (<-chan struct{}, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.waiting >= maxWaiting || c.Fresh() {
		return nil, false
	}
	c.waiting++
	return c.changed, true
}

func (c *Copy) leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting--
}
