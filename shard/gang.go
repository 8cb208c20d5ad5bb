package shard

import (
	"maps"
	"slices"
	"sort"
	"time"

	"lemonstream.dev/lemonstream/job"
)

// gangAssignment assigns the tasks of a gang to workers, one task at a time.
type gangAssignment struct {
	shard *Shard
	group group
	step  *stepState
	spec  *job.Step

	// allowUnproven says that a last attempt may use workers that are not proven.
	allowUnproven bool

	// rack is the rack in which all tasks must run; empty for any.
	rack string

	// chosen maps the index of a task to its worker. memberCount counts the tasks assigned to
	// each worker, and suspectCount the suspect ones among them. dedicated holds the workers
	// that were assigned to an isolated task.
	chosen       map[int]*workerState
	memberCount  map[*workerState]int
	suspectCount map[*workerState]int
	dedicated    map[*workerState]bool
}

// placeGang starts either all tasks of a step or none.
func (s *Shard) placeGang(g group, step *stepState, spec *job.Step, now time.Time) {
	if step.idle < step.remaining || s.isAnyBlocked(g, step, now) {
		return
	}
	if !s.withinQuota(g.job, spec, step.idle) {
		s.waitForQuota(g.job, spec, step.idle)
		return
	}
	racks := []string{""}
	if spec.SameRack {
		racks = append(s.racks(), "")
	}
	for _, rack := range racks {
		chosen := s.assignGang(g, step, spec, rack, false, now)
		if chosen == nil {
			continue
		}
		if s.takeStartBudget(spec, g.job, len(chosen), now) {
			s.startGang(g, step, spec, chosen, now)
		}
		return
	}
	s.recordWait(g, step, spec, now)
	s.holdGang(g, step, spec, now)
	s.reserveForGang(g, step, spec, now)
}

// startGang orders the start of all tasks of a step on the chosen workers. They share a run number and
// a checkpoint.
func (s *Shard) startGang(g group, step *stepState, spec *job.Step, chosen map[int]*workerState, now time.Time) {
	number := (s.epoch-1)*runsPerEpoch + 1
	checkpoint := ""
	for _, t := range step.states {
		number = max(number, t.lastRun+1)
		checkpoint = max(checkpoint, t.checkpoint)
	}
	for _, index := range slices.Sorted(maps.Keys(chosen)) {
		t := step.own(index)
		t.checkpoint = checkpoint
		s.startRun(g.job, t, spec, g.task(index), chosen[index], number, now)
	}
	s.chargeStart(g, len(chosen))
}

// holdGang records when the wait of a gang with one attempt left for proven workers began, if other
// workers would have taken it.
func (s *Shard) holdGang(g group, step *stepState, spec *job.Step, now time.Time) {
	waits := false
	step.idleStates(func(t *taskState) {
		waits = waits || (t.heldSince.IsZero() && s.holdsLastAttempt(t, now))
	})
	if !waits || s.assignGang(g, step, spec, "", true, now) == nil {
		return
	}
	step.idleStates(func(t *taskState) { t.hold(now) })
}

// reserveForGang reserves a worker for the first isolated task of a gang. The wait of all isolated
// tasks of the gang begins now.
func (s *Shard) reserveForGang(g group, step *stepState, spec *job.Step, now time.Time) {
	reserved := false
	for _, index := range step.returned {
		t := step.states[index]
		if !t.needsIsolation() {
			continue
		}
		t.beginIsolationWait(now)
		if !reserved {
			s.reserveWorker(g.task(index), spec, t, now)
			reserved = true
		}
	}
}

// assignGang returns a worker for each idle task of a step, or nil if one task finds none.
func (s *Shard) assignGang(g group, step *stepState, spec *job.Step, rack string, allowUnproven bool, now time.Time) map[int]*workerState {
	a := &gangAssignment{
		shard:         s,
		group:         g,
		step:          step,
		spec:          spec,
		rack:          rack,
		allowUnproven: allowUnproven,
		chosen:        make(map[int]*workerState),
		memberCount:   make(map[*workerState]int),
		suspectCount:  make(map[*workerState]int),
		dedicated:     make(map[*workerState]bool),
	}
	for index := range step.idleTasks() {
		if !a.assign(index, now) {
			return nil
		}
	}
	return a.chosen
}

// assign gives one more task the best worker and reports whether there is one.
func (a *gangAssignment) assign(index int, now time.Time) bool {
	t := a.step.task(index)
	var best *workerState
	minWeight := 0.0
	for _, w := range a.shard.workers {
		if !a.eligible(w, index, now) {
			continue
		}
		weight := a.shard.weigh(w, a.spec, t)
		if t.isSuspect() {
			weight += weightPerSuspect * float64(a.suspectCount[w])
		}
		if best == nil || weight < minWeight || (weight == minWeight && w.reg.ID < best.reg.ID) {
			best = w
			minWeight = weight
		}
	}
	if best == nil {
		return false
	}
	a.chosen[index] = best
	a.memberCount[best]++
	if t.isSuspect() {
		a.suspectCount[best]++
	}
	a.dedicated[best] = t.needsIsolation()
	return true
}

// eligible reports whether a worker can run one more task of the gang.
func (a *gangAssignment) eligible(w *workerState, index int, now time.Time) bool {
	t := a.step.task(index)
	c := newCandidate(a.group.task(index), a.spec, t)
	c.allowUnproven = a.allowUnproven
	if a.shard.checkEligibility(w, c, now) != eligible {
		return false
	}
	if a.dedicated[w] || (t.needsIsolation() && a.memberCount[w] > 0) || (a.rack != "" && w.reg.Rack != a.rack) {
		return false
	}
	if a.spec.PerWorker > 0 && a.memberCount[w]+w.countRuns(c.id) >= a.spec.PerWorker {
		return false
	}
	return w.free().Sub(scale(a.spec.Charge(), a.memberCount[w])).Fits(a.spec.Charge())
}

// racks returns the racks of all workers in sorted order.
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
