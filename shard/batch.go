package shard

import (
	"maps"
	"slices"
	"time"

	"lemonstream.dev/lemonstream/job"
)

const (
	// entriesPerProgress is the maximum number of transaction entries for one progress row:
	// the row itself, the removal of the job's record or the condition that there is none, and
	// the removal of the request for its cancellation.
	entriesPerProgress = 3

	// entriesPerRecord is the number of transaction entries for one record: the record
	// itself, and the condition that it does not exist yet. The conditions that the job was not
	// withdrawn come on top, and that on the fence of its queue for the first record of the queue.
	entriesPerRecord = 2

	// maxBatchBytes bounds the size of all rows of one batch. It is half of the platform's limit for
	// one transaction. A batch always takes one row.
	maxBatchBytes = 512 << 10
)

// MaxSubmitted bounds the jobs whose record waits for a batch. It is what an owner writes in about
// a second under normal load, and several times what callers wait for.
const MaxSubmitted = 4096

// Batch holds the rows to be written in one transaction.
type Batch struct {
	// Records are the records of newly submitted jobs. The write requires that none of them
	// exists yet.
	Records []Record

	Writes []Write

	// Refused are refused jobs; the write requires that none of them has a record.
	// ExpiredRefusals are the ids of jobs whose refusal is removed.
	Refused         []Refused
	ExpiredRefusals []string

	// number is the number of the batch. complete says that it leaves out no progress row
	// that was due, single that its only row was in a batch that the store rejected.
	number   int64
	complete bool
	single   bool
}

// IsComplete reports whether, once the batch is written, every end that was handled before it was
// built is stored.
func (b Batch) IsComplete() bool {
	return b.complete
}

// Existing is a record that was already stored when a batch tried to write it.
type Existing struct {
	Record  Record
	Version int64
}

// Write is the write or removal of one progress row, and of rows that are removed with it.
type Write struct {
	ID       string
	Progress Progress

	// Row is Progress, encoded.
	Row []byte

	// RemoveRecord says that the record of the job is removed, RemoveCancelRequest that the
	// row that requests its cancellation is.
	RemoveRecord        bool
	RemoveCancelRequest bool

	// RequireNoRecord says that the write requires that the job has no record. Without it the
	// final state of a job that was cancelled before it was written would end another
	// organisation's job that an entry has written under the same ID.
	RequireNoRecord bool

	// RemoveProgress says that the progress row is removed instead of written.
	RemoveProgress bool
}

// SubmitResult is the outcome of Submit.
type SubmitResult struct {
	// Accepted says that the job's record is stored. If it is false, the job was certainly not
	// accepted.
	Accepted bool

	// Refused says that the service has so much work that the job could not end in a useful
	// time. RetryAfter is how long the caller waits before it submits the job again.
	Refused    bool
	RetryAfter time.Duration

	// Foreign says that the ID is that of another organisation's job.
	Foreign bool

	// Moved says that the fence of the job's queue was raised since the job was handed in: another
	// service may take the queue's jobs now.
	Moved bool

	// Withdrawn says that the job was withdrawn since it was handed in.
	Withdrawn bool
}

// Submit submits a job to this owner. It calls done once the job's record is stored, or once the
// job is certainly not accepted. No task of the job starts before the record is stored.
func (s *Shard) Submit(record Record, now time.Time, done func(SubmitResult)) {
	done = s.unlessForeign(record, done)
	j, known := s.jobs[record.ID]
	if !known {
		if s.answerIfRefused(record, now, done) {
			return
		}
		if verdict := s.admit(record, now); !verdict.Accept {
			s.refuse(record, verdict, now, done)
			return
		}
		record.AcceptedMillis = s.firstReadMillis(record)
	}
	switch {
	case !known && len(s.submitted) >= MaxSubmitted:
		s.NoteRefused(record, now)
		done(SubmitResult{})
	case !known:
		j = s.addJob(record)
		j.unwritten = true
		j.submitted = true
		j.submitWaiters = append(j.submitWaiters, done)
		s.submitted = append(s.submitted, j)
	case !s.isAccepted(j):
		j.submitWaiters = append(j.submitWaiters, done)
	default:
		done(SubmitResult{
			Accepted: true,
		})
	}
}

