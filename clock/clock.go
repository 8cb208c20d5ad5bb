// Package clock is the one source of time in lemonstream. Instants are cut to
// the millisecond, which is the unit rows and peer messages carry.
package clock

import "time"

// Clock hands out time through function fields, so that a test can step it.
type Clock struct {
	// Now returns the current instant, cut to the millisecond. It never runs
	// backwards within one process.
	Now func() time.Time

	// After returns a channel that receives once d has passed.
	After func(d time.Duration) <-chan time.Time
}

// FromMillis returns the instant that lies ms milliseconds after the Unix
// epoch.
func FromMillis(ms int64) time.Time {
	return time.UnixMilli(ms).UTC()
}

// Millis returns t in milliseconds since the Unix epoch.
func Millis(t time.Time) int64 {
	return t.UnixMilli()
}

// System returns the clock of this machine. It reads the wall clock once and
// then follows the monotonic clock, so a step of the wall clock while the
// process runs moves no lease and no deadline.
func System() Clock {
	start := time.Now()
	return Clock{
		Now: func() time.Time {
			return start.Round(0).Add(time.Since(start)).UTC().Truncate(time.Millisecond)
		},
		After: time.After,
	}
}
