package shard

import (
	"errors"
	"fmt"
	"time"

	"lemonstream.dev/lemonstream/job"
)

// StandbyBatch is what an owner writes to the standby partition of its service while the service's
// own partition accepts no writes: records of accepted jobs, and final states of jobs. Both stay
// true whoever owns the service next.
type StandbyBatch struct {
	// Records are the records of jobs that were submitted to this owner and are not known to be
	// written anywhere.
	Records []Record

	// Ended holds final states that callers have not received.
	Ended []Write
}

// Empty reports whether there is nothing to write.
func (b StandbyBatch) Empty() bool {
	return len(b.Records) == 0 && len(b.Ended) == 0
}

// MarkStandbyUnread says that an earlier owner may have written rows to the standby partition that
// this one has not read yet. Until RestoreStandby is called, no job that an earlier owner may have
// seen is started.
func (s *Shard) MarkStandbyUnread() {
	s.standbyUnread = true
}

// RestoreStandby applies the rows of the standby partition. Final states come first, so that no job
// that has ended is started. progress holds the progress rows of the service's own partition for
// jobs whose record is not there. A record that can't be applied is skipped and named in the error.
func (s *Shard) RestoreStandby(records []Record, ended, progress map[string]Progress, now time.Time) error {
	var failed error
	s.standbyUnread = false
	for id, progress := range ended {
		s.restoreStandbyEnd(id, progress, now)
		s.jobs[id].inStandby = true
	}
	for _, record := range records {
		var before *Progress
		if p, found := progress[record.ID]; found {
			before = &p
		}
		if err := s.restoreStandbyRecord(record, before, now); err != nil {
			failed = errors.Join(failed, fmt.Errorf("record of job %s: %w", record.ID, err))
			continue
		}
		s.jobs[record.ID].inStandby = true
	}
	for id := range s.deferredCancels {
		s.applyDeferredCancel(id, now)
	}
	return failed
}

// restoreStandbyRecord restores a job whose record is in the standby partition. If the job was
// submitted again before that partition was read, it is known as a new job. The new one is replaced
// by the job that earlier owners may have run.
func (s *Shard) restoreStandbyRecord(record Record, progress *Progress, now time.Time) error {
	submitted, known := s.jobs[record.ID]
	if !known || submitted.restored || submitted.state.Final() {
		return s.Restore(record, s.claimVersion, progress, now)
	}
	s.unsubmit(submitted)
	s.addPending(submitted, -1)
	delete(s.jobs, record.ID)
	delete(s.waiting, record.ID)
	foreign := s.isForeign(submitted.record, record.Owner())
	s.dropForeignCancel(record.ID, foreign)
	if err := s.Restore(record, s.claimVersion, progress, now); err != nil {
		return err
	}
	s.replaceSubmitted(submitted, s.jobs[record.ID], foreign)
	return nil
}

// restoreStandbyEnd applies the final state of a job whose row in the service's own partition may
// be behind.
func (s *Shard) restoreStandbyEnd(id string, progress Progress, now time.Time) {
	j, known := s.jobs[id]
	if !known {
		s.RestoreEnded(id, progress)
		s.jobs[id].finalStored = false
		s.jobs[id].offeredStandby = true
		s.dirty[id] = s.jobs[id]
		return
	}
	ended := Record{
		ID:           id,
		Route:        progress.Route,
		Organisation: progress.Organisation,
	}
	if s.isForeign(ended, j.record.Owner()) {
		// The job that ended was cancelled before it was written.
		return
	}
	j.offeredStandby = true
	if j.state.Final() {
		return
	}
	s.unsubmit(j)
	j.failure = progress.Failure
	s.finishJob(j, progress.State, now)
	s.opts.PublishState(id, progress.State)
}

