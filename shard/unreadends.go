package shard

import (
	"time"
)

const (
	// manyListedEnds is the number of listed ends from which an answer is logged. A worker lists at
	// most 500 ends at once; a run whose end is beyond them is in no list.
	manyListedEnds = 400

	// manyEndsInterval is the shortest time between two such lines about one worker.
	manyEndsInterval = time.Second
)

// MostListedEnds returns the largest number of ends that a worker listed in its last answer, as of
// the last call of Next.
func (s *Shard) MostListedEnds() int {
	return s.mostListedEnds
}

// logUnreadEnds records how many ends a worker lists, and logs it if they are many.
func (s *Shard) logUnreadEnds(w *workerState, listed int, now time.Time) {
	w.listedEnds = listed
	if listed < manyListedEnds || now.Sub(w.manyEndsLoggedAt) < manyEndsInterval {
		return
	}
	w.manyEndsLoggedAt = now
	s.opts.LogEvent("many unread ends", "worker", w.incarnation().String(), "listed", listed, "acknowledged", w.acked,
		"deferred", len(w.deferred))
}
