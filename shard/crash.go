package shard

import (
	"net/netip"
	"slices"
	"strings"
	"time"

	"lemonstream.dev/lemonstream/job"
	"lemonstream.dev/lemonstream/outside"
	"lemonstream.dev/lemonstream/suspect"
)

// announcementSlack is the time for which a worker certainly answers on after it has announced its
// end, subtracted from what the platform states, since a read of the registrations takes time.
const announcementSlack = 250 * time.Millisecond

// replacementWait is how long after a silent worker was given up another one is expected at its
// address if it crashed. The platform starts a crashed worker again after some seconds, and a silent
// one is given up after about seven.
const replacementWait = 5 * time.Second

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

// How the end of a worker is known, in the log.
const (
	evidenceAddress   = "another worker has its address"
	evidenceReplaced  = "another worker answers"
	evidenceRestarted = "worker started again"
	evidenceSilent    = "unlisted and silent"
)

// recentCrash is the crash of a worker incarnation that was recorded or read lately, with the tasks
// for which it was.
type recentCrash struct {
	tasks []job.TaskID
	at    time.Time
}

// silentLoss is a worker incarnation that was given up because it did not answer.
type silentLoss struct {
	loss    suspect.Loss
	lost    lostTasks
	address netip.AddrPort
	at      time.Time
}

// workerLost drops a worker that ended, or is assumed to have ended, without an order of this owner.
// A crash is recorded for every task that may have run there. A task whose crashes are not counted
// starts again and again and crashes a worker each time: two tasks once crashed twelve workers with
// 176 runs in eleven seconds.
func (s *Shard) workerLost(w *workerState, now time.Time, evidence string) {
	verdict := s.verdict(w, now, evidence != evidenceSilent)
	lost := s.lostTasks(w, now)
	if evidence == evidenceSilent && verdict == suspect.PossibleCrash {
		s.silentLosses[w.incarnation().String()] = silentLoss{
			loss:    s.loss(w, now),
			lost:    lost,
			address: w.reg.Address,
			at:      now,
		}
	}
	s.removeWorker(w, now, evidence)
	s.recordLoss(w, lost, verdict, evidence, now)
}

// recordLoss records what the loss of a worker means for the tasks that may have run there.
func (s *Shard) recordLoss(w *workerState, lost lostTasks, verdict suspect.Verdict, evidence string, now time.Time) {
	name := w.incarnation().String()
	for id, beside := range lost {
		switch verdict {
		case suspect.Crash:
			s.recordCrash(id, name, evidence, beside, now)
		case suspect.PossibleCrash:
			s.addPossibleCrash(id, name)
		case suspect.NoCrash:
		}
	}
}

// verdict returns whether a worker crashed. ended says that another worker or incarnation answers in
// its place.
func (s *Shard) verdict(w *workerState, now time.Time, ended bool) suspect.Verdict {
	loss := s.loss(w, now)
	loss.Ended = ended
	return loss.Verdict(s.announcementLead())
}

// announcementLead is how long a worker certainly answers on after it has announced its end.
func (s *Shard) announcementLead() time.Duration {
	return s.opts.DrainTime - announcementSlack
}

// loss returns what is known about the end of a worker.
func (s *Shard) loss(w *workerState, now time.Time) suspect.Loss {
	loss := suspect.Loss{
		Announced: w.announced,
		Unheard:   !w.contacted,
		ListedAt:  w.listedAt,
		LostAt:    now,
	}
	if !w.silentSince.IsZero() {
		loss.LostAt = w.silentSince
	}
	loss.Closed = loss.LostAt.Before(w.closedUntil)
	if w.listed && !w.isOtherIncarnation(w.reg.Born) {
		loss.ListedAt = latestOf(w.listedAt, s.listReadAt)
	}
	if !w.listed {
		loss.UnlistedAt = w.unlistedAt
	}
	return loss
}

// lostTasks holds the tasks that may have run on a worker, and whether another task was started there
// later.
type lostTasks map[job.TaskID]bool

// lostTasks returns the tasks that run on a worker, have a possible crash there, or may run there
// according to the previous owner. It leaves out proven runs of long-running tasks, see isProven.
func (s *Shard) lostTasks(w *workerState, now time.Time) lostTasks {
	lost := make(lostTasks)
	newest := w.newestStart()
	for _, name := range s.possibleCrashKeys(w.incarnation()) {
		for id := range s.possibleCrashes[name] {
			beside, lapsed := w.lapsed[id]
			lost[id] = beside || (!lapsed && !newest.IsZero())
		}
	}
	for id, r := range w.runs {
		if step, found := s.stepOf(id); found && (!step.Lasting || !r.isProven(now)) {
			lost[id] = newest.Sub(r.startedAt) > suspect.AttributionSlack
		}
	}
	if w.contacted {
		return lost
	}
	for id := range w.unobservedTasks {
		// How long a long-running task of the previous owner has run is unknown.
		if step, found := s.stepOf(id); found && !step.Lasting {
			lost[id] = !newest.IsZero()
		}
	}
	return lost
}

