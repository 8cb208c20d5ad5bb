// Package link decides what an entry's link carries first when it is what binds. Load
// pattern: a service's turn of demand begins, its owner has room for some hundred tasks
// at once, and all orders to start them go out together. On a thin link they stand in the
// system's queue before renewals, transactions and answers, which then come too late:
// leases lapse, and the owner is succeeded although it works.
//
// What can wait asks a Budget. What may not (renewals of leases, stops, transactions of
// the owner, claims) never asks, and so goes first. The package does no input or output.
package link

import (
	"sync"
	"time"
)

const (
	// startShare is the part of the link that orders to start tasks may take. Of the
	// rest, an owner in its turn spends a quarter on looks at its workers and a fifth on
	// its transactions, measured in bytes over 5 s on a link of 2 Mbit/s.
	startShare = 0.45

	// feedShare is the part of the link that may go into passing changes of tables on, beside
	// the work that an owner does on it.
	feedShare = 0.1

	// burst is for how long a budget that was not used adds up: orders that go out at one
	// moment delay what comes after them by no more than this.
	burst = 100 * time.Millisecond

	// bitsPerByte turns the rate of a link into bytes.
	bitsPerByte = 8
)

// Budget bounds the bytes that something may put on the link. It may be used by many
// goroutines; nil bounds nothing.
type Budget struct {
	// perSecond is in bytes.
	perSecond float64

	mu sync.Mutex

	// left is what may be sent now, in bytes. It is negative after something larger than
	// the burst, which waits until nothing is owed and then goes as a whole.
	left float64
	at   time.Time
}

// StartBudget returns the budget of orders to start tasks on a link of so many bits a
// second; nil where that is not known.
func StartBudget(bitsPerSecond float64) *Budget {
	return newBudget(startShare * bitsPerSecond)
}

// FeedBudget returns the budget of table changes that are passed on over such a link; nil where
// its rate is not known.
func FeedBudget(bitsPerSecond float64) *Budget {
	return newBudget(feedShare * bitsPerSecond)
}

func newBudget(bitsPerSecond float64) *Budget {
	if bitsPerSecond <= 0 {
		return nil
	}
	return &Budget{
		perSecond: bitsPerSecond / bitsPerByte,
	}
}

// Take takes bytes from the budget; false where that has to wait.
func (b *Budget) Take(bytes int, now time.Time) bool {
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	if b.left <= 0 {
		return false
	}
	b.left -= float64(bytes)
	return true
}

// Ready returns when something can be taken at the earliest.
func (b *Budget) Ready(now time.Time) time.Time {
	if b == nil {
		return now
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	if b.left > 0 {
		return now
	}
	return now.Add(time.Duration((1 - b.left) / b.perSecond * float64(time.Second)))
}

// PerSecond returns how many messages of a size the budget allows in a second; 0 where
// nothing is bounded.
func (b *Budget) PerSecond(bytes int) float64 {
	if b == nil {
		return 0
	}
	return b.perSecond / float64(bytes)
}

// refill adds what the time that passed allows.
func (b *Budget) refill(now time.Time) {
	most := b.perSecond * burst.Seconds()
	if b.at.IsZero() {
		b.left = most
	}
	if now.After(b.at) {
		b.left = min(most, b.left+b.perSecond*now.Sub(b.at).Seconds())
		b.at = now
	}
}
