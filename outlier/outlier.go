// Package outlier tells workers that fail what they start from tasks that fail wherever they run,
// and decides what a worker may be given until it has proved itself. It does no I/O and reads no
// clock.
package outlier

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"time"
)

const (
	// DefaultShare is the default of Options.Share.
	DefaultShare = 0.3

	// MaxShare is the maximum of Options.Share.
	MaxShare = 0.5

	// DefaultProbeAfter is the default of Options.ProbeAfter.
	DefaultProbeAfter = time.Second

	// MaxProbeAfter is the maximum of Options.ProbeAfter, and the longest time between two probes.
	MaxProbeAfter = 16 * time.Second

	// elsewhereShare is the share of the workers with known ends that must have to be ejected for
	// the cause to be elsewhere, so that none is.
	elsewhereShare = 0.75

	// minElsewhere is the minimum number of workers to be ejected for the cause to be elsewhere.
	minElsewhere = 2

	// holdBonus is added to the log odds of an ejected worker when the worst are selected. Without
	// it, two equally bad workers replace each other with every run that ends.
	holdBonus = 2.0

	// alertTime is how long after an ejection workers without a known success are bounded. Without
	// an ejection, the bound would delay all work that waits for new workers.
	alertTime = 30 * time.Second

	// giveBackAfter is how long a worker must be out of use for its instance to be given back.
	giveBackAfter = 10 * time.Second
)

// Events that Options.Report is called with.
const (
	EventEjected  = "worker ejected"
	EventProbed   = "worker probed"
	EventReturned = "worker returned"
	EventLimit    = "ejection limit reached"
)

// Options are the settings and callbacks of a Fleet.
type Options struct {
	// Share is the maximum share of the workers that are ejected at one time; at least one may be,
	// unless it is the only one. 0 switches ejection and all bounds off.
	Share float64

	// ProbeAfter is the time from an ejection to the first probe. It doubles with each probe that
	// fails.
	ProbeAfter time.Duration

	// Update estimates what the end of a run shows. If it is nil, Ratio does.
	Update func(Observation) (worker, work float64)

	// Report is called with each change, for the log.
	Report func(event string, fields ...any)
}

// Fleet is what is known of the workers of one service.
type Fleet struct {
	opts    Options
	workers map[*Worker]struct{}
	kinds   map[string]*kind

	// heard counts the workers of which the end of a run is known, ejected those that are ejected.
	// over holds the workers whose log odds are at least ejectOdds or that are ejected.
	heard   int
	ejected int
	over    map[*Worker]struct{}

	// elsewhere says that nearly all workers fail. limited says that more workers are to be
	// ejected than may be.
	elsewhere bool
	limited   bool

	// alertUntil is until when workers without a known success are bounded.
	alertUntil time.Time
}

// New returns a fleet without workers.
func New(opts Options) *Fleet {
	if opts.Update == nil {
		opts.Update = Ratio
	}
	return &Fleet{
		opts:    opts,
		workers: make(map[*Worker]struct{}),
		over:    make(map[*Worker]struct{}),
		kinds:   make(map[string]*kind),
	}
}

// Add adds a worker of which nothing is known.
func (f *Fleet) Add(name string) *Worker {
	w := &Worker{
		name: name,
	}
	f.workers[w] = struct{}{}
	return w
}

// Rename sets the name of a worker, once its incarnation is known.
func (w *Worker) Rename(name string) {
	w.name = name
}

// Remove removes a worker whose incarnation has ended.
func (f *Fleet) Remove(w *Worker, now time.Time) {
	if _, found := f.workers[w]; !found {
		return
	}
	delete(f.workers, w)
	if w.ended > 0 {
		f.heard--
	}
	if w.state == ejected {
		f.ejected--
	}
	delete(f.over, w)
	f.apportion(now)
}

// Ejected returns the number of ejected workers.
func (f *Fleet) Ejected() int {
	return f.ejected
}

// Done records a run that ended well. began is when it was started; zero if unknown.
func (f *Fleet) Done(w *Worker, work *Work, kind string, began, now time.Time) {
	f.end(w, work, kind, false, began, now)
}

// Failed records a run that failed. began is when it was started; zero if unknown.
func (f *Fleet) Failed(w *Worker, work *Work, kind string, began, now time.Time) {
	f.end(w, work, kind, true, began, now)
}

// Refused records a start that the worker refused because it accepts no tasks. At an ejected worker it
// is a failed probe, so that starts are not repeated until the next probe is due.
func (f *Fleet) Refused(w *Worker, now time.Time) {
	if w.state == ejected && !now.Before(w.probeAt) {
		f.probeFailed(w, now)
	}
	if now.Sub(w.refusedAt) < refusalInterval {
		return
	}
	w.refusedAt = now
	f.change(w, now, func() { w.shift(refusalOdds, now) })
}

// Hanging records a run that takes far longer than usual.
func (f *Fleet) Hanging(w *Worker, now time.Time) {
	f.change(w, now, func() { w.shift(hangingOdds, now) })
}

