package shard

import (
	"maps"
	"slices"
	"strings"
	"time"

	"lemonstream.dev/lemonstream/job"
	"lemonstream.dev/lemonstream/outside"
	"lemonstream.dev/lemonstream/suspect"
)

// possibleCrashAfter is how many polls of a worker have to fail in a row before its tasks are
// stored with a possible crash there. A crashed worker resets its connections, so that this takes
// some 100 ms. If the owner dies before that, the next owner does not learn of the crash.
const possibleCrashAfter = 2

// Weights that keep suspects, tasks under which workers crashed, apart; see suspectWeight.
const (
	weightPerSuspect = 500.0

	// weightPerBystander is added to a suspect's weight for each run on the worker, and
	// weightBesideSuspect to any other task's beside a suspect. A few bystanders weigh less
	// than running away from the data, a full worker weighs more.
	weightPerBystander  = 30.0
	weightBesideSuspect = 150.0
)

// workerLost drops a worker that ended without an order of this owner. If it crashed, the crash is
// recorded for every task that may have run there. A task whose crashes are not counted starts
// again and again and crashes a worker each time: two tasks once crashed twelve workers with
// 176 runs in eleven seconds.
func (s *Shard) workerLost(w *workerState, now time.Time, reason string) {
	crashed := w.loss().Crashed()
	lost := s.lostTasks(w, now)
	s.removeWorker(w, now, reason)
	if !crashed {
		return
	}
	for id := range lost {
		s.recordCrash(id, w.incarnation().String(), reason, now)
	}
}

// loss returns what is known about the end of a worker.
func (w *workerState) loss() suspect.Loss {
	loss := suspect.Loss{
		Draining:    w.reg.Draining,
		Unheard:     !w.contacted,
		SilentSince: w.silentSince,
	}
	if !w.listed {
		loss.UnlistedAt = w.unlistedAt
	}
	return loss
}

// lostTasks returns the tasks that run on a worker, have a possible crash there, or may run there
// according to the previous owner. It leaves out proven runs of long-running tasks, see isProven.
func (s *Shard) lostTasks(w *workerState, now time.Time) map[job.TaskID]struct{} {
	lost := make(map[job.TaskID]struct{})
	for _, name := range s.possibleCrashKeys(w) {
		maps.Copy(lost, s.possibleCrashes[name])
	}
	for id, r := range w.runs {
		if step, found := s.stepOf(id); found && (!step.Lasting || !r.isProven(now)) {
			lost[id] = struct{}{}
		}
	}
	if w.contacted {
		return lost
	}
	for id := range w.unobservedTasks {
		// How long a long-running task of the previous owner has run is unknown.
		if step, found := s.stepOf(id); found && !step.Lasting {
			lost[id] = struct{}{}
		}
	}
	return lost
}

// isProven reports whether a run has gone on for so long that its start did not crash the worker. A
// run that was found on the worker counts as proven, because an earlier owner started it.
func (r *run) isProven(now time.Time) bool {
	last := now
	if silent := r.worker.silentSince; !silent.IsZero() {
		last = silent
	}
	return r.found || last.Sub(r.startedAt) > suspect.ProvenAfter
}

// recordCrash records that an incarnation of a worker crashed under a task. At suspect.CrashLimit
// it gives the task up and fails the job. Each incarnation of a worker counts: when crashes were
// counted by worker id, one task crashed the only worker of a pool, which was back a second after
// each crash, 30 times in 40 s. The job of a long-running task does not fail: the other tasks of
// the step go on, since stopping them all would exceed the step's limit of unavailable tasks.
// evidence says how the end of the incarnation is known, for the log.
func (s *Shard) recordCrash(id job.TaskID, worker, evidence string, now time.Time) {
	j, t := s.openTask(id)
	if t == nil {
		return
	}
	marks, fresh := t.crashes.Add(worker)
	if !fresh {
		return
	}
	t.crashes = marks
	t.crashBatch = s.lastBatch + 1
	s.dirty[id.Job] = j
	s.opts.LogEvent("crash marked", "task", id.String(), "worker", worker, "crashes", len(marks), "evidence", evidence)
	if !marks.GivenUp() {
		return
	}
	s.opts.LogEvent("task given up", "job", id.Job, "task", id.String(), "crashed", strings.Join(marks, " "))
	if !j.record.Spec.Steps[id.Step].Lasting {
		s.failJob(j, id, t, now)
	}
}

// openTask returns a task that has not ended, and its job; nil if there is none.
func (s *Shard) openTask(id job.TaskID) (*jobState, *taskState) {
	j := s.jobs[id.Job]
	if j == nil || j.state.Final() {
		return nil, nil
	}
	t := j.task(id)
	if t == nil || t.done {
		return nil, nil
	}
	return j, t
}

// addPossibleCrash records that an incarnation of a worker may have crashed under a task. While it
// is unknown how the task's run there ended, a later owner counts the worker's crash against the
// task as well. The row is written in parallel to the start and does not delay it, since a write
// takes some 20 ms.
func (s *Shard) addPossibleCrash(id job.TaskID, worker string) {
	j, t := s.openTask(id)
	if t == nil {
		return
	}
	t.possibleCrashes, _ = t.possibleCrashes.Add(worker)
	s.dirty[id.Job] = j
	s.indexPossibleCrash(id, worker)
}

// indexPossibleCrash adds a task's possible crash to the index by worker.
func (s *Shard) indexPossibleCrash(id job.TaskID, worker string) {
	if s.possibleCrashes[worker] == nil {
		s.possibleCrashes[worker] = make(map[job.TaskID]struct{})
	}
	s.possibleCrashes[worker][id] = struct{}{}
}

