package shard

import (
	"sort"
	"time"

	"lemonstream.dev/lemonstream/job"
	"lemonstream.dev/lemonstream/outside"
)

const (
	// drainMargin is how long before the end of a draining worker a task that saves its progress
	// is stopped there, in addition to the time that the stop takes.
	drainMargin = 700 * time.Millisecond

	// fullPercent is the share, in percent, at which a long-running task counts as available. It
	// is also the share of a filler that is not slowed down.
	fullPercent = 100

	// stuckAfter is how long a long-running task may be without a worker before a closed worker
	// is used. New instances come within 1.8 s of their order, and the platform expects a
	// long-running task to run again about 6 s after its last run.
	stuckAfter = 2500 * time.Millisecond

	// startOverheadBytes is the size on the link of an order to start a task, without the text
	// of its job: headers, names and numbers.
	startOverheadBytes = 400

	// newestFirstPeriod is how long the newest jobs are placed first after a waiting job could no
	// longer end in time: about the time that a new instance takes to come.
	newestFirstPeriod = 2 * time.Second

	// valueExpiryFactor is the multiple of its objective after which a job earns nothing, as the
	// platform defines it.
	valueExpiryFactor = 3

	// minRunTimeSamples is how many run times must be measured before they count in an
	// expected run time.
	minRunTimeSamples = 5

	// smallJobTasks is the number of tasks below which jobs that earn nothing any more are placed in
	// order, whatever their size.
	smallJobTasks = 64

	// stragglerFactor is the multiple of its usual run time after which a copy of a task is
	// started.
	stragglerFactor = 2.0

	// speculateInterval is the time between two searches for stragglers.
	speculateInterval = 100 * time.Millisecond

	// minSpeculateSamples is how many run times of an image must be measured before copies of
	// its tasks are started.
	minSpeculateSamples = 5
)

// Weights for the choice of a worker; the worker with the lowest sum is chosen. Only the order of
// their sizes matters: a stronger reason outweighs all weaker ones.
const (
	weightEjected      = 10_000.0
	weightFailedHere   = 1000.0
	weightUnproven     = 500.0
	weightDoubt        = 300.0
	weightProbe        = 200.0
	weightRemoteData   = 100.0
	weightInterference = 10.0
	weightLoad         = 1.0
)

// placement is what one placement knows of the groups before.
type placement struct {
	failed     *unplaced
	room       *gangRoom
	unobserved unobservedTasks

	// share bounds the runs of large jobs; nil for no bound.
	share *runShare
}

// place starts the tasks that may start and fit, the most urgent ones first.
func (s *Shard) place(now time.Time) {
	s.refreshUnseen(now)
	if len(s.waiting) == 0 {
		return
	}
	unobserved := s.unobserved(now)
	s.nextStartAt = time.Time{}
	s.startsWait = false
	groups := s.groups(now, unobserved.all)
	s.placeGroups(groups, unobserved, now)
	s.placeIsolated(groups, unobserved, now)
}

// placeGroups starts the tasks of the groups, except isolated ones. It stops as soon as no more
// orders to start tasks may be sent.
func (s *Shard) placeGroups(groups []group, unobserved unobservedTasks, now time.Time) {
	p := &placement{
		failed:     &unplaced{},
		room:       s.newGangRoom(),
		unobserved: unobserved,
	}
	share := s.newRunShare(groups, now)
	var deferred []group
	for i, g := range groups {
		if i > 0 && g.job.policy.Priority != groups[i-1].job.policy.Priority {
			s.placeDeferred(deferred, p, now)
			deferred = nil
		}
		p.share = share
		s.placeGroup(g, p, now)
		if share.isExceeded(g) && g.state().idle > 0 {
			deferred = append(deferred, g)
		}
	}
	s.placeDeferred(deferred, p, now)
}

// placeDeferred starts tasks of groups whose jobs have more than their share of the runs, once all
// others of the same priority were placed.
func (s *Shard) placeDeferred(groups []group, p *placement, now time.Time) {
	p.share = nil
	for _, g := range groups {
		s.placeGroup(g, p, now)
	}
}

// placeGroup starts tasks of one group. It does nothing once no more orders to start tasks may be sent.
func (s *Shard) placeGroup(g group, p *placement, now time.Time) {
	if !s.nextStartAt.IsZero() || s.startsWait || p.share.isExceeded(g) {
		return
	}
	step := g.state()
	spec := &g.job.record.Spec.Steps[g.step]
	if s.failsStep(p.failed, step, spec, now) {
		s.recordWait(g, step, nil, now)
		return
	}
	if !s.ensureTickets(g, now) {
		return
	}
	if spec.Gang {
		if !p.unobserved.containsIdle(g, step) {
			s.placeGang(g, step, spec, p.room, now)
		}
		return
	}
	s.placeStep(g, step, spec, p, now)
}

