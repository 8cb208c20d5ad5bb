package shard

import (
	"maps"
	"slices"
	"time"

	"lemonstream.dev/lemonstream/job"
	"lemonstream.dev/lemonstream/outside"
	"lemonstream.dev/lemonstream/suspect"
)

// replacementWait is how long after a silent worker was given up another one is expected at its
// address if it crashed. The platform starts a crashed worker again after some seconds, and a silent
// one is given up after about seven.
const replacementWait = 5 * time.Second

// possibleCrashAfter is how many polls of a worker have to fail in a row before its tasks are
// stored with a possible crash there. A crashed worker resets its connections, so that this takes
// some 100 ms. If the owner dies before that, the next owner does not learn of the crash.
const possibleCrashAfter = 2

// sharedLoss is the loss of a worker that this owner has recorded for all tasks that ran there.
type sharedLoss struct {
	worker string
	tasks  []job.TaskID

	// batch is the batch that stores the loss for all of the tasks.
	batch int64
}

// addPossibleCrash records that an incarnation of a worker may have crashed under a task. While it
// is unknown how the task's run there ended, a later owner counts the worker's crash against the
// task as well. The row is written in parallel to the start and does not delay it, since a write
// takes some 20 ms.
func (s *Shard) addPossibleCrash(id job.TaskID, worker string) {
	j, t := s.ownOpenTask(id)
	if t == nil {
		return
	}
	if t.crashes.Contains(worker) {
		return
	}
	known := t.possibleCrashes
	t.possibleCrashes, _ = known.Add(worker)
	s.dirty[id.Job] = j
	for _, name := range known {
		if !slices.Contains(t.possibleCrashes, name) {
			s.unindexPossibleCrash(id, name)
		}
	}
	for _, name := range t.possibleCrashes {
		s.indexPossibleCrash(id, name)
	}
}

// addPossibleCrashes records that a worker may have crashed under the tasks that may have run there.
func (s *Shard) addPossibleCrashes(w *workerState, lost lostTasks) {
	name := w.incarnation().String()
	for _, id := range sortedTasks(lost) {
		s.addPossibleCrash(id, name)
		s.setShared(id, name, lost[id].shared)
	}
	s.clearSharedOnceStored(w, lost)
}

// setShared records whether a task ran on a worker beside others that may have no record of it.
func (s *Shard) setShared(id job.TaskID, worker string, shared bool) {
	j, t := s.openTask(id)
	if t == nil || t.sharedCrashes.Contains(worker) == shared {
		return
	}
	t = j.ownTask(id)
	if shared {
		t.sharedCrashes, _ = t.sharedCrashes.Add(worker)
	} else {
		t.sharedCrashes = t.sharedCrashes.Without(worker)
	}
	s.dirty[id.Job] = j
	s.reviewCrashes = true
}

// clearSharedOnceStored makes the loss of a worker count in full once it is stored for all tasks that
// ran there. An owner that has not seen what ran there leaves it as it is. Rows are written in several
// batches: if this owner dies between two of them, the next one may read of the suspects alone.
func (s *Shard) clearSharedOnceStored(w *workerState, lost lostTasks) {
	if !w.contacted {
		return
	}
	loss := sharedLoss{
		worker: w.incarnation().String(),
		batch:  s.lastBatch + 1,
	}
	for _, id := range sortedTasks(lost) {
		if s.isShared(id, loss.worker) {
			loss.tasks = append(loss.tasks, id)
		}
	}
	if len(loss.tasks) > 0 {
		s.sharedLosses = append(s.sharedLosses, loss)
	}
}

// clearShared makes the losses of workers count in full that are stored for all tasks.
func (s *Shard) clearShared() {
	s.sharedLosses = slices.DeleteFunc(s.sharedLosses, func(loss sharedLoss) bool {
		if s.writtenBatch < loss.batch && !s.allWritten() {
			return false
		}
		for _, id := range loss.tasks {
			s.setShared(id, loss.worker, false)
		}
		return true
	})
}

// recordCompany records that suspects on a worker run beside other tasks. If the owner dies right
// after the worker has crashed, the rows tell the next owner of the suspects alone, whose possible
// crashes are stored since their starts. Without this record that crash would be blamed on them.
func (s *Shard) recordCompany(w *workerState) {
	if w.suspects == 0 || len(w.runs) < 2 {
		return
	}
	name := w.incarnation().String()
	for id, r := range w.runs {
		if _, t := s.openTask(id); r.suspect && t != nil && t.possibleCrashes.Contains(name) {
			s.setShared(id, name, true)
		}
	}
}

