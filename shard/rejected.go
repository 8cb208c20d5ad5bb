package shard

import "time"

// RejectRecords handles that records of a batch for either partition can't be stored any more. The
// batch was undone; reject returns the answer to the submitters of a record, and false for records that
// can still be stored.
func (s *Shard) RejectRecords(records []Record, reject func(Record) (SubmitResult, bool), now time.Time) {
	for _, record := range records {
		j := s.jobs[record.ID]
		if j == nil || !j.unwritten || j.state.Final() {
			continue
		}
		answer, rejected := reject(j.record)
		if !rejected {
			continue
		}
		s.opts.LogEvent("record rejected", "job", record.ID, "route", record.Route, "moved", answer.Moved, "withdrawn", answer.Withdrawn, "state", j.writeState())
		j.rejected = &answer
		s.unsubmit(j)
		s.dropRejected(j, now)
	}
}

// dropRejected drops a job whose record can't be stored any more, unless a write of it is under way. A
// cancellation that waits for the job is not answered: it has not been applied to the job that its
// caller may submit elsewhere.
func (s *Shard) dropRejected(j *jobState, now time.Time) {
	if j.batched || j.offeredStandby {
		return
	}
	if j.standing != nil {
		s.adoptExisting(j, *j.standing, now)
		return
	}
	s.addPending(j, -1)
	delete(s.jobs, j.record.ID)
	s.dropForeignCancel(j.record.ID, true)
	for _, done := range j.submitWaiters {
		done(*j.rejected)
	}
	j.submitWaiters = nil
}
