package shard

import (
	"sort"
	"time"

	"lemonstream.dev/lemonstream/job"
)

const (
	// progressEntries is the most entries of a transaction that one row of
	// progress takes: itself, the record that it removes, and the wish for its
	// cancellation.
	progressEntries = 3

	// recordEntries is what one record takes: itself, and the condition that it
	// does not stand yet.
	recordEntries = 2

	// recordBytes bounds the records of one batch: half of what the platform
	// takes in one transaction.
	recordBytes = 512 << 10
)

// SubmittedMost bounds the jobs whose record waits for a batch: what an owner
// writes in about a second on a calm day, and several times what callers wait for.
const SubmittedMost = 4096

// Batch is what has to be written as one transaction.
type Batch struct {
	// Records are of jobs that were handed in here; none may stand yet.
	Records []Record

	Writes []Write

	// Refused are jobs that are turned away; no record of any may stand. Lifted are those
	// whose refusal is needed no more.
	Refused []Refused
	Lifted  []string

	// number is the batch's own; whole says that no progress was left out.
	number int64
	whole  bool
}

// Whole reports whether, once the batch is written, every end that was taken in
// before stands in a row.
func (b Batch) Whole() bool {
	return b.whole
}

// Existing is a record that stood already when a batch was to write it.
type Existing struct {
	Record  Record
	Version int64
}

// Write is one row of progress, and whether the job's record goes with it.
type Write struct {
	ID       string
	Progress Progress

	// EndsRecord says that the record of the job is removed, EndsCancel that the
	// row that asked for its cancellation is.
	EndsRecord bool
	EndsCancel bool

	// Forget says that the row of progress itself is removed.
	Forget bool
}

// Answer is what became of a job that was handed in.
type Answer struct {
	// Taken says that the job's record stands. Otherwise it certainly was not taken.
	Taken bool

	// Refused says that the service has too much to do for the job to be of use, and
	// ComeBack when it may be handed in again.
	Refused  bool
	ComeBack time.Duration
}

// Submit takes in a job that is handed in at this owner. done is called once its
// record stands, or it certainly was not taken. Nothing of the job is started before its
// record stands.
func (s *Shard) Submit(record Record, now time.Time, done func(Answer)) {
	j, known := s.jobs[record.ID]
	if !known {
		if s.answerRefused(record, now, done) {
			return
		}
		if verdict := s.admit(record, now); !verdict.Take {
			s.refuse(record, verdict, now, done)
			return
		}
		record.AcceptedMillis = s.firstRead(record)
	}
	switch {
	case !known && len(s.submitted) >= SubmittedMost:
		done(Answer{})
	case !known:
		j = s.add(record)
		j.unwritten = true
		j.submitted = true
		j.handed = append(j.handed, done)
		s.submitted = append(s.submitted, j)
	case j.unwritten:
		j.handed = append(j.handed, done)
	default:
		done(Answer{
			Taken: true,
		})
	}
}

// RefuseSubmitted turns away the jobs that no batch holds, because the store takes
// nothing at the moment.
func (s *Shard) RefuseSubmitted() {
	var offered []*jobState
	for _, j := range s.submitted {
		if j.offeredStandby {
			offered = append(offered, j)
			continue
		}
		s.countPending(j, -1)
		delete(s.jobs, j.record.ID)
		j.answerHanded(false)
	}
	s.submitted = offered
	s.DropRefusals()
}

// TakeBatch returns what has to be written next, in at most the given number of
// entries; false means nothing. The batch must be answered by Written or Undo, or
// sent again until it is written: a batch whose fate is unknown stands in the way
// of any other.
func (s *Shard) TakeBatch(entries int, now time.Time) (Batch, bool) {
	if len(s.dirty) == 0 && len(s.removed) == 0 && len(s.submitted) == 0 && len(s.refusing) == 0 {
		return Batch{}, false
	}
	var b Batch
	entries -= s.takeRefusals(&b, entries/2, now)
	forRecords := entries
	if len(s.dirty) > 0 {
		forRecords = entries / 2
	}
	entries -= recordEntries * s.takeRecords(&b, forRecords/recordEntries)
	entries -= progressEntries * s.takeProgress(&b, entries/progressEntries)
	s.takeRemoved(&b, entries)
	return b, true
}

// allWritten reports whether every row of progress stands as it is in memory.
func (s *Shard) allWritten() bool {
	return len(s.dirty) == 0 && s.done == s.batch
}

// takeRecords moves records into a batch and returns their number.
func (s *Shard) takeRecords(b *Batch, most int) int {
	size := 0
	for len(s.submitted) > 0 && len(b.Records) < most {
		j := s.submitted[0]
		size += len(j.record.Encode())
		if size > recordBytes && len(b.Records) > 0 {
			break
		}
		s.submitted = s.submitted[1:]
		j.submitted = false
		b.Records = append(b.Records, j.record)
	}
	return len(b.Records)
}

