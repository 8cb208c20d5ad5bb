package shard

import (
	"sort"
	"time"

	"lemonstream.dev/lemonstream/job"
)

// gangFit is the choice of a worker for each task of a gang, as far as it has come.
type gangFit struct {
	shard *Shard
	group group
	step  *stepState
	spec  *job.Step

	// rack is where all are to run; empty for anywhere.
	rack string

	// chosen maps a task's index to its worker; members counts those on a worker, suspects
	// those of them that are, and alone holds the workers that one has for itself.
	chosen   map[int]*workerState
	members  map[*workerState]int
	suspects map[*workerState]int
	alone    map[*workerState]bool
}

// placeGang starts all tasks of a step at once or none of them.
func (s *Shard) placeGang(g group, step *stepState, spec *job.Step, now time.Time) {
	if len(step.idle) < step.left || s.heldAny(step) {
		return
	}
	if !s.withinQuota(g.job, spec, len(step.idle)) {
		s.waitForQuota(g.job, spec, len(step.idle))
		return
	}
	racks := []string{""}
	if spec.SameRack {
		racks = append(s.racks(), "")
	}
	for _, rack := range racks {
		chosen := s.fitGang(g, step, spec, rack, now)
		if chosen == nil {
			continue
		}
		if !s.affords(spec, g.job, len(chosen), now) {
			return
		}
		number := (s.epoch-1)*runsPerEpoch + 1
		checkpoint := ""
		for _, t := range step.tasks {
			number = max(number, t.lastRun+1)
			if t.checkpoint > checkpoint {
				checkpoint = t.checkpoint
			}
		}
		for index, w := range chosen {
			step.tasks[index].checkpoint = checkpoint
			s.startRun(g.job, step.tasks[index], spec, g.task(index), w, number, now)
		}
		return
	}
	s.keepForGang(g, step, spec, now)
}

// keepForGang empties a worker for the first task of a gang that is to run alone. All that are
// wait from then on.
func (s *Shard) keepForGang(g group, step *stepState, spec *job.Step, now time.Time) {
	kept := false
	for _, index := range step.idle {
		t := step.tasks[index]
		if !t.crashed.Alone() {
			continue
		}
		t.waitAlone(now)
		if !kept {
			s.keep(g.task(index), spec, t, now)
			kept = true
		}
	}
}

// fitGang returns a worker for each idle task of a step, or nil.
func (s *Shard) fitGang(g group, step *stepState, spec *job.Step, rack string, now time.Time) map[int]*workerState {
	f := &gangFit{
		shard:    s,
		group:    g,
		step:     step,
		spec:     spec,
		rack:     rack,
		chosen:   make(map[int]*workerState),
		members:  make(map[*workerState]int),
		suspects: make(map[*workerState]int),
		alone:    make(map[*workerState]bool),
	}
	for _, index := range step.idle {
		if !f.choose(index, now) {
			return nil
		}
	}
	return f.chosen
}

// choose takes the best worker for one more task; false where there is none.
func (f *gangFit) choose(index int, now time.Time) bool {
	t := f.step.tasks[index]
	var best *workerState
	least := 0.0
	for _, w := range f.shard.workers {
		if !f.takes(w, index, now) {
			continue
		}
		weight := f.shard.weigh(w, f.spec, t)
		if t.isSuspect() {
			weight += weightSuspects * float64(f.suspects[w])
		}
		if best == nil || weight < least {
			best = w
			least = weight
		}
	}
	if best == nil {
		return false
	}
	f.chosen[index] = best
	f.members[best]++
	if t.isSuspect() {
		f.suspects[best]++
	}
	f.alone[best] = t.crashed.Alone()
	return true
}

// takes reports whether a worker can run one more task of the gang.
func (f *gangFit) takes(w *workerState, index int, now time.Time) bool {
	t := f.step.tasks[index]
	c := newCandidate(f.group.task(index), f.spec, t)
	if f.shard.refuses(w, c, now) != takes {
		return false
	}
	if f.alone[w] || (t.crashed.Alone() && f.members[w] > 0) || (f.rack != "" && w.reg.Rack != f.rack) {
		return false
	}
	if f.spec.PerWorker > 0 && f.members[w]+w.onStep(c.id) >= f.spec.PerWorker {
		return false
	}
	return w.free().Sub(times(f.spec.Charge(), f.members[w])).Fits(f.spec.Charge())
}

func (s *Shard) racks() []string {
	seen := make(map[string]bool)
	for _, w := range s.workers {
		seen[w.reg.Rack] = true
	}
	list := make([]string, 0, len(seen))
	for rack := range seen {
		list = append(list, rack)
	}
	sort.Strings(list)
	return list
}
