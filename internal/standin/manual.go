package standin

import (
	"sync"
	"time"

	"lemonstream.dev/lemonstream/clock"
)

// Manual is a clock that a test steps by hand.
type Manual struct {
	mu  sync.Mutex
	now time.Time
}

// NewManual returns a clock that stands at now.
func NewManual(now time.Time) *Manual {
	return &Manual{
		now: now,
	}
}

// Clock returns the clock shifted by skew, as another machine would see it.
func (m *Manual) Clock(skew func() time.Duration) clock.Clock {
	return clock.Clock{
		Now: func() time.Time {
			m.mu.Lock()
			defer m.mu.Unlock()
			return m.now.Add(skew())
		},
		After: time.After,
	}
}

// Step moves the clock forward.
func (m *Manual) Step(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now = m.now.Add(d)
}
