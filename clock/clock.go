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

// System returns the clock of this machine, see Suspendable.
func System() Clock {
	return SystemNoticing(func(time.Duration) {})
}

// SystemNoticing is System, and tells of each suspension. noticed must not ask the clock.
func SystemNoticing(noticed func(time.Duration)) Clock {
	return Suspendable(machineReadings(), noticed)
}
