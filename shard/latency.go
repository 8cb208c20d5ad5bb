package shard

import "time"

const (
	// lateThreshold is the mean latency of answered starts from which the owner itself counts as
	// late. A worker answers within a round trip of about 2 to 10 ms, and a few slow workers
	// alone do not raise the mean to the threshold.
	lateThreshold = 150 * time.Millisecond

	// latencyValidity is how long the mean is used after its last update.
	latencyValidity = 2 * time.Second

	// latencySmoothing is the divisor by which one answer moves the mean: its weight is
	// 1/latencySmoothing.
	latencySmoothing = 8
)

// answerLatency is a moving mean of the time from the order of a start until this owner processes
// the answer. An owner without processor time processes answers late or not at all, and must not
// blame its workers for the delay.
type answerLatency struct {
	mean time.Duration

	// updatedAt is when the mean was last updated.
	updatedAt time.Time
}

// late reports whether this owner processes answers late.
func (p *answerLatency) late(now time.Time) bool {
	return p.mean >= lateThreshold && now.Sub(p.updatedAt) < latencyValidity
}

// observe updates the mean with the latency of one answer.
func (p *answerLatency) observe(took time.Duration, now time.Time) {
	p.mean += (took - p.mean) / latencySmoothing
	p.updatedAt = now
}