// placeStep starts the idle tasks of a step until none fits, except those that may have an
// unobserved run. It records in p.failed what found no worker, if lack of room alone can be the reason.
func (s *Shard) placeStep(g group, step *stepState, spec *job.Step, p *placement, now time.Time) {
	failed := p.failed
	if acceptsSome(spec) || g.job.policy.Advised {
		// What such a step finds says nothing about others.
		failed = &unplaced{}
	}
	choices := &picker{
		shard: s,
		now:   now,
	}
	left := step.idle
	for index := range step.idleTasks() {
		id, t := g.task(index), step.task(index)
		left--
		if s.mustWait(g, step, index, p.share) {
			return
		}
		if p.unobserved.contains(id) || s.isBlocked(id, t, now) || t.needsIsolation() {
			continue
		}
		if s.skips(failed, id, spec, t, now) {
			if step.isUntouched(index) {
				return
			}
			continue
		}
		if !s.withinQuota(g.job, spec, 1) {
			s.waitForQuota(g.job, spec, left+1)
			return
		}
		w := choices.choose(id, spec, t)
		if w != nil && !s.takeStartBudget(spec, g.job, 1, now) {
			return
		}
		if w == nil && s.noteUnplaced(failed, g, step, index, now) && !step.isUntouched(index) {
			continue
		}
		if w == nil {
			return
		}
		s.start(g.job, step.own(index), spec, id, w, now)
		s.chargeStart(g, 1)
		choices.started = append(choices.started, w)
	}
}

// mustWait reports whether a task and those of its step after it wait for what their job, or the owner, has
// already: the job has its share of the runs, its row is full and nothing has happened to the task yet, or
// no more runs may be followed.
func (s *Shard) mustWait(g group, step *stepState, index int, share *runShare) bool {
	spec := &g.job.record.Spec.Steps[g.step]
	return share.isExceeded(g) || (step.isUntouched(index) && !spec.Lasting && s.isRowFull(g.job)) || !s.mayAddRun(g.job, spec)
}

// takeStartBudget charges orders to start tasks of a step to the link budget, and reports whether
// they may be sent now. If not, nextStartAt or startsWait is set, and less urgent tasks wait as well.
// Long-running tasks never wait for the link: every second without one counts, and they are few.
func (s *Shard) takeStartBudget(spec *job.Step, j *jobState, orders int, now time.Time) bool {
	if !s.maySendStart() {
		return false
	}
	bytes := orders * (len(j.record.Spec.Text) + startOverheadBytes)
	if s.opts.Starts.Take(bytes, now) || spec.Lasting {
		return true
	}
	s.nextStartAt = s.opts.Starts.ReadyAt(now)
	return false
}

// groups returns the groups of tasks that may start, the most urgent first. It removes jobs
// without idle tasks from waiting. If unobserved is set, only fresh jobs are considered: any other
// job may have unobserved runs.
func (s *Shard) groups(now time.Time, unobserved bool) []group {
	var list []group
	for id, j := range s.waiting {
		idle := false
		for k, o := range j.occurrences {
			for st, step := range o.steps {
				if step.idle == 0 {
					continue
				}
				idle = true
				if !j.isReady(k, st) || (unobserved && !j.fresh) || !s.isConfirmed(j) {
					continue
				}
				list = append(list, newGroup(j, k, st))
			}
		}
		if !idle {
			delete(s.waiting, id)
		}
	}
	for i := range list {
		list[i].valueClass = s.placementValue(list[i], now)
	}
	rankBySize(list, now)
	newestFirst := s.detectMisses(list, now)
	for i := range list {
		list[i].newestFirst = newestFirst
	}
	sort.Slice(list, func(a, b int) bool {
		return list[a].less(list[b])
	})
	s.share(list)
	return list
}

// choose returns the best worker for a task, or nil if none can take it now. A long-running task
// that is stuck may also be placed on a closed worker.
func (s *Shard) choose(id job.TaskID, spec *job.Step, t *taskState, now time.Time) *workerState {
	if best := s.best(newCandidate(id, spec, t), now); best != nil {
		return best
	}
	return s.chooseForStuck(id, spec, t, now)
}

// chooseForStuck returns the best worker, closed or not, for a long-running task that is stuck,
// and nil for any other task.
func (s *Shard) chooseForStuck(id job.TaskID, spec *job.Step, t *taskState, now time.Time) *workerState {
	if !spec.Lasting || !t.isStuck(now) {
		return nil
	}
	c := newCandidate(id, spec, t)
	c.allowClosed = true
	return s.best(c, now)
}

