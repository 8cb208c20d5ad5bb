// Package link limits the rate of deferrable traffic on an entry's network link, so that
// urgent traffic is not delayed when the link is the bottleneck. The load pattern behind
// it: a demand burst of a service begins, its owner has the resources for some hundred
// tasks at once, and all orders to start them are sent together. On a slow link they fill
// the queue of the operating system ahead of lease renewals, transactions and answers,
// which then arrive too late: leases lapse, and another entry takes over from an owner
// that still works.
//
// Deferrable traffic takes its bytes from a Budget before it is sent. Urgent traffic
// (lease renewals, stops, transactions of the owner, claims) takes none and is never held
// back. The package does no input or output.
package link

import (
	"sync"
	"time"
)

const (
	// startShare is the fraction of the link that orders to start tasks may take. Of the
	// rest, an owner in a demand burst spends a quarter on polls of its workers and a
	// fifth on its transactions, on a link of 2 Mbit/s.
	startShare = 0.45

	// feedShare is the fraction of the link that forwarded table changes may take, next to
	// the traffic of an owner.
	feedShare = 0.1

	// burst is the time over which an unused budget accumulates. Orders that are sent
	// together delay later traffic by no more than this.
	burst = 100 * time.Millisecond

	// bitsPerByte converts the rate of a link to bytes.
	bitsPerByte = 8
)

// Budget is a token bucket that limits the bytes sent over a link by one kind of traffic.
// It is safe for concurrent use. A nil Budget has no limit.
type Budget struct {
	// bytesPerSecond is the rate of the refill.
	bytesPerSecond float64

	mu sync.Mutex

	// available is the number of bytes that may be sent now. A message is sent as a whole
	// if available is positive, even if the message is larger. available is then negative
	// and later messages wait until it is positive again.
	available float64

	// refilledAt is the time of the last refill.
	refilledAt time.Time
}

// StartBudget returns the budget for orders to start tasks on a link of the given rate,
// or nil if bitsPerSecond is not positive (an unknown rate).
func StartBudget(bitsPerSecond float64) *Budget {
	return newBudget(startShare * bitsPerSecond)
}

// FeedBudget returns the budget for forwarded table changes on a link of the given rate,
// or nil if bitsPerSecond is not positive (an unknown rate).
func FeedBudget(bitsPerSecond float64) *Budget {
	return newBudget(feedShare * bitsPerSecond)
}

// newBudget returns a budget with the given rate, or nil if the rate is not positive.
func newBudget(bitsPerSecond float64) *Budget {
	if bitsPerSecond <= 0 {
		return nil
	}
	return &Budget{
		bytesPerSecond: bitsPerSecond / bitsPerByte,
	}
}

// Take takes bytes from the budget. It returns false, and takes nothing, if the message
// has to wait; see ReadyAt.
func (b *Budget) Take(bytes int, now time.Time) bool {
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	if b.available <= 0 {
		return false
	}
	b.available -= float64(bytes)
	return true
}

// ReadyAt returns the earliest time at which Take can succeed.
func (b *Budget) ReadyAt(now time.Time) time.Time {
	if b == nil {
		return now
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	if b.available > 0 {
		return now
	}
	return now.Add(time.Duration((1 - b.available) / b.bytesPerSecond * float64(time.Second)))
}

// MessagesPerSecond returns how many messages of the given size in bytes the budget allows
// per second, or 0 if there is no limit.
func (b *Budget) MessagesPerSecond(bytes int) float64 {
	if b == nil {
		return 0
	}
	return b.bytesPerSecond / float64(bytes)
}

// refill adds the bytes for the time since the last refill. A new budget starts full.
func (b *Budget) refill(now time.Time) {
	maxBytes := b.bytesPerSecond * burst.Seconds()
	if b.refilledAt.IsZero() {
		b.available = maxBytes
	}
	if now.After(b.refilledAt) {
		b.available = min(maxBytes, b.available+b.bytesPerSecond*now.Sub(b.refilledAt).Seconds())
		b.refilledAt = now
	}
}
