package shard

import (
	"sort"
	"time"

	"lemonstream.dev/lemonstream/job"
	"lemonstream.dev/lemonstream/outside"
)

const (
	// blameLimit is how many more failed ends than good ones a worker may show
	// before it is used only where nothing else has room.
	blameLimit = 2

	// drainReserve is how long before the end of a draining worker a task that
	// saves its progress is stopped there, beyond the time of the stop itself.
	drainReserve = 700 * time.Millisecond

	// fullPercent is the share at which a lasting task counts as at work.
	fullPercent = 100

	// stuckAfter is how long a lasting task may be without a worker before a closed
	// one is taken: new instances come within 1.8 s of their order, and the platform
	// expects a lasting task to run again some 6 s after its last run.
	stuckAfter = 2500 * time.Millisecond

	// startBytes is what an order to start a task puts on the link beside its job's
	// text: headers, names and numbers, reckoned from its form.
	startBytes = 400

	// lossMemory is for how long after a job was passed over until it was late the newest
	// job goes first: about as long as an instance takes to come.
	lossMemory = 2 * time.Second

	// lateFactor times a job's objective is when it stops earning anything; it
	// is the platform's own figure.
	lateFactor = 3

	// expectSamples is how many run times must be known before they count.
	expectSamples = 5

	// speculateAfter is how many times its usual run time a task must have
	// taken before a copy of it is started.
	speculateAfter = 2.0

	// speculatePause is the time between two searches for stragglers.
	speculatePause = 100 * time.Millisecond

	// speculateSamples is how many run times of an image must be known for it.
	speculateSamples = 5
)

// Weights of the choice of a worker; the lowest sum wins. Only their order
// matters: a hard reason outweighs every softer one.
const (
	weightFailedHere = 1000.0
	weightBlamed     = 300.0
	weightFar        = 100.0
	weightDisturbs   = 10.0
	weightLoad       = 1.0
)

// group is the idle tasks of one step.
type group struct {
	job        *jobState
	occurrence int
	step       int
	outlook    outlook

	// newest says that of jobs that were not begun the newest goes first.
	newest bool
}

// outlook is what a job can still earn.
type outlook int

const (
	// outlookFull means that the job can end in time.
	outlookFull outlook = iota

	// outlookLate means that it will be late, which earns a small part.
	outlookLate

	// outlookNone means that it earns nothing any more; it still has to end.
	outlookNone
)

// place starts the tasks that may start and fit, the most urgent first.
func (s *Shard) place(now time.Time) {
	s.lookForUnseen(now)
	if len(s.waiting) == 0 {
		return
	}
	blind := s.blind(now)
	s.startAt = time.Time{}
	groups := s.groups(now, blind.all)
	s.placeGroups(groups, blind, now)
	s.placeAlone(groups, blind, now)
}

// placeGroups starts all of them but the tasks that are to run alone.
func (s *Shard) placeGroups(groups []group, blind blindness, now time.Time) {
	var full []job.Room
	for _, g := range groups {
		if !s.startAt.IsZero() {
			return
		}
		step := g.job.occurrences[g.occurrence].steps[g.step]
		spec := &g.job.record.Spec.Steps[g.step]
		if hopeless(full, spec.Charge()) || !s.mayPlace(g, now) {
			continue
		}
		if spec.Gang {
			if !blind.hidesAny(g, step) {
				s.placeGang(g, step, spec, now)
			}
			continue
		}
		full = s.placeStep(g, step, spec, full, blind, now)
	}
}

// placeStep starts the idle tasks of a step until none fits, but none that may run
// unseen. It adds to what no worker has room for when that alone was the reason.
func (s *Shard) placeStep(g group, step *stepState, spec *job.Step, full []job.Room, blind blindness, now time.Time) []job.Room {
	choices := &picks{
		shard: s,
		now:   now,
	}
	// A task that starts leaves the list, and what stands after it was passed over.
	for i := len(step.idle) - 1; i >= 0; i-- {
		index := step.idle[i]
		id := g.task(index)
		if blind.hides(id) || s.held(step.tasks[index]) || step.tasks[index].crashed.Alone() {
			continue
		}
		if !s.withinQuota(g.job, spec, 1) {
			s.waitForQuota(g.job, spec, i+1)
			return full
		}
		w := choices.choose(id, spec, step.tasks[index])
		if w != nil && !s.affords(spec, g.job, 1, now) {
			return full
		}
		if w == nil {
			s.tellWait(g.job, newCandidate(id, spec, step.tasks[index]), now)
			if spec.Label == "" && spec.PerWorker == 0 && !g.job.policy.Advised {
				full = append(full, spec.Charge())
			}
			return full
		}
		s.start(g.job, step.tasks[index], spec, id, w, now)
		choices.started = append(choices.started, w)
	}
	return full
}

// affords takes what orders to start tasks of a step put on the link. Where they have to
// wait, everything less urgent does as well. Lasting tasks never wait: each second of one
// counts, and they are few.
func (s *Shard) affords(spec *job.Step, j *jobState, orders int, now time.Time) bool {
	bytes := orders * (len(j.record.Spec.Text) + startBytes)
	if s.opts.Starts.Take(bytes, now) || spec.Lasting {
		return true
	}
	s.startAt = s.opts.Starts.Ready(now)
	return false
}

