// Package retry decides how long an entry offers a job that could not be stored, and which of the
// waiting jobs of a service is tried next. It is pure: it starts no goroutine, makes no call and
// takes the time as a parameter.
package retry

import (
	"container/list"
	"time"
)

const (
	// MaxWaiting is the maximum number of jobs that wait in one queue. An entry holds the record
	// of each, some 1 kB; several hundred callers arrive at one entry in an outage of 5 s.
	MaxWaiting = 1024

	// deadlineDivisor sets the share of the caller's deadline for which a job is offered at most.
	// A caller that is held for longer can't try another entry in time.
	deadlineDivisor = 4

	// uncertainDivisor replaces deadlineDivisor once an attempt had an unknown outcome. Its
	// record may exist already, so that one further attempt often ends in an acceptance.
	uncertainDivisor = 2

	// writeDivisor sets the share of the caller's deadline after which an entry no longer begins
	// to write the job itself. An owner with a silent store holds an attempt for up to 1.9 s, and
	// a write without an answer takes another second.
	writeDivisor = 2

	// maxOwnWrites is the maximum number of concurrent attempts while waiting jobs are written
	// by the entry itself, in one transaction each. With 10 ms per transaction, 4 of them
	// exceed the 200 transactions a second that one partition of the store accepts.
	maxOwnWrites = 4

	// ownerWindow is the number of concurrent attempts after the first success at the owner. It is
	// what the owner stores in one transaction; those of 42 entries fit into the 4096 jobs that
	// an owner holds without a record. Starting from one attempt, a store 60 times slower than
	// usual (1.2 s for each attempt) would keep 100 jobs a second waiting for 8 s.
	ownerWindow = 90

	// maxOwnerWindow is the maximum number of concurrent attempts at the owner while jobs wait.
	maxOwnerWindow = 512

	// probePause is the pause between a failed attempt and the next one. Most attempts end at
	// once at the circuit breakers, whose pauses begin at 25 ms and bound the actual calls.
	probePause = 25 * time.Millisecond

	// probeTimeout is the time after which an attempt without a result no longer delays the next
	// one. An owner that hangs holds an attempt for 1.5 s, in which a successor may take over.
	probeTimeout = 200 * time.Millisecond

	// provenFor is how long a success proves that jobs are accepted. With a store 60 times slower
	// than usual, successes of an owner are up to 1.2 s apart.
	provenFor = 1500 * time.Millisecond

	// unprovenWindow is the maximum number of concurrent attempts without such a proof.
	unprovenWindow = 4
)

// Results of an attempt.
const (
	// Abandoned says nothing about whether jobs are accepted, such as when the caller has gone.
	Abandoned Result = iota

	// Failed means that the job was not accepted, or that nobody knows.
	Failed

	// StoredByEntry and StoredByOwner mean that a write for the service has succeeded.
	StoredByEntry
	StoredByOwner
)

// Result is the result of an attempt.
type Result int

// Attempt is permission for one attempt. Each must be reported to End.
type Attempt struct {
	generation int
}

// Queue limits the concurrent attempts to store jobs of one service, and holds the jobs that wait,
// in order of the time until which they do. In order of arrival, a caller near its deadline, whose
// job is offered for 0.1 s, would leave before its turn. After a failure a single attempt at a time
// probes. The first success raises the limit, and each further one raises it by one, until no job
// waits. A Queue is not safe for concurrent use.
type Queue struct {
	// open is set unless an attempt has failed. Then there is no limit as long as the last success
	// proves that jobs are accepted, and that of unprovenWindow otherwise.
	open        bool
	lastSuccess time.Time

	// window is the limit of concurrent attempts while open is not set. It is at least 1.
	window int

	// generation counts failures. Attempts of earlier generations are neither counted in inFlight
	// nor can they fail again, so that attempts that fail together count as one failure.
	generation int
	inFlight   int

	// lastStart is when the last attempt began; nextProbe is when the next one may.
	lastStart time.Time
	nextProbe time.Time

	waiting list.List
}

// Waiter is a job that waits in a queue.
type Waiter struct {
	// Until is how long the job waits.
	Until time.Time

	// Attempt is set when Release returns the waiter.
	Attempt Attempt

	// element is nil unless the waiter is in a queue.
	element *list.Element
}

// NewQueue returns a queue without any observations.
func NewQueue() *Queue {
	return &Queue{
		open: true,
	}
}

