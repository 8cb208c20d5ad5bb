package forward

import "sync"

// retryReserve is the number of repeats that may be saved up.
const retryReserve = 10

// RetryBudget bounds the repeats of requests to a share of the recent
// successes, so that a failing service is not loaded further.
type RetryBudget struct {
	mu sync.Mutex

	// share is what each success adds, between 0 and 1.
	share float64

	// tokens is at least 0 and at most retryReserve.
	tokens float64
}

// NewRetryBudget returns a budget that allows share repeats a success and
// starts full.
func NewRetryBudget(share float64) *RetryBudget {
	return &RetryBudget{
		share:  share,
		tokens: retryReserve,
	}
}

// SetShare changes what each success adds.
func (b *RetryBudget) SetShare(share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.share = share
}

// Succeeded adds to the budget.
func (b *RetryBudget) Succeeded() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(retryReserve, b.tokens+b.share)
}

// Take spends one repeat, or reports that none is left.
func (b *RetryBudget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