// NextStandbyBatch returns the rows to be written to the standby partition, with at most the given
// number of transaction entries. The caller must answer with StandbyWritten or UndoStandby.
func (s *Shard) NextStandbyBatch(entries int) StandbyBatch {
	var b StandbyBatch
	fences := make(fences)
	bytes := maxBatchBytes
	for id, j := range s.jobs {
		if entries <= 0 || bytes <= 0 {
			break
		}
		switch {
		case j.offeredStandby || j.finalStored:
		case j.state.Final():
			j.offeredStandby = true
			entries--
			progress := j.progress()
			row := progress.Encode()
			bytes -= len(row)
			b.Ended = append(b.Ended, Write{
				ID:       id,
				Progress: progress,
				Row:      row,
			})
		case j.unwritten && j.rejected == nil:
			conditions, compatible := fences.conditions(j.record)
			if !compatible || entries < 1+conditions {
				continue
			}
			fences.require(j.record.Fence)
			j.offeredStandby = true
			entries -= 1 + conditions
			bytes -= len(j.record.Encode())
			b.Records = append(b.Records, j.record)
		}
	}
	return b
}

// StandbyWritten handles a standby batch that was written: its jobs may start, and its final states
// may be published. Ends are acknowledged only once the service's own partition holds them.
func (s *Shard) StandbyWritten(b StandbyBatch, now time.Time) {
	for _, record := range b.Records {
		j := s.jobs[record.ID]
		if j == nil {
			continue
		}
		j.inStandby = true
		j.offeredStandby = false
		s.standbyRecordStored(j, record, now)
	}
	for _, w := range b.Ended {
		j := s.jobs[w.ID]
		if j == nil {
			continue
		}
		j.inStandby = true
		if j.state == w.Progress.State && j.record.Organisation == w.Progress.Organisation {
			s.publishEnd(j, w.Progress.State, now)
		}
	}
}

// standbyRecordStored handles that the record of a job is stored in the standby partition. Each later
// owner reads it there before it starts a job beside workers that it has not reached, so that the
// job needs no confirmation, also if another record of it is stored in the service's own partition.
func (s *Shard) standbyRecordStored(j *jobState, record Record, now time.Time) {
	switch {
	case !j.unwritten:
		if !s.isForeign(record, j.record.Owner()) {
			j.readAt = time.Time{}
		}
	case j.standing != nil && !s.isAccepted(j):
		s.adoptExisting(j, *j.standing, now)
	default:
		s.unsubmit(j)
		s.recordStored(j, false, now)
	}
}

// UndoStandby takes back a standby batch that certainly was not written.
func (s *Shard) UndoStandby(b StandbyBatch, now time.Time) {
	for _, record := range b.Records {
		j := s.jobs[record.ID]
		if j == nil {
			continue
		}
		j.offeredStandby = false
		if j.unwritten && j.rejected != nil {
			s.dropRejected(j, now)
		}
	}
	for _, w := range b.Ended {
		if j := s.jobs[w.ID]; j != nil {
			j.offeredStandby = false
		}
	}
}

// RedundantStandby returns at most the given number of jobs whose rows in the standby partition are
// no longer needed, because the service's own partition holds their final state.
func (s *Shard) RedundantStandby(most int) []string {
	var list []string
	for id, j := range s.jobs {
		if len(list) >= most {
			break
		}
		if j.inStandby && j.finalStored {
			list = append(list, id)
		}
	}
	return list
}

// StandbyRemoved records that the standby partition no longer holds rows of the given jobs.
func (s *Shard) StandbyRemoved(ids []string) {
	for _, id := range ids {
		if j := s.jobs[id]; j != nil {
			j.inStandby = false
		}
	}
}

// publishEnd publishes the final state of a job once the state is written.
func (s *Shard) publishEnd(j *jobState, state job.State, now time.Time) {
	s.opts.PublishState(j.record.ID, state)
	fields := []any{
		"job", j.record.ID, "state", string(state), "late_ms", now.Sub(j.deadline).Milliseconds(),
	}
	s.opts.LogEvent("job ended", append(fields, j.failure.LogFields()...)...)
	j.answerSubmitters(true)
	for _, done := range j.cancelWaiters {
		done()
	}
	j.cancelWaiters = nil
}
