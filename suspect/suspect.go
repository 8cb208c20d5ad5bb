// Package suspect tracks which tasks may have crashed their workers. A task may crash
// every worker that starts it, but most tasks on a crashed worker are bystanders. The
// package does no I/O and reads no clock.
package suspect

import (
	"slices"
	"time"
)

const (
	// CrashLimit is the number of crashed workers after which a task is given up. The
	// platform permits giving up from two on, and at most two more starts after three.
	// The limit of three spares a bystander that was on two crashed workers, and allows for
	// crashes that no owner saw because ownership was changing.
	CrashLimit = 3

	// MinIsolationCrashes is the number of crashed workers from which on a task runs
	// isolated on a dedicated worker, so that bystanders are not given up because of it.
	// Isolation does not start at the first crash: that makes about a dozen tasks suspect,
	// and a dedicated worker for each would take up a whole pool.
	MinIsolationCrashes = 2

	// ReservedDivisor limits the workers that may be reserved for isolated tasks: the
	// number of workers divided by it, but at least one. Many isolated tasks at once must
	// not take all workers of a pool.
	ReservedDivisor = 10

	// IsolationWait is how long an isolated task waits for a dedicated worker. After that it
	// starts on the worker with the fewest other tasks, and no task is added there: a job that
	// never runs is worse than the bystanders that it may crash. An ordered instance arrives
	// within about 2.5 s. If the wait is too short (3 s), a bystander with two recorded crashes
	// may join tasks that crash their worker, and its job is given up.
	IsolationWait = 8 * time.Second

	// LongRunningIsolationWait is IsolationWait for a long-running task, which the platform
	// expects to run again within 6 s after its last run ended.
	LongRunningIsolationWait = 3 * time.Second

	// ProvenAfter is how long a long-running task must run until it is proven, that is, no
	// longer suspected of crashes. It is many times the 10 ms or so in which a crash at the
	// start is noticed. Without it, a task that runs for months would be given up after three
	// unrelated crashes. 10 s was too long: a task was given up whose workers crashed 12, 20
	// and 28 s after it was submitted, for another cause.
	ProvenAfter = 2 * time.Second
)

// Loss is what an owner knows of a worker whose incarnation has ended or is assumed to
// have ended.
type Loss struct {
	// Draining means that the worker had announced that it would stop.
	Draining bool

	// Unheard means that this owner never got an answer from the worker. The owner then
	// does not know whether the worker stopped answering before its registration ended.
	Unheard bool

	// UnlistedAt is the time at which the registration ended; zero while it exists.
	UnlistedAt time.Time

	// SilentSince is the time since which the worker does not answer; zero if no poll
	// failed before its end was known.
	SilentSince time.Time
}

// Crashed reports whether the worker ended unannounced. A worker that announced its end,
// or whose registration ended while it still answered, did not crash. An owner that never
// got an answer from the worker assumes a crash; the crash is then recorded only for tasks
// with a possible crash there.
func (l Loss) Crashed() bool {
	if l.Draining {
		return false
	}
	if l.Unheard || l.UnlistedAt.IsZero() {
		return true
	}
	return !l.SilentSince.IsZero() && l.SilentSince.Before(l.UnlistedAt)
}

// Crashes holds the incarnations of workers that crashed under a task. Each appears once,
// although an owner and the next owner may both see the same crash.
type Crashes []string

// Add returns the crashes with a worker incarnation added, and whether it is new.
func (m Crashes) Add(worker string) (Crashes, bool) {
	if slices.Contains(m, worker) {
		return m, false
	}
	return append(m, worker), true
}

// Without returns a copy of the crashes without a worker incarnation.
func (m Crashes) Without(worker string) Crashes {
	return slices.DeleteFunc(slices.Clone(m), func(other string) bool { return other == worker })
}

// Suspect reports whether the task should run apart from others if resources permit.
func (m Crashes) Suspect() bool {
	return len(m) > 0
}

// NeedsIsolation reports whether the task must run on a dedicated worker.
func (m Crashes) NeedsIsolation() bool {
	return len(m) >= MinIsolationCrashes
}

// GivenUp reports whether the task must not be started again.
func (m Crashes) GivenUp() bool {
	return len(m) >= CrashLimit
}

// MaxReserved returns how many of the workers may be reserved for isolated tasks.
func MaxReserved(workers int) int {
	return max(1, workers/ReservedDivisor)
}
