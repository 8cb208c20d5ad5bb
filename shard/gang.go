package shard

import (
	"cmp"
	"iter"
	"maps"
	"slices"
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
func (s *Shard) placeGang(g group, step *stepState, spec *job.Step, room *gangRoom, now time.Time) {
	if step.idle < step.remaining || s.isAnyBlocked(g, step, now) {
		return
	}
	if !s.withinQuota(g.job, spec, step.idle) {
		s.waitForQuota(g.job, spec, step.idle)
		return
	}
	if !s.mayAddGang(step.idle) {
		return
	}
	for _, rack := range room.racksFor(spec, step.idle) {
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
	for _, index := range step.returned {
		if !a.assign(index, now) {
			return nil
		}
	}
	if !a.assignUntouched(now) {
		return nil
	}
	return a.chosen
}

// roomOn returns for how many more tasks of the gang a worker has room, at most for all that have none
// yet.
func (a *gangAssignment) roomOn(w *workerState) int {
	if a.dedicated[w] || (a.rack != "" && w.reg.Rack != a.rack) {
		return 0
	}
	most := a.step.idle - len(a.chosen)
	if a.spec.PerWorker > 0 {
		most = min(most, a.spec.PerWorker-a.memberCount[w]-w.countRuns(a.group.task(0)))
	}
	charge := a.spec.Charge()
	return max(0, countFitting(w.free().Sub(scale(charge, a.memberCount[w])), charge, most))
}

// assignUntouched gives workers to all tasks without a state of their own, and reports whether there
// are enough. The tasks are alike: the best worker for one is the best for all, until it is full.
func (a *gangAssignment) assignUntouched(now time.Time) bool {
	if a.step.untouchedIdle() == 0 {
		return true
	}
	next, stop := iter.Pull(a.step.untouchedTasks())
	defer stop()
	index, found := next()
	list := a.rankUntouched(index, now)
	left := a.step.untouchedIdle()
	for _, ranked := range list {
		left -= a.roomOn(ranked.worker)
	}
	if left > 0 {
		return false
	}
	for _, ranked := range list {
		for range a.roomOn(ranked.worker) {
			if !found {
				return true
			}
			a.choose(index, ranked.worker)
			index, found = next()
		}
	}
	return !found
}

// rankUntouched returns the workers that can run an untouched task, the best first.
func (a *gangAssignment) rankUntouched(index int, now time.Time) []rankedWorker {
	var list []rankedWorker
	for _, w := range a.shard.workers {
		if a.eligible(w, index, now) {
			list = append(list, rankedWorker{
				worker: w,
				weight: a.shard.weigh(w, a.spec, a.step.task(index)),
			})
		}
	}
	slices.SortFunc(list, func(one, other rankedWorker) int {
		return cmp.Or(cmp.Compare(one.weight, other.weight), cmp.Compare(one.worker.reg.ID, other.worker.reg.ID))
	})
	return list
}

// choose gives a task a worker.
func (a *gangAssignment) choose(index int, w *workerState) {
	t := a.step.task(index)
	a.chosen[index] = w
	a.memberCount[w]++
	if t.isSuspect() {
		a.suspectCount[w]++
	}
	a.dedicated[w] = t.needsIsolation()
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
	a.choose(index, best)
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

// gangRoom is for how many tasks the workers have room at most, by what one needs. It serves one
// placement, in which room only becomes less. A gang that can't fit by it is not assigned task by task.
type gangRoom struct {
	shard *Shard
	tasks map[job.Room]rackRoom
}

// rackRoom is for how many tasks there is room in all racks and in each.
type rackRoom struct {
	total  int
	byRack map[string]int
}

func (s *Shard) newGangRoom() *gangRoom {
	return &gangRoom{
		shard: s,
		tasks: make(map[job.Room]rackRoom),
	}
}

// racksFor returns the racks in which a gang of count tasks may fit, in the order in which they are
// tried; an empty name stands for all racks together.
func (r *gangRoom) racksFor(spec *job.Step, count int) []string {
	room := r.of(spec.Charge())
	if room.total < count {
		return nil
	}
	if !spec.SameRack {
		return []string{""}
	}
	var racks []string
	for rack, tasks := range room.byRack {
		if tasks >= count {
			racks = append(racks, rack)
		}
	}
	slices.Sort(racks)
	return append(racks, "")
}

// of returns the room for tasks that need charge each.
func (r *gangRoom) of(charge job.Room) rackRoom {
	room, known := r.tasks[charge]
	if known {
		return room
	}
	room.byRack = make(map[string]int)
	for _, w := range r.shard.workers {
		fitting := countFitting(w.free(), charge, job.MaxTasks)
		room.total += fitting
		room.byRack[w.reg.Rack] += fitting
	}
	r.tasks[charge] = room
	return room
}
