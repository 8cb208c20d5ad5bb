package shard

import (
	"fmt"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"lemonstream.dev/lemonstream/backlog"
)

// A refused job certainly does not run, unless it is submitted again. The owner decides on the
// refusal and writes a row of it before a caller is notified. The transaction holds up to
// maxRefusalsPerBatch refusals, each under the condition that no record of the job is stored. An
// entry that writes a record itself does so under the condition that no refusal is stored, or
// removes one that is certainly older than its own attempt. So either a refusal or a record is
// stored, never both, even if an earlier call arrives late. The owner recognises a late call by the
// time when its entry read the job.

const (
	// maxRefusalsPerBatch bounds the refusals of one batch, so that it always has room for
	// accepted jobs and ended tasks.
	maxRefusalsPerBatch = 24

	// entriesPerRefusal is the number of entries of a transaction that one refusal takes: its
	// row, and the condition that no record is stored.
	entriesPerRefusal = 2

	// refusalRetention is how long a refusal is kept. An earlier attempt without an answer may
	// still be carried out up to 12 s later by the store, and up to 2.5 s later by an entry.
	refusalRetention = 20 * time.Second

	// maxRefusals bounds the refusals that are kept. Beyond it no job is refused, and callers get
	// an answer that leaves open whether the job runs. Over refusalRetention it allows about 200
	// refusals a second, the rate of transactions of one partition of the store.
	maxRefusals = 4096

	// maxAnswerAge is the maximum age of a refusal at which its caller is notified of it once its row
	// is stored. If a slow store took longer to write it, the job may have been submitted again
	// in between.
	maxAnswerAge = earlierAttemptWindow / 2

	// earlierAttemptWindow is how long after a refusal an entry may have read a job for this to
	// count as an attempt from before the refusal. It is half of the shortest time after which
	// the caller retries. The clocks of entries may differ by a quarter of it.
	earlierAttemptWindow = backlog.MinRetryAfter / 2
)

// Refusal is the row of a job that was refused.
type Refusal struct {
	// AtMillis is when the job was refused, in Unix milliseconds.
	AtMillis int64 `cbor:"1,keyasint"`

	// FirstMillis is when an entry first read the job, in Unix milliseconds. The deadline of the
	// job counts from then, also when the caller submits it again.
	FirstMillis int64 `cbor:"2,keyasint"`
}

// Refused is a job that a batch refuses.
type Refused struct {
	ID string
	Refusal

	// pending is the refusal that is answered once the batch is written.
	pending *refusing
}

// refusing is a job whose refusal is decided but whose row is not stored yet.
type refusing struct {
	id          string
	record      Record
	firstMillis int64
	retryAfter  time.Duration
	done        []func(SubmitResult)
}

// DecodeRefusal decodes a row written by Refusal.Encode.
func DecodeRefusal(value []byte) (Refusal, error) {
	var r Refusal
	if err := cbor.Unmarshal(value, &r); err != nil {
		return r, fmt.Errorf("decode refusal: %w", err)
	}
	return r, nil
}

// Encode returns the row in CBOR.
func (r Refusal) Encode() []byte {
	return encode(r)
}

// Covers reports whether an entry read a job so early that its caller cannot have received the
// refusal and retried. The record then belongs to an attempt from before the refusal.
func (r Refusal) Covers(record Record) bool {
	return record.acceptedAt().Before(time.UnixMilli(r.AtMillis).Add(earlierAttemptWindow))
}

// isAnswerable reports whether a caller may still be told of the refusal now.
func (r Refusal) isAnswerable(now time.Time) bool {
	return now.Sub(time.UnixMilli(r.AtMillis)) <= maxAnswerAge
}

// refuse refuses a job. done is called once the row of the refusal is stored or given up.
func (s *Shard) refuse(record Record, verdict backlog.Verdict, now time.Time, done func(SubmitResult)) {
	work, starts := s.survey.runnableWithin(verdict.Wait)
	s.opts.LogEvent("job turned away", "job", record.ID, "route", record.Route, "instances", s.maxInstances,
		"work_ms", work.Milliseconds(), "starts", starts,
		"organisation", record.Organisation, "quota_ms", s.survey.demands[record.Organisation].quotaTime.Milliseconds(), "wait_ms", verdict.Wait.Milliseconds(),
		"survey_age_ms", now.Sub(s.survey.computedAt).Milliseconds(), "come_back_ms", verdict.RetryAfter.Milliseconds())
	r := &refusing{
		id:          record.ID,
		record:      record,
		firstMillis: s.firstReadMillis(record),
		retryAfter:  verdict.RetryAfter,
		done:        []func(SubmitResult){done},
	}
	s.undecidedRefusals[r.id] = r
	s.refusing = append(s.refusing, r)
}

