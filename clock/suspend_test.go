package clock_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"lemonstream.dev/lemonstream/clock"
	"lemonstream.dev/lemonstream/internal/prove"
)

// machine is a machine whose clocks the test moves.
type machine struct {
	origin time.Time

	// steady is the steady clock; suspended and stepped part the others from it.
	steady    time.Duration
	suspended time.Duration
	stepped   time.Duration

	boots int
}

func (m *machine) readings() clock.Readings {
	return clock.Readings{
		Now: func() (time.Time, time.Duration) {
			return m.origin.Add(m.steady + m.suspended + m.stepped), m.steady
		},
		Boot: func() (time.Duration, bool) {
			m.boots++
			return time.Hour + m.steady + m.suspended, true
		},
	}
}

// TestSuspensionCountsAndAStepDoesNot moves the clocks of a machine at random: the clock
// tells the time since the start with every suspension in it, steps of the wall clock
// move nothing, and it never runs backwards.
func TestSuspensionCountsAndAStepDoesNot(t *testing.T) {
	prove.Property(t, func(t *rapid.T) {
		m := &machine{
			origin: time.UnixMilli(1_000_000),
		}
		var noticed time.Duration
		c := clock.Suspendable(m.readings(), func(gap time.Duration) { noticed += gap })
		start := c.Now()
		last := start
		for range rapid.IntRange(1, 40).Draw(t, "moves") {
			span := time.Duration(rapid.IntRange(1, 5000).Draw(t, "span")) * time.Millisecond
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				m.suspended += max(span, 50*time.Millisecond)
			case 1:
				m.stepped += span - 2500*time.Millisecond
			default:
				m.steady += span
			}
			now := c.Now()
			if now.Before(last) {
				t.Fatalf("%v after %v", now, last)
			}
			last = now
		}
		want := m.steady + m.suspended
		if got := last.Sub(start); (got - want).Abs() > 2*time.Millisecond {
			t.Fatalf("the clock went on by %v in %v", got, want)
		}
		if (noticed - m.suspended).Abs() > 2*time.Millisecond {
			t.Fatalf("noticed %v of %v", noticed, m.suspended)
		}
	})
}

// TestTimeCostsNoSystemCall asks for the time again and again while nothing parts.
func TestTimeCostsNoSystemCall(t *testing.T) {
	is := is.New(t)
	m := &machine{
		origin: time.UnixMilli(1_000_000),
	}
	c := clock.Suspendable(m.readings(), func(time.Duration) {})
	for range 1000 {
		m.steady += time.Millisecond
		c.Now()
	}
	is.Equal(m.boots, 1)
}

// TestMachineWithoutTheClockFollowsTheSteadyOne covers systems that don't tell.
func TestMachineWithoutTheClockFollowsTheSteadyOne(t *testing.T) {
	is := is.New(t)
	m := &machine{
		origin: time.UnixMilli(1_000_000),
	}
	readings := m.readings()
	readings.Boot = func() (time.Duration, bool) { return 0, false }
	c := clock.Suspendable(readings, func(time.Duration) { t.Error("noticed") })
	start := c.Now()
	m.suspended = time.Minute
	m.steady = time.Second
	is.Equal(c.Now().Sub(start), time.Second)
}

func BenchmarkSystem(b *testing.B) {
	c := clock.System()
	for b.Loop() {
		c.Now()
	}
}
