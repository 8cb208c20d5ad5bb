package shard

import (
	"time"

	"lemonstream.dev/lemonstream/job"
	"lemonstream.dev/lemonstream/outside"
	"lemonstream.dev/lemonstream/suspect"
)

// closedTTL is how long a worker stays closed after the last request to close it. The instance
// controller repeats the request several times a second; if it dies, the worker soon opens again.
const closedTTL = 2 * time.Second

// reasonInstanceTaken is the reason of a worker whose instance was moved or taken down.
const reasonInstanceTaken = "instance was taken"

// Load is the demand of a service and the capacity that it has. It serves to size the service's
// pool.
type Load struct {
	// Fence is the epoch of the owner that reports the load; 0 if its version does not report it.
	Fence int64

	// Used is the resources that runs take. Waiting is the resources needed by tasks that could
	// start on any worker with enough of them.
	Used    job.Room
	Waiting job.Room

	// Coming is the resources needed by tasks without a label whose step waits for another step.
	Coming job.Room

	// Late is the part of Used and Waiting together, and LateComing the part of Coming, that
	// belongs to jobs which can no longer meet their deadline, whatever resources they get.
	Late       job.Room
	LateComing job.Room

	// Spread is the largest number of workers that a step with a limit of tasks per worker
	// needs.
	Spread int

	// Labelled maps a label to the resources that idle tasks and runs need on workers with it.
	Labelled map[string]job.Room

	// Lasting is the part of Used that long-running tasks take.
	Lasting job.Room

	// Room is the mean capacity of a worker as reported by the workers, which changes while they
	// run; zero if unknown.
	Room job.Room

	// Workers holds the load of each worker by its ID.
	Workers map[string]WorkerLoad

	// isolated computes the additional resources needed by isolated tasks.
	isolated isolatedDemand
}

// isolatedDemand computes the resources that isolated tasks need in addition to their own.
type isolatedDemand struct {
	// workerCapacity is the mean capacity of a worker. left is how many more tasks it may
	// be added for.
	workerCapacity job.Room
	left           int
}

// need returns the capacity of one worker for each of the isolated tasks, limited to the number of
// workers that may be reserved for such tasks. Without it, the pool seems to have free capacity
// while such tasks wait, and shrinks: a task waited for 33 s beside 20 workers, none of which became
// empty.
func (n *isolatedDemand) need(tasks int) job.Room {
	tasks = min(tasks, n.left)
	n.left -= tasks
	return scale(n.workerCapacity, tasks)
}

// countIsolated returns how many idle tasks of a step wait for a worker of their own.
func (s *Shard) countIsolated(g group, step *stepState) int {
	count := 0
	for _, index := range step.returned {
		if t := step.states[index]; t.needsIsolation() && !s.isGivenUp(g.task(index), t) {
			count++
		}
	}
	return count
}

// WorkerLoad is the load and the status of one worker.
type WorkerLoad struct {
	// Runs counts the runs that may be on the worker, Lasting those of long-running steps.
	Runs    int
	Lasting int
	Used    job.Room

	// Busy is the longest remaining time expected of its runs, long-running ones excluded.
	Busy time.Duration

	// Closed means that no new task is placed on the worker. Born is when the incarnation of a
	// closed worker began; zero if unknown and for other workers.
	Closed bool
	Born   time.Time

	// Draining means that the worker has announced its end.
	Draining bool

	// Known means that the worker has answered this owner and listed every end. Before that, it
	// may run what an earlier owner started there, or have an unread end of that.
	Known bool

	// Reached means that the worker answered the last poll.
	Reached bool

	// Ejected means that the worker fails what it starts and adds no capacity. GiveBack means that
	// it has been so for some time, so that its instance should go.
	Ejected  bool
	GiveBack bool
}

// SetClosed replaces the set of closed workers. No new task is placed on a closed worker, and its
// long-running tasks are moved away as far as their steps allow it.
func (s *Shard) SetClosed(ids []string, now time.Time) {
	s.releasedUntil = nil
	s.anyReleasedUntil = time.Time{}
	closed := make(map[string]bool, len(ids))
	for _, id := range ids {
		closed[id] = true
	}
	for id, w := range s.workers {
		if closed[id] {
			if !now.Before(w.closedUntil) {
				s.opts.LogEvent("worker closed", "worker", id, "runs", len(w.runs))
			}
			w.closedUntil = now.Add(closedTTL)
		} else {
			w.closedUntil = time.Time{}
		}
	}
}

// RestoreReleased restores the workers that an earlier owner had reported to the instance
// controller as running nothing, so that an order to move or end their instance may be in flight.
// If known is false, any worker without runs may be such a worker. Nothing is started there,
// because the order would end it, until the controller reports the closed workers or until
// closedTTL has passed.
func (s *Shard) RestoreReleased(ids []string, known bool, now time.Time) {
	until := now.Add(closedTTL)
	if !known {
		s.anyReleasedUntil = until
	}
	s.releasedUntil = make(map[string]time.Time, len(ids))
	for _, id := range ids {
		s.releasedUntil[id] = until
	}
}

// mayBeReleased reports whether an order to the worker's instance may be in flight of which this
// owner was not notified.
func (s *Shard) mayBeReleased(w *workerState, now time.Time) bool {
	return len(w.runs) == 0 && (now.Before(s.anyReleasedUntil) || now.Before(s.releasedUntil[w.reg.ID]))
}

