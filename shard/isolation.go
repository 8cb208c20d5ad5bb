package shard

import (
	"sort"
	"time"

	"lemonstream.dev/lemonstream/job"
	"lemonstream.dev/lemonstream/suspect"
)

// reservationTimeout is how long a worker stays reserved for an isolated task after the last
// placement that reserved it. It spans several placements.
const keepFor = 2 * time.Second

// isolatedTask is an idle task that must share its worker with no other, because workers crashed
// under it.
type aloneTask struct {
	group group
	index int
	// waitingSince is when the task began to wait for an empty worker; zero if it does not wait.
	since time.Time
}

// task returns the task's state.
func (a aloneTask) task() *taskState {
	return a.group.job.occurrences[a.group.occurrence].steps[a.group.step].tasks[a.index]
}

// placeIsolated starts isolated tasks, those that have waited longest first. It runs after all
// other tasks are placed, which don't use reserved workers: placing isolated tasks first serves
// less work in time and fails more jobs when many tasks crash their workers.
func (s *Shard) placeAlone(groups []group, unobserved blindness, now time.Time) {
	for _, a := range s.aloneTasks(groups, unobserved) {
		if !s.mayPlace(a.group, now) {
			continue
		}
		t := a.task()
		t.waitAlone(now)
		id := a.group.task(a.index)
		spec := &a.group.job.record.Spec.Steps[a.group.step]
		if !s.withinQuota(a.group.job, spec, 1) {
			s.waitForQuota(a.group.job, spec, 1)
			continue
		}
		w := s.choose(id, spec, t, now)
		if w == nil {
			s.keep(id, spec, t, now)
			s.tellWait(a.group.job, newCandidate(id, spec, t), now)
			continue
		}
		if !s.affords(spec, a.group.job, 1, now) {
			return
		}
		s.start(a.group.job, t, spec, id, w, now)
	}
}

// isolatedTasks returns the idle isolated tasks that may start, the longest wait first. It
// leaves out members of a gang, which start with their gang.
func (s *Shard) aloneTasks(groups []group, unobserved blindness) []aloneTask {
	var list []aloneTask
	for _, g := range groups {
		step := g.job.occurrences[g.occurrence].steps[g.step]
		if g.job.record.Spec.Steps[g.step].Gang {
			continue
		}
		for _, index := range step.idle {
			t := step.tasks[index]
			if t.crashed.Alone() && !s.held(t) && !unobserved.hides(g.task(index)) {
				list = append(list, aloneTask{
					group: g,
					index: index,
					since: t.aloneSince,
				})
			}
		}
	}
	sort.SliceStable(list, func(i, j int) bool {
		return list[i].isOlder(list[j])
	})
	return list
}

// hasWaitedLonger reports whether a task began to wait before another one. A task that does not
// wait yet comes last.
func (a aloneTask) isOlder(than aloneTask) bool {
	if a.since.IsZero() || than.since.IsZero() {
		return !a.since.IsZero() && than.since.IsZero()
	}
	return a.since.Before(than.since)
}

// beginIsolationWait records that an isolated task waits for a worker, unless it waits already.
func (t *taskState) waitAlone(now time.Time) {
	if t.aloneSince.IsZero() {
		t.aloneSince = now
	}
}

// endIsolationWait ends the wait of a task that starts for an empty worker, and logs it if there
// was one.
func (s *Shard) endWait(id job.TaskID, t *taskState, w *workerState, now time.Time) {
	if !t.aloneSince.IsZero() && t.aloneSince.Before(now) {
		s.opts.Report("suspect waits no more", "task", id.String(), "worker", w.reg.ID, "waited_ms", now.Sub(t.aloneSince).Milliseconds(),
			"beside", len(w.runs))
	}
	t.aloneSince = time.Time{}
	t.toldWaits = false
}

// isolationWaitExpired reports whether an isolated task has waited for an empty worker for so
// long that it may start beside other tasks.
func (t *taskState) waitsTooLong(lasting bool, now time.Time) bool {
	most := suspect.AloneWait
	if lasting {
		most = suspect.AloneWaitLasting
	}
	return !t.aloneSince.IsZero() && now.Sub(t.aloneSince) >= most
}

// allowsSharing reports whether a task may start beside the runs of a worker. An isolated task
// needs an empty worker unless its wait has expired. No task starts beside an isolated one, and
// only isolated tasks start on a reserved worker.
func (s *Shard) admits(w *workerState, c candidate, now time.Time) bool {
	if w.alone > 0 {
		return false
	}
	if c.task.crashed.Alone() {
		return len(w.runs) == 0 || c.task.waitsTooLong(c.spec.Lasting, now)
	}
	return !now.Before(w.keptUntil)
}

// reserveWorker reserves a worker for an isolated task that found no empty one: nothing else
// starts there, so that it empties. If no more workers may be reserved, the task waits, which is
// logged once per wait.
func (s *Shard) keep(id job.TaskID, spec *job.Step, t *taskState, now time.Time) {
	c := newCandidate(id, spec, t)
	c.emptied = true
	var best *workerState
	taken, usable := 0, 0
	for _, w := range s.workers {
		if !s.takes(w, now) {
			continue
		}
		usable++
		if w.alone > 0 || now.Before(w.keptUntil) {
			taken++
		}
		if s.refuses(w, c, now) == takes && s.emptiesSooner(w, best, now) {
			best = w
		}
	}
	kept := best != nil && now.Before(best.keptUntil)
	if best == nil || (!kept && taken >= suspect.AloneMost(usable)) {
		if !t.toldWaits {
			t.toldWaits = true
			s.opts.Report("suspect waits for a worker of its own", "task", id.String(), "kept", taken, "workers", usable)
		}
		return
	}
	if !kept {
		s.opts.Report("worker kept for a suspect", "task", id.String(), "worker", best.reg.ID, "runs", len(best.runs))
	}
	best.keptUntil = now.Add(keepFor)
}

// isBetterReservation reports whether it is better to reserve w than another worker, which may be
// nil. It prefers workers without long-running tasks, which end only if they are moved, then
// workers that are reserved already, then those with the fewest runs.
func (s *Shard) emptiesSooner(w, than *workerState, now time.Time) bool {
	if than == nil {
		return true
	}
	if lasts, others := s.holdsLasting(w), s.holdsLasting(than); lasts != others {
		return others
	}
	if kept, other := now.Before(w.keptUntil), now.Before(than.keptUntil); kept != other {
		return kept
	}
	if len(w.runs) != len(than.runs) {
		return len(w.runs) < len(than.runs)
	}
	return w.reg.ID < than.reg.ID
}

// hasLongRunning reports whether a long-running task runs on a worker.
func (s *Shard) holdsLasting(w *workerState) bool {
	for id := range w.runs {
		if s.isLasting(id) {
			return true
		}
	}
	return false
}