// isAccepted reports whether a job is certainly accepted, so that whoever submits it again is told so.
func (s *Shard) isAccepted(j *jobState) bool {
	switch {
	case !j.unwritten:
		return true
	case j.standing != nil:
		return !s.isForeign(j.record, j.standing.Record.Owner())
	default:
		return j.state.Final() && j.inStandby
	}
}

// RefuseSubmitted rejects the submitted jobs whose record is in no batch, because the store
// accepts no writes at the moment, and notes their demand. No record of them is known to be stored.
// It keeps jobs that were offered to the standby partition, and those whose cancellation is deferred:
// the cancellation must not apply to another job that is stored under the ID.
func (s *Shard) RefuseSubmitted(now time.Time) {
	var kept []*jobState
	for _, j := range s.submitted {
		if j.offeredStandby || len(j.cancelWaiters) > 0 {
			kept = append(kept, j)
			continue
		}
		s.addPending(j, -1)
		delete(s.jobs, j.record.ID)
		s.NoteRefused(j.record, now)
		j.answerSubmitters(false)
	}
	s.submitted = kept
	s.DropPendingRefusals(now)
}

// NextBatch returns the next batch to write, with at most the given number of entries; false means
// that there is nothing to write. The caller must answer with BatchWritten or UndoBatch, or send
// the batch again until it is written. While the outcome of a batch is unknown, no other batch may
// be written.
func (s *Shard) NextBatch(entries int, now time.Time) (Batch, bool) {
	if len(s.dirty) == 0 && len(s.removedJobs) == 0 && len(s.submitted) == 0 && len(s.refusing) == 0 {
		return Batch{}, false
	}
	if b, found := s.nextSingle(now); found {
		return b, true
	}
	var b Batch
	bytes := maxBatchBytes
	entries -= s.addRefusals(&b, entries/2, now)
	forRecords := entries
	if len(s.dirty) > 0 {
		forRecords = entries / 2
		bytes /= 2
	}
	taken, size := s.addRecords(&b, forRecords, bytes)
	entries -= taken
	entries -= entriesPerProgress * s.addProgress(&b, entries/entriesPerProgress, maxBatchBytes-size, now)
	s.addRemoved(&b, entries)
	return b, true
}

// allWritten reports whether the progress of every job is stored as it is in memory.
func (s *Shard) allWritten() bool {
	return len(s.dirty) == 0 && s.writtenBatch == s.lastBatch
}

// addRecords moves records of submitted jobs into a batch and returns the number of transaction
// entries and of bytes that they take. A transaction can't require two versions of one fence.
func (s *Shard) addRecords(b *Batch, entries, bytes int) (taken, size int) {
	fences := make(fences)
	for len(s.submitted) > 0 {
		j := s.submitted[0]
		conditions, compatible := fences.conditions(j.record)
		needed := entriesPerRecord + conditions
		more := len(j.record.Encode())
		if !compatible || taken+needed > entries || (size+more > bytes && len(b.Records) > 0) {
			break
		}
		size += more
		fences.require(j.record.Fence)
		taken += needed
		s.submitted = s.submitted[1:]
		j.submitted = false
		j.batched = true
		b.Records = append(b.Records, j.record)
	}
	return taken, size
}

// addProgress moves due progress rows into a batch and returns their number. Rows that don't fit are
// next in the batch after it.
func (s *Shard) addProgress(b *Batch, most, bytes int, now time.Time) int {
	for _, id := range s.dueProgress() {
		if len(b.Writes) >= most {
			break
		}
		write := s.progressWrite(s.dirty[id], now)
		if len(write.Row) > bytes && len(b.Writes)+len(b.Records) > 0 {
			break
		}
		bytes -= len(write.Row)
		s.takeProgress(b, write)
	}
	s.numberBatch(b)
	return len(b.Writes)
}

// dueProgress returns the jobs whose row is behind, first those after the last one that a batch took.
func (s *Shard) dueProgress() []string {
	ids := slices.Sorted(maps.Keys(s.dirty))
	next, _ := slices.BinarySearch(ids, s.lastProgress+"\x00")
	return slices.Concat(ids[next:], ids[:next])
}

