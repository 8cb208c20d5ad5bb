package shard

import (
	"slices"
	"time"

	"lemonstream.dev/lemonstream/job"
)

// picker chooses workers for the tasks of one step, one after the other. Load pattern: hundreds
// of tasks start in one placement pass, and most tasks of a step are alike. So every worker is
// weighed once for the step, and again only after a task of the step started there.
type picks struct {
	shard *Shard
	now   time.Time

	// ranked holds the workers that are eligible for the tasks of the step for which
	// sharesWeights reports true; weighed says that it is filled.
	list    []pick
	weighed bool

	// started holds the workers on which a task was started since they were weighed.
	started []*workerState
}

// rankedWorker is a worker that is eligible for a task, with its weight for the task; a lower
// weight is better.
type pick struct {
	worker *workerState
	weight float64
}

// choose returns the best worker for a task of the step, or nil if none can take it now.
func (p *picks) choose(id job.TaskID, spec *job.Step, t *taskState) *workerState {
	if !t.isUsual() {
		return p.shard.choose(id, spec, t, p.now)
	}
	c := newCandidate(id, spec, t)
	if !p.weighed {
		p.weigh(c)
	} else {
		p.weighAgain(c)
	}
	if best := p.best(); best != nil {
		return best
	}
	return p.shard.chooseInNeed(id, spec, t, p.now)
}

// weigh fills ranked with the eligible workers and their weights.
func (p *picks) weigh(c candidate) {
	p.weighed = true
	p.started = p.started[:0]
	for _, w := range p.shard.usable {
		if p.shard.refuses(w, c, p.now) == takes {
			p.list = append(p.list, pick{
				worker: w,
				weight: p.shard.weigh(w, c.spec, c.task),
			})
		}
	}
}

func (p *picks) best() *workerState {
	var best pick
	for _, r := range p.list {
		if best.worker == nil || r.isBetter(best) {
			best = r
		}
	}
	return best.worker
}

// reweigh updates the workers on which a task was started since they were weighed. Workers that
// are no longer eligible leave the list.
func (p *picks) weighAgain(c candidate) {
	for _, w := range p.started {
		i := slices.IndexFunc(p.list, func(r pick) bool { return r.worker == w })
		switch {
		case i < 0:
		case p.shard.refuses(w, c, p.now) != takes:
			p.list = slices.Delete(p.list, i, i+1)
		default:
			p.list[i].weight = p.shard.weigh(w, c.spec, c.task)
		}
	}
	p.started = p.started[:0]
}

// isBetter reports whether r has the lower weight, or the same weight and the lower worker ID.
func (r pick) isBetter(other pick) bool {
	return r.weight < other.weight || (r.weight == other.weight && r.worker.reg.ID < other.worker.reg.ID)
}

// sharesWeights reports whether each worker has the same weight for the task as for the other
// such tasks of its step: it has no workers to avoid, and is not suspected of crashing workers.
func (t *taskState) isUsual() bool {
	return len(t.avoid) == 0 && !t.isSuspect()
}
