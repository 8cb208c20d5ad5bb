package outlier

import (
	"math"
	"time"
)

const (
	// priorOdds are the log odds that a worker is at fault before anything is known of it: one in
	// a hundred is. workPriorOdds are those of a job: three in a hundred can never be done.
	priorOdds     = -4.6
	workPriorOdds = -3.5

	// ejectOdds is how far above priorOdds the log odds of a worker must be for it to be ejected:
	// at a chance of about 0.9, which is three failures in a row of jobs that have not failed
	// elsewhere. With 6.0, two such failures ejected a sound worker once in 700 s. doubtOdds and
	// fewOdds are the limits from which on it gets less: about one such failure, and two with a
	// success in between.
	ejectOdds = 7.0
	doubtOdds = 1.5
	fewOdds   = 4.0

	// maxOdds and minWorkOdds bound the log odds, so that a worker or a job that changes is
	// noticed after a few runs.
	maxOdds     = 12.0
	minWorkOdds = -2.0

	// returnOdds are the odds of a worker that returns: one failure ejects it again.
	returnOdds = ejectOdds - 2.3

	// refusalOdds and hangingOdds are what a refused start and a run that hangs add to the odds.
	// Overload explains both as well, so they count for less than a failed run. Refusals count
	// once in refusalInterval: a full pass of placement meets one worker many times.
	refusalOdds     = 0.8
	hangingOdds     = 1.5
	refusalInterval = time.Second

	// badRate is the share of its runs that a worker at fault is taken to fail in addition to
	// what fails anyway. Workers that fail from half to all of their runs were seen.
	badRate = 0.6

	// hopelessRate is the share of runs that a job at fault fails. It is below 1, so that a
	// success of such a job is possible.
	hopelessRate = 0.98

	// baseRate is the share of runs that fail by their own fault, before anything is known of
	// their kind. It counts like baseRuns runs. minBase and maxBase bound the learned rate.
	baseRate = 0.02
	baseRuns = 100
	minBase  = 0.02
	maxBase  = 0.3

	// maxKindRuns is the number of runs of a kind after which older ones lose half of their
	// weight; maxKinds bounds the number of kinds.
	maxKindRuns = 500
	maxKinds    = 1024
)

// Observation is the end of one run, with what was known before it.
type Observation struct {
	Failed bool

	// Worker and Work are the log odds that the worker and the job are at fault.
	Worker float64
	Work   float64

	// Base is the share of runs of the kind that fail though neither is.
	Base float64
}

// Work is what is known of a job. The zero value is a job of which nothing is known.
type Work struct {
	// odds is how far the log odds that the job is at fault are above workPriorOdds.
	odds float64
}

// kind counts the ends of runs of one image or route.
type kind struct {
	runs   float64
	failed float64
}

// Ratio returns by how much the end of a run changes the log odds of its worker and of its job: the
// logarithm of how much more likely the end is if the worker, or the job, is at fault. What the one
// explains is no evidence against the other.
func Ratio(o Observation) (worker, work float64) {
	byWorker, byWork := chance(o.Worker), chance(o.Work)
	fails := func(worker, work float64) float64 {
		passes := (1 - o.Base) * (1 - badRate*worker) * (1 - hopelessRate*work)
		return 1 - passes
	}
	ifBad, ifGood := fails(1, byWork), fails(0, byWork)
	ifHopeless, ifSound := fails(byWorker, 1), fails(byWorker, 0)
	if !o.Failed {
		ifBad, ifGood = 1-ifBad, 1-ifGood
		ifHopeless, ifSound = 1-ifHopeless, 1-ifSound
	}
	return math.Log(ifBad / ifGood), math.Log(ifHopeless / ifSound)
}

// oddsAt returns the log odds of a worker above priorOdds at a time. Those of an ejected worker do
// not decrease by themselves.
func (w *Worker) oddsAt(now time.Time) float64 {
	passed := now.Sub(w.updatedAt)
	if w.state == ejected || w.odds == 0 || passed <= 0 {
		return w.odds
	}
	return w.odds * math.Exp2(-passed.Seconds()/oddsHalfLife.Seconds())
}

// kind returns the counts of a kind. Kinds beyond maxKinds are not told apart.
func (f *Fleet) kind(name string) *kind {
	if k, found := f.kinds[name]; found {
		return k
	}
	if len(f.kinds) >= maxKinds {
		return &kind{}
	}
	k := &kind{}
	f.kinds[name] = k
	return k
}

// rate returns the share of runs of the kind that fail by their own fault.
func (k *kind) rate() float64 {
	return min(max((k.failed+baseRate*baseRuns)/(k.runs+baseRuns), minBase), maxBase)
}

// count adds the end of a run, by the chance that its worker is not at fault.
func (k *kind) count(failed bool, share float64) {
	k.runs += share
	if failed {
		k.failed += share
	}
	if k.runs > maxKindRuns {
		k.runs /= 2
		k.failed /= 2
	}
}