// takeProgress moves a progress row into a batch.
func (s *Shard) takeProgress(b *Batch, write Write) {
	delete(s.dirty, write.ID)
	s.lastProgress = write.ID
	b.Writes = append(b.Writes, write)
}

// numberBatch gives a batch its number. It is complete if no progress row is left that was due.
func (s *Shard) numberBatch(b *Batch) {
	b.complete = len(s.dirty) == 0
	if b.complete {
		s.lastBatch++
	}
	b.number = s.lastBatch
}

// progressWrite returns the write of a job's progress row. A job whose row would be too large to be
// stored fails: nothing that happens to it could be stored any more, and its ends would hold up those of
// all other jobs.
func (s *Shard) progressWrite(j *jobState, now time.Time) Write {
	progress := j.progress()
	row := progress.Encode()
	if most := s.opts.RowBytes; most > 0 && len(row) > most && !j.state.Final() {
		s.failUnstorable(j, len(row), now)
		progress = j.progress()
		row = progress.Encode()
	}
	j.rowBytes = len(row)
	return Write{
		ID:                  j.record.ID,
		Progress:            progress,
		Row:                 row,
		RemoveRecord:        j.state.Final() && !j.needsNoRecord(),
		RequireNoRecord:     j.needsNoRecord(),
		RemoveCancelRequest: j.state.Final() && j.cancelRow,
	}
}

// needsNoRecord reports whether the job has ended before its record was written, so that a record
// under its ID may be that of another organisation's job.
func (j *jobState) needsNoRecord() bool {
	return j.state.Final() && j.unwritten
}

// addRemoved moves the removal of progress rows of forgotten jobs into a batch.
func (s *Shard) addRemoved(b *Batch, most int) {
	for n := 0; n < most && len(s.removedJobs) > 0; n++ {
		b.Writes = append(b.Writes, Write{
			ID:             s.removedJobs[0],
			RemoveProgress: true,
		})
		s.removedJobs = s.removedJobs[1:]
	}
}

// BatchWritten handles the successful write of a batch: states may be published, ends acknowledged
// to workers, and submitted jobs started.
func (s *Shard) BatchWritten(b Batch, now time.Time) {
	if b.complete {
		s.writtenBatch = b.number
	}
	s.confirmRefusals(b, now)
	for _, record := range b.Records {
		j := s.jobs[record.ID]
		if j == nil {
			continue
		}
		j.batched = false
		if j.unwritten {
			s.recordStored(j, true, now)
		}
	}
	for _, w := range b.Writes {
		s.progressStored(w, now)
	}
	for _, w := range s.workers {
		if w.acked < w.lastAcknowledgeable() && s.writtenBatch >= w.ackBatch && w.pollCall == 0 && w.failures == 0 {
			w.nextPollAt = now
		}
	}
}

// recordStored handles that the record of a job that was submitted here is stored. fresh says that the
// write required that there is no record of the job in the service's own partition: then no earlier
// owner can have seen it, unless one wrote it to the standby partition.
func (s *Shard) recordStored(j *jobState, fresh bool, now time.Time) {
	j.unwritten = false
	j.standing = nil
	j.fresh = fresh && !s.standbyUnread
	j.answerSubmitters(true)
	s.opts.LogEvent("job taken", "job", j.record.ID, "route", j.record.Route, "organisation", j.record.Organisation,
		"claim_version", s.claimVersion, "fresh", j.fresh, "age_ms", now.Sub(j.record.acceptedAt()).Milliseconds(),
		"occurrences", j.record.Spec.Occurrences(), "tasks", j.record.Spec.Tasks())
	if j.state.Final() {
		return
	}
	s.opts.PublishState(j.record.ID, job.Queued)
	s.schedule(j, now)
	s.applyDeferredCancel(j.record.ID, now)
}

// progressStored handles that a progress row is stored.
func (s *Shard) progressStored(w Write, now time.Time) {
	j := s.jobs[w.ID]
	if w.RemoveProgress || j == nil {
		return
	}
	if !w.Progress.State.Final() {
		// The final state may have been published from the standby partition meanwhile.
		if !j.state.Final() {
			s.opts.PublishState(w.ID, w.Progress.State)
		}
		return
	}
	j.finalStored = true
	j.unwritten = false
	j.standing = nil
	s.publishEnd(j, w.Progress.State, now)
}