// end records the end of a run as evidence about its worker and about its work.
func (f *Fleet) end(w *Worker, work *Work, name string, failed bool, began, now time.Time) {
	k := f.kind(name)
	byWorker, byWork := f.opts.Update(Observation{
		Failed: failed,
		Worker: priorOdds + w.oddsAt(now),
		Work:   workPriorOdds + work.odds,
		Base:   k.rate(),
	})
	work.odds = min(max(work.odds+byWork, minWorkOdds), maxOdds)
	if w.ended == 0 {
		f.heard++
	}
	f.change(w, now, func() {
		w.ended++
		w.shift(byWorker, now)
		if failed {
			w.failed++
			w.failures++
		} else {
			w.failures = 0
			w.succeededAt = now
		}
		f.probeEnded(w, failed, began, now)
	})
	k.count(failed, 1-chance(priorOdds+w.odds))
}

// probeEnded lets an ejected worker return after enough good probes, and one that returns have all
// its room back. Runs that began before the ejection are no probes.
func (f *Fleet) probeEnded(w *Worker, failed bool, began, now time.Time) {
	switch {
	case w.state == returning && !failed:
		if w.good++; w.good >= returnRuns {
			w.state = healthy
			w.ejectedSince = time.Time{}
			w.probeInterval = 0
		}
	case w.state != ejected || began.Before(w.ejectedAt):
	case failed:
		f.probeFailed(w, now)
	default:
		w.good++
		f.report(EventProbed, w, "good", true, "next_ms", 0)
		if w.good >= goodProbes {
			w.state = returning
			w.good = 0
			w.odds = returnOdds
			f.ejected--
			f.report(EventReturned, w, "after_ms", now.Sub(w.ejectedSince).Milliseconds())
		}
	}
}

// probeFailed postpones the next probe of an ejected worker.
func (f *Fleet) probeFailed(w *Worker, now time.Time) {
	w.good = 0
	w.probeInterval = min(MaxProbeAfter, 2*w.probeInterval)
	w.probeAt = now.Add(w.probeInterval)
	f.report(EventProbed, w, "good", false, "next_ms", w.probeInterval.Milliseconds())
}

// change applies a change to a worker and then decides anew who is ejected.
func (f *Fleet) change(w *Worker, now time.Time, apply func()) {
	before := w.isOver()
	apply()
	if after := w.isOver(); after != before {
		if after {
			f.over[w] = struct{}{}
		} else {
			delete(f.over, w)
		}
	} else if len(f.over) == 0 {
		return
	}
	f.apportion(now)
}

// apportion decides who is ejected: the worst of those whose odds say so, up to the share, and none
// if nearly all fail. Without such workers it takes no time.
func (f *Fleet) apportion(now time.Time) {
	if f.opts.Share == 0 || (len(f.over) == 0 && !f.elsewhere && !f.limited) {
		return
	}
	over := len(f.over)
	elsewhere := over >= minElsewhere && float64(over) >= elsewhereShare*float64(f.heard)
	// The last worker stays in use: without it nothing would run.
	most := min(max(1, int(f.opts.Share*float64(len(f.workers)))), len(f.workers)-1)
	if elsewhere {
		most = 0
	}
	limited := over > most
	if limited && (!f.limited || elsewhere != f.elsewhere) {
		f.opts.Report(EventLimit, "failing", over, "most", most, "workers", len(f.workers), "elsewhere", elsewhere)
	}
	f.elsewhere = elsewhere
	f.limited = limited
	list := slices.SortedFunc(maps.Keys(f.over), func(a, b *Worker) int {
		if badA, badB := a.rank(), b.rank(); badA != badB {
			if badA > badB {
				return -1
			}
			return 1
		}
		return strings.Compare(a.name, b.name)
	})
	for i, w := range list {
		switch {
		case i < most && w.state != ejected:
			f.eject(w, now)
		case i >= most && w.state == ejected:
			f.release(w, now)
		}
	}
}

// eject ejects a worker. The time between probes starts at Options.ProbeAfter, unless the worker was
// returning.
func (f *Fleet) eject(w *Worker, now time.Time) {
	w.state = ejected
	w.good = 0
	w.ejectedAt = now
	if w.ejectedSince.IsZero() {
		w.ejectedSince = now
	}
	if w.probeInterval == 0 {
		w.probeInterval = f.opts.ProbeAfter
	}
	w.probeAt = now.Add(w.probeInterval)
	f.ejected++
	f.alertUntil = now.Add(alertTime)
	f.report(EventEjected, w, "probe_after_ms", w.probeInterval.Milliseconds())
}

// release ends the ejection of a worker that is not among the worst any more.
func (f *Fleet) release(w *Worker, now time.Time) {
	f.ejected--
	w.state = healthy
	f.report(EventReturned, w, "after_ms", now.Sub(w.ejectedSince).Milliseconds())
	w.ejectedSince = time.Time{}
	if !w.isOver() {
		delete(f.over, w)
	}
}

// report reports a change of a worker, with the evidence.
func (f *Fleet) report(event string, w *Worker, fields ...any) {
	line := append([]any{
		"worker", w.name,
		"ended", w.ended,
		"failed", w.failed,
		"failed_in_a_row", w.failures,
		"chance", fmt.Sprintf("%.3f", w.Chance()),
		"ejected", f.ejected,
		"workers", len(f.workers),
	}, fields...)
	f.opts.Report(event, line...)
}

// chance returns the probability that belongs to log odds.
func chance(odds float64) float64 {
	return 1 / (1 + math.Exp(-odds))
}
