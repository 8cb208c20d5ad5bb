// Package admit does admission control: it decides which requests of a service
// run now, which wait in a bounded queue and which are refused. A full queue sheds
// the least urgent request first. A request that can't finish by its deadline is
// refused at once. The package also divides quotas and slots among the entries.
package admit

import (
	"container/heap"
	"context"
	"fmt"
	"sync"
	"time"
)

// Levels of urgency, from the least to the most urgent.
const (
	Background Urgency = iota
	Normal
	Urgent
)

const (
	// ReasonDeadline means that the request can't finish by its deadline.
	ReasonDeadline Reason = "deadline"

	// ReasonGone means that the caller cancelled the request while it waited.
	ReasonGone Reason = "caller-gone"

	// ReasonShed means that the queue is full of requests that go first.
	ReasonShed Reason = "queue-full"

	// ReasonStopping means that the entry is shutting down.
	ReasonStopping Reason = "stopping"
)

// serviceTimeWeight is the weight of the newest sample in the moving average of the
// service time.
const serviceTimeWeight = 0.1

// Gate controls the admission of the requests of one service at one entry. It is safe
// for concurrent use.
type Gate struct {
	mu sync.Mutex

	// limit is the maximum number of requests in flight; at least 0.
	limit int

	// inflight is the number of requests in flight. It exceeds limit only after
	// limit was lowered.
	inflight int

	// queue holds the waiting requests, at most maxQueued. The request to shed
	// first is at index 0.
	queue     waiters
	maxQueued int

	// serviceTime is the moving average of the time that a request is in flight.
	serviceTime time.Duration

	stopping bool
}

// Reason is the reason for which a request was refused.
type Reason string

// RefusedError reports that a request was not admitted. The request did not run.
type RefusedError struct {
	Reason Reason

	// RetryAfter is the time after which the caller may retry; at least a second.
	RetryAfter time.Duration
}

// Ticket holds the properties of a request that decide on its admission.
type Ticket struct {
	Urgency Urgency

	// Deadline is the time after which the caller has no use for an answer.
	Deadline time.Time
}

// Urgency is the priority of a request; a higher value is admitted first.
type Urgency int

// waiter is one waiting request.
type waiter struct {
	ticket Ticket

	// index is the position in the queue, or -1 after the removal from it.
	index int

	// result receives nil or a *RefusedError exactly once, unless the waiter is
	// abandoned first. Its capacity is 1, so that the sender never blocks.
	result chan error
}

// waiters is a heap whose top is the request to shed first.
type waiters []*waiter

// NewGate returns a gate that admits up to limit requests at a time and queues up to
// maxQueued more.
func NewGate(limit, maxQueued int) *Gate {
	return &Gate{
		limit:       limit,
		maxQueued:   maxQueued,
		serviceTime: 0,
	}
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("request refused: %s; come back in %s", e.Reason, e.RetryAfter)
}

// Enter waits for admission, at most until the ticket's deadline or the end of
// ctx. On nil the request is in flight, and Leave has to be called once at its end.
// Otherwise Enter returns a *RefusedError, without any wait if the request could not
// finish by its deadline. now is the current time.
func (g *Gate) Enter(ctx context.Context, ticket Ticket, now time.Time) error {
	w, err := g.enter(ticket, now)
	if w == nil {
		return err
	}
	timer := time.NewTimer(ticket.Deadline.Sub(now))
	defer timer.Stop()
	select {
	case err := <-w.result:
		return err
	case <-timer.C:
		return g.abandon(w, ReasonDeadline)
	case <-ctx.Done():
		return g.abandon(w, ReasonGone)
	}
}

// Leave ends an admitted request that was in flight for held, and admits the next
// waiting request.
func (g *Gate) Leave(held time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.serviceTime += time.Duration(serviceTimeWeight * float64(held-g.serviceTime))
	g.inflight--
	g.admitWaiting()
}

// SetLimit changes the maximum number of requests in flight.
func (g *Gate) SetLimit(limit int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limit = limit
	g.admitWaiting()
}

