// Package witness decides for how long the owner of a part may act while it can't write to the
// store. A few other entries, the witnesses, are named in the owner's heartbeat row. While the
// store is unavailable to them as well, they promise not to claim the part. The package is pure:
// it does no I/O and reads no clock. docs/design/store-outage.md holds the proof.
package witness

import "time"

const (
	// MaxNamed bounds the witnesses that a heartbeat row names. Each must promise, so more of
	// them make the promises less likely.
	MaxNamed = 3

	// Span is how long a witness does not claim a part after it has promised. It spans three
	// requests, so that two may be lost in a row.
	Span = time.Second

	// Limit is the longest time after its last write for which any owner acts. Claimers that
	// are no witnesses assume it whatever their own setting is, because settings may differ
	// between entries.
	Limit = 8 * time.Second

	// RequestAfter is the age of the last write from which promises are requested. It is above
	// the heartbeat interval of 500 ms.
	RequestAfter = 600 * time.Millisecond

	// RequestInterval is the time between two requests to a witness.
	RequestInterval = 250 * time.Millisecond

	// RequestTimeout bounds a request. It is below RequestInterval, so that at most one is under
	// way.
	RequestTimeout = 200 * time.Millisecond

	// OutsiderDelay is how much later than a witness an entry claims that is no witness. The
	// waits after the claim of a witness are shorter.
	OutsiderDelay = time.Second

	// maxDrift is the largest relative difference between an interval as two entries measure
	// it. The platform's limit is 2%.
	maxDrift = 0.05
)

// Rules holds the checks on which the safety of promises depends. They are fields so that a test
// can remove one and show that it is needed.
type Rules struct {
	// Enough reports whether promises of that many witnesses suffice, out of those required.
	Enough func(promised, required int) bool

	// CountFrom returns the time from which the owner counts a promise, given when it sent the
	// request and when it received the answer.
	CountFrom func(sent, received time.Time) time.Time

	// WithinLimit reports whether the owner may act by promises, given the age of its last
	// write and its limit.
	WithinLimit func(age, limit time.Duration) bool

	// RefuseClaiming reports whether a witness that has sent a claim refuses to promise until
	// the claim is known to have failed.
	RefuseClaiming bool

	// OutsiderWait returns for how long after a claim the previous owner may still act. The
	// claimer is no witness, and saw the heartbeat unchanged for the given time before the
	// claim.
	OutsiderWait func(unchanged time.Duration) time.Duration
}

// Standard returns the rules of production use.
func Standard() Rules {
	return Rules{
		Enough: func(promised, required int) bool {
			return promised == required
		},
		CountFrom: func(sent, _ time.Time) time.Time {
			return sent
		},
		WithinLimit: func(age, limit time.Duration) bool {
			return age <= limit
		},
		RefuseClaiming: true,
		OutsiderWait: func(unchanged time.Duration) time.Duration {
			return max(0, Lengthen(Limit)-unchanged)
		},
	}
}

// Lengthen returns the longest time that an interval measured by another entry may take on this
// entry's clock.
func Lengthen(span time.Duration) time.Duration {
	return time.Duration(float64(span) * (1 + maxDrift))
}

// shorten returns the shortest time that an interval measured by another entry may take on this
// entry's clock.
func shorten(span time.Duration) time.Duration {
	return time.Duration(float64(span) * (1 - maxDrift))
}
