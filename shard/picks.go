package shard

import (
	"slices"
	"time"

	"lemonstream.dev/lemonstream/job"
)

// picks finds workers for the tasks of one step, one after the other. Load pattern: hundreds of
// tasks start within one look at all that waits, and most tasks of a step are alike, so that
// every worker is weighed once for the step, and again only where one of its tasks started.
type picks struct {
	shard *Shard
	now   time.Time

	// list holds the workers that take a usual task of the step; weighed says that it is
	// filled.
	list    []pick
	weighed bool

	// started holds the workers that were given tasks since they were weighed.
	started []*workerState
}

// pick is a worker that takes a task, and how bad it is for it.
type pick struct {
	worker *workerState
	weight float64
}

// choose returns the best worker that can take a task of the step now, or nil.
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

// weigh fills the list.
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
	for _, one := range p.list {
		if best.worker == nil || one.isBetter(best) {
			best = one
		}
	}
	return best.worker
}

// weighAgain takes in what was started since the list was last looked at.
func (p *picks) weighAgain(c candidate) {
	for _, w := range p.started {
		at := slices.IndexFunc(p.list, func(one pick) bool { return one.worker == w })
		switch {
		case at < 0:
		case p.shard.refuses(w, c, p.now) != takes:
			p.list = slices.Delete(p.list, at, at+1)
		default:
			p.list[at].weight = p.shard.weigh(w, c.spec, c.task)
		}
	}
	p.started = p.started[:0]
}

// isBetter orders by weight, and by name where that is the same.
func (p pick) isBetter(than pick) bool {
	return p.weight < than.weight || (p.weight == than.weight && p.worker.reg.ID < than.worker.reg.ID)
}

// isUsual reports whether every worker is as good or bad for a task as for any other of its
// step.
func (t *taskState) isUsual() bool {
	return len(t.avoid) == 0 && !t.isSuspect()
}
