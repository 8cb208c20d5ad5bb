package shard

import (
	"slices"
	"time"
)

// RejectBatch handles that the store rejected a batch for what it says, after the batch was undone. Each
// of its rows is then written alone, and one that is rejected alone is given up, so that it holds up no
// other job. It reports false for a batch without rows.
func (s *Shard) RejectBatch(b Batch, now time.Time) bool {
	var ids []string
	for _, record := range b.Records {
		ids = append(ids, record.ID)
	}
	for _, write := range b.Writes {
		ids = append(ids, write.ID)
	}
	for _, refused := range b.Refused {
		ids = append(ids, refused.ID)
	}
	if !b.single {
		s.singles = append(s.singles, ids...)
		return len(ids) > 0
	}
	switch {
	case len(b.Records) > 0:
		s.giveUpRecord(b.Records[0], now)
	case len(b.Refused) > 0:
		s.giveUpRefusal(b.Refused[0])
	default:
		s.giveUpWrite(b.Writes[0], now)
	}
	return true
}

// nextSingle returns a batch with one row of the jobs that are written alone; false if none of them has
// a row to write.
func (s *Shard) nextSingle(now time.Time) (Batch, bool) {
	for len(s.singles) > 0 {
		id := s.singles[0]
		s.singles = s.singles[1:]
		b := Batch{
			single: true,
		}
		j := s.jobs[id]
		refusal := slices.IndexFunc(s.refusing, func(r *refusing) bool { return r.id == id })
		removed := slices.Index(s.removedJobs, id)
		switch {
		case refusal >= 0:
			s.takeRefusal(&b, s.refusing[refusal], now)
			s.refusing = slices.Delete(s.refusing, refusal, refusal+1)
		case j != nil && j.submitted:
			s.unsubmit(j)
			j.batched = true
			b.Records = append(b.Records, j.record)
		case s.dirty[id] != nil:
			s.takeProgress(&b, s.progressWrite(s.dirty[id], now))
		case removed >= 0:
			s.removedJobs = slices.Delete(s.removedJobs, removed, removed+1)
			b.Writes = append(b.Writes, Write{
				ID:             id,
				RemoveProgress: true,
			})
		default:
			continue
		}
		s.numberBatch(&b)
		return b, true
	}
	return Batch{}, false
}

// giveUpRecord drops a job whose record the store never takes. Its submitters are told that it was not
// accepted.
func (s *Shard) giveUpRecord(record Record, now time.Time) {
	s.logError("row given up", "job", record.ID, "table", "record", "bytes", len(record.Encode()))
	s.RejectRecords([]Record{record}, func(Record) (SubmitResult, bool) { return SubmitResult{}, true }, now)
}

// giveUpRefusal drops a refusal whose row the store never takes.
func (s *Shard) giveUpRefusal(refused Refused) {
	s.logError("row given up", "job", refused.ID, "table", "refusal", "bytes", len(refused.Encode()))
	s.refusing = slices.DeleteFunc(s.refusing, func(r *refusing) bool { return r == refused.pending })
	s.answerPending(refused.pending, SubmitResult{})
}

// giveUpWrite gives up a progress row that the store never takes. A job that has not ended fails; a final
// state, or the removal of one, is left for the next owner.
func (s *Shard) giveUpWrite(write Write, now time.Time) {
	j := s.jobs[write.ID]
	if j != nil && !j.state.Final() && !write.RemoveProgress {
		s.failUnstorable(j, len(write.Row), now)
		return
	}
	s.logError("row given up", "job", write.ID, "table", "progress", "bytes", len(write.Row), "state", string(write.Progress.State))
	delete(s.dirty, write.ID)
	s.removedJobs = slices.DeleteFunc(s.removedJobs, func(id string) bool { return id == write.ID })
}
