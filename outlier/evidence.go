package outlier

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// minEvidenceOdds is the least that must speak against a worker for a successor to be told.
const minEvidenceOdds = 1.0

// Evidence is what an owner tells its successor about one worker.
type Evidence struct {
	// Worker is the incarnation of the worker.
	Worker string

	// Odds is how far the log odds that it is at fault are above those of an unknown worker.
	Odds float64

	// Ended counts the ends that are known, Failed those that failed.
	Ended  int
	Failed int

	// ProbeInterval is the time between two probes of an ejected worker, OutFor how long it has
	// been out of full use; 0 for other workers.
	ProbeInterval time.Duration
	OutFor        time.Duration

	// Ejected says that the worker is ejected.
	Ejected bool
}

// EvidenceError reports evidence that cannot be true.
type EvidenceError struct {
	Worker string
	Reason string
}

// Error implements error.
func (e *EvidenceError) Error() string {
	return fmt.Sprintf("evidence against worker %q: %s", e.Worker, e.Reason)
}

// Check returns an *EvidenceError if the evidence cannot be true.
func (e Evidence) Check() error {
	var reason string
	switch {
	case e.Worker == "":
		reason = "no worker is named"
	case !(e.Odds >= 0 && e.Odds <= maxOdds):
		reason = fmt.Sprintf("odds of %g are not between 0 and %g", e.Odds, maxOdds)
	case e.Failed < 0 || e.Ended < e.Failed:
		reason = fmt.Sprintf("%d of %d runs failed", e.Failed, e.Ended)
	case e.ProbeInterval < 0 || e.ProbeInterval > MaxProbeAfter:
		reason = fmt.Sprintf("probe interval %v is not between 0s and %v", e.ProbeInterval, MaxProbeAfter)
	case e.OutFor < 0:
		reason = "out of use for " + e.OutFor.String()
	default:
		return nil
	}
	return &EvidenceError{
		Worker: e.Worker,
		Reason: reason,
	}
}

// Compare returns a negative number if e is to be told before o: the worst comes first.
func (e Evidence) Compare(o Evidence) int {
	if e.Odds != o.Odds {
		return cmp.Compare(o.Odds, e.Odds)
	}
	return cmp.Compare(e.Worker, o.Worker)
}

// Evidence returns what speaks against workers, the worst first.
func (f *Fleet) Evidence(now time.Time) []Evidence {
	var list []Evidence
	for w := range f.workers {
		odds := w.oddsAt(now)
		if w.state == healthy && odds < minEvidenceOdds {
			continue
		}
		e := Evidence{
			Worker:        w.name,
			Odds:          odds,
			Ended:         w.ended,
			Failed:        w.failed,
			ProbeInterval: w.probeInterval,
			Ejected:       w.state == ejected,
		}
		if !w.ejectedSince.IsZero() {
			e.OutFor = now.Sub(w.ejectedSince)
		}
		list = append(list, e)
	}
	slices.SortFunc(list, Evidence.Compare)
	return list
}

// Restore adds what an earlier owner knew of a worker. The evidence must have passed Check.
func (f *Fleet) Restore(w *Worker, e Evidence, now time.Time) {
	if w.ended == 0 && e.Ended > 0 {
		f.heard++
	}
	f.change(w, now, func() {
		w.odds = max(w.odds, e.Odds)
		w.updatedAt = now
		w.ended += e.Ended
		w.failed += e.Failed
		w.probeInterval = e.ProbeInterval
		if e.Failed > 0 && w.succeededAt.IsZero() {
			w.failures = max(w.failures, 1)
		}
		if e.OutFor > 0 {
			w.ejectedSince = now.Add(-e.OutFor)
		}
		if e.Ejected {
			w.odds = max(w.odds, ejectOdds)
		} else if e.OutFor > 0 {
			w.state = returning
		}
	})
}
