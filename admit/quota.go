package admit

import (
	"sync"
	"time"
)

// Quota is a token bucket: this entry's share of a team's quota.
type Quota struct {
	mu sync.Mutex

	// rate is in requests a second and burst in requests; both are this
	// entry's share and at least 0.
	rate  float64
	burst float64

	// tokens is at most max(burst, 1).
	tokens float64

	// last is when tokens were last added.
	last time.Time

	// asked counts the requests since the last call of Demand.
	asked int
}

// NewQuota returns a full bucket.
func NewQuota(rate, burst float64, now time.Time) *Quota {
	return &Quota{
		rate:   rate,
		burst:  burst,
		tokens: max(burst, 1),
		last:   now,
	}
}

// Demand returns the requests asked for since the last call.
func (q *Quota) Demand() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	asked := q.asked
	q.asked = 0
	return asked
}

// Set changes the entry's share.
func (q *Quota) Set(rate, burst float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.rate = rate
	q.burst = burst
	q.tokens = min(q.tokens, max(burst, 1))
}

// Take spends one token. It returns 0, or how long until there is one.
func (q *Quota) Take(now time.Time) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.asked++
	if passed := now.Sub(q.last); passed > 0 {
		q.tokens = min(max(q.burst, 1), q.tokens+q.rate*passed.Seconds())
		q.last = now
	}
	if q.tokens >= 1 {
		q.tokens--
		return 0
	}
	if q.rate <= 0 {
		return time.Second
	}
	return max(time.Duration((1-q.tokens)/q.rate*float64(time.Second)), time.Millisecond)
}