// Demand returns the number of requests that are in flight or waiting.
func (g *Gate) Demand() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.inflight + len(g.queue)
}

// Stop refuses all waiting and all later requests.
func (g *Gate) Stop() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stopping = true
	for len(g.queue) > 0 {
		g.refuse(g.queue[0], ReasonStopping)
	}
}

// abandon removes w from the queue and returns a refusal for the given reason. If w
// was admitted in the meantime, abandon ends the request as Leave would, but without
// a sample of the service time.
func (g *Gate) abandon(w *waiter, reason Reason) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if w.index >= 0 {
		heap.Remove(&g.queue, w.index)
		return g.newRefusal(reason)
	}
	if err := <-w.result; err != nil {
		return err
	}
	g.inflight--
	g.admitWaiting()
	return g.newRefusal(reason)
}

// enter admits or refuses a request, or queues it. Only a queued request has a
// waiter.
func (g *Gate) enter(ticket Ticket, now time.Time) (*waiter, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.stopping {
		return nil, g.newRefusal(ReasonStopping)
	}
	remaining := ticket.Deadline.Sub(now)
	if remaining <= 0 {
		return nil, g.newRefusal(ReasonDeadline)
	}
	if g.inflight < g.limit && len(g.queue) == 0 {
		g.inflight++
		return nil, nil
	}
	if g.estimateWait(g.countAhead(ticket))+g.serviceTime > remaining {
		return nil, g.newRefusal(ReasonDeadline)
	}
	w := &waiter{
		ticket: ticket,
		result: make(chan error, 1),
	}
	if len(g.queue) >= g.maxQueued && !g.shedFor(w) {
		return nil, g.newRefusal(ReasonShed)
	}
	heap.Push(&g.queue, w)
	return w, nil
}

// countAhead returns the number of waiting requests that go before ticket.
func (g *Gate) countAhead(ticket Ticket) int {
	count := 0
	for _, other := range g.queue {
		if !before(ticket, other.ticket) {
			count++
		}
	}
	return count
}

// admitWaiting admits waiting requests while fewer than limit are in flight. The
// most urgent go first.
func (g *Gate) admitWaiting() {
	for g.inflight < g.limit && len(g.queue) > 0 {
		next := g.queue[0]
		for _, w := range g.queue {
			if before(w.ticket, next.ticket) {
				next = w
			}
		}
		heap.Remove(&g.queue, next.index)
		g.inflight++
		next.result <- nil
	}
}

// newRefusal returns a refusal for the given reason, with the estimated wait of a new
// request as its RetryAfter.
func (g *Gate) newRefusal(reason Reason) *RefusedError {
	return &RefusedError{
		Reason:     reason,
		RetryAfter: max(g.estimateWait(len(g.queue)), time.Second),
	}
}

// refuse removes w from the queue and refuses its request.
func (g *Gate) refuse(w *waiter, reason Reason) {
	heap.Remove(&g.queue, w.index)
	w.result <- g.newRefusal(reason)
}

// shedFor refuses the request to shed first, if w goes before that one. It reports
// whether a request was shed.
func (g *Gate) shedFor(w *waiter) bool {
	if len(g.queue) == 0 || !before(w.ticket, g.queue[0].ticket) {
		return false
	}
	g.refuse(g.queue[0], ReasonShed)
	return true
}

// estimateWait estimates how long a request waits that has count requests ahead.
func (g *Gate) estimateWait(count int) time.Duration {
	if g.limit == 0 {
		return g.serviceTime
	}
	return g.serviceTime * time.Duration(count+1) / time.Duration(g.limit)
}

// Len implements heap.Interface.
func (w waiters) Len() int { return len(w) }

// Less implements heap.Interface. The request to shed first is the smallest.
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

// before reports whether a goes before b: the more urgent request first, among
// equally urgent ones the one with the earlier deadline.
func before(a, b Ticket) bool {
	if a.Urgency != b.Urgency {
		return a.Urgency > b.Urgency
	}
	return a.Deadline.Before(b.Deadline)
}
