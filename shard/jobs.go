package shard

import (
	"time"

	"lemonstream.dev/lemonstream/job"
)

// withdrawnMost bounds the cancellations that wait for their job. An entry writes such a
// row only after it has found the job's own, so that there are few; the bound is that
// of the jobs that wait for their record. What is left out still stands in its row, for
// the next owner.
const withdrawnMost = SubmittedMost

// Accept takes in a job whose record stands in the table at the given version.
// direct says that the entry that wrote it tells this owner and has told none
// before.
func (s *Shard) Accept(record Record, version int64, direct bool, now time.Time) {
	if _, known := s.jobs[record.ID]; known {
		return
	}
	j := s.add(record)
	j.fresh = direct && version > s.newVersion && !s.standbyUnread
	s.opts.Show(record.ID, job.Queued)
	s.opts.Report("job taken", "job", record.ID, "route", record.Route, "organisation", record.Organisation, "version", version, "fresh", j.fresh,
		"age_ms", now.Sub(record.accepted()).Milliseconds())
	s.schedule(j, now)
	s.cancelAwaited(record.ID, now)
}

// Restore takes in a job with the progress that an earlier owner wrote; nil
// means that none was written.
func (s *Shard) Restore(record Record, progress *Progress, now time.Time) error {
	if _, known := s.jobs[record.ID]; known {
		return nil
	}
	j := s.add(record)
	j.restored = true
	if progress == nil {
		s.opts.Show(record.ID, job.Queued)
		s.schedule(j, now)
		s.cancelAwaited(record.ID, now)
		return nil
	}
	if err := j.restore(*progress); err != nil {
		return err
	}
	s.watchTrials(j)
	if progress.State != job.Queued {
		s.begin(j)
		s.opts.Show(record.ID, job.Running)
	}
	s.schedule(j, now)
	s.cancelAwaited(record.ID, now)
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
		state:   progress.State,
		begun:   true,
		settled: true,
		ended:   time.UnixMilli(progress.EndedMillis),
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
// where the job had ended; it reports false where the job is not known. Until the
// standby part is read, which may hold the job's final state, nothing is decided.
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
	if s.standbyUnread {
		if !s.awaitJob(id, false) {
			return false
		}
		j.asked = append(j.asked, then)
		return true
	}
	s.opts.Report("job cancelled", "job", id, "state", string(j.state), "runs", j.active)
	s.unsubmit(j)
	j.asked = append(j.asked, then)
	s.finishJob(j, job.Cancelled, now)
	return true
}

// CancelByRow withdraws a job because a row asks for it; the row goes with the
// job's final state. Where the job is not known yet, it is withdrawn once it is.
func (s *Shard) CancelByRow(id string, now time.Time) {
	j, known := s.jobs[id]
	if !known || s.standbyUnread {
		s.awaitJob(id, true)
		return
	}
	j.cancelRow = true
	if j.state.Final() {
		s.dirty[id] = j
		return
	}
	s.Cancel(id, now, func() {})
}

// awaitJob remembers a cancellation until it can be decided; it reports false where too
// many wait.
func (s *Shard) awaitJob(id string, byRow bool) bool {
	_, waits := s.withdrawn[id]
	s.opts.Report("cancellation waits", "job", id, "by_row", byRow, "waiting", len(s.withdrawn))
	if !waits && len(s.withdrawn) >= withdrawnMost {
		return false
	}
	s.withdrawn[id] = s.withdrawn[id] || byRow
	return true
}

// cancelAwaited withdraws a job that is known now, where that was asked for before.
func (s *Shard) cancelAwaited(id string, now time.Time) {
	byRow, asked := s.withdrawn[id]
	if _, known := s.jobs[id]; !asked || !known || s.standbyUnread {
		return
	}
	delete(s.withdrawn, id)
	if byRow {
		s.CancelByRow(id, now)
		return
	}
	s.Cancel(id, now, func() {})
}

// Known returns the state of a job as decided, which may not be written yet.
func (s *Shard) Known(id string) (job.State, bool) {
	j, known := s.jobs[id]
	if !known {
		return "", false
	}
	return j.state, true
}

// forget drops jobs that ended long ago, with their rows.
func (s *Shard) forget(now time.Time) {
	if now.Before(s.forgetAt) {
		return
	}
	s.forgetAt = now.Add(forgetPause)
	for id, j := range s.jobs {
		if !j.state.Final() || j.active > 0 || j.inStandby || now.Sub(j.ended) < 2*s.opts.ShownFor {
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
