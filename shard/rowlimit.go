package shard

import (
	"time"

	"lemonstream.dev/lemonstream/job"
)

// rowFullShare is the share of the bytes of a row from which on a job starts no task to which nothing has
// happened yet. What the tasks that run then may add to the row fits into the rest.
const rowFullShare = 0.75

// isRowFull reports whether the row of a job has little room for the history of further tasks. Those that
// have a history go on, so that it becomes shorter.
func (s *Shard) isRowFull(j *jobState) bool {
	return s.opts.RowBytes > 0 && float64(j.rowBytes) > rowFullShare*float64(s.opts.RowBytes)
}

// failUnstorable fails a job whose progress can't be stored. The task of the failure is the one that has
// failed most often.
func (s *Shard) failUnstorable(j *jobState, bytes int, now time.Time) {
	s.logError("row too large", "job", j.record.ID, "table", "progress", "bytes", bytes, "most", s.opts.RowBytes)
	j.failure = &Failure{
		Epoch:    s.epoch,
		RowBytes: bytes,
	}
	j.forEachState(func(id job.TaskID, t *taskState) {
		if len(t.failedRuns) > len(j.failure.FailedRuns) {
			j.failure.Task = id.String()
			j.failure.FailedRuns = t.failedRuns
		}
	})
	s.finishJob(j, job.Failed, now)
}

func (s *Shard) logError(event string, fields ...any) {
	if s.opts.LogError != nil {
		s.opts.LogError(event, fields...)
	}
}
