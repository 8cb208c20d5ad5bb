// Package ring provides the bounded queue that joins two duties.
package ring

import "sync"

// FullError reports that a ring holds as many values as it may.
type FullError struct {
	// Capacity is the number of values the ring can hold.
	Capacity int
}

// Ring is a bounded first-in first-out queue that many goroutines may push to
// and one duty drains. A full ring refuses; it never blocks the pusher.
type Ring[T any] struct {
	mu sync.Mutex

	// values has a fixed length; it is the ring's storage.
	values []T

	// head is the index of the oldest value; 0 <= head < len(values).
	head int

	// count is the number of values held; 0 <= count <= len(values).
	count int

	// ready holds at most one token, present when the ring may be non-empty.
	ready chan struct{}
}

// New returns a ring that holds at most capacity values; capacity is at
// least 1.
func New[T any](capacity int) *Ring[T] {
	return &Ring[T]{
		values: make([]T, max(1, capacity)),
		ready:  make(chan struct{}, 1),
	}
}

// Error implements error.
func (e *FullError) Error() string {
	return "queue is full"
}

// Drain removes and returns all values, oldest first. It returns nil when the
// ring is empty.
func (r *Ring[T]) Drain() []T {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.count == 0 {
		return nil
	}
	drained := make([]T, 0, r.count)
	var zero T
	for r.count > 0 {
		drained = append(drained, r.values[r.head])
		r.values[r.head] = zero
		r.head = (r.head + 1) % len(r.values)
		r.count--
	}
	return drained
}

// Push appends value, or returns a *FullError when the ring is full.
func (r *Ring[T]) Push(value T) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.count == len(r.values) {
		return &FullError{
			Capacity: len(r.values),
		}
	}
	r.values[(r.head+r.count)%len(r.values)] = value
	r.count++
	select {
	case r.ready <- struct{}{}:
	default:
	}
	return nil
}

// Ready returns a channel that receives when the ring may hold values.
func (r *Ring[T]) Ready() <-chan struct{} {
	return r.ready
}
