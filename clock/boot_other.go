//go:build !linux

package clock

import "time"

// machineReadings returns the clocks of this machine. Only Linux tells how long it was
// suspended; elsewhere a suspension is not counted.
func machineReadings() Readings {
	return Readings{
		Now:  steadily(time.Now()),
		Boot: func() (time.Duration, bool) { return 0, false },
	}
}
