// Package backlog decides whether a service accepts a job, and when the caller of a
// refused job may submit it again. Load pattern: demand exceeds capacity, for seconds (a
// demand burst) or permanently. If every job were accepted, the backlog would grow until
// all jobs end late, a takeover would take as long as reading the backlog, and callers
// would wait for results that come too late.
//
// A job is refused only if it is certain to end too late to be useful, even if its service
// got every instance that others don't need. Instances that are ordered, or could be, thus
// count as available. Work that waits for its organisation's quota delays the jobs of that
// organisation only. The package does no I/O and reads no clock: its functions depend only
// on their arguments.
package backlog

import (
	"math"
	"time"
)

const (
	// usefulFactor times its objective after it was submitted, a job is of no use any
	// more. Only jobs that are expected to end later than that are refused. Callers
	// estimate up to twice the time that their tasks take, so a smaller factor such as 1.5
	// refuses jobs that could have ended in time.
	usefulFactor = 3

	// MinRetryAfter is the shortest time after which a caller may submit a refused job
	// again. It is also the unit of the answer.
	MinRetryAfter = time.Second

	// MaxRetryAfter is the longest such time. The current backlog does not predict the load
	// any further ahead, as a demand burst lasts a few seconds.
	MaxRetryAfter = 8 * time.Second

	// spreadShare is the largest part of the time that is added to it, depending on the
	// caller, so that callers that were refused together do not return together.
	spreadShare = 0.5
)

// Job is the demand of a submitted job.
type Job struct {
	// Work is the demand of all its tasks together, in instance time: a task that takes
	// a tenth of an instance for a second counts 100 ms.
	Work time.Duration

	// Starts is the number of its tasks.
	Starts int

	// Quota is how long its work and the waiting work of its organisation take within the
	// organisation's quota; 0 if there is no quota.
	Quota time.Duration

	// Chain is how long its longest chain of dependent tasks takes. Objective is the time
	// from submission in which the job should end, and Waited the part that has passed.
	Chain     time.Duration
	Objective time.Duration
	Waited    time.Duration
}

// Service is the capacity and the backlog of a service.
type Service struct {
	// Instances is the largest number of instances that the service can have: its own, and
	// all that no other service needs to finish its work in time. 0 means unknown.
	Instances float64

	// Work is the remaining work of jobs that can end in time, in the unit of Job.Work. It
	// includes only work that quotas let run while the submitted job is of use. Starts is the
	// number of tasks of that work that have not started yet.
	Work   time.Duration
	Starts int

	// StartsPerSecond is the rate of task starts that the owner's link can carry; 0 means
	// no limit.
	StartsPerSecond float64
}

// Verdict tells whether a job is accepted.
type Verdict struct {
	Accept bool

	// Wait is the estimated delay by the work before the job and by its own work.
	// RetryAfter is the time after which the caller of a refused job may submit it again.
	Wait       time.Duration
	RetryAfter time.Duration
}

// Decide returns whether the service accepts the job. spread is a number in [0, 1) that
// differs between callers.
func Decide(s Service, j Job, spread float64) Verdict {
	v := Verdict{
		Accept: true,
		Wait:   s.wait(j),
	}
	missing := j.Waited + v.Wait + j.Chain - j.UsefulFor()
	if s.Instances <= 0 || missing <= 0 {
		return v
	}
	v.Accept = false
	v.RetryAfter = retryAfter(missing, spread)
	return v
}

// UsefulFor returns how long a job is of use, counted from its submission.
func (j Job) UsefulFor() time.Duration {
	return time.Duration(usefulFactor * float64(j.Objective))
}

// wait returns how long the work before a job and the job's own work take, without its
// chain. Instances, link and quota limit the work at the same time, so the slowest counts.
func (s Service) wait(j Job) time.Duration {
	if s.Instances <= 0 {
		return 0
	}
	room := time.Duration(float64(s.Work+j.Work) / s.Instances)
	link := time.Duration(0)
	if s.StartsPerSecond > 0 {
		link = time.Duration(float64(s.Starts+j.Starts) / s.StartsPerSecond * float64(time.Second))
	}
	return max(room, link, j.Quota)
}

// retryAfter returns the time in which the missing time is worked off, spread between
// callers, rounded up to whole seconds, and limited to MinRetryAfter and MaxRetryAfter.
func retryAfter(missing time.Duration, spread float64) time.Duration {
	after := float64(missing) * (1 + spreadShare*spread)
	seconds := time.Duration(math.Ceil(after/float64(time.Second))) * time.Second
	return min(MaxRetryAfter, max(MinRetryAfter, seconds))
}
