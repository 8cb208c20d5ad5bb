package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// machineReadings returns the clocks of this machine.
func machineReadings() Readings {
	return Readings{
		Now:  steadily(time.Now()),
		Boot: boot,
	}
}

func boot() (time.Duration, bool) {
	var at unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &at); err != nil {
		// The clock is there since Linux 2.6.39; without it suspensions don't count.
		return 0, false
	}
	return time.Duration(at.Nano()), true
}
