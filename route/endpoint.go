// Package route chooses the endpoint of a request. It does no input or output
// and reads no clock; callers hand in the instant and the random number.
package route

import (
	"math"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// ejectAfter is the failure rate above which an endpoint is ejected.
	ejectAfter = 0.5

	// ejectBase is the first ejection's length in milliseconds; it doubles
	// with each further one up to ejectLongest.
	ejectBase    = 1000
	ejectLongest = 30000

	// failurePenalty is how much a failure rate of 1 multiplies the cost.
	failurePenalty = 100

	// failureWeight and latencyWeight are the weights of the newest sample.
	failureWeight = 0.2
	latencyWeight = 0.1

	// minimumLatency keeps an endpoint that answers at once, such as one
	// that fails everything, from looking free of cost.
	minimumLatency = float64(time.Millisecond)
)

// Endpoint is one endpoint as this entry sees it. The fields of its identity
// never change; the counts are atomic.
type Endpoint struct {
	ID      string
	Zone    string
	Address netip.AddrPort

	// Boot is the platform's count of starts; a new boot is a new Endpoint.
	Boot int64

	// hash is the endpoint's identity in the choice by session.
	hash uint64

	// inflight is the number of this entry's requests at the endpoint.
	inflight atomic.Int32

	// closed is whether the endpoint takes no new work.
	closed atomic.Bool

	// limit is this entry's share of the endpoint's slots; at least 0.
	limit atomic.Int32

	// latency and failure hold float64 bits: the moving averages of the
	// answer time in nanoseconds and of the failure rate between 0 and 1.
	latency atomic.Uint64
	failure atomic.Uint64

	// ejectedUntil is in milliseconds since the Unix epoch; 0 when never.
	ejectedUntil atomic.Int64

	// ejections counts the ejections since the last good answer.
	ejections atomic.Int32
}

// NewEndpoint returns an endpoint with no history.
func NewEndpoint(id, zone string, address netip.AddrPort, boot int64) *Endpoint {
	return &Endpoint{
		ID:      id,
		Zone:    zone,
		Address: address,
		Boot:    boot,
		hash:    xxhash.Sum64String(id),
	}
}

// Acquire takes one of this entry's slots at the endpoint, or reports that
// none is free. A session may use one slot where the share is none, because
// it has no other endpoint to go to.
func (e *Endpoint) Acquire(session bool) bool {
	limit := e.limit.Load()
	if session {
		limit = max(limit, 1)
	}
	if e.inflight.Add(1) > limit || e.closed.Load() {
		e.inflight.Add(-1)
		return false
	}
	return true
}

// Close keeps new work away. Once Close has returned, InFlight only falls:
// Acquire counts itself before it looks at the mark.
func (e *Endpoint) Close() {
	e.closed.Store(true)
}

// Closed reports whether the endpoint takes no new work.
func (e *Endpoint) Closed() bool {
	return e.closed.Load()
}

// Ejected reports whether the endpoint is kept from new work because it
// failed; now is in milliseconds since the Unix epoch.
func (e *Endpoint) Ejected(now int64) bool {
	return e.ejectedUntil.Load() > now
}

// FailureRate returns the moving average of failures, between 0 and 1.
func (e *Endpoint) FailureRate() float64 {
	return math.Float64frombits(e.failure.Load())
}

// InFlight returns the number of this entry's requests at the endpoint.
func (e *Endpoint) InFlight() int {
	return int(e.inflight.Load())
}

// Limit returns this entry's share of the endpoint's slots.
func (e *Endpoint) Limit() int {
	return int(e.limit.Load())
}

// Open lets new work in again.
func (e *Endpoint) Open() {
	e.closed.Store(false)
}

// Release gives a slot back without a verdict on the endpoint.
func (e *Endpoint) Release() {
	e.inflight.Add(-1)
}

// SetLimit sets this entry's share of the endpoint's slots.
func (e *Endpoint) SetLimit(slots int) {
	e.limit.Store(int32(min(max(slots, 0), math.MaxInt32)))
}

// cost orders endpoints: lower is better.
func (e *Endpoint) cost() float64 {
	latency := max(math.Float64frombits(e.latency.Load()), minimumLatency)
	waiting := float64(e.inflight.Load() + 1)
	return waiting * latency * (1 + failurePenalty*e.FailureRate())
}

// record moves the averages by one sample.
func (e *Endpoint) record(elapsed time.Duration, failed bool) {
	sample := 0.0
	if failed {
		sample = 1
	}
	move(&e.failure, sample, failureWeight)
	if !failed {
		move(&e.latency, float64(elapsed), latencyWeight)
	}
}

func move(average *atomic.Uint64, sample, weight float64) {
	for {
		before := average.Load()
		old := math.Float64frombits(before)
		if average.CompareAndSwap(before, math.Float64bits(old+weight*(sample-old))) {
			return
		}
	}
}
