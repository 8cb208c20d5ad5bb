package shard

import (
	"sort"
	"time"

	"lemonstream.dev/lemonstream/job"
)

// batchJobs is the most jobs in one batch: each takes up to two of the entries
// of a transaction, and the rows of workers and the owner take the rest.
const batchJobs = 34

// Write is one row of progress, and whether the job's record goes with it.
type Write struct {
	ID       string
	Progress Progress

	// EndsRecord says that the record of the job is removed.
	EndsRecord bool

	// Forget says that the row of progress itself is removed.
	Forget bool
}

// Batch is what has to be written as one transaction.
type Batch struct {
	Writes []Write

	// number is the batch's own; whole says that nothing was left out.
	number int64
	whole  bool
}

// Accept takes in a job whose record stands in the table at the given version.
// direct says that the entry that wrote it tells this owner and has told none
// before.
func (s *Shard) Accept(record Record, version int64, direct bool, now time.Time) {
	if _, known := s.jobs[record.ID]; known {
		return
	}
	j := s.add(record)
	j.fresh = direct && version > s.newVersion
	s.opts.Show(record.ID, job.Queued)
	s.opts.Report("job taken", "job", record.ID, "route", record.Route, "version", version, "fresh", j.fresh,
		"age_ms", now.Sub(record.accepted()).Milliseconds())
	s.schedule(j, now)
}

// Restore takes in a job with the progress that an earlier owner wrote; nil
// means that none was written.
func (s *Shard) Restore(record Record, progress *Progress, now time.Time) error {
	if _, known := s.jobs[record.ID]; known {
		return nil
	}
	j := s.add(record)
	if progress == nil {
		s.opts.Show(record.ID, job.Queued)
		s.schedule(j, now)
		return nil
	}
	if err := j.restore(*progress); err != nil {
		return err
	}
	if progress.State != job.Queued {
		s.begin(j)
		s.opts.Show(record.ID, job.Running)
	}
	s.schedule(j, now)
	return nil
}

// RestoreEnded takes in a job of which only the final state is left.
func (s *Shard) RestoreEnded(id string, progress Progress) {
	if _, known := s.jobs[id]; known {
		return
	}
	s.jobs[id] = &jobState{
		record: Record{
			ID:    id,
			Route: progress.Route,
		},
		state: progress.State,
		begun: true,
		ended: time.UnixMilli(progress.EndedMillis),
	}
	s.opts.Show(id, progress.State)
}

func (s *Shard) add(record Record) *jobState {
	policy := record.Policy
	if newest, found := s.opts.Policy(record.Route); found {
		policy = newest
	}
	j := newJob(record, policy)
	s.jobs[record.ID] = j
	s.countPending(j, 1)
	return j
}

// schedule makes the due occurrences of a job startable.
func (s *Shard) schedule(j *jobState, now time.Time) {
	if j.record.Spec.Repeats > 0 {
		s.repeating[j.record.ID] = j
		s.beginOccurrences(now)
	} else if j.begunOccurrences == 0 {
		j.beginNext()
	}
	for k, o := range j.occurrences {
		o.left = 0
		for _, step := range o.steps {
			if step.left > 0 {
				o.left++
			}
		}
		if o.left == 0 && k < j.begunOccurrences {
			j.left--
		}
	}
	if j.left == 0 {
		s.finishJob(j, job.Completed, now)
		return
	}
	s.waiting[j.record.ID] = j
}

// beginOccurrences builds the occurrences that are due.
func (s *Shard) beginOccurrences(now time.Time) {
	for id, j := range s.repeating {
		for j.begunOccurrences < j.record.Spec.Occurrences() && !now.Before(j.record.Spec.Due(j.begunOccurrences)) {
			j.beginNext()
			s.waiting[id] = j
		}
		if j.begunOccurrences == j.record.Spec.Occurrences() {
			delete(s.repeating, id)
		}
	}
}

// Cancel withdraws a job. then is called once the table says so, or at once
// where the job had ended; it reports false where the job is not known.
func (s *Shard) Cancel(id string, now time.Time, then func()) bool {
	j, known := s.jobs[id]
	if !known {
		return false
	}
	if j.state.Final() {
		if _, unwritten := s.dirty[id]; !unwritten && j.asked == nil {
			then()
			return true
		}
		j.asked = append(j.asked, then)
		return true
	}
	s.opts.Report("job cancelled", "job", id, "state", string(j.state), "runs", j.active)
	j.asked = append(j.asked, then)
	s.finishJob(j, job.Cancelled, now)
	return true
}

// Known returns the state of a job as decided, which may not be written yet.
func (s *Shard) Known(id string) (job.State, bool) {
	j, known := s.jobs[id]
	if !known {
		return "", false
	}
	return j.state, true
}

// TakeBatch returns what has to be written next; false means nothing. The batch
// must be answered by Written, or taken again until it is written: a batch
// whose fate is unknown stands in the way of any other.
func (s *Shard) TakeBatch() (Batch, bool) {
	if len(s.dirty) == 0 && len(s.removed) == 0 {
		return Batch{}, false
	}
	ids := make([]string, 0, len(s.dirty))
	for id := range s.dirty {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	b := Batch{
		whole: len(ids) <= batchJobs,
	}
	if !b.whole {
		ids = ids[:batchJobs]
	} else {
		s.batch++
	}
	b.number = s.batch
	for _, id := range ids {
		j := s.dirty[id]
		delete(s.dirty, id)
		b.Writes = append(b.Writes, Write{
			ID:         id,
			Progress:   j.progress(),
			EndsRecord: j.state.Final(),
		})
	}
	for len(s.removed) > 0 && len(b.Writes) < batchJobs {
		b.Writes = append(b.Writes, Write{
			ID:     s.removed[0],
			Forget: true,
		})
		s.removed = s.removed[1:]
	}
	return b, true
}

// Written takes in that a batch was written: states may be shown and ends
// acknowledged.
func (s *Shard) Written(b Batch, now time.Time) {
	if b.whole {
		s.done = b.number
	}
	for _, w := range b.Writes {
		j := s.jobs[w.ID]
		if w.Forget || j == nil {
			continue
		}
		s.opts.Show(w.ID, w.Progress.State)
		if !w.Progress.State.Final() {
			continue
		}
		s.opts.Report("job ended", "job", w.ID, "state", string(w.Progress.State), "late_ms", now.Sub(j.deadline).Milliseconds())
		for _, then := range j.asked {
			then()
		}
		j.asked = nil
	}
	for _, w := range s.workers {
		if w.acked < w.processed && s.done >= w.ackBatch && !w.holding && w.failures == 0 {
			w.holdAt = now
		}
	}
}

// forget drops jobs that ended long ago, with their rows.
func (s *Shard) forget(now time.Time) {
	if now.Before(s.forgetAt) {
		return
	}
	s.forgetAt = now.Add(forgetPause)
	for id, j := range s.jobs {
		if !j.state.Final() || j.active > 0 || now.Sub(j.ended) < 2*s.opts.ShownFor {
			continue
		}
		if _, unwritten := s.dirty[id]; unwritten {
			continue
		}
		delete(s.jobs, id)
		s.removed = append(s.removed, id)
		s.opts.Show(id, "")
	}
}

// forgetPause is the time between two searches for jobs to forget.
const forgetPause = 5 * time.Second
