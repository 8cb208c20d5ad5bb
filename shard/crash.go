package shard

import (
	"slices"
	"strings"
	"time"

	"lemonstream.dev/lemonstream/job"
	"lemonstream.dev/lemonstream/outside"
	"lemonstream.dev/lemonstream/suspect"
)

// Weights that keep suspects, tasks under which workers crashed, apart; see suspectWeight.
const (
	weightPerSuspect = 500.0

	// weightPerBystander is added to a suspect's weight for each run on the worker, and
	// weightBesideSuspect to any other task's beside a suspect. A few bystanders weigh less
	// than running away from the data, a full worker weighs more.
	weightPerBystander  = 30.0
	weightBesideSuspect = 150.0
)

// recordCrashes records that an incarnation of a worker crashed under tasks, and gives up those for
// which it is one too many. Each incarnation of a worker counts: when crashes were counted by worker
// id, one task crashed the only worker of a pool, which was back a second after each crash, 30 times
// in 40 s. evidence says how the end of the incarnation is known, for the log.
func (s *Shard) recordCrashes(tasks lostTasks, worker, evidence string, now time.Time) {
	var marked []job.TaskID
	for _, id := range sortedTasks(tasks) {
		if s.recordCrash(id, worker, evidence, tasks[id], now) {
			marked = append(marked, id)
		}
	}
	// What a crash says of a task depends on the other tasks that it was recorded for.
	for _, id := range marked {
		if j, t := s.openTask(id); t != nil && s.crashEvidence(id, t, s.settledCrashes(t, now)).GivenUp() {
			s.giveUp(j, id, t, now)
		}
	}
}

// recordCrash records that an incarnation of a worker crashed under a task, and reports whether this is
// new.
func (s *Shard) recordCrash(id job.TaskID, worker, evidence string, lost lostTask, now time.Time) bool {
	j, t := s.ownOpenTask(id)
	if t == nil {
		return false
	}
	s.removePossibleCrashes(id, outside.ParseIncarnation(worker))
	marks, fresh := t.crashes.Add(worker)
	t.crashes = marks
	if !fresh {
		return false
	}
	if lost.shared {
		t.sharedCrashes, _ = t.sharedCrashes.Add(worker)
	}
	if lost.beside {
		t.besideCrashes, _ = t.besideCrashes.Add(worker)
	}
	t.crashBatch = s.lastBatch + 1
	s.dirty[id.Job] = j
	s.opts.LogEvent("crash marked", "task", id.String(), "worker", worker, "crashes", len(marks), "beside", len(t.besideCrashes),
		"shared", len(t.sharedCrashes), "possible", len(t.possibleCrashes), "evidence", evidence)
	s.indexCrash(id, worker, now)
	return true
}

// giveUp stops starting a task under which too many workers were lost, and fails its job. The job of
// a long-running task does not fail: the other tasks of the step go on, since stopping them all would
// exceed the step's limit of unavailable tasks.
func (s *Shard) giveUp(j *jobState, id job.TaskID, t *taskState, now time.Time) {
	e := s.crashEvidence(id, t, t.possibleCrashes)
	s.opts.LogEvent("task given up", "job", id.Job, "task", id.String(), "crashed", strings.Join(t.crashes, " "),
		"possibly_crashed", strings.Join(t.possibleCrashes, " "), "own", e.Own, "uncertain", e.Uncertain, "shared", e.Shared,
		"explained", e.Explained)
	if !j.record.Spec.Steps[id.Step].Lasting {
		s.failJob(j, id, t, now)
	}
}

// openTask returns a task that has not ended, to be read, and its job; nil if there is none.
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

// ownOpenTask returns a task that has not ended, to be changed, and its job; nil if there is none.
func (s *Shard) ownOpenTask(id job.TaskID) (*jobState, *taskState) {
	j, t := s.openTask(id)
	if t == nil {
		return nil, nil
	}
	return j, j.ownTask(id)
}

// withdrawCrashes removes the crashes and possible crashes of an incarnation, whose instance was
// ordered away. The owner may hear of the order only after it has lost the worker.
func (s *Shard) withdrawCrashes(taken outside.Incarnation) {
	for _, name := range s.possibleCrashKeys(taken) {
		for id := range s.possibleCrashes[name] {
			s.removePossibleCrash(id, name)
		}
	}
	for _, crash := range s.crashedWorkers.remove(taken) {
		for _, id := range sortedTasks(crash.tasks) {
			s.withdrawCrash(id, crash.incarnation.String())
		}
	}
}

// withdrawCrash removes a recorded crash of an open task.
func (s *Shard) withdrawCrash(id job.TaskID, worker string) {
	j, t := s.ownOpenTask(id)
	if t == nil || !t.crashes.Contains(worker) {
		return
	}
	t.crashes = t.crashes.Without(worker)
	t.besideCrashes = t.besideCrashes.Without(worker)
	t.sharedCrashes = t.sharedCrashes.Without(worker)
	s.dirty[id.Job] = j
	s.opts.LogEvent("crash withdrawn", "task", id.String(), "worker", worker, "crashes", len(t.crashes), "reason", reasonInstanceTaken)
}

