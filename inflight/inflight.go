// Package inflight follows the requests that servers have read and not answered yet,
// so that a stop of the process ends none of them without an answer.
package inflight

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"lemonstream.dev/lemonstream/clock"
)

// Requests are the requests of one or more servers of a process.
type Requests struct {
	clock clock.Clock

	// working is what the contexts of all requests derive from; end ends it.
	working context.Context
	end     context.CancelFunc

	mu sync.Mutex

	// began holds when each request was read.
	began map[*http.Request]time.Time

	// leaving says that callers are to open their next connection elsewhere.
	leaving bool
}

// New returns an empty set of requests.
func New(clock clock.Clock) *Requests {
	working, end := context.WithCancel(context.Background())
	return &Requests{
		clock:   clock,
		working: working,
		end:     end,
		began:   make(map[*http.Request]time.Time),
	}
}

// Attach makes a server tell of its requests; it must not serve yet. The context of
// each of them ends with GiveUp: whoever works for a request then has to give it its
// final answer at once.
func (r *Requests) Attach(server *http.Server) {
	server.BaseContext = func(net.Listener) context.Context { return r.working }
	server.Handler = r.wrap(server.Handler)
}

// GiveUp ends the work for every request, now and from now on.
func (r *Requests) GiveUp() {
	r.end()
}

// Held returns how many requests are not answered, and for how long the oldest of
// them has waited.
func (r *Requests) Held() (int, time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	oldest := time.Duration(0)
	for _, began := range r.began {
		oldest = max(oldest, now.Sub(began))
	}
	return len(r.began), oldest
}

// Leave makes every answer from now on the last one on its connection. Connections
// that are idle stay open: a request may be on its way over one of them.
func (r *Requests) Leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaving = true
}

func (r *Requests) forget(request *http.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.began, request)
}

// note takes in a request that was read; it reports whether the process is leaving.
func (r *Requests) note(request *http.Request) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.began[request] = r.clock.Now()
	return r.leaving
}

func (r *Requests) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		if r.note(request) {
			w.Header().Set("Connection", "close")
		}
		defer r.forget(request)
		next.ServeHTTP(w, request)
	})
}
