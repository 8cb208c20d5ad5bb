package shard

import (
	"sort"
	"time"

	"lemonstream.dev/lemonstream/job"
	"lemonstream.dev/lemonstream/suspect"
)

// keepFor is how long a worker is kept empty for a task that is to run alone, from the
// last look at what may start: several of the pauses between two looks.
const keepFor = 2 * time.Second

// aloneTask is an idle task that is to run alone.
type aloneTask struct {
	group group
	index int
	since time.Time
}

// task returns the task's state.
func (a aloneTask) task() *taskState {
	return a.group.job.occurrences[a.group.occurrence].steps[a.group.step].tasks[a.index]
}

// placeAlone starts the tasks that are to run alone, those that have waited longest first. It
// comes after everything else, which takes no worker that is kept for them: before it, served
// fell from 0.739 to 0.715 of what is owed and failed rose from 0.134 to 0.165 (means of 12
// plays of a day on which a quarter of two queues crash workers).
func (s *Shard) placeAlone(groups []group, blind blindness, now time.Time) {
	for _, a := range s.aloneTasks(groups, blind) {
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

// aloneTasks returns the idle tasks that are to run alone and may start, the oldest first.
// Members of a gang start with it.
func (s *Shard) aloneTasks(groups []group, blind blindness) []aloneTask {
	var list []aloneTask
	for _, g := range groups {
		step := g.job.occurrences[g.occurrence].steps[g.step]
		if g.job.record.Spec.Steps[g.step].Gang {
			continue
		}
		for _, index := range step.idle {
			t := step.tasks[index]
			if t.crashed.Alone() && !s.held(t) && !blind.hides(g.task(index)) {
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

// isOlder orders waits by their beginning; those that have not begun come last.
func (a aloneTask) isOlder(than aloneTask) bool {
	if a.since.IsZero() || than.since.IsZero() {
		return !a.since.IsZero() && than.since.IsZero()
	}
	return a.since.Before(than.since)
}

// waitAlone notes that a task waits for a worker of its own.
func (t *taskState) waitAlone(now time.Time) {
	if t.aloneSince.IsZero() {
		t.aloneSince = now
	}
}

// endWait notes that a task starts, and logs the end of its wait for a worker of its own.
func (s *Shard) endWait(id job.TaskID, t *taskState, w *workerState, now time.Time) {
	if !t.aloneSince.IsZero() && t.aloneSince.Before(now) {
		s.opts.Report("suspect waits no more", "task", id.String(), "worker", w.reg.ID, "waited_ms", now.Sub(t.aloneSince).Milliseconds(),
			"beside", len(w.runs))
	}
	t.aloneSince = time.Time{}
	t.toldWaits = false
}

// waitsTooLong reports whether a task has waited for a worker of its own for so long that it
// joins others.
func (t *taskState) waitsTooLong(lasting bool, now time.Time) bool {
	most := suspect.AloneWait
	if lasting {
		most = suspect.AloneWaitLasting
	}
	return !t.aloneSince.IsZero() && now.Sub(t.aloneSince) >= most
}

// admits reports whether a task may join what runs on a worker: one that is to be alone
// starts on an empty worker, unless it has waited too long for one, and nothing joins it or
// takes a worker that is kept for it.
func (s *Shard) admits(w *workerState, c candidate, now time.Time) bool {
	if w.alone > 0 {
		return false
	}
	if c.task.crashed.Alone() {
		return len(w.runs) == 0 || c.task.waitsTooLong(c.spec.Lasting, now)
	}
	return !now.Before(w.keptUntil)
}

// keep empties a worker for a task that is to run alone and found none, as far as the
// share of workers goes that may be kept so. What waits for the share is told once.
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

// emptiesSooner reports whether a worker is better kept than another, nil for none: one
// without lasting tasks, which end only if they are moved, then one that is kept already,
// then the one with fewest runs.
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

func (s *Shard) holdsLasting(w *workerState) bool {
	for id := range w.runs {
		if s.isLasting(id) {
			return true
		}
	}
	return false
}
