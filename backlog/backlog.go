// Package backlog decides whether a service takes a job in, and when a caller whose job
// is turned away may come back. Load pattern: more work is asked for than there is room,
// for seconds (a turn of demand, a burst) or for good. Where everything is taken, the
// backlog grows until all of it ends late, a takeover takes as long as reading it, and
// callers wait for an end that nobody will give them.
//
// A job is turned away where it is certain that it can't end in a time that is of use,
// even if its service got every instance that others don't need. So room that is on its
// way, or could be, never counts as missing. Work that its organisation's quota keeps waiting
// delays that organisation's jobs and not those of others. The package knows no clock, no store and no
// connection: all of it are functions of what is given.
package backlog

import (
	"math"
	"time"
)

const (
	// usefulFactor times its objective after it was handed in, a job is of no use any
	// more: what is expected to end later is turned away, and nothing else. Estimates of
	// callers are up to twice what their tasks take, so that a smaller factor turns jobs
	// away that could have been in time: with 1.5, in a burst of four times the demand at
	// full size, 205 of 2,797 were, and 97 fewer were in time than without refusals.
	usefulFactor = 3

	// ComeBackLeast is the shortest time after which a caller comes back: the unit of the
	// answer. Beyond ComeBackMost, what can be known of a backlog now tells nothing: a
	// turn of demand lasts some seconds.
	ComeBackLeast = time.Second

	// ComeBackMost is the longest such time.
	ComeBackMost = 8 * time.Second

	// spreadShare of the time is added at random, so that those who were turned away at
	// one moment do not come back at one.
	spreadShare = 0.5
)

// Job is what is asked for.
type Job struct {
	// Work is what all of its tasks take together, in instances for a time: a task that
	// takes a tenth of an instance for a second takes 100 ms.
	Work time.Duration

	// Starts is the number of its tasks.
	Starts int

	// Quota is how long its work and what waits of its organisation take within the
	// organisation's quota; 0 where there is none.
	Quota time.Duration

	// Chain is how long its longest chain of tasks takes, Objective the time in which
	// it is to end, and Waited what has passed of that.
	Chain     time.Duration
	Objective time.Duration
	Waited    time.Duration
}

// Service is what a service has and is to do.
type Service struct {
	// Instances is the most that the service can have: its own, and all others that
	// nobody else needs for work in time. 0 means that nobody knows.
	Instances float64

	// Work is what is left to do of jobs that can end in time, in the unit of Job.Work, as
	// far as quotas let it run within the time that the job is of use; Starts is the number of
	// tasks of it that have yet to start.
	Work   time.Duration
	Starts int

	// StartsPerSecond is what the owner's link carries; 0 means that it does not bind.
	StartsPerSecond float64
}

// Verdict is whether a job is taken.
type Verdict struct {
	Take bool

	// Wait is how long work before it takes; ComeBack when a caller that is turned away
	// may come back.
	Wait     time.Duration
	ComeBack time.Duration
}

// Decide returns whether the service takes the job. spread is a number from 0 to below 1
// that differs between callers.
func Decide(s Service, j Job, spread float64) Verdict {
	v := Verdict{
		Take: true,
		Wait: s.wait(j),
	}
	missing := j.Waited + v.Wait + j.Chain - j.Useful()
	if s.Instances <= 0 || missing <= 0 {
		return v
	}
	v.Take = false
	v.ComeBack = comeBack(missing, spread)
	return v
}

// Useful returns for how long after it was handed in a job is of use.
func (j Job) Useful() time.Duration {
	return time.Duration(usefulFactor * float64(j.Objective))
}

// wait returns how long the work before a job and its own take, beyond its chain: room, link
// and quota bound it at the same time, so that the slowest one counts.
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

// comeBack returns when what is missing has drained, spread and cut to whole seconds.
func comeBack(missing time.Duration, spread float64) time.Duration {
	after := float64(missing) * (1 + spreadShare*spread)
	seconds := time.Duration(math.Ceil(after/float64(time.Second))) * time.Second
	return min(ComeBackMost, max(ComeBackLeast, seconds))
}