// newestStart returns when the newest run that this owner ordered on the worker was started; zero if
// there is none.
func (w *workerState) newestStart() time.Time {
	var newest time.Time
	for _, r := range w.runs {
		if !r.found {
			newest = latestOf(newest, r.startedAt)
		}
	}
	return newest
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

// recordCrash records that an incarnation of a worker crashed under a task, and gives the task up if
// it is one too many. beside says that another task was started there later, which is more likely to
// be the cause. Each incarnation of a worker counts: when crashes were
// counted by worker id, one task crashed the only worker of a pool, which was back a second after
// each crash, 30 times in 40 s. evidence says how the end of the incarnation is known, for the log.
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

// addPossibleCrash records that an incarnation of a worker may have crashed under a task. While it
// is unknown how the task's run there ended, a later owner counts the worker's crash against the
// task as well. The row is written in parallel to the start and does not delay it, since a write
// takes some 20 ms.
func (s *Shard) addPossibleCrash(id job.TaskID, worker string) {
	j, t := s.openTask(id)
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

// possibleCrashKeys returns the keys of Shard.possibleCrashes for a worker's incarnation. There may
// be two: while the start time of an incarnation is unknown, its key is the worker's id alone.
func (s *Shard) possibleCrashKeys(incarnation outside.Incarnation) []string {
	var names []string
	for name := range s.possibleCrashes {
		if outside.ParseIncarnation(name).Same(incarnation) {
			names = append(names, name)
		}
	}
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
	if j, t := s.openTask(id); t != nil {
		t.possibleCrashes = t.possibleCrashes.Without(worker)
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

// recordReplaced records the possible crashes of silent workers as crashes if another worker is
// registered at their address, so that they have ended.
func (s *Shard) recordReplaced(reg outside.Registration, now time.Time) {
	for name, lost := range s.silentLosses {
		if lost.address != reg.Address || outside.ParseIncarnation(name).Same(reg.Incarnation()) {
			continue
		}
		delete(s.silentLosses, name)
		lost.loss.Ended = true
		if lost.loss.Verdict(s.announcementLead()) != suspect.Crash {
			continue
		}
		for id := range s.possibleCrashes[name] {
			s.recordCrash(id, name, evidenceAddress, lost.lost[id], now)
		}
	}
}

// purgeLosses drops the recorded crashes and losses of workers of which no more is learnt.
func (s *Shard) purgeLosses(now time.Time) {
	for name, lost := range s.silentLosses {
		if now.Sub(lost.at) > endedRetention {
			delete(s.silentLosses, name)
		}
	}
	for name, crash := range s.recentCrashes {
		if now.Sub(crash.at) > endedRetention {
			delete(s.recentCrashes, name)
		}
	}
}

// recordEarlierCrashes records the possible crashes that an earlier owner stored for a worker's
// previous incarnations as crashes, once this owner gets its first answer from a later one.
func (s *Shard) recordEarlierCrashes(w *workerState, now time.Time) {
	for name, tasks := range s.possibleCrashes {
		incarnation := outside.ParseIncarnation(name)
		if incarnation.Worker != w.reg.ID || incarnation.Same(w.incarnation()) {
			continue
		}
		for id := range tasks {
			s.recordCrash(id, name, evidenceRestarted, false, now)
		}
	}
}

// giveUpLostTasks gives up the tasks under which too many workers have crashed or possibly crashed,
// counting only possible crashes of which no more can be learnt. A possible crash stays one if this
// owner no longer knows the worker: it may have left in an orderly way, or run on behind a
// partition.
func (s *Shard) giveUpLostTasks(now time.Time) {
	for name, tasks := range s.possibleCrashes {
		for id := range tasks {
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

// settledCrashes returns how many possible crashes of a task will stay possible.
func (s *Shard) settledCrashes(t *taskState, now time.Time) int {
	return len(t.possibleCrashes) - s.pendingCrashes(t, now)
}

// pendingCrashes returns how many possible crashes of a task are at workers of which this owner may
// still learn whether they crashed. An unknown worker may still be read from a registration until
// everything that earlier owners started has lapsed. One that was given up may soon be replaced.
func (s *Shard) pendingCrashes(t *taskState, now time.Time) int {
	pending := 0
	for _, name := range t.possibleCrashes {
		incarnation := outside.ParseIncarnation(name)
		w, found := s.workers[incarnation.Worker]
		lost, silent := s.silentLosses[name]
		switch {
		case found && w.incarnation().Same(incarnation),
			!found && now.Before(s.unobservedUntil),
			silent && now.Sub(lost.at) < replacementWait:
			pending++
		}
	}
	return pending
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
// not stored yet. If tasks with unstored crashes started while the store is unavailable, each new owner
// would start them again.
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
