package shard

import (
	"time"

	"lemonstream.dev/lemonstream/catalog"
	"lemonstream.dev/lemonstream/job"
)

// maxDeferredCancels bounds the deferred cancellations. There are few, since an entry writes the
// row of a cancellation only after it has found the row of the job; the bound is the one of the
// jobs that wait for their record. The row of a cancellation beyond it stays for the next owner.
const maxDeferredCancels = MaxSubmitted

// Accept handles that the record of a job is known to be stored in the table at the given version, 0
// if that is not known: it was read, looked up, met by a write of this owner, or an entry told of it.
// From then on the job is dropped only when it has ended. direct says that the entry that wrote the
// record notified this owner itself and had notified no other owner before.
func (s *Shard) Accept(record Record, version int64, direct bool, now time.Time) {
	if known := s.jobs[record.ID]; known != nil {
		s.findRecord(known, Existing{
			Record:  record,
			Version: version,
		}, now)
		return
	}
	s.addStored(record, version, direct, now)
	s.dropRefusal(record.ID)
}

// addStored adds a job whose record is stored.
func (s *Shard) addStored(record Record, version int64, direct bool, now time.Time) {
	j := s.addJob(record)
	s.setRead(j, version, now)
	j.fresh = direct && version > s.claimVersion && !s.standbyUnread
	s.opts.PublishState(record.ID, job.Queued)
	s.opts.LogEvent("job taken", "job", record.ID, "route", record.Route, "organisation", record.Organisation, "version", version,
		"claim_version", s.claimVersion, "fresh", j.fresh, "age_ms", now.Sub(record.acceptedAt()).Milliseconds(),
		"occurrences", record.Spec.Occurrences(), "tasks", record.Spec.Tasks())
	s.schedule(j, now)
	s.applyDeferredCancel(record.ID, now)
}

// findRecord handles that a record is stored under the ID of a job that is known. While the job is
// unwritten, an entry has stored the record, or the record is that of this owner's own write, which
// has no answer yet.
func (s *Shard) findRecord(j *jobState, e Existing, now time.Time) {
	if !j.unwritten {
		return
	}
	s.opts.LogEvent("record found", "job", j.record.ID, "version", e.Version, "state", j.writeState())
	if j.submitted {
		s.adoptExisting(j, e, now)
		return
	}
	// The write of the record, or of the final state, is under way or due, and its answer decides: it
	// meets the record, unless this is the record that it has written.
	j.standing = &e
	if s.isAccepted(j) {
		j.answerSubmitters(true)
	}
}

// writeState returns how far the record of an unwritten job has come, or the final state of one that
// has ended.
func (j *jobState) writeState() string {
	switch {
	case j.state.Final():
		return string(j.state)
	case j.submitted:
		return "submitted"
	default:
		return "in a batch"
	}
}

// Restore adds a job whose record is stored at the given version, with the progress that an earlier
// owner wrote, nil if none was written.
func (s *Shard) Restore(record Record, version int64, progress *Progress, now time.Time) error {
	if _, known := s.jobs[record.ID]; known {
		return nil
	}
	j := s.addJob(record)
	s.setRead(j, version, now)
	j.restored = true
	if progress == nil {
		s.opts.PublishState(record.ID, job.Queued)
		s.schedule(j, now)
		s.applyDeferredCancel(record.ID, now)
		return nil
	}
	if err := j.restore(*progress); err != nil {
		return err
	}
	s.indexCrashes(j, now)
	if progress.State != job.Queued {
		s.markStarted(j)
		s.opts.PublishState(record.ID, job.Running)
	}
	s.schedule(j, now)
	s.applyDeferredCancel(record.ID, now)
	return nil
}

// setRead notes that this owner learned of a record at the given version, 0 if the version is not
// known. A record that is older than this owner's claim needs no confirmation.
func (s *Shard) setRead(j *jobState, version int64, now time.Time) {
	if version > 0 && version <= s.claimVersion {
		return
	}
	j.readAt = now
	s.newestReadAt = now
}

// isConfirmed reports whether tasks of a job may start. A read of rows does not show whether this
// owner still owns the service: a record that is younger than the claim of the next owner is read
// as well, and that owner starts its tasks without waiting for this one. A transaction of this owner
// that was sent later than the read shows that the record is older than any such claim.
func (s *Shard) isConfirmed(j *jobState) bool {
	return j.readAt.IsZero() || !s.confirmedAt.Before(j.readAt)
}

// RestoreEnded adds a job of which only the final state is stored.
func (s *Shard) RestoreEnded(id string, progress Progress) {
	if _, known := s.jobs[id]; known {
		return
	}
	s.refusedDemand.Forget(id)
	s.jobs[id] = &jobState{
		record: Record{
			ID:           id,
			Route:        progress.Route,
			Organisation: progress.Organisation,
		},
		state:       progress.State,
		started:     true,
		finalStored: true,
		endedAt:     time.UnixMilli(progress.EndedMillis),
		failure:     progress.Failure,
	}
	s.indexGivenUp(progress.Failure, s.takenAt)
	s.opts.PublishState(id, progress.State)
}

// addJob adds a queued job, with the newest policy of its route if there is one.
func (s *Shard) addJob(record Record) *jobState {
	policy := record.Policy
	if newest, found := s.opts.Policy(record.Route); found {
		policy = newest
	}
	j := newJob(record, policy)
	s.jobs[record.ID] = j
	s.addPending(j, 1)
	return j
}