// groups returns what may start, the most urgent first. A job without idle
// tasks leaves the set of those that wait.
func (s *Shard) groups(now time.Time, blind bool) []group {
	var list []group
	for id, j := range s.waiting {
		idle := false
		for k, o := range j.occurrences {
			for st, step := range o.steps {
				if len(step.idle) == 0 {
					continue
				}
				idle = true
				if !j.ready(k, st) || (blind && !j.fresh) {
					continue
				}
				list = append(list, group{
					job:        j,
					occurrence: k,
					step:       st,
				})
			}
		}
		if !idle {
			delete(s.waiting, id)
		}
	}
	for i := range list {
		list[i].outlook = s.outlookOf(list[i], now)
	}
	newest := s.watchLosses(list, now)
	for i := range list {
		list[i].newest = newest
	}
	sort.Slice(list, func(a, b int) bool {
		return list[a].less(list[b])
	})
	return list
}

func (g group) task(index int) job.TaskID {
	return job.TaskID{
		Job:        g.job.record.ID,
		Occurrence: g.occurrence,
		Step:       g.step,
		Index:      index,
	}
}

// choose returns the best worker that can take the task now, or nil. A lasting task
// that has been without a worker for long may also go to one that is closed.
func (s *Shard) choose(id job.TaskID, spec *job.Step, t *taskState, now time.Time) *workerState {
	if best := s.best(newCandidate(id, spec, t), now); best != nil {
		return best
	}
	return s.chooseInNeed(id, spec, t, now)
}

// chooseInNeed returns the best worker, closed or not, for a lasting task that has been without
// one for long, and nil for any other.
func (s *Shard) chooseInNeed(id job.TaskID, spec *job.Step, t *taskState, now time.Time) *workerState {
	if !spec.Lasting || !t.isStuck(now) {
		return nil
	}
	c := newCandidate(id, spec, t)
	c.inNeed = true
	return s.best(c, now)
}

// best returns the best of the workers that take a task, or nil.
func (s *Shard) best(c candidate, now time.Time) *workerState {
	var best *workerState
	bestWeight := 0.0
	for _, w := range s.usable {
		if s.refuses(w, c, now) != takes {
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

// weigh returns how bad a worker is for a task; lower is better.
func (s *Shard) weigh(w *workerState, spec *job.Step, t *taskState) float64 {
	weight := 0.0
	for _, avoided := range t.avoid {
		if avoided.Same(w.incarnation()) {
			weight += weightFailedHere
		}
	}
	if w.blamed > blameLimit {
		weight += weightBlamed * float64(w.blamed)
	}
	if spec.DataRack != "" && spec.DataRack != w.reg.Rack {
		weight += weightFar
	}
	weight += weighSuspects(w, t)
	if spec.Filler || spec.TailTarget > 0 {
		weight += weightDisturbs * float64(s.disturbed(w, spec.Filler))
	}
	if w.reg.Capacity.MilliCPU > 0 {
		// Fuller workers first, so that others empty and can be moved.
		weight -= weightLoad * float64(w.used.MilliCPU) / float64(w.reg.Capacity.MilliCPU)
	}
	return weight
}

// disturbed counts the runs on a worker that a filler, or a task that serves,
// would disturb or be disturbed by.
func (s *Shard) disturbed(w *workerState, filler bool) int {
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

// start orders the start of a task on a worker.
func (s *Shard) start(j *jobState, t *taskState, spec *job.Step, id job.TaskID, w *workerState, now time.Time) {
	t.lastRun = max(t.lastRun+1, (s.epoch-1)*runsPerEpoch+1)
	s.startRun(j, t, spec, id, w, t.lastRun, now)
}

// startRun orders a run with a number that was chosen before.
func (s *Shard) startRun(j *jobState, t *taskState, spec *job.Step, id job.TaskID, w *workerState, number int64, now time.Time) {
	order := outside.StartOrder{
		Task:       id,
		Run:        number,
		Text:       j.record.Spec.Text,
		Until:      w.deadline(now, s.opts.Lease),
		Fence:      s.fenceAt(w.reg.ID),
		Checkpoint: t.checkpoint,
		Ticket:     s.ticket(id, w),
	}
	r := &run{
		id:     id,
		number: number,
		worker: w,
		phase:  phaseStarting,
		charge: spec.Charge(),
		began:  now,
		share:  fullPercent,
		call:   s.nextCall(),
		order:  order,
	}
	s.endWait(id, t, w, now)
	s.attach(r, j, t)
	if r.suspect {
		s.try(id, w.incarnation().String())
	}
	s.reportRun("start ordered", id, number, w, "rack", w.reg.Rack, "closed", now.Before(w.closedUntil),
		"free_cpu", w.free().MilliCPU, "look_age_ms", now.Sub(w.heard).Milliseconds())
	s.orders.Starts = append(s.orders.Starts, Start{
		Call:   r.call,
		Worker: w.ref(),
		Order:  order,
	})
}

func hasLabel(labels []string, label string) bool {
	for _, other := range labels {
		if other == label {
			return true
		}
	}
	return false
}
