package witness

import (
	"maps"
	"slices"
	"time"
)

// maxOrdered bounds the instances that a witness remembers for one part.
const maxOrdered = 256

// Reasons for which a witness refuses to promise.
const (
	ReasonClaiming = "claiming"
	ReasonEpoch    = "later epoch known"
	ReasonOrdered  = "too many instances"
	ReasonReadable = "heartbeat readable"
)

// Promises is the witness's side of the promises for one part. It is not safe for concurrent use.
type Promises struct {
	rules Rules

	// keepOrdered is how long an instance is remembered that a request named.
	keepOrdered time.Duration

	// epoch is the highest epoch in a heartbeat row that was read or in a request. An owner sends
	// requests only after its claim was applied.
	epoch int64

	// until is when the last promise ends, on the clock of the witness.
	until time.Time

	// claim is a claim of this entry that may take effect; nil if there is none.
	claim *claim

	// ordered maps the instances that requests of an owner named to when they were named last.
	// orderedEpoch is the epoch of that owner.
	ordered      map[string]time.Time
	orderedEpoch int64
}

// claim is a claim that may take effect.
type claim struct {
	// epoch is that of the owner to be replaced. beatVersion is the version of the heartbeat
	// row that the claim checks.
	epoch       int64
	beatVersion int64

	// uncertain reports that an attempt ended without a known result.
	uncertain bool
}

// Request is an owner's request for a promise.
type Request struct {
	Epoch int64

	// Ordered names the instances that the owner is about to order without a write.
	Ordered []string
}

// Known is what the witness knows of a part when it gets a request.
type Known struct {
	// Epoch is the highest epoch in an owner's row that it has seen.
	Epoch int64

	// Readable reports whether it can read the heartbeat row.
	Readable bool
}

// Result is how a claim ended.
type Result int

// Results of claims.
const (
	// ResultApplied means that the claim was applied: this entry is the owner.
	ResultApplied Result = iota

	// ResultFailed means that this attempt certainly has no effect. After a conflict, an earlier
	// attempt may have caused it.
	ResultFailed

	// ResultUncertain means that this attempt may have been applied or may be later.
	ResultUncertain
)

// NewPromises returns the promises of a witness that has made none. It remembers the instances that
// requests name for keepOrdered.
func NewPromises(rules Rules, keepOrdered time.Duration) *Promises {
	return &Promises{
		rules:       rules,
		keepOrdered: keepOrdered,
		ordered:     make(map[string]time.Time),
	}
}

// Grant decides on a request and returns for how long the witness promises, or 0 and the reason for
// the refusal.
func (p *Promises) Grant(now time.Time, request Request, known Known) (time.Duration, string) {
	p.epoch = max(p.epoch, request.Epoch)
	if p.claim != nil && request.Epoch > p.claim.epoch {
		// The claim was against an earlier owner and checks the row that the requesting
		// owner has replaced.
		p.claim = nil
	}
	switch {
	case p.claim != nil && p.rules.RefuseClaiming:
		return 0, ReasonClaiming
	case max(known.Epoch, p.epoch) > request.Epoch:
		return 0, ReasonEpoch
	case known.Readable:
		return 0, ReasonReadable
	case !p.remember(now, request):
		return 0, ReasonOrdered
	}
	p.until = now.Add(Lengthen(Span))
	return Span, ""
}

// remember records the instances that a request names. It reports false if they are too many.
func (p *Promises) remember(now time.Time, request Request) bool {
	if request.Epoch != p.orderedEpoch {
		clear(p.ordered)
		p.orderedEpoch = request.Epoch
	}
	p.forget(now)
	added := 0
	for _, instance := range request.Ordered {
		if _, found := p.ordered[instance]; !found {
			added++
		}
	}
	if len(p.ordered)+added > maxOrdered {
		return false
	}
	for _, instance := range request.Ordered {
		p.ordered[instance] = now
	}
	return true
}

func (p *Promises) forget(now time.Time) {
	maps.DeleteFunc(p.ordered, func(_ string, at time.Time) bool { return now.Sub(at) > p.keepOrdered })
}

// Ordered returns the instances that requests of the owner with the given epoch have named, sorted.
func (p *Promises) Ordered(now time.Time, epoch int64) []string {
	if epoch != p.orderedEpoch {
		return nil
	}
	p.forget(now)
	return slices.Sorted(maps.Keys(p.ordered))
}

// MayClaim reports whether the last promise has ended.
func (p *Promises) MayClaim(now time.Time) bool {
	return !now.Before(p.until)
}

// BeginClaim records that a claim is about to be sent. It returns false if a promise is in force.
// epoch is that of the owner to be replaced, beatVersion the version of the heartbeat row that the
// claim checks. ended reports that the owner's process has certainly ended: it can't act, whatever
// was promised to it.
func (p *Promises) BeginClaim(now time.Time, epoch, beatVersion int64, ended bool) bool {
	if !ended && !p.MayClaim(now) {
		return false
	}
	before := p.claim
	p.claim = &claim{
		epoch:       epoch,
		beatVersion: beatVersion,
		uncertain:   before != nil && before.uncertain,
	}
	return true
}

// EndClaim records how a claim ended. The witness refuses to promise until every claim that it sent
// is known to have failed.
func (p *Promises) EndClaim(result Result) {
	if p.claim == nil {
		return
	}
	switch result {
	case ResultApplied:
		p.claim = nil
	case ResultFailed:
		if !p.claim.uncertain {
			p.claim = nil
		}
	case ResultUncertain:
		p.claim.uncertain = true
	}
}

// ObserveBeat records that the heartbeat row was read, with its epoch and version. A claim that checks
// an earlier version can't take effect any more; if it was applied, the epoch shows that.
func (p *Promises) ObserveBeat(epoch, version int64) {
	p.epoch = max(p.epoch, epoch)
	if p.claim != nil && version > p.claim.beatVersion {
		p.claim = nil
	}
}
