package shard

import (
	"slices"
	"time"

	"lemonstream.dev/lemonstream/job"
	"lemonstream.dev/lemonstream/outside"
	"lemonstream.dev/lemonstream/suspect"
)

// What a crash says of one of the tasks that ran on the worker.
const (
	// crashOwn means that no other task is suspected of the crash.
	crashOwn attribution = iota

	// crashShared means that another task is suspected of the crash as well.
	crashShared

	// crashExplained means that another task was given up that ran on the worker.
	crashExplained
)

type attribution int

// crashedWorker is the crash of a worker incarnation, with the tasks for which it was recorded.
type crashedWorker struct {
	incarnation outside.Incarnation
	tasks       map[job.TaskID]struct{}

	// at is when a task was added last.
	at time.Time
}

// crashedWorkers holds, by worker id, the crashes that this owner recorded or read. An incarnation
// appears once, although its start time may be unknown at first.
type crashedWorkers map[string][]*crashedWorker

// find returns the crash of an incarnation; nil if there is none.
func (c crashedWorkers) find(incarnation outside.Incarnation) *crashedWorker {
	for _, crash := range c[incarnation.Worker] {
		if crash.incarnation.Same(incarnation) {
			return crash
		}
	}
	return nil
}

// add adds a task to the crash of an incarnation.
func (c crashedWorkers) add(id job.TaskID, incarnation outside.Incarnation, now time.Time) {
	crash := c.find(incarnation)
	if crash == nil {
		crash = &crashedWorker{
			incarnation: incarnation,
			tasks:       make(map[job.TaskID]struct{}),
		}
		c[incarnation.Worker] = append(c[incarnation.Worker], crash)
	}
	if crash.incarnation.Born.IsZero() {
		crash.incarnation = incarnation
	}
	crash.tasks[id] = struct{}{}
	crash.at = now
}

// all returns the crashes.
func (c crashedWorkers) all() []*crashedWorker {
	var list []*crashedWorker
	for _, crashes := range c {
		list = append(list, crashes...)
	}
	return list
}

// remove removes the crashes of an incarnation and returns them.
func (c crashedWorkers) remove(incarnation outside.Incarnation) []*crashedWorker {
	return c.removeIf(incarnation.Worker, func(crash *crashedWorker) bool { return crash.incarnation.Same(incarnation) })
}

// removeIf removes the crashes of a worker for which drop reports true, and returns them.
func (c crashedWorkers) removeIf(worker string, drop func(crash *crashedWorker) bool) []*crashedWorker {
	var removed, kept []*crashedWorker
	for _, crash := range c[worker] {
		if drop(crash) {
			removed = append(removed, crash)
		} else {
			kept = append(kept, crash)
		}
	}
	c[worker] = kept
	if len(kept) == 0 {
		delete(c, worker)
	}
	return removed
}

// crashEvidence returns what the crashes of workers under a task say of it, and those of its possible
// crashes that are given. For a long-running task each counts as it was recorded: the task is beyond
// doubt once it has run for suspect.ProvenAfter.
func (s *Shard) crashEvidence(id job.TaskID, t *taskState, possible suspect.Crashes) suspect.Evidence {
	e := suspect.Evidence{
		Own:       len(t.crashes) - len(t.besideCrashes),
		Uncertain: len(t.besideCrashes) + len(possible),
	}
	if !e.GivenUp() || s.isLongRunning(id) {
		return e
	}
	e = suspect.Evidence{}
	for _, worker := range t.crashes {
		attributed := s.attribute(id, t, worker)
		switch {
		case attributed == crashExplained:
			e.Explained++
		case t.besideCrashes.Contains(worker):
			e.Uncertain++
		case attributed == crashShared:
			e.Shared++
		default:
			e.Own++
		}
	}
	for _, worker := range possible {
		if s.attribute(id, t, worker) == crashExplained {
			e.Explained++
		} else {
			e.Uncertain++
		}
	}
	return e
}

// attribute returns what the crash of an incarnation says of one of the tasks that ran there.
func (s *Shard) attribute(id job.TaskID, t *taskState, worker string) attribution {
	found := crashOwn
	if t.sharedCrashes.Contains(worker) {
		found = crashShared
	}
	incarnation := outside.ParseIncarnation(worker)
	crash := s.crashedWorkers.find(incarnation)
	if crash == nil {
		return found
	}
	for other := range crash.tasks {
		if other == id {
			continue
		}
		found = max(found, s.attributeOther(other, incarnation))
	}
	return found
}