// answerIfRefused handles a submitted job that was refused before or has a pending refusal. It
// returns false if the job still has to be decided on.
func (s *Shard) answerIfRefused(record Record, now time.Time, done func(SubmitResult)) bool {
	if r, found := s.undecidedRefusals[record.ID]; found {
		r.done = append(r.done, done)
		return true
	}
	refusal, found := s.storedRefusals[record.ID]
	if !found || !refusal.Covers(record) {
		return false
	}
	done(SubmitResult{
		Refused:    refusal.isAnswerable(now),
		RetryAfter: backlog.MinRetryAfter,
	})
	return true
}

// firstReadMillis returns the earliest known time when an entry read a job, in Unix milliseconds.
func (s *Shard) firstReadMillis(record Record) int64 {
	refusal, found := s.storedRefusals[record.ID]
	if !found || refusal.FirstMillis == 0 {
		return record.AcceptedMillis
	}
	return min(refusal.FirstMillis, record.AcceptedMillis)
}

// RestoreRefusal adds a stored refusal, such as one of a previous owner.
func (s *Shard) RestoreRefusal(id string, r Refusal) {
	s.storedRefusals[id] = r
	s.refusalOrder = append(s.refusalOrder, id)
}

// addRefusals moves pending refusals into a batch, and the IDs of jobs whose stored refusals have
// expired. It returns the number of transaction entries that they take.
func (s *Shard) addRefusals(b *Batch, entries int, now time.Time) int {
	taken := 0
	for len(s.refusalOrder) > 0 && taken < entries {
		id := s.refusalOrder[0]
		refusal, found := s.storedRefusals[id]
		if found && now.Sub(time.UnixMilli(refusal.AtMillis)) < refusalRetention {
			break
		}
		s.refusalOrder = s.refusalOrder[1:]
		if found {
			delete(s.storedRefusals, id)
			b.ExpiredRefusals = append(b.ExpiredRefusals, id)
			taken++
		}
	}
	count := min(len(s.refusing), maxRefusalsPerBatch, (entries-taken)/entriesPerRefusal)
	for _, r := range s.refusing[:count] {
		s.takeRefusal(b, r, now)
	}
	s.refusing = s.refusing[count:]
	return taken + entriesPerRefusal*count
}

// takeRefusal moves a pending refusal into a batch.
func (s *Shard) takeRefusal(b *Batch, r *refusing, now time.Time) {
	b.Refused = append(b.Refused, Refused{
		ID: r.id,
		Refusal: Refusal{
			AtMillis:    now.UnixMilli(),
			FirstMillis: r.firstMillis,
		},
		pending: r,
	})
}

// confirmRefusals records that the refusals of a batch are stored, and answers those who wait for
// them.
func (s *Shard) confirmRefusals(b Batch, now time.Time) {
	for _, r := range b.Refused {
		s.RestoreRefusal(r.ID, r.Refusal)
		s.refusedDemand.Forget(r.ID)
		s.answerPending(r.pending, SubmitResult{
			Refused:    r.isAnswerable(now),
			RetryAfter: r.pending.retryAfter,
		})
	}
}

// undoRefusals reverts the refusals of a batch that was not written. A job whose record is stored
// is accepted instead.
func (s *Shard) undoRefusals(b Batch, existing map[string]Existing, now time.Time) {
	for _, id := range b.ExpiredRefusals {
		s.RestoreRefusal(id, Refusal{})
	}
	for _, r := range b.Refused {
		if e, found := existing[r.ID]; found {
			s.Accept(e.Record, e.Version, false, now)
		}
		if s.undecidedRefusals[r.ID] == r.pending {
			s.refusing = append(s.refusing, r.pending)
		}
	}
}

// dropRefusal drops the pending refusal of a job whose record is stored, and reports that the job is
// accepted. A batch that holds the refusal can't be written, unless it was written already and the
// record has lifted the refusal.
func (s *Shard) dropRefusal(id string) {
	r, found := s.undecidedRefusals[id]
	if !found {
		return
	}
	s.refusing = slices.DeleteFunc(s.refusing, func(other *refusing) bool { return other == r })
	s.answerPending(r, SubmitResult{
		Accepted: true,
	})
}

// DropPendingRefusals answers the pending refusals that no batch holds, because the store takes no
// writes. The jobs were not accepted, but the answer is no refusal, as no row is stored. Their
// demand is noted.
func (s *Shard) DropPendingRefusals(now time.Time) {
	for _, r := range s.refusing {
		s.NoteRefused(r.record, now)
		s.answerPending(r, SubmitResult{})
	}
	s.refusing = nil
}

// answerPending sends the outcome to every call that waits for a pending refusal.
func (s *Shard) answerPending(r *refusing, a SubmitResult) {
	delete(s.undecidedRefusals, r.id)
	for _, done := range r.done {
		done(a)
	}
	r.done = nil
}