// takeProgress moves rows of progress into a batch and returns their number.
func (s *Shard) takeProgress(b *Batch, most int) int {
	ids := make([]string, 0, len(s.dirty))
	for id := range s.dirty {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	b.whole = len(ids) <= most
	if b.whole {
		s.batch++
	} else {
		ids = ids[:most]
	}
	b.number = s.batch
	for _, id := range ids {
		j := s.dirty[id]
		delete(s.dirty, id)
		b.Writes = append(b.Writes, Write{
			ID:         id,
			Progress:   j.progress(),
			EndsRecord: j.state.Final(),
			EndsCancel: j.state.Final() && j.cancelRow,
		})
	}
	return len(ids)
}

// takeRemoved moves rows of forgotten jobs into a batch.
func (s *Shard) takeRemoved(b *Batch, most int) {
	for n := 0; n < most && len(s.removed) > 0; n++ {
		b.Writes = append(b.Writes, Write{
			ID:     s.removed[0],
			Forget: true,
		})
		s.removed = s.removed[1:]
	}
}

// Written takes in that a batch was written: states may be shown, ends
// acknowledged, and jobs that were handed in started.
func (s *Shard) Written(b Batch, now time.Time) {
	if b.whole {
		s.done = b.number
	}
	s.refusalsWritten(b, now)
	for _, record := range b.Records {
		if j := s.jobs[record.ID]; j != nil && j.unwritten {
			s.recordStands(j, now)
		}
	}
	for _, w := range b.Writes {
		s.writtenProgress(w, now)
	}
	for _, w := range s.workers {
		if w.acked < w.acknowledgeable() && s.done >= w.ackBatch && w.look == 0 && w.failures == 0 {
			w.holdAt = now
		}
	}
}

// recordStands takes in that the record of a job was written that was handed in
// here. No owner before this one can have seen the job, unless one wrote it to the
// standby part.
func (s *Shard) recordStands(j *jobState, now time.Time) {
	j.unwritten = false
	j.fresh = !s.standbyUnread
	j.answerHanded(true)
	s.opts.Report("job taken", "job", j.record.ID, "route", j.record.Route, "organisation", j.record.Organisation, "fresh", j.fresh,
		"age_ms", now.Sub(j.record.accepted()).Milliseconds())
	if j.state.Final() {
		return
	}
	s.opts.Show(j.record.ID, job.Queued)
	s.schedule(j, now)
	s.cancelAwaited(j.record.ID, now)
}

// writtenProgress takes in that a row of progress stands.
func (s *Shard) writtenProgress(w Write, now time.Time) {
	j := s.jobs[w.ID]
	if w.Forget || j == nil {
		return
	}
	if !w.Progress.State.Final() {
		// The final state may have been told from the standby part meanwhile.
		if !j.state.Final() {
			s.opts.Show(w.ID, w.Progress.State)
		}
		return
	}
	j.settled = true
	s.tellEnd(j, w.Progress.State, now)
}

// Undo takes back a batch that certainly was not written, because some of its
// records stood already.
func (s *Shard) Undo(b Batch, existing []Existing, now time.Time) {
	stand := make(map[string]Existing, len(existing))
	for _, e := range existing {
		stand[e.Record.ID] = e
	}
	s.undoRefusals(b, stand, now)
	for _, record := range b.Records {
		j := s.jobs[record.ID]
		if j == nil || !j.unwritten {
			continue
		}
		if e, found := stand[record.ID]; found {
			s.adopt(j, e, now)
			continue
		}
		if j.state.Final() {
			// It was withdrawn meanwhile: its final state alone is written.
			continue
		}
		j.submitted = true
		s.submitted = append(s.submitted, j)
	}
	for _, w := range b.Writes {
		if j := s.jobs[w.ID]; j != nil && !w.Forget {
			s.dirty[w.ID] = j
		} else if w.Forget {
			s.removed = append(s.removed, w.ID)
		}
	}
}

// adopt takes in a job whose record another entry has written. An owner before
// may have been told of it.
func (s *Shard) adopt(j *jobState, e Existing, now time.Time) {
	if j.state.Final() {
		// It was withdrawn meanwhile; its final state follows and takes the record
		// away.
		j.unwritten = false
		j.answerHanded(true)
		return
	}
	waiting := j.handed
	s.countPending(j, -1)
	delete(s.jobs, j.record.ID)
	s.Accept(e.Record, e.Version, false, now)
	s.jobs[j.record.ID].asked = append(s.jobs[j.record.ID].asked, j.asked...)
	for _, done := range waiting {
		done(Answer{
			Taken: true,
		})
	}
}

// unsubmit takes a job that is withdrawn out of those whose record is to be
// written: its final state alone is.
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

// answerHanded tells those who handed the job in what became of it.
func (j *jobState) answerHanded(taken bool) {
	for _, done := range j.handed {
		done(Answer{
			Taken: taken,
		})
	}
	j.handed = nil
}
