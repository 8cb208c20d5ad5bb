package shard

import "time"

const (
	// lateThreshold is the mean latency of answered starts from which the owner itself counts as
	// late. A worker answers within a round trip of about 2 to 10 ms, and a few slow workers
	// alone do not raise the mean to the threshold.
	lateAnswers = 150 * time.Millisecond

	// latencyValidity is how long the mean is used after its last update.
	pulseKept = 2 * time.Second

	// latencySmoothing is the divisor by which one answer moves the mean: its weight is
	// 1/latencySmoothing.
	pulseWeight = 8
)

// answerLatency is a moving mean of the time from the order of a start until this owner processes
// the answer. An owner without processor time processes answers late or not at all, and must not
// blame its workers for the delay.
type pulse struct {
	mean time.Duration

	// updatedAt is when the mean was last updated.
	noted time.Time
}

// late reports whether this owner processes answers late.
func (p *pulse) late(now time.Time) bool {
	return p.mean >= lateAnswers && now.Sub(p.noted) < pulseKept
}

// observe updates the mean with the latency of one answer.
func (p *pulse) note(took time.Duration, now time.Time) {
	p.mean += (took - p.mean) / pulseWeight
	p.noted = now
}
