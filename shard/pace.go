package shard

import (
	"time"

	"lemonstream.dev/lemonstream/job"
)

const (
	// paceLook is how long a look waits at a worker where fillers run beside
	// tasks that serve: the tails there shift within seconds.
	paceLook = 250 * time.Millisecond

	// paceDownAt and paceUpAt are the shares of its target at which the tail of
	// a serving task makes the fillers beside it slower, and below which they
	// get faster again. The tail is a rough figure over half a second.
	paceDownAt = 0.85
	paceUpAt   = 0.6

	// paceDown divides the fillers' share, paceUp is added to it, in percent:
	// down fast, since a tail over its target costs four times what a filler
	// earns, and up slowly.
	paceDown = 2
	paceUp   = 10

	// paceLeast is the share below which a filler is halted.
	paceLeast = 10
)

// Paced takes in the answer to an order to pace.
func (s *Shard) Paced(pace Pace, err error) {
	w, found := s.workers[pace.Worker.ID]
	if !found {
		return
	}
	r, found := w.runs[pace.Task]
	if !found || r.number != pace.Run {
		return
	}
	r.pacing = false
	if err != nil {
		// The next look orders it again.
		r.share = sharedUnknown
		s.opts.Report("pace failed", "task", pace.Task.String(), "worker", pace.Worker.ID, "percent", pace.Percent, "error", err.Error())
	}
}

// sharedUnknown stands for a share that the worker may or may not have taken.
const sharedUnknown = -1

// pace sets the share of the fillers on a worker by the tails of what serves
// there.
func (s *Shard) pace(w *workerState) {
	worst := 0.0
	serving := false
	var fillers []job.TaskID
	for id, r := range w.runs {
		step, found := s.stepOf(id)
		switch {
		case !found || r.phase != phaseRunning:
		case step.TailTarget > 0:
			serving = true
			worst = max(worst, float64(r.figure)/float64(step.TailTarget.Milliseconds()))
		case step.Filler:
			fillers = append(fillers, id)
		}
	}
	w.shared = serving && len(fillers) > 0
	for _, id := range fillers {
		s.paceOne(w, w.runs[id], worst, serving)
	}
}

// paceOne orders a new share for a filler where the tails ask for it.
func (s *Shard) paceOne(w *workerState, r *run, worst float64, serving bool) {
	if r.pacing {
		return
	}
	wanted := r.share
	switch {
	case wanted == sharedUnknown && worst > paceDownAt:
		wanted = fullPercent / paceDown
	case !serving || wanted == sharedUnknown:
		wanted = fullPercent
	case worst > paceDownAt:
		wanted /= paceDown
	case worst < paceUpAt:
		wanted = min(fullPercent, wanted+paceUp)
	}
	if wanted < paceLeast && worst > paceDownAt {
		wanted = 0
	}
	if wanted == r.share {
		return
	}
	s.opts.Report("filler paced", "task", r.id.String(), "worker", w.reg.ID, "from", r.share, "to", wanted, "worst_tail", worst)
	r.share = wanted
	r.pacing = true
	s.orders.Paces = append(s.orders.Paces, Pace{
		Worker:  w.ref(),
		Task:    r.id,
		Run:     r.number,
		Percent: wanted,
		Fence:   s.fenceAt(w.reg.ID),
	})
}
