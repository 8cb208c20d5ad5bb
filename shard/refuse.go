package shard

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"lemonstream.dev/lemonstream/backlog"
)

// A job that is turned away certainly does not run, unless it is handed in again. The
// owner decides, and a row says so before a caller hears it. Its transaction holds up to
// refusalsMost refusals, each under the condition that no record of the job stands; and an
// entry that writes a record itself does so under the condition that no refusal stands, or
// lifts one that it can tell to be older than its own try. So of a refusal and a record
// one stands, whatever was sent before and arrives late. A call that arrives late at the
// owner is told apart by when its entry read the job.

const (
	// refusalsMost bounds the refusals of one batch, so that accepted jobs and ends
	// always have room in it.
	refusalsMost = 24

	// refusalEntries is what one refusal takes: its row, and the condition that no record
	// stands.
	refusalEntries = 2

	// refusedFor is how long a refusal is kept: the store and the entries may carry out
	// an earlier try up to 12 s and 2.5 s after it got no answer.
	refusedFor = 20 * time.Second

	// refusedMost bounds the refusals that are kept; beyond it none is given, and callers
	// hear an answer that leaves open whether the job runs. It is 200 a second, the rate
	// of transactions of a part of the store.
	refusedMost = 4096

	// promptly is how old a refusal may be when its row stands for its caller to hear it.
	// One that a slow store took longer to write tells too little of tries in between.
	promptly = tellTime / 2

	// tellTime is how long after a refusal an entry may have read a job for that to be
	// an earlier try: half of the time after which the caller comes back at the
	// earliest. The clocks of entries may differ by a quarter of it.
	tellTime = backlog.ComeBackLeast / 2
)

// Refusal is the row of a job that was turned away.
type Refusal struct {
	// AtMillis is when, since 1970.
	AtMillis int64 `cbor:"1,keyasint"`

	// FirstMillis is when an entry first read the job: its caller's patience counts from
	// there, also once it has come back.
	FirstMillis int64 `cbor:"2,keyasint"`
}

// Refused is a job that a batch turns away.
type Refused struct {
	ID string
	Refusal

	// waiting is who waits for it.
	waiting *refusing
}

// refusing is a job that is to be turned away once a row says so.
type refusing struct {
	id       string
	first    int64
	comeBack time.Duration
	done     []func(Answer)
}

// DecodeRefusal reads the row of a refusal.
func DecodeRefusal(value []byte) (Refusal, error) {
	var r Refusal
	if err := cbor.Unmarshal(value, &r); err != nil {
		return r, fmt.Errorf("row of a refusal: %w", err)
	}
	return r, nil
}

// Encode returns the row.
func (r Refusal) Encode() []byte {
	return encode(r)
}

// Covers reports whether an entry read a job before its caller can have come back from
// the refusal.
func (r Refusal) Covers(record Record) bool {
	return record.accepted().Before(time.UnixMilli(r.AtMillis).Add(tellTime))
}

// isPrompt reports whether a caller may hear of the refusal now.
func (r Refusal) isPrompt(now time.Time) bool {
	return now.Sub(time.UnixMilli(r.AtMillis)) <= promptly
}

// refuse turns a job away once a row says so.
func (s *Shard) refuse(record Record, verdict backlog.Verdict, now time.Time, done func(Answer)) {
	work, starts := s.survey.within(verdict.Wait)
	s.opts.Report("job turned away", "job", record.ID, "route", record.Route, "instances", s.most,
		"work_ms", work.Milliseconds(), "starts", starts,
		"organisation", record.Organisation, "quota_ms", s.survey.demands[record.Organisation].quota.Milliseconds(), "wait_ms", verdict.Wait.Milliseconds(),
		"survey_age_ms", now.Sub(s.survey.at).Milliseconds(), "come_back_ms", verdict.ComeBack.Milliseconds())
	r := &refusing{
		id:       record.ID,
		first:    s.firstRead(record),
		comeBack: verdict.ComeBack,
		done:     []func(Answer){done},
	}
	s.deciding[r.id] = r
	s.refusing = append(s.refusing, r)
}

// answerRefused deals with a job that is handed in and was, or is about to be, turned
// away; it reports false where it is to be decided on.
func (s *Shard) answerRefused(record Record, now time.Time, done func(Answer)) bool {
	if r, found := s.deciding[record.ID]; found {
		r.done = append(r.done, done)
		return true
	}
	refusal, found := s.refused[record.ID]
	if !found || !refusal.Covers(record) {
		return false
	}
	done(Answer{
		Refused:  refusal.isPrompt(now),
		ComeBack: backlog.ComeBackLeast,
	})
	return true
}

// firstRead returns when an entry first read a job, as far as is known.
func (s *Shard) firstRead(record Record) int64 {
	refusal, found := s.refused[record.ID]
	if !found || refusal.FirstMillis == 0 {
		return record.AcceptedMillis
	}
	return min(refusal.FirstMillis, record.AcceptedMillis)
}

// RestoreRefusal takes in a refusal of an earlier owner.
func (s *Shard) RestoreRefusal(id string, r Refusal) {
	s.refused[id] = r
	s.refusals = append(s.refusals, id)
}

// takeRefusals moves refusals into a batch, and the names of rows that are needed no
// more. It returns the entries that they take.
func (s *Shard) takeRefusals(b *Batch, entries int, now time.Time) int {
	taken := 0
	for len(s.refusals) > 0 && taken < entries {
		id := s.refusals[0]
		refusal, found := s.refused[id]
		if found && now.Sub(time.UnixMilli(refusal.AtMillis)) < refusedFor {
			break
		}
		s.refusals = s.refusals[1:]
		if found {
			delete(s.refused, id)
			b.Lifted = append(b.Lifted, id)
			taken++
		}
	}
	most := min(len(s.refusing), refusalsMost, (entries-taken)/refusalEntries)
	for _, r := range s.refusing[:most] {
		b.Refused = append(b.Refused, Refused{
			ID: r.id,
			Refusal: Refusal{
				AtMillis:    now.UnixMilli(),
				FirstMillis: r.first,
			},
			waiting: r,
		})
	}
	s.refusing = s.refusing[most:]
	return taken + refusalEntries*most
}

// refusalsWritten takes in that the refusals of a batch stand.
func (s *Shard) refusalsWritten(b Batch, now time.Time) {
	for _, r := range b.Refused {
		s.RestoreRefusal(r.ID, r.Refusal)
		s.answer(r.waiting, Answer{
			Refused:  r.isPrompt(now),
			ComeBack: r.waiting.comeBack,
		})
	}
}

// undoRefusals takes back refusals that were not written. A job whose record stands is
// taken.
func (s *Shard) undoRefusals(b Batch, stand map[string]Existing, now time.Time) {
	for _, id := range b.Lifted {
		s.RestoreRefusal(id, Refusal{})
	}
	for _, r := range b.Refused {
		e, found := stand[r.ID]
		if !found {
			s.refusing = append(s.refusing, r.waiting)
			continue
		}
		s.Accept(e.Record, e.Version, false, now)
		s.answer(r.waiting, Answer{
			Taken: true,
		})
	}
}

// DropRefusals lets go of those that no batch holds, because the store takes nothing: the
// jobs were not taken, but nothing says so for good.
func (s *Shard) DropRefusals() {
	for _, r := range s.refusing {
		s.answer(r, Answer{})
	}
	s.refusing = nil
}

// answer tells everybody who waits for a refusal what became of the job.
func (s *Shard) answer(r *refusing, a Answer) {
	delete(s.deciding, r.id)
	for _, done := range r.done {
		done(a)
	}
}