// indexPossibleCrash adds a task's possible crash to the index by worker.
func (s *Shard) indexPossibleCrash(id job.TaskID, worker string) {
	if s.possibleCrashes[worker] == nil {
		s.possibleCrashes[worker] = make(map[job.TaskID]struct{})
	}
	s.possibleCrashes[worker][id] = struct{}{}
}

// unindexPossibleCrash removes a task's possible crash from the index by worker.
func (s *Shard) unindexPossibleCrash(id job.TaskID, worker string) {
	delete(s.possibleCrashes[worker], id)
	if len(s.possibleCrashes[worker]) == 0 {
		delete(s.possibleCrashes, worker)
	}
}

// sortedTasks returns the tasks of a set in order.
func sortedTasks[V any](set map[job.TaskID]V) []job.TaskID {
	return slices.SortedFunc(maps.Keys(set), job.TaskID.Compare)
}

// possibleCrashKeys returns the keys of Shard.possibleCrashes for a worker's incarnation. There may
// be two: while the start time of an incarnation is unknown, its key is the worker's id alone.
func (s *Shard) possibleCrashKeys(incarnation outside.Incarnation) []string {
	var names []string
	for name := range s.possibleCrashes {
		if outside.ParseIncarnation(name).Same(incarnation) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// removePossibleCrashes removes the possible crashes of a task on an incarnation, which did not crash
// under it or is known to have. The row is written again: otherwise a later end of the worker for
// another reason would count against the task.
func (s *Shard) removePossibleCrashes(id job.TaskID, incarnation outside.Incarnation) {
	for _, name := range s.possibleCrashKeys(incarnation) {
		s.removePossibleCrash(id, name)
	}
}

// removePossibleCrash removes the possible crash of a task under one key of a worker.
func (s *Shard) removePossibleCrash(id job.TaskID, worker string) {
	if _, found := s.possibleCrashes[worker][id]; !found {
		return
	}
	s.unindexPossibleCrash(id, worker)
	if j, t := s.ownOpenTask(id); t != nil {
		t.possibleCrashes = t.possibleCrashes.Without(worker)
		t.sharedCrashes = t.sharedCrashes.Without(worker)
		s.dirty[id.Job] = j
	}
}

// clearStalePossibleCrashes removes the possible crashes of tasks that do not run on a worker which
// answers or has ended.
func (s *Shard) clearStalePossibleCrashes(w *workerState) {
	for _, name := range s.possibleCrashKeys(w.incarnation()) {
		for id := range s.possibleCrashes[name] {
			if _, runs := w.runs[id]; !runs {
				s.removePossibleCrash(id, name)
			}
		}
	}
}

// recordEarlierCrashes records the possible crashes that an earlier owner stored for a worker's
// previous incarnations as crashes, once this owner gets its first answer from a later one.
func (s *Shard) recordEarlierCrashes(w *workerState, now time.Time) {
	for _, name := range slices.Sorted(maps.Keys(s.possibleCrashes)) {
		incarnation := outside.ParseIncarnation(name)
		if incarnation.Worker != w.reg.ID || incarnation.Same(w.incarnation()) {
			continue
		}
		tasks := make(lostTasks)
		for id := range s.possibleCrashes[name] {
			tasks[id] = lostTask{
				shared: s.isShared(id, name),
			}
		}
		s.recordCrashes(tasks, name, evidenceRestarted, now)
	}
}

// settledCrashes returns the possible crashes of a task that will stay possible.
func (s *Shard) settledCrashes(t *taskState, now time.Time) suspect.Crashes {
	var settled suspect.Crashes
	for _, name := range t.possibleCrashes {
		if !s.isPending(name, now) {
			settled = append(settled, name)
		}
	}
	return settled
}

// hasPendingCrashes reports whether a possible crash of a task is at a worker of which this owner may
// still learn whether it crashed.
func (s *Shard) hasPendingCrashes(t *taskState, now time.Time) bool {
	return slices.ContainsFunc(t.possibleCrashes, func(name string) bool { return s.isPending(name, now) })
}

// isPending reports whether this owner may still learn whether a worker crashed that may have. An
// unknown worker may still be read from a registration until everything that earlier owners started
// has lapsed. One that was given up may soon be replaced.
func (s *Shard) isPending(name string, now time.Time) bool {
	incarnation := outside.ParseIncarnation(name)
	w, found := s.workers[incarnation.Worker]
	lost, silent := s.silentLosses[name]
	return (found && w.incarnation().Same(incarnation)) ||
		(!found && now.Before(s.unobservedUntil)) ||
		(silent && now.Sub(lost.at) < replacementWait)
}