// attributeOther returns what one of the other tasks that ran on a crashed worker says of the crash. A
// task that has succeeded is not suspected. For one that has ended without a verdict, see
// leaveUnresolved.
func (s *Shard) attributeOther(other job.TaskID, incarnation outside.Incarnation) attribution {
	j := s.jobs[other.Job]
	if j == nil {
		return crashOwn
	}
	name := incarnation.String()
	if j.state.Final() {
		if j.failure != nil && j.failure.isFor(other) && !suspect.Crashes(j.failure.Beside).Contains(name) {
			return crashExplained
		}
		return crashOwn
	}
	t := j.task(other)
	switch {
	case t == nil || t.done || !t.crashes.Contains(name):
		return crashOwn
	case s.isLongRunning(other) && s.isGivenUp(other, t):
		return crashExplained
	case t.besideCrashes.Contains(name):
		return crashOwn
	default:
		return crashShared
	}
}

// resolveCrashes records what the end of a job says of the crashes of its workers.
func (s *Shard) resolveCrashes(j *jobState, now time.Time) {
	s.indexGivenUp(j.failure, now)
	j.forEachState(func(id job.TaskID, t *taskState) {
		s.reviewCrashes = s.reviewCrashes || t.isSuspect()
		if !t.done && t.isSuspect() && (j.failure == nil || !j.failure.isFor(id)) {
			s.leaveUnresolved(id, t)
		}
	})
}

// leaveUnresolved records that it will not be known whether a task crashed its workers, because it ends
// without a verdict: it was neither given up, nor has a run of its own succeeded. Otherwise its crashes
// would be blamed on the tasks beside it that are still open.
func (s *Shard) leaveUnresolved(id job.TaskID, t *taskState) {
	for _, worker := range t.crashes {
		crash := s.crashedWorkers.find(outside.ParseIncarnation(worker))
		if crash == nil || t.besideCrashes.Contains(worker) {
			continue
		}
		for other := range crash.tasks {
			if other != id {
				s.keepShared(other, worker)
			}
		}
	}
	for _, worker := range t.possibleCrashes {
		for other := range s.possibleCrashes[worker] {
			if other != id {
				s.keepShared(other, worker)
			}
		}
	}
}

// keepShared makes the loss of a worker count for an open task as one of other tasks as well, for good.
func (s *Shard) keepShared(id job.TaskID, worker string) {
	if _, t := s.openTask(id); t == nil || (!t.crashes.Contains(worker) && !t.possibleCrashes.Contains(worker)) {
		return
	}
	s.setShared(id, worker, true)
	for i, loss := range s.sharedLosses {
		if loss.worker == worker {
			s.sharedLosses[i].tasks = slices.DeleteFunc(loss.tasks, func(other job.TaskID) bool { return other == id })
		}
	}
}

// isFor reports whether the job failed because too many workers were lost under a task.
func (f *Failure) isFor(id job.TaskID) bool {
	return f.Task == id.String() && len(f.Crashed)+len(f.PossiblyCrashed) >= suspect.CrashLimit
}

// indexGivenUp adds the task that a job failed for, if it was given up, to the workers that crashed or
// may have crashed under it.
func (s *Shard) indexGivenUp(f *Failure, now time.Time) {
	if f == nil {
		return
	}
	id, err := job.ParseTaskID(f.Task)
	if err != nil || !f.isFor(id) {
		return
	}
	for _, worker := range slices.Concat(f.Crashed, f.PossiblyCrashed) {
		s.indexCrash(id, worker, now)
	}
}

// purgeCrashes drops the crashes of which no more is learnt.
func (s *Shard) purgeCrashes(now time.Time) {
	for worker := range s.crashedWorkers {
		s.crashedWorkers.removeIf(worker, func(crash *crashedWorker) bool {
			return now.Sub(crash.at) > endedRetention && !s.isAnyOpen(crash)
		})
	}
}

// isAnyOpen reports whether a task for which a crash was recorded has not ended.
func (s *Shard) isAnyOpen(crash *crashedWorker) bool {
	for id := range crash.tasks {
		if _, t := s.openTask(id); t != nil {
			return true
		}
	}
	return false
}
