package shard

import (
	"time"

	"lemonstream.dev/lemonstream/job"
)

// Weights of a cold worker, which is slow for some time after its start. For a task that must not
// be slow or fail, weightColdAvoided outweighs interference and load, but not the distance to the
// task's data. For any other task, weightColdTaken equals a whole worker's load: cold workers
// get work once the warm ones are full, and return to use gradually as they warm up.
const (
	weightColdAvoided = 50.0
	weightColdTaken   = weightLoad
)

// updateCold updates until when the worker is cold. The earliest end that any row of an incarnation
// has implied counts, because a worker need not rewrite its row as time passes.
func (w *workerState) updateCold(now time.Time) {
	ends := now.Add(w.reg.ColdLeft)
	if w.coldUntil.IsZero() || !w.coldBorn.Equal(w.reg.Born) || ends.Before(w.coldUntil) {
		w.coldBorn = w.reg.Born
		w.coldUntil = ends
	}
}

// coldWeight returns the weight that a worker has for a task because it is cold.
func (w *workerState) coldWeight(spec *job.Step, t *taskState) float64 {
	switch {
	case !w.cold:
		return 0
	case spec.Lasting || spec.Gang || t.lastAttempt:
		return weightColdAvoided
	default:
		return weightColdTaken
	}
}
