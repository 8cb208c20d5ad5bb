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

// Weights that keep suspects, tasks under which workers crashed, apart; see suspectWeight.
const (
	weightPerSuspect = 500.0

	// weightPerBystander is added to a suspect's weight for each run on the worker, and
	// weightBesideSuspect to any other task's beside a suspect. A few bystanders weigh less
	// than running away from the data, a full worker weighs more.
	weightPerBystander  = 30.0
	weightBesideSuspect = 150.0
)

// recentCrash is the crash of a worker incarnation that was recorded or read lately, with the tasks
// for which it was.
type recentCrash struct {
	tasks []job.TaskID
	at    time.Time
}

// recordCrash records that an incarnation of a worker crashed under a task, and gives the task up if
// it is one too many. Each incarnation of a worker counts: when crashes were counted by worker id, one
// task crashed the only worker of a pool, which was back a second after each crash, 30 times in 40 s.
// evidence says how the end of the incarnation is known, for the log. beside says that another task
// was started there later, which is more likely to be the cause.
func (s *Shard) recordCrash(id job.TaskID, worker, evidence string, beside bool, now time.Time) {
	j, t := s.openTask(id)
	if t == nil {
		return
	}
	s.removePossibleCrashes(id, outside.ParseIncarnation(worker))
	marks, fresh := t.crashes.Add(worker)
	t.crashes = marks
	if !fresh {
		return
	}
	if beside {
		t.besideCrashes, _ = t.besideCrashes.Add(worker)
	}
	t.crashBatch = s.lastBatch + 1
	s.dirty[id.Job] = j
	s.opts.LogEvent("crash marked", "task", id.String(), "worker", worker, "crashes", len(marks), "beside", len(t.besideCrashes),
		"possible", len(t.possibleCrashes), "evidence", evidence)
	s.indexCrash(id, worker, now)
	if t.isGivenUpAfter(s.settledCrashes(t, now)) {
		s.giveUp(j, id, t, now)
	}
}

// giveUp stops starting a task under which too many workers were lost, and fails its job. The job of
// a long-running task does not fail: the other tasks of the step go on, since stopping them all would
// exceed the step's limit of unavailable tasks.
func (s *Shard) giveUp(j *jobState, id job.TaskID, t *taskState, now time.Time) {
	s.opts.LogEvent("task given up", "job", id.Job, "task", id.String(), "crashed", strings.Join(t.crashes, " "),
		"possibly_crashed", strings.Join(t.possibleCrashes, " "))
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

// withdrawCrashes removes the crashes and possible crashes of an incarnation, whose instance was
// ordered away. The owner may hear of the order only after it has lost the worker.
func (s *Shard) withdrawCrashes(taken outside.Incarnation) {
	for _, name := range s.possibleCrashKeys(taken) {
		for id := range s.possibleCrashes[name] {
			s.removePossibleCrash(id, name)
		}
	}
	for name, crash := range s.recentCrashes {
		if !outside.ParseIncarnation(name).Same(taken) {
			continue
		}
		for _, id := range crash.tasks {
			s.withdrawCrash(id, name)
		}
		delete(s.recentCrashes, name)
	}
}

// withdrawCrash removes a recorded crash of an open task.
func (s *Shard) withdrawCrash(id job.TaskID, worker string) {
	j, t := s.openTask(id)
	if t == nil || !t.crashes.Contains(worker) {
		return
	}
	t.crashes = t.crashes.Without(worker)
	t.besideCrashes = t.besideCrashes.Without(worker)
	s.dirty[id.Job] = j
	s.opts.LogEvent("crash withdrawn", "task", id.String(), "worker", worker, "crashes", len(t.crashes), "reason", reasonInstanceTaken)
}

// giveUpLostTasks gives up the tasks under which too many workers have crashed or possibly crashed,
// counting only possible crashes of which no more can be learnt. A possible crash stays one if this
// owner no longer knows the worker: it may have left in an orderly way, or run on behind a
// partition.
func (s *Shard) giveUpLostTasks(now time.Time) {
	for _, name := range slices.Sorted(maps.Keys(s.possibleCrashes)) {
		for _, id := range sortedTasks(s.possibleCrashes[name]) {
			j, t := s.openTask(id)
			switch {
			case t == nil:
				s.unindexPossibleCrash(id, name)
			case len(t.runs) == 0 && t.isGivenUp() && !j.record.Spec.Steps[id.Step].Lasting &&
				t.isGivenUpAfter(s.settledCrashes(t, now)):
				s.giveUp(j, id, t, now)
			}
		}
	}
}

// clear removes the recorded crashes of a long-running task once its run is proven.
func (s *Shard) clear(r *run, t *taskState, j *jobState, now time.Time) {
	if !t.isSuspect() || !r.isProven(now) || !j.record.Spec.Steps[r.id.Step].Lasting {
		return
	}
	t.crashes = nil
	t.besideCrashes = nil
	s.dirty[j.record.ID] = j
	for _, name := range slices.Clone(t.possibleCrashes) {
		s.removePossibleCrash(r.id, name)
	}
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
func (t *taskState) isGivenUp() bool {
	return t.isGivenUpAfter(len(t.possibleCrashes))
}

// isGivenUpAfter is isGivenUp if so many of the possible crashes count.
func (t *taskState) isGivenUpAfter(possible int) bool {
	return suspect.GivenUp(len(t.crashes)-len(t.besideCrashes), len(t.besideCrashes)+possible)
}

// isBlocked reports whether an idle task must not be started now. A task is blocked if it is given
// up, or may be once it is known whether its pending crashes are crashes, or if its newest crash is
// not stored yet. If tasks with unstored crashes started while the store is unavailable, each new
// owner would start them again.
func (s *Shard) isBlocked(t *taskState, now time.Time) bool {
	if t.isGivenUp() {
		return true
	}
	if len(t.crashes)+len(t.possibleCrashes) >= suspect.CrashLimit && s.pendingCrashes(t, now) > 0 {
		return true
	}
	return s.writtenBatch < t.crashBatch && !s.allWritten()
}

// isAnyBlocked reports whether a task of a gang is blocked.
func (s *Shard) isAnyBlocked(step *stepState, now time.Time) bool {
	return slices.ContainsFunc(step.tasks, func(t *taskState) bool { return s.isBlocked(t, now) })
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
	for k, o := range j.occurrences {
		for st, step := range o.steps {
			for i, t := range step.tasks {
				id := job.TaskID{
					Job:        j.record.ID,
					Occurrence: k,
					Step:       st,
					Index:      i,
				}
				for _, worker := range t.possibleCrashes {
					s.indexPossibleCrash(id, worker)
				}
				for _, worker := range t.crashes {
					s.indexCrash(id, worker, now)
				}
			}
		}
	}
}

// indexCrash adds a task's crash to the recent crashes.
func (s *Shard) indexCrash(id job.TaskID, worker string, now time.Time) {
	s.recentCrashes[worker] = recentCrash{
		tasks: append(s.recentCrashes[worker].tasks, id),
		at:    now,
	}
}