// possibleCrashKeys returns the keys of Shard.possibleCrashes for a worker's incarnation. There may
// be two: while the start time of an incarnation is unknown, its key is the worker's id alone.
func (s *Shard) possibleCrashKeys(w *workerState) []string {
	var names []string
	for name := range s.possibleCrashes {
		if outside.ParseIncarnation(name).Same(w.incarnation()) {
			names = append(names, name)
		}
	}
	return names
}

// clearPossibleCrash removes the possible crashes of a task on a worker, which did not crash under
// it. The row is written again: otherwise a later end of the worker for another reason would count
// against the task.
func (s *Shard) clearPossibleCrash(id job.TaskID, w *workerState) {
	for _, name := range s.possibleCrashKeys(w) {
		s.removePossibleCrash(id, name)
	}
}

// removePossibleCrash removes the possible crash of a task under one key of a worker.
func (s *Shard) removePossibleCrash(id job.TaskID, worker string) {
	if _, found := s.possibleCrashes[worker][id]; !found {
		return
	}
	delete(s.possibleCrashes[worker], id)
	if len(s.possibleCrashes[worker]) == 0 {
		delete(s.possibleCrashes, worker)
	}
	if j, t := s.openTask(id); t != nil {
		t.possibleCrashes = t.possibleCrashes.Without(worker)
		s.dirty[id.Job] = j
	}
}

// clearStalePossibleCrashes removes the possible crashes of tasks that do not run on a worker which
// answers or has ended.
func (s *Shard) clearStalePossibleCrashes(w *workerState) {
	for _, name := range s.possibleCrashKeys(w) {
		for id := range s.possibleCrashes[name] {
			if _, runs := w.runs[id]; !runs {
				s.removePossibleCrash(id, name)
			}
		}
	}
}

// resolvePossibleCrashes turns possible crashes into recorded ones if the worker is unknown to this
// owner or a later incarnation of it has answered. A possible crash that is still stored then was
// not cleared by an earlier owner.
func (s *Shard) resolvePossibleCrashes(now time.Time) {
	for name, tasks := range s.possibleCrashes {
		if !s.isPastIncarnation(outside.ParseIncarnation(name), now) {
			continue
		}
		delete(s.possibleCrashes, name)
		for id := range tasks {
			if _, t := s.openTask(id); t != nil {
				t.possibleCrashes = t.possibleCrashes.Without(name)
			}
			s.recordCrash(id, name, "possible crash of an ended worker", now)
		}
	}
}

// isPastIncarnation reports whether an incarnation with possible crashes has ended. An unknown
// worker counts as ended once everything that earlier owners started has lapsed.
func (s *Shard) isPastIncarnation(trial outside.Incarnation, now time.Time) bool {
	w, found := s.workers[trial.Worker]
	if !found {
		return !now.Before(s.unobservedUntil)
	}
	return w.contacted && !w.incarnation().Same(trial)
}

// clear removes the recorded crashes of a long-running task once its run is proven.
func (s *Shard) clear(r *run, t *taskState, j *jobState, now time.Time) {
	if !t.crashes.Suspect() || !r.isProven(now) || !j.record.Spec.Steps[r.id.Step].Lasting {
		return
	}
	t.crashes = nil
	s.dirty[j.record.ID] = j
	s.clearPossibleCrash(r.id, r.worker)
	s.removeSuspect(r)
	s.opts.LogEvent("crashes cleared", "task", r.id.String(), "worker", r.worker.reg.ID, "ran_ms", now.Sub(r.startedAt).Milliseconds())
}

// isSuspect reports whether a worker crashed, or may have crashed, under a task.
func (t *taskState) isSuspect() bool {
	return t.crashes.Suspect() || len(t.possibleCrashes) > 0
}

// removeSuspect removes a run from its worker's counts of suspect and isolated runs.
func (s *Shard) removeSuspect(r *run) {
	if r.suspect {
		r.suspect = false
		r.worker.suspects--
	}
	if r.isolated {
		r.isolated = false
		r.worker.isolated--
	}
}

// isBlocked reports whether an idle task must not be started now. A task is blocked if it is given
// up, or would be if its possible crashes turn out to be crashes, or if its newest crash is not
// stored yet. If tasks with unstored crashes started while the store is unavailable, each new owner
// would start them again.
func (s *Shard) isBlocked(t *taskState) bool {
	if t.crashes.GivenUp() {
		return true
	}
	if len(t.possibleCrashes) > 0 && len(t.crashes)+len(t.possibleCrashes) >= suspect.CrashLimit {
		return true
	}
	return s.writtenBatch < t.crashBatch && !s.allWritten()
}

// isAnyBlocked reports whether a task of a gang is blocked.
func (s *Shard) isAnyBlocked(step *stepState) bool {
	return slices.ContainsFunc(step.tasks, s.isBlocked)
}

// suspectWeight returns the weight that keeps suspects apart from other tasks, and most of all from
// each other, so that the next crash identifies its cause and hits few bystanders. It only ranks
// workers: if no worker has resources for a suspect apart from others, the suspect starts anyway.
func suspectWeight(w *workerState, t *taskState) float64 {
	switch {
	case t.isSuspect():
		return weightPerSuspect*float64(w.suspects) + weightPerBystander*float64(len(w.runs))
	case w.suspects > 0:
		return weightBesideSuspect
	default:
		return 0
	}
}

// indexPossibleCrashes indexes the possible crashes of a job that was read from its rows.
func (s *Shard) indexPossibleCrashes(j *jobState) {
	for k, o := range j.occurrences {
		for st, step := range o.steps {
			for i, t := range step.tasks {
				for _, worker := range t.possibleCrashes {
					s.indexPossibleCrash(job.TaskID{
						Job:        j.record.ID,
						Occurrence: k,
						Step:       st,
						Index:      i,
					}, worker)
				}
			}
		}
	}
}