// RemoveTaken removes workers whose instance was moved or taken down, including those that are not
// listed yet. names identifies their incarnations and may be repeated in later calls. A worker that
// has restarted since stays: when workers were removed by ID alone, a restarted worker was refused
// for a minute, and a new owner gave up what the previous owner had started on it.
func (s *Shard) RemoveTaken(names []string, now time.Time) {
	for _, name := range names {
		taken := outside.ParseIncarnation(name)
		s.withdrawCrashes(taken)
		if s.hasEnded(taken) {
			continue
		}
		w, found := s.workers[taken.Worker]
		switch {
		case !found:
			s.recordEnded(taken, now)
		case !s.registrationsRead && !taken.Born.IsZero() && w.incarnation().Born.IsZero():
			// The worker's row will show whether it has restarted.
			s.removedUnlisted = append(s.removedUnlisted, name)
		case w.incarnation().Same(taken):
			if w.incarnation().Born.IsZero() {
				// Known by its id alone, it would hide the next incarnation under that id.
				w.born = taken.Born
			}
			s.removeWorker(w, now, reasonInstanceTaken)
		}
	}
}

// Load returns the demand of the service and the load of its workers.
func (s *Shard) Load(now time.Time) Load {
	load := Load{
		Fence:    s.epoch,
		Labelled: make(map[string]job.Room),
		Room:     s.meanCapacity(),
		Workers:  make(map[string]WorkerLoad, len(s.workers)),
		isolated: isolatedDemand{
			workerCapacity: s.meanCapacity(),
			left:           suspect.MaxReserved(len(s.workers)),
		},
	}
	for id, w := range s.workers {
		workerLoad := WorkerLoad{
			Runs:     len(w.runs),
			Used:     w.used,
			Closed:   now.Before(w.closedUntil),
			Draining: w.reg.Draining,
			Known:    w.observed,
			Reached:  w.contacted && w.failures == 0,
			Ejected:  w.health.IsEjected(),
			GiveBack: w.health.GiveBack(now),
		}
		if workerLoad.Closed {
			workerLoad.Born = w.incarnation().Born
		}
		load.Used = load.Used.Add(w.used)
		for id, r := range w.runs {
			step, found := s.stepOf(id)
			if found && s.jobs[id.Job].isLate(now) {
				load.Late = load.Late.Add(step.Charge())
			}
			if found && step.Label != "" {
				load.Labelled[step.Label] = load.Labelled[step.Label].Add(step.Charge())
			}
			switch {
			case !found:
			case step.Lasting:
				workerLoad.Lasting++
				load.Lasting = load.Lasting.Add(step.Charge())
			default:
				workerLoad.Busy = max(workerLoad.Busy, s.left(r, step, now))
			}
		}
		load.Workers[id] = workerLoad
	}
	for _, j := range s.jobs {
		switch {
		case j.state.Final():
		case j.unwritten:
			s.addUnwritten(j, &load, now)
		default:
			s.addWaiting(j, &load, now)
		}
	}
	s.refusedDemand.addTo(&load, now)
	return load
}

// addWaiting adds the resources that the idle tasks of a job need to a load, also those of occurrences
// that are due and not open.
func (s *Shard) addWaiting(j *jobState, load *Load, now time.Time) {
	j.openSteps(func(open openStepCount) {
		spec := &j.record.Spec.Steps[open.step]
		if spec.PerWorker > 0 {
			stuck := 0
			if open.state != nil {
				stuck = open.state.stuck(now)
			}
			load.Spread = max(load.Spread, stuck+(open.remaining+spec.PerWorker-1)/spec.PerWorker)
		}
		if open.idle == 0 {
			return
		}
		g := newGroup(j, open.occurrence, open.step)
		need := scale(spec.Charge(), open.idle)
		if open.state != nil {
			need = need.Add(load.isolated.need(s.countIsolated(g, open.state)))
		}
		load.addIdle(spec, need, j.isReady(open.occurrence, open.step), s.remainingValue(g, now) != valueFull)
	})
	unopened := j.dueUnopened(now)
	if unopened == 0 {
		return
	}
	for i := range j.record.Spec.Steps {
		spec := &j.record.Spec.Steps[i]
		load.addIdle(spec, scale(spec.Charge(), unopened*spec.Count), len(spec.After) == 0, false)
	}
}

// addIdle adds the resources that idle tasks of a step need. ready says that the step may start, late
// that its job can no longer meet its deadline.
func (l *Load) addIdle(spec *job.Step, need job.Room, ready, late bool) {
	switch {
	case spec.Label != "":
		l.Labelled[spec.Label] = l.Labelled[spec.Label].Add(need)
	case ready:
		l.Waiting = l.Waiting.Add(need)
		if late {
			l.Late = l.Late.Add(need)
		}
	default:
		l.Coming = l.Coming.Add(need)
		if late {
			l.LateComing = l.LateComing.Add(need)
		}
	}
}

// left returns how much longer a run is expected to take. A run that has exceeded the expected
// time is expected to take half as long again as it has so far.
func (s *Shard) left(r *run, step *job.Step, now time.Time) time.Duration {
	passed := now.Sub(r.startedAt)
	expected := s.expectedRunTime(s.jobs[r.id.Job], step)
	if passed < expected {
		return expected - passed
	}
	return passed / 2
}

// stepOf returns the step of a task of a known job.
func (s *Shard) stepOf(id job.TaskID) (*job.Step, bool) {
	j := s.jobs[id.Job]
	if j == nil || id.Step >= len(j.record.Spec.Steps) {
		return nil, false
	}
	return &j.record.Spec.Steps[id.Step], true
}

// isLongRunning reports whether a task belongs to a known job and runs until that job is cancelled.
func (s *Shard) isLongRunning(id job.TaskID) bool {
	spec, found := s.stepOf(id)
	return found && spec.Lasting
}

// scale returns the resources of n tasks that need r each.
func scale(r job.Room, n int) job.Room {
	return job.Room{
		MilliCPU:     r.MilliCPU * n,
		MemoryMB:     r.MemoryMB * n,
		Accelerators: r.Accelerators * n,
	}
}
