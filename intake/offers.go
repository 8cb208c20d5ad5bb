package intake

import (
	"context"
	"sync"
	"time"

	"lemonstream.dev/lemonstream/clock"
	"lemonstream.dev/lemonstream/kernel"
	"lemonstream.dev/lemonstream/retry"
)

// DefaultOfferTime is how long a job is offered that is not accepted. A caller waits 3 s, tries
// five times at most and pauses for 0.2 to 0.3 s in between; with 150 ms it has used its tries
// after 1.1 s.
const DefaultOfferTime = 600 * time.Millisecond

// MaxOfferTime is the longest offer time: callers wait no longer.
const MaxOfferTime = 3 * time.Second

// Results of a job that was not accepted by its first attempt, or had to wait for it.
const (
	offerAccepted  = "accepted"
	offerCancelled = "cancelled"
	offerExpired   = "expired"
	offerQueueFull = "queue_full"
	offerRefused   = "refused"
)

// Causes for which a job was offered again.
const (
	causeNotDone   = "not_done"
	causeUncertain = "uncertain"

	// causeWaiting means that no attempt was made, because others of the service had just failed.
	causeWaiting = "waiting"
)

// offers holds the queue of each service.
type offers struct {
	mu        sync.Mutex
	byService map[string]*offerQueue
}

// offerQueue carries out the decisions of a retry.Queue.
type offerQueue struct {
	clock clock.Clock
	group *kernel.Group

	// changed is signalled when the time of the next release may have come closer.
	changed chan struct{}

	mu    sync.Mutex
	queue *retry.Queue

	// byWaiter holds the channels that are closed when a waiter is released.
	byWaiter map[*retry.Waiter]chan struct{}

	// running is set while a goroutine releases waiters when their time has come.
	running bool
}

// offer is one job that is being offered.
type offer struct {
	began time.Time
	queue *offerQueue

	// writeUntil is the time until which this entry may begin a write of its own.
	writeUntil time.Time

	// attempts counts the attempts; uncertain is set once one may have stored the job.
	attempts  int
	uncertain bool

	// waited is set once the job has waited for an attempt.
	waited bool
}

// queue returns the queue of a service and creates it if necessary. Services are few, and none is
// removed.
func (o *offers) queue(service string, clock clock.Clock, group *kernel.Group) *offerQueue {
	o.mu.Lock()
	defer o.mu.Unlock()
	queue, found := o.byService[service]
	if !found {
		if o.byService == nil {
			o.byService = make(map[string]*offerQueue)
		}
		queue = &offerQueue{
			clock:    clock,
			group:    group,
			changed:  make(chan struct{}, 1),
			queue:    retry.NewQueue(),
			byWaiter: make(map[*retry.Waiter]chan struct{}),
		}
		o.byService[service] = queue
	}
	return queue
}

// waiting returns the number of jobs that wait in all queues.
func (o *offers) waiting() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	sum := 0
	for _, queue := range o.byService {
		queue.mu.Lock()
		sum += queue.queue.Len()
		queue.mu.Unlock()
	}
	return sum
}

// nextAttempt waits until the job may be tried. If it can't be tried, the result says why: because
// its time is up, the caller has gone, or the queue is full.
func (o *offer) nextAttempt(ctx context.Context, until time.Time) (retry.Attempt, string) {
	now := o.queue.clock.Now()
	if ctx.Err() != nil {
		return retry.Attempt{}, offerCancelled
	}
	if o.attempts > 0 && !now.Before(until) {
		return retry.Attempt{}, offerExpired
	}
	waiter := &retry.Waiter{
		Until: until,
	}
	attempt, ready, result := o.queue.enter(waiter, now)
	if ready == nil {
		return attempt, result
	}
	o.waited = true
	select {
	case <-ready:
		return waiter.Attempt, ""
	case <-o.queue.clock.After(until.Sub(now)):
		result = offerExpired
	case <-ctx.Done():
		result = offerCancelled
	}
	o.queue.leave(waiter)
	return retry.Attempt{}, result
}

