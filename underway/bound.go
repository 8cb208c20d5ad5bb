// Package underway bounds what an entry has under way in memory at one time: orders that wait for an
// answer, and runs that it follows. Each kind has one bound for all services that the entry owns.
//
// A service may take more of a bound as long as it holds less than what is free. So one service alone
// uses half of a bound, two use a third each, and there is always some left for a service that has
// nothing yet, without any agreement between them. The rule is that of A. K. Choudhury and E. L. Hahne,
// "Dynamic queue length thresholds for shared-memory packet switches" (IEEE/ACM Transactions on
// Networking, 1998).
package underway

import (
	"math"
	"sync"
)

// Bound limits how many things of one kind an entry has under way. It is safe for concurrent use.
type Bound struct {
	most int

	mu sync.Mutex

	// taken is the number of things under way. It exceeds most only by what was added without asking,
	// see Share.Add.
	taken int
	peak  int
	waits int64
}

// Use is the state of a bound.
type Use struct {
	// Most is the bound, Taken how much of it is in use, Peak the most that ever was.
	Most  int
	Taken int
	Peak  int

	// Waits counts how often something had to wait because of the bound.
	Waits int64
}

// Share is what one service has of a bound. A nil Share has no bound.
type Share struct {
	bound *Bound

	// held is the part of bound.taken that this service has taken, guarded by bound.mu.
	held int
}

// NewBound returns a bound of most things.
func NewBound(most int) *Bound {
	return &Bound{
		most: most,
	}
}

// Share returns a share that holds nothing yet; nil for a nil Bound.
func (b *Bound) Share() *Share {
	if b == nil {
		return nil
	}
	return &Share{
		bound: b,
	}
}

// Use returns the state of the bound.
func (b *Bound) Use() Use {
	b.mu.Lock()
	defer b.mu.Unlock()
	return Use{
		Most:  b.most,
		Taken: b.taken,
		Peak:  b.peak,
		Waits: b.waits,
	}
}

// Room returns how many more things the service may take now.
func (s *Share) Room() int {
	if s == nil {
		return math.MaxInt
	}
	s.bound.mu.Lock()
	defer s.bound.mu.Unlock()
	return s.room()
}

// room returns how many more things the service may take; the caller holds the lock. Each one that it
// takes adds to what it holds and leaves one less free.
func (s *Share) room() int {
	free := s.bound.most - s.bound.taken
	return max(0, (free-s.held+1)/2)
}

// Limit returns how many things the service may have under way, if the others keep what they have.
func (s *Share) Limit() int {
	if s == nil {
		return math.MaxInt
	}
	s.bound.mu.Lock()
	defer s.bound.mu.Unlock()
	return s.held + s.room()
}

// Free returns how many more things fit into the bound, whoever takes them.
func (s *Share) Free() int {
	if s == nil {
		return math.MaxInt
	}
	s.bound.mu.Lock()
	defer s.bound.mu.Unlock()
	return max(0, s.bound.most-s.bound.taken)
}

// Take takes one thing if the service may have one more, and reports whether it does. If not, it
// counts a wait.
func (s *Share) Take() bool {
	if s == nil {
		return true
	}
	s.bound.mu.Lock()
	defer s.bound.mu.Unlock()
	if s.room() == 0 {
		s.bound.waits++
		return false
	}
	s.add(1)
	return true
}

// Add takes things that exist already, whether or not the bound allows them.
func (s *Share) Add(count int) {
	if s == nil {
		return
	}
	s.bound.mu.Lock()
	defer s.bound.mu.Unlock()
	s.add(count)
}

// Done returns things that have ended.
func (s *Share) Done(count int) {
	if s == nil {
		return
	}
	s.bound.mu.Lock()
	defer s.bound.mu.Unlock()
	s.add(-min(count, s.held))
}

// Wait counts that something has to wait because of the bound.
func (s *Share) Wait() {
	if s == nil {
		return
	}
	s.bound.mu.Lock()
	defer s.bound.mu.Unlock()
	s.bound.waits++
}

// Close returns everything that the service holds.
func (s *Share) Close() {
	if s == nil {
		return
	}
	s.bound.mu.Lock()
	defer s.bound.mu.Unlock()
	s.add(-s.held)
}

// add changes what the service holds; the caller holds the lock.
func (s *Share) add(count int) {
	s.held += count
	s.bound.taken += count
	s.bound.peak = max(s.bound.peak, s.bound.taken)
}