// schedule makes the due occurrences of a job ready to start, or finishes the job if none remains.
func (s *Shard) schedule(j *jobState, now time.Time) {
	s.refusedDemand.Forget(j.record.ID)
	if j.remaining == 0 {
		s.finishJob(j, job.Completed, now)
		return
	}
	if j.record.Spec.Repeats > 0 {
		s.repeating[j.record.ID] = j
		s.openDue(j, s.newReadyRoom(now), now)
	} else {
		j.openOccurrence(0)
	}
	s.waiting[j.record.ID] = j
}

// Cancel cancels a job. It reports false if the job is unknown, or if the cancellation has to be
// deferred and too many are. done is called once the job's final state is stored, or immediately if
// it already is. Until the standby partition is read, which may hold the job's final state, the
// cancellation is deferred.
func (s *Shard) Cancel(id string, now time.Time, done func()) bool {
	j, known := s.jobs[id]
	if !known {
		return false
	}
	if j.state.Final() {
		if _, unwritten := s.dirty[id]; !unwritten && j.cancelWaiters == nil {
			done()
			return true
		}
		j.cancelWaiters = append(j.cancelWaiters, done)
		return true
	}
	if s.standbyUnread {
		if !s.deferCancel(id, false) {
			return false
		}
		j.cancelWaiters = append(j.cancelWaiters, done)
		return true
	}
	s.opts.LogEvent("job cancelled", "job", id, "state", string(j.state), "runs", j.activeRuns)
	s.unsubmit(j)
	j.cancelWaiters = append(j.cancelWaiters, done)
	s.finishJob(j, job.Cancelled, now)
	return true
}

// CancelByRow cancels a job because a row requests it. The row is deleted when the job's final
// state is stored. If the job is not known yet, the cancellation is deferred until it is.
func (s *Shard) CancelByRow(id string, now time.Time) {
	j, known := s.jobs[id]
	if !known || s.standbyUnread {
		s.deferCancel(id, true)
		return
	}
	j.cancelRow = true
	if j.state.Final() {
		s.dirty[id] = j
		return
	}
	s.Cancel(id, now, func() {})
}

// deferCancel keeps a cancellation until it can be applied. It reports false if too many are kept.
func (s *Shard) deferCancel(id string, byRow bool) bool {
	_, deferred := s.deferredCancels[id]
	s.opts.LogEvent("cancellation deferred", "job", id, "by_row", byRow, "waiting", len(s.deferredCancels))
	if !deferred && len(s.deferredCancels) >= maxDeferredCancels {
		return false
	}
	s.deferredCancels[id] = s.deferredCancels[id] || byRow
	return true
}

// applyDeferredCancel cancels a job that is known now if a cancellation of it was deferred.
func (s *Shard) applyDeferredCancel(id string, now time.Time) {
	byRow, found := s.deferredCancels[id]
	if _, known := s.jobs[id]; !found || !known || s.standbyUnread {
		return
	}
	delete(s.deferredCancels, id)
	if byRow {
		s.CancelByRow(id, now)
		return
	}
	s.Cancel(id, now, func() {})
}

// JobState returns the state of a job as decided by this owner, which may not be stored yet.
func (s *Shard) JobState(id string) (job.State, bool) {
	j, known := s.jobs[id]
	if !known {
		return "", false
	}
	return j.state, true
}

// JobOwner returns the organisation and the route of a job; false if the job is unknown.
func (s *Shard) JobOwner(id string) (catalog.JobOwner, bool) {
	j, known := s.jobs[id]
	if !known {
		return catalog.JobOwner{}, false
	}
	return j.record.Owner(), true
}

// isForeign reports whether a job that was submitted under the ID of a known one belongs to another
// organisation, so that it is not the same job.
func (s *Shard) isForeign(submitted Record, known catalog.JobOwner) bool {
	return s.opts.Foreign != nil && s.opts.Foreign(submitted, known)
}

// unlessForeign returns done with the answer that a job was accepted replaced if the job that is
// known by then belongs to another organisation.
func (s *Shard) unlessForeign(submitted Record, done func(SubmitResult)) func(SubmitResult) {
	return func(result SubmitResult) {
		known, found := s.JobOwner(submitted.ID)
		if result.Accepted && found && s.isForeign(submitted, known) {
			result = SubmitResult{
				Foreign: true,
			}
		}
		done(result)
	}
}

// forgetEndedJobs drops jobs that ended long ago and has their rows deleted.
func (s *Shard) forgetEndedJobs(now time.Time) {
	if now.Before(s.nextPurgeAt) {
		return
	}
	s.nextPurgeAt = now.Add(forgetInterval)
	for id, j := range s.jobs {
		if !j.state.Final() || j.activeRuns > 0 || j.inStandby || now.Sub(j.endedAt) < 2*s.opts.JobRetention {
			continue
		}
		if _, unwritten := s.dirty[id]; unwritten {
			continue
		}
		delete(s.jobs, id)
		s.reviewCrashes = true
		s.removedJobs = append(s.removedJobs, id)
		s.opts.PublishState(id, "")
	}
}

// forgetInterval is the time between two searches for ended jobs to drop.
const forgetInterval = 5 * time.Second
