package outlier

import "time"

const (
	// goodProbes is how many probes in a row must end well for an ejected worker to return, and
	// returnRuns how many runs must end well after that until it gets all its room.
	goodProbes = 3
	returnRuns = 6

	// successValidity is how long a success counts as recent. An idle worker that was good may
	// have turned bad; a busy one ends several runs a second.
	successValidity = 5 * time.Second

	// oddsHalfLife is the time in which evidence against a worker that is in use loses half of its
	// weight.
	oddsHalfLife = 20 * time.Second
)

// What a worker may be given.
const (
	// AllowAll means that the worker may be filled.
	AllowAll Allowance = iota

	// AllowPart means that the worker may take MinPart runs or half of its room, whichever is more.
	AllowPart

	// AllowFew means that the worker may have MaxFew runs at a time.
	AllowFew

	// AllowProbe means that the worker may take one run if it has none.
	AllowProbe

	// AllowNone means that the worker takes nothing now.
	AllowNone
)

const (
	// MinPart is how many runs a worker under AllowPart may have at least.
	MinPart = 4

	// MaxFew is how many runs a worker under AllowFew may have. A worker that begins to fail has
	// up to ten runs under way, all of which fail; no more may be added until one ends well.
	MaxFew = 2
)

// States of a worker.
const (
	healthy state = iota
	ejected
	returning
)

// Allowance is what a worker may be given.
type Allowance int

type state int

// Worker is what is known of one incarnation of a worker.
type Worker struct {
	name  string
	state state

	// odds is how far the log odds that the worker is at fault are above priorOdds, as of
	// updatedAt; never negative.
	odds      float64
	updatedAt time.Time

	// ended counts the ends that are known, failed those that failed, failures those that failed
	// since the last success. succeededAt is when a run last ended well.
	ended       int
	failed      int
	failures    int
	succeededAt time.Time
	refusedAt   time.Time

	// ejectedAt is when the worker was last ejected, ejectedSince since when it has not had all its
	// room.
	ejectedAt    time.Time
	ejectedSince time.Time

	// probeAt is when the next probe is due, probeInterval the time between two probes. good
	// counts the probes, or the runs after the return, that ended well in a row.
	probeAt       time.Time
	probeInterval time.Duration
	good          int
}

// Allowance returns what a worker may be given now.
func (f *Fleet) Allowance(w *Worker, now time.Time) Allowance {
	switch {
	case f.opts.Share == 0:
		return AllowAll
	case w.state == ejected && !now.Before(w.probeAt):
		return AllowProbe
	case w.state == ejected:
		return AllowNone
	case f.elsewhere:
		return AllowAll
	case w.state == returning && w.failures == 0:
		return AllowPart
	case w.odds >= fewOdds, w.odds >= doubtOdds && w.failures > 0:
		return AllowFew
	case w.odds >= doubtOdds, w.succeededAt.IsZero() && now.Before(f.alertUntil):
		return AllowPart
	default:
		return AllowAll
	}
}

// IsProven reports whether a worker has ended a run well lately, and nothing speaks against it.
func (w *Worker) IsProven(now time.Time) bool {
	return w.state == healthy && w.failures == 0 && w.odds < doubtOdds && !w.succeededAt.IsZero() && now.Sub(w.succeededAt) <= successValidity
}

// IsEjected reports whether a worker is ejected.
func (w *Worker) IsEjected() bool {
	return w.state == ejected
}

// GiveBack reports whether a worker has stayed ejected for so long that its instance is to be given
// back.
func (w *Worker) GiveBack(now time.Time) bool {
	return w.state == ejected && now.Sub(w.ejectedSince) >= giveBackAfter
}

// Chance returns the estimated probability that the worker is at fault.
func (w *Worker) Chance() float64 {
	return chance(priorOdds + w.odds)
}

// Doubt returns how much speaks against a worker, from 0 for nothing to 1.
func (w *Worker) Doubt() float64 {
	if w.odds < doubtOdds {
		return 0
	}
	return w.odds / maxOdds
}

// isOver reports whether a worker is ejected, or to be ejected by its odds.
func (w *Worker) isOver() bool {
	return w.state == ejected || w.odds >= ejectOdds
}

// rank returns the odds by which the worst workers are selected.
func (w *Worker) rank() float64 {
	if w.state == ejected {
		return w.odds + holdBonus
	}
	return w.odds
}

// shift adds to the log odds of a worker.
func (w *Worker) shift(by float64, now time.Time) {
	w.odds = min(max(w.oddsAt(now)+by, 0), maxOdds)
	w.updatedAt = now
}
