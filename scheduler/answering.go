package scheduler

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"lemonstream.dev/lemonstream/clock"
)

// answering follows the requests of callers that were read and are not answered
// yet. An entry that stops must not end before it has answered them.
type answering struct {
	clock clock.Clock

	// working is what the contexts of all requests derive from; giveUp ends it.
	working context.Context
	giveUp  context.CancelFunc

	mu sync.Mutex

	// began holds when each request was read.
	began map[*http.Request]time.Time

	// leaving says that callers are to open their next connection elsewhere.
	leaving bool
}

func newAnswering(clock clock.Clock) *answering {
	working, giveUp := context.WithCancel(context.Background())
	return &answering{
		clock:   clock,
		working: working,
		giveUp:  giveUp,
		began:   make(map[*http.Request]time.Time),
	}
}

// base returns the context of a server's requests. Once it ends, whoever works for a
// request gives it its final answer at once.
func (a *answering) base(net.Listener) context.Context {
	return a.working
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

// leave makes every answer from now on the last one on its connection. Connections
// that are idle stay open: a request may be on its way over one of them.
func (a *answering) leave() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.leaving = true
}

// wrap returns a handler that lets next answer, and notes what it has not answered.
func (a *answering) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if a.note(r) {
			w.Header().Set("Connection", "close")
		}
		defer a.forget(r)
		next.ServeHTTP(w, r)
	})
}

func (a *answering) forget(r *http.Request) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.began, r)
}

// note takes in a request that was read; it reports whether the entry is leaving.
func (a *answering) note(r *http.Request) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.began[r] = a.clock.Now()
	return a.leaving
}
