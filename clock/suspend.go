package clock

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// partedBy is how far the wall clock and the steady one may part before the clock that
	// counts suspensions is read: that is a system call, and both are read without one. A
	// wall clock that is being corrected parts by a millisecond in two seconds at the most.
	partedBy = time.Millisecond

	// gapNoted is the shortest suspension that is told of.
	gapNoted = 50 * time.Millisecond
)

// Readings are the clocks of a machine.
type Readings struct {
	// Now reads the wall clock and the steady one together. The steady one counts from any
	// instant, and not for the time for which the machine is suspended.
	Now func() (wall time.Time, steady time.Duration)

	// Boot returns the time since the machine started, suspensions included; false where
	// it can't be read.
	Boot func() (time.Duration, bool)
}

// suspendable follows the steady clock and adds the time of suspensions to it.
type suspendable struct {
	readings Readings
	noticed  func(time.Duration)

	// wall, steady and boot were read together, boot last.
	wall   time.Time
	steady time.Duration
	boot   time.Duration

	// suspended only grows; parted is how far the wall clock was ahead of the steady one
	// when it was last reckoned. Both are durations.
	suspended atomic.Int64
	parted    atomic.Int64

	mu sync.Mutex
}

// Suspendable returns a clock that reads the wall clock once and then follows the steady
// one, so that a step of the wall clock moves no lease and no deadline. The time for which
// the machine is suspended counts: without it a lease looks valid after a suspension of
// any length, and its holder goes on beside its successor. Each suspension is told to
// noticed, by whoever asks for the time first, before the time is given out.
func Suspendable(readings Readings, noticed func(time.Duration)) Clock {
	s := &suspendable{
		readings: readings,
		noticed:  noticed,
	}
	s.wall, s.steady = readings.Now()
	boot, readable := readings.Boot()
	s.boot = boot
	if !readable {
		s.readings.Boot = func() (time.Duration, bool) { return 0, false }
	}
	return Clock{
		Now:   s.now,
		After: time.After,
	}
}

func (s *suspendable) now() time.Time {
	wall, steady := s.readings.Now()
	passed := steady - s.steady
	parted := wall.Sub(s.wall) - passed
	if (parted - time.Duration(s.parted.Load())).Abs() >= partedBy {
		s.reckon(parted)
	}
	return s.wall.Add(passed + time.Duration(s.suspended.Load())).UTC().Truncate(time.Millisecond)
}

// reckon reads how long the machine has been suspended. The steady clock is read last, so
// that a thread that loses its processor in between makes the time shorter and not longer.
func (s *suspendable) reckon(parted time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	boot, readable := s.readings.Boot()
	if !readable {
		return
	}
	_, steady := s.readings.Now()
	s.parted.Store(int64(parted))
	before := time.Duration(s.suspended.Load())
	gap := (boot - s.boot) - (steady - s.steady) - before
	if gap <= 0 {
		return
	}
	if gap >= gapNoted {
		s.noticed(gap)
	}
	s.suspended.Store(int64(before + gap))
}

// steadily reads both clocks by one call, which takes no system call.
func steadily(origin time.Time) func() (time.Time, time.Duration) {
	return func() (time.Time, time.Duration) {
		t := time.Now()
		return t.Round(0), t.Sub(origin)
	}
}
