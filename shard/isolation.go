package shard

import (
	"sort"
	"time"

	"lemonstream.dev/lemonstream/job"
	"lemonstream.dev/lemonstream/suspect"
)

// reservationTimeout is how long a worker stays reserved for an isolated task after the last
// placement that reserved it. It spans several placements.
const reservationTimeout = 2 * time.Second

// isolatedTask is an idle task that must share its worker with no other, because workers crashed
// under it.
type isolatedTask struct {
	group group
	index int
	// waitingSince is when the task began to wait for an empty worker; zero if it does not wait.
	waitingSince time.Time
}

// task returns the task's state.
func (a isolatedTask) task() *taskState {
	return a.step().states[a.index]
}

// step returns the state of the task's step.
func (a isolatedTask) step() *stepState {
	return a.group.state()
}

// placeIsolated starts isolated tasks, those that have waited longest first. It runs after all
// other tasks are placed, which don't use reserved workers: placing isolated tasks first serves
// less work in time and fails more jobs when many tasks crash their workers.
func (s *Shard) placeIsolated(groups []group, unobserved unobservedTasks, now time.Time) {
	for _, a := range s.isolatedTasks(groups, unobserved, now) {
		if !s.ensureTickets(a.group, now) {
			continue
		}
		t := a.task()
		t.beginIsolationWait(now)
		id := a.group.task(a.index)
		spec := &a.group.job.record.Spec.Steps[a.group.step]
		if !s.withinQuota(a.group.job, spec, 1) {
			s.waitForQuota(a.group.job, spec, 1)
			continue
		}
		if !s.mayAddRun(a.group.job, spec) {
			continue
		}
		w := s.choose(id, spec, t, now)
		if w == nil {
			s.recordWait(a.group, a.step(), spec, now)
			s.isHeldBack(id, spec, t, now)
			s.reserveWorker(id, spec, t, now)
			s.logWait(a.group.job, newCandidate(id, spec, t), now)
			continue
		}
		if !s.takeStartBudget(spec, a.group.job, 1, now) {
			return
		}
		s.start(a.group.job, t, spec, id, w, now)
	}
}

// isolatedTasks returns the idle isolated tasks that may start, the longest wait first. It
// leaves out members of a gang, which start with their gang.
func (s *Shard) isolatedTasks(groups []group, unobserved unobservedTasks, now time.Time) []isolatedTask {
	var list []isolatedTask
	for _, g := range groups {
		step := g.state()
		if g.job.record.Spec.Steps[g.step].Gang {
			continue
		}
		for _, index := range step.returned {
			t := step.states[index]
			if t.needsIsolation() && !s.isBlocked(g.task(index), t, now) && !unobserved.contains(g.task(index)) {
				list = append(list, isolatedTask{
					group:        g,
					index:        index,
					waitingSince: t.isolatedWaitSince,
				})
			}
		}
	}
	sort.SliceStable(list, func(i, j int) bool {
		return list[i].hasWaitedLonger(list[j])
	})
	return list
}

// hasWaitedLonger reports whether a task began to wait before another one. A task that does not
// wait yet comes last.
func (a isolatedTask) hasWaitedLonger(than isolatedTask) bool {
	if a.waitingSince.IsZero() || than.waitingSince.IsZero() {
		return !a.waitingSince.IsZero() && than.waitingSince.IsZero()
	}
	return a.waitingSince.Before(than.waitingSince)
}

// beginIsolationWait records that an isolated task waits for a worker, unless it waits already.
func (t *taskState) beginIsolationWait(now time.Time) {
	if t.isolatedWaitSince.IsZero() {
		t.isolatedWaitSince = now
	}
}

// endIsolationWait ends the wait of a task that starts for an empty worker, and logs it if there
// was one.
func (s *Shard) endIsolationWait(id job.TaskID, t *taskState, w *workerState, now time.Time) {
	if !t.isolatedWaitSince.IsZero() && t.isolatedWaitSince.Before(now) {
		s.opts.LogEvent("suspect waits no more", "task", id.String(), "worker", w.reg.ID, "waited_ms", now.Sub(t.isolatedWaitSince).Milliseconds(),
			"beside", len(w.runs))
	}
	t.isolatedWaitSince = time.Time{}
	t.loggedWait = false
}

// isolationWaitExpired reports whether an isolated task has waited for an empty worker for so
// long that it may start beside other tasks.
func (t *taskState) isolationWaitExpired(lasting bool, now time.Time) bool {
	most := suspect.IsolationWait
	if lasting {
		most = suspect.LongRunningIsolationWait
	}
	return !t.isolatedWaitSince.IsZero() && now.Sub(t.isolatedWaitSince) >= most
}

// allowsSharing reports whether a task may start beside the runs of a worker. An isolated task
// needs an empty worker unless its wait has expired. No task starts beside an isolated one, and
// only isolated tasks start on a reserved worker.
func (s *Shard) allowsSharing(w *workerState, c candidate, now time.Time) bool {
	if w.isolated > 0 {
		return false
	}
	if c.task.needsIsolation() {
		return len(w.runs) == 0 || c.task.isolationWaitExpired(c.spec.Lasting, now)
	}
	return !now.Before(w.reservedUntil)
}

// reserveWorker reserves a worker for an isolated task that found no empty one: nothing else
// starts there, so that it empties. If no more workers may be reserved, the task waits, which is
// logged once per wait.
func (s *Shard) reserveWorker(id job.TaskID, spec *job.Step, t *taskState, now time.Time) {
	c := newCandidate(id, spec, t)
	c.assumeEmpty = true
	var best *workerState
	taken, usable := 0, 0
	for _, w := range s.workers {
		if !s.eligible(w, now) {
			continue
		}
		usable++
		if w.isolated > 0 || now.Before(w.reservedUntil) {
			taken++
		}
		if s.checkEligibility(w, c, now) == eligible && s.isBetterReservation(w, best, now) {
			best = w
		}
	}
	kept := best != nil && now.Before(best.reservedUntil)
	if best == nil || (!kept && taken >= suspect.MaxReserved(usable)) {
		if !t.loggedWait {
			t.loggedWait = true
			s.opts.LogEvent("suspect waits for a worker of its own", "task", id.String(), "kept", taken, "workers", usable)
		}
		return
	}
	if !kept {
		s.opts.LogEvent("worker kept for a suspect", "task", id.String(), "worker", best.reg.ID, "runs", len(best.runs))
	}
	best.reservedUntil = now.Add(reservationTimeout)
}

// isBetterReservation reports whether it is better to reserve w than another worker, which may be
// nil. It prefers workers without long-running tasks, which end only if they are moved, then
// workers that are reserved already, then those with the fewest runs.
func (s *Shard) isBetterReservation(w, than *workerState, now time.Time) bool {
	if than == nil {
		return true
	}
	if lasts, others := s.hasLongRunning(w), s.hasLongRunning(than); lasts != others {
		return others
	}
	if kept, other := now.Before(w.reservedUntil), now.Before(than.reservedUntil); kept != other {
		return kept
	}
	if len(w.runs) != len(than.runs) {
		return len(w.runs) < len(than.runs)
	}
	return w.reg.ID < than.reg.ID
}

// hasLongRunning reports whether a long-running task runs on a worker.
func (s *Shard) hasLongRunning(w *workerState) bool {
	for id := range w.runs {
		if s.isLongRunning(id) {
			return true
		}
	}
	return false
}