// best returns the eligible worker with the lowest weight for a task, or nil.
func (s *Shard) best(c candidate, now time.Time) *workerState {
	var best *workerState
	bestWeight := 0.0
	for _, w := range s.usable {
		if s.checkEligibility(w, c, now) != eligible {
			continue
		}
		weight := s.weigh(w, c.spec, c.task)
		if best == nil || weight < bestWeight || (weight == bestWeight && w.reg.ID < best.reg.ID) {
			best = w
			bestWeight = weight
		}
	}
	return best
}

// weigh returns the weight of a worker for a task; lower is better.
func (s *Shard) weigh(w *workerState, spec *job.Step, t *taskState) float64 {
	weight := 0.0
	for _, avoided := range t.failedWorkers {
		if avoided.Same(w.incarnation()) {
			weight += weightFailedHere
		}
	}
	weight += s.doubtWeight(w, spec, t)
	if spec.DataRack != "" && spec.DataRack != w.reg.Rack {
		weight += weightRemoteData
	}
	weight += suspectWeight(w, t)
	weight += w.coldWeight(spec, t)
	if spec.Filler || spec.TailTarget > 0 {
		weight += weightInterference * float64(s.countInterfering(w, spec.Filler))
	}
	if w.reg.Capacity.MilliCPU > 0 {
		// Prefer fuller workers, so that others become empty and their instances can be moved.
		weight -= weightLoad * float64(w.used.MilliCPU) / float64(w.reg.Capacity.MilliCPU)
	}
	return weight
}

// countInterfering returns how many runs on a worker would interfere with a new task, which is a
// filler or a serving task. Serving tasks interfere with both kinds, fillers only with serving
// tasks.
func (s *Shard) countInterfering(w *workerState, filler bool) int {
	count := 0
	for id := range w.runs {
		j := s.jobs[id.Job]
		if j == nil || id.Step >= len(j.record.Spec.Steps) {
			continue
		}
		other := &j.record.Spec.Steps[id.Step]
		if other.TailTarget > 0 || (other.Filler && !filler) {
			count++
		}
	}
	return count
}

// start orders the start of a task on a worker, under the next run number of the task.
func (s *Shard) start(j *jobState, t *taskState, spec *job.Step, id job.TaskID, w *workerState, now time.Time) {
	t.lastRun = max(t.lastRun+1, (s.epoch-1)*runsPerEpoch+1)
	s.startRun(j, t, spec, id, w, t.lastRun, now)
}

// startRun decides on the start of a run with a given number. sendStarts orders it.
func (s *Shard) startRun(j *jobState, t *taskState, spec *job.Step, id job.TaskID, w *workerState, number int64, now time.Time) {
	order := outside.StartOrder{
		Task:       id,
		Run:        number,
		Text:       j.record.Spec.Text,
		Checkpoint: t.checkpoint,
		Ticket:     s.ticketFor(id, w),
	}
	r := &run{
		id:        id,
		number:    number,
		worker:    w,
		phase:     phaseStarting,
		charge:    spec.Charge(),
		startedAt: now,
		share:     fullPercent,
		unsent:    true,
		order:     order,
	}
	if len(t.runs) == 0 {
		t.ownStart = &ownStart{
			run:    number,
			worker: w.incarnation(),
			at:     now,
		}
	}
	s.endIsolationWait(id, t, w, now)
	t.endWait()
	s.attachRun(r, j, t)
	if r.suspect {
		s.addPossibleCrash(id, w.incarnation().String())
	}
	s.recordCompany(w)
	w.unsent++
	s.unsentStarts.add(r)
}

// logStart logs the order to start a run. While workers may run tasks of earlier owners that this
// owner has not observed, it also logs how many workers, and whether the job can have no such task.
func (s *Shard) logStart(r *run, now time.Time) {
	w := r.worker
	fields := []any{"rack", w.reg.Rack, "closed", now.Before(w.closedUntil), "free_cpu", w.free().MilliCPU,
		"look_age_ms", now.Sub(w.clockReadAt).Milliseconds()}
	if j := s.jobs[r.id.Job]; j != nil && s.unobservedWorkers > 0 {
		fields = append(fields, "unobserved", s.unobservedWorkers, "fresh", j.fresh)
	}
	s.logRun("start ordered", r.id, r.number, w, fields...)
}

func hasLabel(labels []string, label string) bool {
	for _, other := range labels {
		if other == label {
			return true
		}
	}
	return false
}
