// Package suspect tracks which tasks may have crashed their workers. A task may crash
// every worker that starts it, but most tasks on a crashed worker are bystanders. The
// package does no I/O and reads no clock.
package suspect

import (
	"slices"
	"time"

	"lemonstream.dev/lemonstream/outside"
)

const (
	// CrashLimit is the number of crashed workers after which a task is given up. The
	// platform permits giving up from two on, and at most two more starts after three.
	// The limit of three spares a bystander that was on two crashed workers, and allows for
	// crashes that no owner saw because ownership was changing.
	CrashLimit = 3

	// MinCrashes is how many of them must be certain to be crashes, and attributed to the
	// task rather than to one that was started later on the same worker. The platform does
	// not permit giving up a task under which fewer workers crashed.
	MinCrashes = 2

	// AttributionSlack is by how much the starts of two tasks may differ for a crash to be
	// attributed to both: orders that are sent together are carried out in any order.
	AttributionSlack = 100 * time.Millisecond

	// SharedCrashLimit is the number of crashed workers after which a task is given up if
	// MinCrashes of them are its own and other tasks are suspected of the rest as well. It leaves
	// one of the starts that the platform permits after three crashes for a crash that no owner
	// saw.
	SharedCrashLimit = 4

	// LossLimit is the number of workers, crashed or possibly crashed, after which a task is
	// given up although fewer than MinCrashes are certain. A task that takes its worker's
	// host down leaves no proof of a crash, and must not be started without end. The limit is
	// as many starts as the platform permits after three crashes.
	LossLimit = 5

	// MinIsolationCrashes is the number of crashed or possibly crashed workers from which on
	// a task runs isolated on a dedicated worker, so that bystanders are not given up because
	// of it. Possible crashes count, because it takes seconds until a crash is certain, and
	// the tasks of one crashed worker start again together.
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

// What an owner may conclude from the loss of a worker.
const (
	// NoCrash means that the worker announced its end, or left in an orderly way.
	NoCrash Verdict = iota

	// PossibleCrash means that the worker may have crashed, may be partitioned or suspended, or
	// may have left in an orderly way that the owner did not learn of.
	PossibleCrash

	// Crash means that the incarnation has ended without an announcement.
	Crash
)

// Verdict is what an owner concludes from the loss of a worker.
type Verdict int

// Loss is what an owner knows of a worker whose incarnation has ended or is assumed to
// have ended.
type Loss struct {
	// Announced means that the worker had announced that it would stop.
	Announced bool

	// Closed means that the worker's instance may have been ordered away.
	Closed bool

	// Ended means that another worker, or another incarnation, answers in place of the
	// incarnation. Otherwise its end is only assumed, because it does not answer.
	Ended bool

	// Unheard means that this owner never got an answer from the worker. The owner then
	// does not know whether the worker stopped answering before its registration ended.
	Unheard bool

	// ListedAt is when the registrations were last read with the worker among them and
	// without an announcement; zero if they never were.
	ListedAt time.Time

	// UnlistedAt is the time at which the registration ended; zero while it exists.
	UnlistedAt time.Time

	// LostAt is the time since which the worker does not answer, or the time at which its end
	// became known if no poll failed before.
	LostAt time.Time
}

// Verdict returns whether the worker crashed. lead is how long a worker goes on answering after it
// has announced its end: an owner that has read the registrations since then knows of an
// announcement.
func (l Loss) Verdict(lead time.Duration) Verdict {
	if l.Announced {
		return NoCrash
	}
	if !l.Unheard && !l.UnlistedAt.IsZero() && !l.LostAt.Before(l.UnlistedAt) {
		return NoCrash
	}
	if !l.Ended || l.Closed || l.ListedAt.Before(l.LostAt.Add(-lead)) {
		return PossibleCrash
	}
	return Crash
}

// Crashes holds the incarnations of workers that crashed under a task. Each appears once,
// although an owner and the next owner may both see the same crash, and know the incarnation by
// its worker's id alone or with its start time.
type Crashes []string

// Add returns the crashes with a worker incarnation added, and whether it is new.
func (m Crashes) Add(worker string) (Crashes, bool) {
	added := outside.ParseIncarnation(worker)
	for i, other := range m {
		known := outside.ParseIncarnation(other)
		if !known.Same(added) {
			continue
		}
		if known.Born.IsZero() && !added.Born.IsZero() {
			m = slices.Clone(m)
			m[i] = worker
		}
		return m, false
	}
	return append(slices.Clip(m), worker), true
}

// Contains reports whether a worker incarnation is among the crashes.
func (m Crashes) Contains(worker string) bool {
	incarnation := outside.ParseIncarnation(worker)
	return slices.ContainsFunc(m, func(other string) bool { return outside.ParseIncarnation(other).Same(incarnation) })
}

// Without returns a copy of the crashes without a worker incarnation.
func (m Crashes) Without(worker string) Crashes {
	incarnation := outside.ParseIncarnation(worker)
	return slices.DeleteFunc(slices.Clone(m), func(other string) bool { return outside.ParseIncarnation(other).Same(incarnation) })
}

// Suspect reports whether the task should run apart from others if resources permit.
func (m Crashes) Suspect() bool {
	return len(m) > 0
}

// NeedsIsolation reports whether a task must run on a dedicated worker, after so many workers crashed
// or possibly crashed while they ran it.
func NeedsIsolation(losses int) bool {
	return losses >= MinIsolationCrashes
}

// Evidence is what the losses of workers under a task say of the task. Each loss counts once.
type Evidence struct {
	// Own is the number of workers that certainly crashed under the task and whose crash comes
	// from no other task as far as is known.
	Own int

	// Uncertain is the number of workers that may have crashed, or crashed under a task that was
	// started there later.
	Uncertain int

	// Shared is the number of workers that crashed under other tasks as well, at least one of
	// which is still suspected.
	Shared int

	// Explained is the number of workers that crashed or may have crashed under a task that was
	// given up: that task is the cause, as far as is known.
	Explained int
}

// GivenUp reports whether the task must not be started again. A crash that another task explains, or
// may yet explain, does not count towards CrashLimit: a bystander of two culprits would be given up
// after one crash of another cause.
func (e Evidence) GivenUp() bool {
	lost := e.Own + e.Uncertain
	all := lost + e.Shared + e.Explained
	if e.Own >= MinCrashes {
		return lost >= CrashLimit || all >= SharedCrashLimit
	}
	return all >= LossLimit
}

// MaxReserved returns how many of the workers may be reserved for isolated tasks.
func MaxReserved(workers int) int {
	return max(1, workers/ReservedDivisor)
}
