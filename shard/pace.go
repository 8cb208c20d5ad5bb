package shard

import (
	"time"

	"lemonstream.dev/lemonstream/job"
)

const (
	// pacedPollWait is the longest time that a poll waits at a worker where fillers run beside
	// serving tasks: the tail latencies there change within seconds.
	pacedPollWait = 250 * time.Millisecond

	// slowDownAt and speedUpAt are parts of a serving task's target: with a tail latency above
	// slowDownAt the fillers beside the task are slowed down, below speedUpAt they are sped up
	// again. The tail latency is a rough value over half a second.
	slowDownAt = 0.85
	speedUpAt  = 0.6

	// slowDownDivisor divides the share of a filler, speedUpStep is added to it, in percent. A
	// share falls fast, because a tail latency over its target costs four times what a filler
	// earns, and rises slowly.
	slowDownDivisor = 2
	speedUpStep     = 10

	// minFillerShare is the share, in percent, below which a filler is halted instead of being
	// slowed down further.
	minFillerShare = 10
)

// Paced handles the answer to a Pace order.
func (s *Shard) Paced(pace Pace, err error) {
	s.opts.UnderWay.Paces.Done(1)
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
		// The next poll orders it again.
		r.share = shareUnknown
		s.opts.LogEvent("setting the pace failed", "task", pace.Task.String(), "worker", pace.Worker.ID, "percent", pace.Percent, "error", err.Error())
	}
}

// shareUnknown is the share of a filler whose last Pace order failed: the worker may or may not
// have applied it.
const shareUnknown = -1

// paceFillers adjusts the shares of the fillers on a worker to the worst tail latency of the
// serving tasks there.
func (s *Shard) paceFillers(w *workerState) {
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
	w.sharedByFillers = serving && len(fillers) > 0
	for _, id := range fillers {
		s.paceFiller(w, w.runs[id], worst, serving)
	}
}

// paceFiller orders a new share for a filler, if it changes. worst is the worst tail latency of
// the serving tasks on the worker, as a part of its target; serving says that there are any.
func (s *Shard) paceFiller(w *workerState, r *run, worst float64, serving bool) {
	if r.pacing {
		return
	}
	wanted := r.share
	switch {
	case wanted == shareUnknown && worst > slowDownAt:
		wanted = fullPercent / slowDownDivisor
	case !serving || wanted == shareUnknown:
		wanted = fullPercent
	case worst > slowDownAt:
		wanted /= slowDownDivisor
	case worst < speedUpAt:
		wanted = min(fullPercent, wanted+speedUpStep)
	}
	if wanted < minFillerShare && worst > slowDownAt {
		wanted = 0
	}
	if wanted == r.share || !s.opts.UnderWay.Paces.Take() {
		// What has to wait is ordered after the next poll.
		return
	}
	s.opts.LogEvent("filler paced", "task", r.id.String(), "worker", w.reg.ID, "from", r.share, "to", wanted, "worst_tail", worst)
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