// OfferUntil returns the time until which attempts for a job may begin: for offerTime after began,
// and at most for a share of the time that its caller waits. uncertain is set if an earlier
// attempt may have stored the job.
func OfferUntil(began time.Time, offerTime, deadline time.Duration, uncertain bool) time.Time {
	divisor := time.Duration(deadlineDivisor)
	if uncertain {
		divisor = uncertainDivisor
	}
	return began.Add(min(offerTime, deadline/divisor))
}

// WriteUntil returns the time until which an entry may begin to write a job itself, after its owner
// did not accept it.
func WriteUntil(began time.Time, deadline time.Duration) time.Time {
	return began.Add(deadline / writeDivisor)
}

// waiterOf returns the waiter of an element of a queue, which holds no other values.
func waiterOf(element *list.Element) *Waiter {
	waiter, _ := element.Value.(*Waiter)
	return waiter
}

// Begin returns an attempt for a job that has not waited. It returns false if the job has to wait:
// because others do, or because the limit is reached.
func (q *Queue) Begin(now time.Time) (Attempt, bool) {
	if q.waiting.Len() > 0 || !q.mayStart(now) {
		return Attempt{}, false
	}
	return q.start(now), true
}

// Wait adds a job to the queue. It returns false if the queue is full.
func (q *Queue) Wait(w *Waiter) bool {
	if q.waiting.Len() >= MaxWaiting {
		return false
	}
	before := q.waiting.Back()
	for before != nil && waiterOf(before).Until.After(w.Until) {
		before = before.Prev()
	}
	if before == nil {
		w.element = q.waiting.PushFront(w)
	} else {
		w.element = q.waiting.InsertAfter(w, before)
	}
	return true
}

// Leave removes a job from the queue. It returns false if the job is not in the queue, because
// Release has returned it.
func (q *Queue) Leave(w *Waiter) bool {
	if w.element == nil {
		return false
	}
	q.waiting.Remove(w.element)
	w.element = nil
	return true
}

// Release removes the jobs from the queue that may be tried now, and returns them.
func (q *Queue) Release(now time.Time) []*Waiter {
	var released []*Waiter
	for q.waiting.Len() > 0 && q.mayStart(now) {
		w := waiterOf(q.waiting.Front())
		q.Leave(w)
		w.Attempt = q.start(now)
		released = append(released, w)
	}
	return released
}

// Next returns when Release may return a job even if no attempt ends before. It returns false if
// no job waits.
func (q *Queue) Next() (time.Time, bool) {
	if q.inFlight < q.limit() {
		return q.nextProbe, q.waiting.Len() > 0
	}
	timeout := q.lastStart.Add(probeTimeout)
	if timeout.Before(q.nextProbe) {
		timeout = q.nextProbe
	}
	return timeout, q.waiting.Len() > 0
}

// Len returns the number of waiting jobs.
func (q *Queue) Len() int {
	return q.waiting.Len()
}

// End ends an attempt.
func (q *Queue) End(a Attempt, result Result, now time.Time) {
	current := a.generation == q.generation
	if current {
		q.inFlight--
	}
	switch result {
	case StoredByEntry:
		q.succeeded(now, min(q.window+1, maxOwnWrites))
	case StoredByOwner:
		q.succeeded(now, min(max(q.window+1, ownerWindow), maxOwnerWindow))
	case Failed:
		if current {
			q.failed(now)
		}
	case Abandoned:
	}
}

func (q *Queue) succeeded(now time.Time, window int) {
	q.lastSuccess = now
	q.nextProbe = now
	if !q.open {
		q.window = window
		q.open = q.waiting.Len() == 0
	}
}

func (q *Queue) failed(now time.Time) {
	q.open = false
	q.window = 1
	q.generation++
	q.inFlight = 0
	q.nextProbe = now.Add(probePause)
}

func (q *Queue) start(now time.Time) Attempt {
	q.inFlight++
	q.lastStart = now
	return Attempt{
		generation: q.generation,
	}
}

func (q *Queue) mayStart(now time.Time) bool {
	switch {
	case q.open && q.proven(now):
		return true
	case now.Before(q.nextProbe):
		return false
	default:
		return q.inFlight < q.limit() || !now.Before(q.lastStart.Add(probeTimeout))
	}
}

func (q *Queue) limit() int {
	if q.open {
		return unprovenWindow
	}
	return q.window
}

func (q *Queue) proven(now time.Time) bool {
	return now.Before(q.lastSuccess.Add(provenFor))
}
