package shard

import (
	"time"

	"lemonstream.dev/lemonstream/job"
	"lemonstream.dev/lemonstream/outside"
)

const (
	// maxLookupJobs bounds the jobs of one lookup.
	maxLookupJobs = 500

	// lookupRetryInterval is the time between a failed lookup and the next one.
	lookupRetryInterval = 100 * time.Millisecond

	// lookupTimeout is how long this owner waits for the answer to a lookup.
	lookupTimeout = 5 * time.Second

	// reasonUnwanted is the reason for stopping a run that its task does not need.
	reasonUnwanted = "not wanted here"
)

// Lookup asks which of some jobs have a record in the service's own partition. Jobs that have one
// must be accepted before the lookup is answered, by a read that began after the lookup was
// ordered.
type Lookup struct {
	// Call is the unique number of the lookup among the orders of this owner.
	Call int64
	Jobs []string
}

// unknownJob is a job that this owner does not know although workers list runs or ends of it. An
// entry may have written its record and notified an earlier owner. Because no run begins before the
// record of its job is written, a lookup that is ordered after a run or an end was seen finds the
// record.
type unknownJob struct {
	// lookup is the number of the lookup that includes the job; 0 if none does.
	lookup int64
}

// knownJob returns a job whose record is written or whose final state is decided, and nil for any
// other job. If workers list runs of a job whose record is not written yet, an earlier owner
// started them.
func (s *Shard) knownJob(id string) *jobState {
	j := s.jobs[id]
	if j == nil || (j.unwritten && !j.state.Final()) {
		return nil
	}
	return j
}

// addUnknownJob records that a worker lists runs or ends of a job that this owner does not know.
func (s *Shard) addUnknownJob(id string) {
	if _, found := s.unknownJobs[id]; !found {
		s.unknownJobs[id] = &unknownJob{}
	}
}

// deferEnd keeps an end of a job that this owner does not know. The end is neither applied nor
// acknowledged until the job is known or a lookup shows that it has no record. Otherwise the task
// would run again.
func (s *Shard) deferEnd(w *workerState, end outside.End, now time.Time) {
	if r, found := w.runs[end.Task]; found && r.number == end.Run {
		s.dropRun(r, now)
	}
	w.deferred = append(w.deferred, end)
	s.addUnknownJob(end.Task.Job)
	s.logRun("end of an unknown job", end.Task, end.Run, w, "how", string(end.Kind), "number", end.Number)
}

// lastAcknowledgeable returns the number of the last end that may be acknowledged once its batch is
// written. Deferred ends and those after them may not be.
func (w *workerState) lastAcknowledgeable() int64 {
	if len(w.deferred) > 0 {
		return min(w.processed, w.deferred[0].Number-1)
	}
	return w.processed
}

// resolveUnknownJobs applies the runs and ends that workers list of jobs that have become known.
func (s *Shard) resolveUnknownJobs(now time.Time) {
	for id := range s.unknownJobs {
		if s.knownJob(id) != nil {
			s.resolveJob(id, now)
		}
	}
}

// resolveJob applies the runs and ends that workers list of a job that has become known or that has
// no record.
func (s *Shard) resolveJob(id string, now time.Time) {
	delete(s.unknownJobs, id)
	for _, w := range s.workers {
		s.applyDeferredEnds(w, id, now)
	}
	for _, w := range s.workers {
		for _, r := range w.runs {
			if r.id.Job == id && r.unsized {
				s.adoptRun(r, now)
			}
		}
	}
}

// applyDeferredEnds applies the deferred ends of a job at a worker.
func (s *Shard) applyDeferredEnds(w *workerState, id string, now time.Time) {
	kept := w.deferred
	w.deferred = nil
	for _, end := range kept {
		if end.Task.Job != id {
			w.deferred = append(w.deferred, end)
			continue
		}
		s.handleEnd(w, end, now)
		w.ackBatch = s.lastBatch + 1
		w.nextPollAt = now
	}
}

// adoptRun assigns a run that was found at a worker to its task, or stops the run if the task does
// not need it.
func (s *Shard) adoptRun(r *run, now time.Time) {
	j := s.knownJob(r.id.Job)
	var t *taskState
	if j != nil {
		t = j.ownTask(r.id)
	}
	if t == nil {
		s.stop(r, reasonUnwanted)
		return
	}
	r.doubleStart = s.logDoubleStart(r.worker, t, r.id, r.number, howRunning, now)
	wanted := needsRun(j, t)
	r.worker.used = r.worker.used.Sub(r.charge)
	r.worker.unsized--
	s.releaseQuota(r)
	r.unsized = false
	r.charge = j.record.Spec.Steps[r.id.Step].Charge()
	s.attachRun(r, j, t)
	if !wanted {
		s.stop(r, reasonUnwanted)
	}
	s.logRun("run recognised", r.id, r.number, r.worker, "wanted", wanted)
}

// needsRun reports whether a task needs a run that was found at a worker.
func needsRun(j *jobState, t *taskState) bool {
	return !j.state.Final() && !t.done && len(t.runs) == 0
}

// orderLookup orders a lookup of the unknown jobs; only one is under way at a time. A job whose own
// record waits to be written needs no lookup: that write reports a record that exists already.
func (s *Shard) orderLookup(now time.Time) {
	if s.lookup != 0 && now.Before(s.lookupDeadline) {
		return
	}
	if now.Before(s.nextLookupAt) {
		return
	}
	var ids []string
	for id := range s.unknownJobs {
		if s.jobs[id] == nil && len(ids) < maxLookupJobs {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return
	}
	s.lookup = s.nextCall()
	s.lookupDeadline = now.Add(lookupTimeout)
	for _, id := range ids {
		s.unknownJobs[id].lookup = s.lookup
	}
	s.opts.LogEvent("unknown jobs looked up", "jobs", len(ids), "first", ids[0])
	s.orders.Lookups = append(s.orders.Lookups, Lookup{
		Call: s.lookup,
		Jobs: ids,
	})
}

// LookedUp handles the answer to a lookup. Jobs of the lookup that are still not
// known have no record: their runs are stopped and their ends acknowledged.
func (s *Shard) LookedUp(lookup Lookup, err error, now time.Time) {
	if lookup.Call != s.lookup {
		return
	}
	s.lookup = 0
	if err != nil {
		s.nextLookupAt = now.Add(lookupRetryInterval)
		s.opts.LogEvent("unknown jobs not looked up", "jobs", len(lookup.Jobs), "error", err.Error())
	}
	for _, id := range lookup.Jobs {
		u, found := s.unknownJobs[id]
		if !found || u.lookup != lookup.Call {
			continue
		}
		u.lookup = 0
		if err != nil || s.jobs[id] != nil {
			continue
		}
		runs, ends := s.countUnknown(id)
		s.opts.LogEvent("job has no record", "job", id, "runs", runs, "ends", ends)
		s.resolveJob(id, now)
	}
}

// countUnknown returns how many runs and deferred ends workers list of a job that is not known.
func (s *Shard) countUnknown(id string) (runs, ends int) {
	for _, w := range s.workers {
		for task := range w.runs {
			if task.Job == id {
				runs++
			}
		}
		for _, end := range w.deferred {
			if end.Task.Job == id {
				ends++
			}
		}
	}
	return runs, ends
}

// appendDeferredTasks appends the tasks of deferred ends.
func (w *workerState) appendDeferredTasks(tasks []job.TaskID) []job.TaskID {
	for _, end := range w.deferred {
		tasks = append(tasks, end.Task)
	}
	return tasks
}
