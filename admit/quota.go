package admit

import (
	"sync"
	"time"
)

// Quota is a token bucket that holds this entry's share of a team's quota. It is safe
// for concurrent use.
type Quota struct {
	mu sync.Mutex

	// rate is in requests per second, burst in requests. Both are this entry's
	// share and at least 0.
	rate  float64
	burst float64

	// tokens is at most max(burst, 1).
	tokens float64

	// refilledAt is the time of the last refill.
	refilledAt time.Time

	// requests is the number of calls of Take since the last call of Demand.
	requests int
}

// NewQuota returns a full bucket.
func NewQuota(rate, burst float64, now time.Time) *Quota {
	return &Quota{
		rate:       rate,
		burst:      burst,
		tokens:     max(burst, 1),
		refilledAt: now,
	}
}

// Demand returns the number of calls of Take, granted or not, since the last call of
// Demand.
func (q *Quota) Demand() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	requests := q.requests
	q.requests = 0
	return requests
}

// Set changes the entry's share. Tokens beyond the new burst are lost.
func (q *Quota) Set(rate, burst float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.rate = rate
	q.burst = burst
	q.tokens = min(q.tokens, max(burst, 1))
}

// Take spends one token and returns 0. If there is no token, it returns the time
// after which to retry.
func (q *Quota) Take(now time.Time) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.requests++
	if passed := now.Sub(q.refilledAt); passed > 0 {
		q.tokens = min(max(q.burst, 1), q.tokens+q.rate*passed.Seconds())
		q.refilledAt = now
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