// UndoBatch takes back a batch that certainly was not written, because some of its records or
// refusals conflicted with stored records, or because the store rejected it.
func (s *Shard) UndoBatch(b Batch, existing []Existing, now time.Time) {
	stand := make(map[string]Existing, len(existing))
	for _, e := range existing {
		stand[e.Record.ID] = e
	}
	s.undoRefusals(b, stand, now)
	for _, record := range b.Records {
		j := s.jobs[record.ID]
		if j == nil {
			continue
		}
		j.batched = false
		if !j.unwritten {
			continue
		}
		e, found := stand[record.ID]
		if !found && j.standing != nil {
			e, found = *j.standing, true
		}
		if found {
			s.adoptExisting(j, e, now)
			continue
		}
		if j.state.Final() {
			// The job was cancelled meanwhile: only its final state is written.
			continue
		}
		if j.rejected != nil {
			s.dropRejected(j, now)
			continue
		}
		j.submitted = true
		s.submitted = append(s.submitted, j)
	}
	for _, w := range b.Writes {
		j := s.jobs[w.ID]
		if e, found := stand[w.ID]; found && w.RequireNoRecord && j != nil && j.unwritten {
			s.adoptExisting(j, e, now)
		}
		if j := s.jobs[w.ID]; j != nil && !w.RemoveProgress {
			s.dirty[w.ID] = j
		} else if w.RemoveProgress {
			s.removedJobs = append(s.removedJobs, w.ID)
		}
	}
}

// adoptExisting replaces a submitted job by the one whose record another entry has stored. A
// previous owner may know of that job.
func (s *Shard) adoptExisting(j *jobState, e Existing, now time.Time) {
	foreign := s.isForeign(j.record, e.Record.Owner())
	j.standing = nil
	if j.state.Final() && !foreign {
		// The job was cancelled meanwhile; the write of its final state removes the record.
		j.unwritten = false
		j.answerSubmitters(true)
		return
	}
	s.unsubmit(j)
	if j.state.Final() {
		// Its final state must not be written under the ID of the other organisation's job.
		delete(s.dirty, j.record.ID)
	} else {
		s.addPending(j, -1)
	}
	delete(s.jobs, j.record.ID)
	s.dropForeignCancel(j.record.ID, foreign)
	s.addStored(e.Record, e.Version, false, now)
	stored := s.jobs[j.record.ID]
	// A write to the standby partition that is under way, or has no known outcome, leaves rows there.
	stored.inStandby = j.inStandby || j.offeredStandby
	s.replaceSubmitted(j, stored, foreign)
}

// dropForeignCancel drops the deferred cancellation of a submitted job if another organisation's job
// is stored under its ID. Rows request the cancellation of stored jobs only.
func (s *Shard) dropForeignCancel(id string, foreign bool) {
	if byRow := s.deferredCancels[id]; foreign && !byRow {
		delete(s.deferredCancels, id)
	}
}

// replaceSubmitted answers those who wait for a submitted job in whose place a stored one was taken
// up. A cancellation of the submitted job applies to the stored one unless that is foreign.
func (s *Shard) replaceSubmitted(submitted, stored *jobState, foreign bool) {
	submitted.answerSubmitters(true)
	if !foreign {
		stored.cancelWaiters = append(stored.cancelWaiters, submitted.cancelWaiters...)
		return
	}
	for _, done := range submitted.cancelWaiters {
		done()
	}
}

// unsubmit removes a job that has ended, such as a cancelled one, from those whose record waits for
// a batch: only its final state is written.
func (s *Shard) unsubmit(j *jobState) {
	if !j.submitted {
		return
	}
	j.submitted = false
	for i, other := range s.submitted {
		if other == j {
			s.submitted = append(s.submitted[:i], s.submitted[i+1:]...)
			return
		}
	}
}

// answerSubmitters reports to the pending Submit calls of a job whether it was accepted.
func (j *jobState) answerSubmitters(taken bool) {
	for _, done := range j.submitWaiters {
		done(SubmitResult{
			Accepted: taken,
		})
	}
	j.submitWaiters = nil
}
