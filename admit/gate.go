// Package admit decides which requests of a service may go on now, which wait
// and which are refused. Waiting is bounded, the least urgent are shed first,
// and what can't finish by its deadline is refused at once.
package admit

import (
	"container/heap"
	"context"
	"fmt"
	"sync"
	"time"
)

// Urgencies, from the least to the most urgent.
const (
	Background Urgency = iota
	Normal
	Urgent
)

const (
	// ReasonDeadline means that the wait would outlast the deadline.
	ReasonDeadline Reason = "deadline"

	// ReasonGone means that the caller left while waiting.
	ReasonGone Reason = "caller-gone"

	// ReasonShed means that the queue is full of work at least as urgent.
	ReasonShed Reason = "queue-full"

	// ReasonStopping means that the entry stops.
	ReasonStopping Reason = "stopping"
)

// durationWeight is the weight of the newest sample of the service time.
const durationWeight = 0.1

// Gate admits the requests of one service at one entry.
type Gate struct {
	mu sync.Mutex

	// limit is the number of requests that may be in flight; at least 0.
	limit int

	// inflight is the number of admitted requests; it may stand above limit
	// only after limit was lowered.
	inflight int

	// queue holds the waiting requests, the least urgent first, so that the
	// one to shed is at hand; its length is at most length.
	queue  waiters
	length int

	// service is the moving average of the time a request holds its place.
	service time.Duration

	stopping bool
}

// Reason says why a request was refused.
type Reason string

// RefusedError reports a request that was not admitted and did not run.
type RefusedError struct {
	Reason Reason

	// RetryAfter is when it makes sense to come back.
	RetryAfter time.Duration
}

// Ticket is what admission depends on.
type Ticket struct {
	Urgency Urgency

	// Deadline is when the caller stops caring.
	Deadline time.Time
}

// Urgency orders requests.
type Urgency int

// waiter is one waiting request.
type waiter struct {
	ticket Ticket

	// index is the place in the queue, or -1 when it was taken out.
	index int

	// verdict receives nil or a *RefusedError once; its capacity is 1.
	verdict chan error
}

// waiters is a heap whose top is the request to shed first.
type waiters []*waiter

// NewGate returns a gate with the given limit in flight and queue length.
func NewGate(limit, length int) *Gate {
	return &Gate{
		limit:   limit,
		length:  length,
		service: 0,
	}
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("request refused: %s; come back in %s", e.Reason, e.RetryAfter)
}

// Enter waits for a place, at most until the ticket's deadline or the end of
// ctx. It returns nil, after which the caller owes one Leave, or a
// *RefusedError at once when waiting is of no use. now is the current instant.
func (g *Gate) Enter(ctx context.Context, ticket Ticket, now time.Time) error {
	w, err := g.enter(ticket, now)
	if w == nil {
		return err
	}
	timer := time.NewTimer(ticket.Deadline.Sub(now))
	defer timer.Stop()
	select {
	case err := <-w.verdict:
		return err
	case <-timer.C:
		return g.abandon(w, ReasonDeadline)
	case <-ctx.Done():
		return g.abandon(w, ReasonGone)
	}
}

// Leave gives the place back after held and lets the next request in.
func (g *Gate) Leave(held time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.service += time.Duration(durationWeight * float64(held-g.service))
	g.inflight--
	g.fill()
}

// SetLimit changes the number of requests that may be in flight.
func (g *Gate) SetLimit(limit int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limit = limit
	g.fill()
}

// Demand returns the number of requests in flight and waiting.
func (g *Gate) Demand() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.inflight + len(g.queue)
}

// Stop refuses the waiting and all later requests.
func (g *Gate) Stop() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stopping = true
	for len(g.queue) > 0 {
		g.refuse(g.queue[0], ReasonStopping)
	}
}

// abandon takes w out of the queue, or gives its place back when it was
// admitted in the same moment.
func (g *Gate) abandon(w *waiter, reason Reason) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if w.index >= 0 {
		heap.Remove(&g.queue, w.index)
		return g.refusal(reason)
	}
	if err := <-w.verdict; err != nil {
		return err
	}
	g.inflight--
	g.fill()
	return g.refusal(reason)
}

// enter admits at once, refuses at once, or returns a waiter.
func (g *Gate) enter(ticket Ticket, now time.Time) (*waiter, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.stopping {
		return nil, g.refusal(ReasonStopping)
	}
	patience := ticket.Deadline.Sub(now)
	if patience <= 0 {
		return nil, g.refusal(ReasonDeadline)
	}
	if g.inflight < g.limit && len(g.queue) == 0 {
		g.inflight++
		return nil, nil
	}
	if g.wait(g.ahead(ticket))+g.service > patience {
		return nil, g.refusal(ReasonDeadline)
	}
	w := &waiter{
		ticket:  ticket,
		verdict: make(chan error, 1),
	}
	if len(g.queue) >= g.length && !g.shedFor(w) {
		return nil, g.refusal(ReasonShed)
	}
	heap.Push(&g.queue, w)
	return w, nil
}

// ahead counts the waiting requests that go before ticket.
func (g *Gate) ahead(ticket Ticket) int {
	count := 0
	for _, other := range g.queue {
		if !before(ticket, other.ticket) {
			count++
		}
	}
	return count
}

// fill admits waiting requests while there is room.
func (g *Gate) fill() {
	for g.inflight < g.limit && len(g.queue) > 0 {
		next := g.queue[0]
		for _, w := range g.queue {
			if before(w.ticket, next.ticket) {
				next = w
			}
		}
		heap.Remove(&g.queue, next.index)
		g.inflight++
		next.verdict <- nil
	}
}

func (g *Gate) refusal(reason Reason) *RefusedError {
	return &RefusedError{
		Reason:     reason,
		RetryAfter: max(g.wait(len(g.queue)), time.Second),
	}
}

func (g *Gate) refuse(w *waiter, reason Reason) {
	heap.Remove(&g.queue, w.index)
	w.verdict <- g.refusal(reason)
}

// shedFor makes room for w by refusing the request to shed first, if that one
// is less urgent than w.
func (g *Gate) shedFor(w *waiter) bool {
	if len(g.queue) == 0 || !before(w.ticket, g.queue[0].ticket) {
		return false
	}
	g.refuse(g.queue[0], ReasonShed)
	return true
}

// wait estimates how long a request with count others before it waits.
func (g *Gate) wait(count int) time.Duration {
	if g.limit == 0 {
		return g.service
	}
	return g.service * time.Duration(count+1) / time.Duration(g.limit)
}

// Len implements heap.Interface.
func (w waiters) Len() int { return len(w) }

// Less implements heap.Interface: the request to shed first comes first.
func (w waiters) Less(i, j int) bool { return before(w[j].ticket, w[i].ticket) }

// Swap implements heap.Interface.
func (w waiters) Swap(i, j int) {
	w[i], w[j] = w[j], w[i]
	w[i].index = i
	w[j].index = j
}

// Push implements heap.Interface.
func (w *waiters) Push(x any) {
	item, _ := x.(*waiter)
	item.index = len(*w)
	*w = append(*w, item)
}

// Pop implements heap.Interface.
func (w *waiters) Pop() any {
	old := *w
	last := old[len(old)-1]
	old[len(old)-1] = nil
	last.index = -1
	*w = old[:len(old)-1]
	return last
}

// before reports whether a goes before b: the more urgent first, then the
// earlier deadline.
func before(a, b Ticket) bool {
	if a.Urgency != b.Urgency {
		return a.Urgency > b.Urgency
	}
	return a.Deadline.Before(b.Deadline)
}
