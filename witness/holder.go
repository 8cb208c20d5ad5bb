package witness

import (
	"slices"
	"time"
)

// Holder is the owner's side of the promises for one part. It is not safe for concurrent use.
type Holder struct {
	rules Rules
	limit time.Duration

	// applied holds the witnesses that the last transaction known to be applied names.
	applied []string

	// sent holds the witnesses of the transactions sent since then, all of which name the same
	// ones. Any of them may have been applied: its answer may be lost. hasSent reports whether
	// there are such transactions.
	sent    []string
	hasSent bool

	// covered maps a witness to the end of its last promise on the owner's clock.
	covered map[string]time.Time

	// requestedAt is when promises were last requested.
	requestedAt time.Time
}

// NewHolder returns a holder without witnesses. limit is the longest time after its last write for
// which the owner acts; it is at most Limit.
func NewHolder(rules Rules, limit time.Duration) *Holder {
	return &Holder{
		rules:   rules,
		limit:   min(limit, Limit),
		covered: make(map[string]time.Time),
	}
}

// Name returns the witnesses for the next transaction. choose is called only if no transaction was
// sent since the last applied one. Otherwise the same witnesses are named again, so that at most
// two lists have to promise.
func (h *Holder) Name(choose func() []string) []string {
	if !h.hasSent {
		chosen := choose()
		h.sent = slices.Clone(chosen[:min(len(chosen), MaxNamed)])
		h.hasSent = true
	}
	return slices.Clone(h.sent)
}

// Applied records that the last transaction was applied. Earlier ones can't take effect any more:
// each checks the version of the heartbeat row.
func (h *Holder) Applied() {
	h.applied = h.sent
	h.sent = nil
	h.hasSent = false
	for incarnation := range h.covered {
		if !slices.Contains(h.applied, incarnation) {
			delete(h.covered, incarnation)
		}
	}
}

// Required returns the witnesses of every transaction that may be the last one applied, all of
// which have to promise. It is empty if one of these transactions names none: claimers then assume
// that the owner does not rely on promises.
func (h *Holder) Required() []string {
	if len(h.applied) == 0 || (h.hasSent && len(h.sent) == 0) {
		return nil
	}
	required := slices.Clone(h.applied)
	for _, incarnation := range h.sent {
		if !slices.Contains(required, incarnation) {
			required = append(required, incarnation)
		}
	}
	return required
}

// Promised records a promise for a span, with the times at which the request was sent and the
// answer received.
func (h *Holder) Promised(incarnation string, sent, received time.Time, span time.Duration) {
	until := h.rules.CountFrom(sent, received).Add(shorten(min(span, Span)))
	if until.After(h.covered[incarnation]) && slices.Contains(h.Required(), incarnation) {
		h.covered[incarnation] = until
	}
}

// Covered reports whether enough witnesses have promised for a span that covers now.
func (h *Holder) Covered(now time.Time) bool {
	required := h.Required()
	promised := 0
	for _, incarnation := range required {
		if !now.After(h.covered[incarnation]) {
			promised++
		}
	}
	return len(required) > 0 && h.rules.Enough(promised, len(required))
}

// MayAct reports whether the owner may act: base is how long it may after its last write without
// promises.
func (h *Holder) MayAct(now, lastWrite time.Time, base time.Duration) bool {
	age := now.Sub(lastWrite)
	return age <= base || (h.rules.WithinLimit(age, h.limit) && h.Covered(now))
}

// NextRequest reports whether to request promises now, and records that it was done.
func (h *Holder) NextRequest(now, lastWrite time.Time) bool {
	age := now.Sub(lastWrite)
	if age < RequestAfter || age > h.limit || now.Sub(h.requestedAt) < RequestInterval || len(h.Required()) == 0 {
		return false
	}
	h.requestedAt = now
	return true
}
