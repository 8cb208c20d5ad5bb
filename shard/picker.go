package shard

import (
	"slices"
	"time"

	"lemonstream.dev/lemonstream/job"
)

// picker chooses workers for the tasks of one step, one after the other. Load pattern: hundreds
// of tasks start in one placement pass, and most tasks of a step are alike. So every worker is
// weighed once for the step, and again only after a task of the step started there.
type picker struct {
	shard *Shard
	now   time.Time

	// ranked holds the workers that are eligible for the tasks of the step for which
	// sharesWeights reports true; weighed says that it is filled.
	ranked  []rankedWorker
	weighed bool

	// started holds the workers on which a task was started since they were weighed.
	started []*workerState
}

// rankedWorker is a worker that is eligible for a task, with its weight for the task; a lower
// weight is better.
type rankedWorker struct {
	worker *workerState
	weight float64
}

// choose returns the best worker for a task of the step, or nil if none can take it now.
func (p *picker) choose(id job.TaskID, spec *job.Step, t *taskState) *workerState {
	if !t.sharesWeights() || t.isOverdue(p.now) {
		return p.shard.choose(id, spec, t, p.now)
	}
	c := newCandidate(id, spec, t)
	if !p.weighed {
		p.weigh(c)
	} else {
		p.reweigh(c)
	}
	if best := p.best(); best != nil {
		return best
	}
	return p.shard.chooseForStuck(id, spec, t, p.now)
}

// weigh fills ranked with the eligible workers and their weights.
func (p *picker) weigh(c candidate) {
	p.weighed = true
	p.started = p.started[:0]
	for _, w := range p.shard.usable {
		if p.shard.checkEligibility(w, c, p.now) == eligible {
			p.ranked = append(p.ranked, rankedWorker{
				worker: w,
				weight: p.shard.weigh(w, c.spec, c.task),
			})
		}
	}
}

func (p *picker) best() *workerState {
	var best rankedWorker
	for _, r := range p.ranked {
		if best.worker == nil || r.isBetter(best) {
			best = r
		}
	}
	return best.worker
}

// reweigh updates the workers on which a task was started since they were weighed. Workers that
// are no longer eligible leave the list.
func (p *picker) reweigh(c candidate) {
	for _, w := range p.started {
		i := slices.IndexFunc(p.ranked, func(r rankedWorker) bool { return r.worker == w })
		switch {
		case i < 0:
		case p.shard.checkEligibility(w, c, p.now) != eligible:
			p.ranked = slices.Delete(p.ranked, i, i+1)
		default:
			p.ranked[i].weight = p.shard.weigh(w, c.spec, c.task)
		}
	}
	p.started = p.started[:0]
}

// isBetter reports whether r has the lower weight, or the same weight and the lower worker ID.
func (r rankedWorker) isBetter(other rankedWorker) bool {
	return r.weight < other.weight || (r.weight == other.weight && r.worker.reg.ID < other.worker.reg.ID)
}

// sharesWeights reports whether each worker has the same weight for the task as for the other
// such tasks of its step: it has used no attempt, has no workers to avoid, and is not suspected of
// crashing workers.
func (t *taskState) sharesWeights() bool {
	return len(t.failedWorkers) == 0 && !t.triedBefore && !t.isSuspect()
}
