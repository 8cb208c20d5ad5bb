package shard

import (
	"time"

	"lemonstream.dev/lemonstream/job"
	"lemonstream.dev/lemonstream/outside"
)

const (
	// lookupJobsMost bounds the jobs that one lookup asks for.
	lookupJobsMost = 500

	// lookupPause is the time between a lookup that failed and the next.
	lookupPause = 100 * time.Millisecond

	// lookupTimeout is how long the answer to a lookup is waited for.
	lookupTimeout = 5 * time.Second

	// reasonUnwanted says that a run is stopped because its task needs none.
	reasonUnwanted = "not wanted here"
)

// Lookup asks which of some jobs have a record in the service's own part. Those that have one
// are to be accepted before it is answered, by a read that began after the lookup was ordered.
type Lookup struct {
	// Call tells the lookup from every other one of this owner.
	Call int64
	Jobs []string
}

// unknownJob is a job of which workers list runs or ends, and which this owner does not know:
// an entry may have written its record and told an owner before. As no run begins before its
// record stands, a lookup that is ordered once a run or an end was seen finds it.
type unknownJob struct {
	// lookup is the number of the lookup that asks for the job, 0 for none.
	lookup int64
}

// knownJob returns a job whose record stands, or whose final state is decided; nil for any
// other. What workers list of one that waits for its record was started by an owner before.
func (s *Shard) knownJob(id string) *jobState {
	j := s.jobs[id]
	if j == nil || (j.unwritten && !j.state.Final()) {
		return nil
	}
	return j
}

// noteUnknown notes that a worker lists something of a job that this owner does not know.
func (s *Shard) noteUnknown(id string) {
	if _, found := s.unknown[id]; !found {
		s.unknown[id] = &unknownJob{}
	}
}

// deferEnd keeps an end of a job that this owner does not know. It is neither taken in nor
// acknowledged until the job is known, or no row names it: the task would run again.
func (s *Shard) deferEnd(w *workerState, end outside.End, now time.Time) {
	if r, found := w.runs[end.Task]; found && r.number == end.Run {
		s.drop(r, now)
	}
	w.deferred = append(w.deferred, end)
	s.noteUnknown(end.Task.Job)
	s.reportRun("end of an unknown job", end.Task, end.Run, w, "how", string(end.Kind), "number", end.Number)
}

// acknowledgeable returns the last end that may be acknowledged once its batch is written.
func (w *workerState) acknowledgeable() int64 {
	if len(w.deferred) > 0 {
		return min(w.processed, w.deferred[0].Number-1)
	}
	return w.processed
}

// resolveUnknown takes in what workers list of jobs that have become known.
func (s *Shard) resolveUnknown(now time.Time) {
	for id := range s.unknown {
		if s.knownJob(id) != nil {
			s.resolve(id, now)
		}
	}
}

// resolve takes in what workers list of a job: it has become known, or no row names it.
func (s *Shard) resolve(id string, now time.Time) {
	delete(s.unknown, id)
	for _, w := range s.workers {
		s.takeDeferred(w, id, now)
	}
	for _, w := range s.workers {
		for _, r := range w.runs {
			if r.id.Job == id && r.unsized {
				s.recognise(r)
			}
		}
	}
}

// takeDeferred takes in the ends of a job that were kept.
func (s *Shard) takeDeferred(w *workerState, id string, now time.Time) {
	kept := w.deferred
	w.deferred = nil
	for _, end := range kept {
		if end.Task.Job != id {
			w.deferred = append(w.deferred, end)
			continue
		}
		s.ended(w, end, now)
		w.ackBatch = s.batch + 1
		w.holdAt = now
	}
}

// recognise makes a run that was found count as one of its task, or stops it where the task
// needs none.
func (s *Shard) recognise(r *run) {
	j := s.knownJob(r.id.Job)
	var t *taskState
	if j != nil {
		t = s.taskOf(j, r.id)
	}
	if t == nil {
		s.stop(r, reasonUnwanted)
		return
	}
	wanted := needsRun(j, t)
	r.worker.used = r.worker.used.Sub(r.charge)
	r.worker.unsized--
	s.releaseQuota(r)
	r.unsized = false
	r.charge = j.record.Spec.Steps[r.id.Step].Charge()
	s.attach(r, j, t)
	if !wanted {
		s.stop(r, reasonUnwanted)
	}
	s.reportRun("run recognised", r.id, r.number, r.worker, "wanted", wanted)
}

// needsRun reports whether a run that is found of a task may go on.
func needsRun(j *jobState, t *taskState) bool {
	return !j.state.Final() && !t.done && len(t.runs) == 0
}

// lookUp orders a lookup of the jobs that are not known, one at a time. A job that waits for
// its own record to be written needs none: that write tells of the one that stands.
func (s *Shard) lookUp(now time.Time) {
	if s.lookup != 0 && now.Before(s.lookupUntil) {
		return
	}
	if now.Before(s.lookupAt) {
		return
	}
	var ids []string
	for id := range s.unknown {
		if s.jobs[id] == nil && len(ids) < lookupJobsMost {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return
	}
	s.lookup = s.nextCall()
	s.lookupUntil = now.Add(lookupTimeout)
	for _, id := range ids {
		s.unknown[id].lookup = s.lookup
	}
	s.opts.Report("unknown jobs looked up", "jobs", len(ids), "first", ids[0])
	s.orders.Lookups = append(s.orders.Lookups, Lookup{
		Call: s.lookup,
		Jobs: ids,
	})
}

// LookedUp takes in the answer to a lookup. Jobs that it asked for and that are still not
// known have no record: their runs are stopped, their ends acknowledged.
func (s *Shard) LookedUp(lookup Lookup, err error, now time.Time) {
	if lookup.Call != s.lookup {
		return
	}
	s.lookup = 0
	if err != nil {
		s.lookupAt = now.Add(lookupPause)
		s.opts.Report("unknown jobs not looked up", "jobs", len(lookup.Jobs), "error", err.Error())
	}
	for _, id := range lookup.Jobs {
		u, found := s.unknown[id]
		if !found || u.lookup != lookup.Call {
			continue
		}
		u.lookup = 0
		if err != nil || s.jobs[id] != nil {
			continue
		}
		s.opts.Report("job has no record", "job", id)
		s.resolve(id, now)
	}
}

// deferredTasks adds the tasks of ends that were kept.
func (w *workerState) deferredTasks(tasks []job.TaskID) []job.TaskID {
	for _, end := range w.deferred {
		tasks = append(tasks, end.Task)
	}
	return tasks
}
