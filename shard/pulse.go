package shard

import "time"

const (
	// lateAnswers is how long answered starts take, on the mean, for an owner to be
	// late itself: a worker answers within a round trip of some 2 to 10 ms, and a few
	// slow ones do not make the mean.
	lateAnswers = 150 * time.Millisecond

	// pulseKept is for how long the mean tells anything.
	pulseKept = 2 * time.Second

	// pulseWeight is the weight of one answer in the mean, as a divisor.
	pulseWeight = 8
)

// pulse follows how long answered starts take until this owner has taken the answer
// in. An owner without processor time comes to the answers of its workers late or not
// at all, and must not take their silence for theirs.
type pulse struct {
	mean time.Duration

	// noted is when the mean last changed.
	noted time.Time
}

// late reports whether this owner is late.
func (p *pulse) late(now time.Time) bool {
	return p.mean >= lateAnswers && now.Sub(p.noted) < pulseKept
}

func (p *pulse) note(took time.Duration, now time.Time) {
	p.mean += (took - p.mean) / pulseWeight
	p.noted = now
}