// enter returns an attempt, or a channel that is closed once the waiter has one, or
// offerQueueFull.
func (q *offerQueue) enter(waiter *retry.Waiter, now time.Time) (retry.Attempt, <-chan struct{}, string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if attempt, allowed := q.queue.Begin(now); allowed {
		return attempt, nil, ""
	}
	if !q.queue.Wait(waiter) {
		return retry.Attempt{}, nil, offerQueueFull
	}
	ready := make(chan struct{})
	q.byWaiter[waiter] = ready
	if !q.running {
		q.running = true
		q.group.Go("offers", q.run)
	}
	return retry.Attempt{}, ready, ""
}

// leave removes a waiter. An attempt that it has been given meanwhile is passed on.
func (q *offerQueue) leave(waiter *retry.Waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.byWaiter, waiter)
	if !q.queue.Leave(waiter) {
		now := q.clock.Now()
		q.queue.End(waiter.Attempt, retry.Abandoned, now)
		q.release(now)
	}
}

// end reports the result of an attempt and releases the jobs that may be tried now.
func (q *offerQueue) end(attempt retry.Attempt, result retry.Result) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock.Now()
	q.queue.End(attempt, result, now)
	q.release(now)
}

// release wakes the jobs that may be tried, and lets run determine when the next may. The caller
// holds mu.
func (q *offerQueue) release(now time.Time) {
	q.wake(now)
	select {
	case q.changed <- struct{}{}:
	default:
	}
}

// wake wakes the jobs that may be tried. The caller holds mu.
func (q *offerQueue) wake(now time.Time) {
	for _, waiter := range q.queue.Release(now) {
		close(q.byWaiter[waiter])
		delete(q.byWaiter, waiter)
	}
}

// run releases waiting jobs when their time has come. It ends when none waits.
func (q *offerQueue) run(ctx context.Context) error {
	for {
		pause, waiting := q.step()
		if !waiting {
			return nil
		}
		select {
		case <-q.clock.After(pause):
		case <-q.changed:
		case <-ctx.Done():
			return nil
		}
	}
}

// step releases the jobs whose time has come, and returns the pause until the next step. It
// returns false if no job waits.
func (q *offerQueue) step() (time.Duration, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock.Now()
	q.wake(now)
	next, waiting := q.queue.Next()
	q.running = waiting
	return max(time.Millisecond, next.Sub(now)), waiting
}

// countOffer counts a job that had to wait or to be tried again, by result and cause.
func (s *Server) countOffer(o *offer, result string) {
	if o.attempts <= 1 && !o.waited && result != offerQueueFull && result != offerExpired {
		return
	}
	s.Figures.Count("job_offered_again", result+"_"+o.cause())
}

func (o *offer) cause() string {
	switch {
	case o.uncertain:
		return causeUncertain
	case o.attempts > 0:
		return causeNotDone
	default:
		return causeWaiting
	}
}

// resultOf returns what an attempt says about the service. A record that was stored with an earlier
// service of the route, a job of another organisation, one that was withdrawn and a caller that has gone
// say nothing.
func resultOf(r *request, writer string, err error) retry.Result {
	switch {
	case err != nil && r.Request.Context().Err() != nil:
		return retry.Abandoned
	case isForeign(err), isWithdrawn(err):
		return retry.Abandoned
	case err != nil:
		return retry.Failed
	case writer == writerOwner:
		return retry.StoredByOwner
	case writer == writerEntry:
		return retry.StoredByEntry
	default:
		return retry.Abandoned
	}
}

// reasonOf returns the text of the answer to a caller whose job is no longer offered.
func reasonOf(result string) string {
	if result == offerQueueFull {
		return "too many jobs wait for the store"
	}
	return "the store does not take the job"
}
