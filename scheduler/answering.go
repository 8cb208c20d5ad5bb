package scheduler

import (
	"net/http"
	"sync"
	"time"

	"lemonstream.dev/lemonstream/clock"
)

// answering follows the requests of callers that were read and are not answered
// yet. An entry that stops must not end before it has answered them.
type answering struct {
	clock clock.Clock

	mu sync.Mutex

	// began holds when each request was read.
	began map[*http.Request]time.Time
}

func newAnswering(clock clock.Clock) *answering {
	return &answering{
		clock: clock,
		began: make(map[*http.Request]time.Time),
	}
}

// held returns how many requests are not answered, and for how long the oldest of
// them has waited.
func (a *answering) held() (int, time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	oldest := time.Duration(0)
	for _, began := range a.began {
		oldest = max(oldest, now.Sub(began))
	}
	return len(a.began), oldest
}

// wrap returns a handler that lets next answer, and notes what it has not answered.
func (a *answering) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		a.note(r)
		defer a.forget(r)
		next.ServeHTTP(w, r)
	})
}

func (a *answering) forget(r *http.Request) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.began, r)
}

func (a *answering) note(r *http.Request) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.began[r] = a.clock.Now()
}