// giveUpLostTasks gives up the tasks under which too many workers have crashed or possibly crashed,
// counting only possible crashes of which no more can be learnt. A possible crash stays one if this
// owner no longer knows the worker: it may have left in an orderly way, or run on behind a
// partition. What a crash says of a task changes as well once it is known what became of the tasks
// beside it.
func (s *Shard) giveUpLostTasks(now time.Time) {
	s.clearShared()
	lost := make(map[job.TaskID]struct{})
	for name, tasks := range s.possibleCrashes {
		for id := range tasks {
			if _, t := s.openTask(id); t == nil {
				s.unindexPossibleCrash(id, name)
			} else if s.isLost(id, now) {
				lost[id] = struct{}{}
			}
		}
	}
	if s.reviewCrashes {
		s.reviewCrashes = false
		for _, crash := range s.crashedWorkers.all() {
			for id := range crash.tasks {
				if s.isLost(id, now) {
					lost[id] = struct{}{}
				}
			}
		}
	}
	for _, id := range sortedTasks(lost) {
		// A task that was given up may explain the crashes of the next one.
		if s.isLost(id, now) {
			j, t := s.openTask(id)
			s.giveUp(j, id, t, now)
		}
	}
}

// isLost reports whether a task that does not run has to be given up. A long-running task is only not
// started again.
func (s *Shard) isLost(id job.TaskID, now time.Time) bool {
	j, t := s.openTask(id)
	if t == nil || len(t.runs) > 0 || j.record.Spec.Steps[id.Step].Lasting {
		return false
	}
	if len(t.crashes)+len(t.possibleCrashes) < suspect.CrashLimit {
		return false
	}
	return s.crashEvidence(id, t, s.settledCrashes(t, now)).GivenUp()
}

// clear removes the recorded crashes of a long-running task once its run is proven.
func (s *Shard) clear(r *run, t *taskState, j *jobState, now time.Time) {
	if !t.isSuspect() || !r.isProven(now) || !j.record.Spec.Steps[r.id.Step].Lasting {
		return
	}
	t.crashes = nil
	t.besideCrashes = nil
	t.sharedCrashes = nil
	s.dirty[j.record.ID] = j
	for _, name := range slices.Clone(t.possibleCrashes) {
		s.removePossibleCrash(r.id, name)
	}
	s.reviewCrashes = true
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

// needsIsolation reports whether the task must run on a dedicated worker.
func (t *taskState) needsIsolation() bool {
	return suspect.NeedsIsolation(len(t.crashes) + len(t.possibleCrashes))
}

// needsIsolationOn reports whether a run of the task on a worker must be the only one there.
func (t *taskState) needsIsolationOn(w *workerState) bool {
	return suspect.NeedsIsolation(t.lossesElsewhere(w))
}

// lossesElsewhere returns how many workers crashed or possibly crashed under the task, without a
// worker that may yet crash under its run there.
func (t *taskState) lossesElsewhere(w *workerState) int {
	losses := len(t.crashes)
	for _, name := range t.possibleCrashes {
		if !outside.ParseIncarnation(name).Same(w.incarnation()) {
			losses++
		}
	}
	return losses
}

// isGivenUp reports whether the task must not be started again.
func (s *Shard) isGivenUp(id job.TaskID, t *taskState) bool {
	return s.crashEvidence(id, t, t.possibleCrashes).GivenUp()
}

// isBlocked reports whether an idle task must not be started now. A task is blocked if it is given
// up, or may be once it is known whether its pending crashes are crashes, or if its newest crash is
// not stored yet. If tasks with unstored crashes started while the store is unavailable, each new
// owner would start them again.
func (s *Shard) isBlocked(id job.TaskID, t *taskState, now time.Time) bool {
	if s.isGivenUp(id, t) {
		return true
	}
	if len(t.crashes)+len(t.possibleCrashes) >= suspect.CrashLimit && s.hasPendingCrashes(t, now) {
		return true
	}
	return s.writtenBatch < t.crashBatch && !s.allWritten()
}

// isAnyBlocked reports whether a task of a gang is blocked.
func (s *Shard) isAnyBlocked(g group, step *stepState, now time.Time) bool {
	for index, t := range step.states {
		if s.isBlocked(g.task(index), t, now) {
			return true
		}
	}
	return false
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

// indexCrashes indexes the crashes and possible crashes of a job that was read from its rows.
func (s *Shard) indexCrashes(j *jobState, now time.Time) {
	j.forEachState(func(id job.TaskID, t *taskState) {
		for _, worker := range t.possibleCrashes {
			s.indexPossibleCrash(id, worker)
		}
		for _, worker := range t.crashes {
			s.indexCrash(id, worker, now)
		}
	})
}

// indexCrash adds a task to those under which an incarnation of a worker crashed.
func (s *Shard) indexCrash(id job.TaskID, worker string, now time.Time) {
	s.crashedWorkers.add(id, outside.ParseIncarnation(worker), now)
	s.reviewCrashes = true
}
