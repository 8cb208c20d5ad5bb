package retry_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"lemonstream.dev/lemonstream/internal/prove"
	"lemonstream.dev/lemonstream/retry"
)

// start is the time at which tests begin.
var start = time.UnixMilli(1_000_000)

// attempt is an attempt in a test that ends at a certain time.
type attempt struct {
	retry.Attempt
	ends   time.Time
	result retry.Result
}

// world runs the jobs of one service in steps of a millisecond.
type world struct {
	queue  *retry.Queue
	now    time.Time
	flying []attempt
	began  int
	most   int

	// store returns how long an attempt takes that begins now, and its result.
	store func(now time.Time) (time.Duration, retry.Result)
}

func newWorld(store func(now time.Time) (time.Duration, retry.Result)) *world {
	return &world{
		queue: retry.NewQueue(),
		now:   start,
		store: store,
	}
}

// arrive adds a job, and returns its waiter unless it began at once or the queue was full.
func (w *world) arrive() *retry.Waiter {
	if a, allowed := w.queue.Begin(w.now); allowed {
		w.begin(a)
		return nil
	}
	waiter := &retry.Waiter{}
	if !w.queue.Wait(waiter) {
		return nil
	}
	return waiter
}

func (w *world) begin(a retry.Attempt) {
	took, result := w.store(w.now)
	w.began++
	w.flying = append(w.flying, attempt{
		Attempt: a,
		ends:    w.now.Add(took),
		result:  result,
	})
	w.most = max(w.most, len(w.flying))
}

// step advances the time by a millisecond.
func (w *world) step() {
	w.now = w.now.Add(time.Millisecond)
	var flying []attempt
	for _, a := range w.flying {
		if a.ends.After(w.now) {
			flying = append(flying, a)
			continue
		}
		w.queue.End(a.Attempt, a.result, w.now)
	}
	w.flying = flying
	for _, released := range w.queue.Release(w.now) {
		w.begin(released.Attempt)
	}
}

// TestAttemptsDoNotGrowWithTheJobs guards against an outage in which each waiting job is tried by
// itself, for stores that reject at once, hang for a second, or answer late with a failure.
func TestAttemptsDoNotGrowWithTheJobs(t *testing.T) {
	for name, took := range map[string]time.Duration{
		"rejects": 0,
		"late":    30 * time.Millisecond,
		"hangs":   time.Second,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(func(time.Time) (time.Duration, retry.Result) { return took, retry.Failed })
			for range 500 {
				w.arrive()
			}
			for range 1000 {
				w.step()
			}
			// One per pause of 25 ms, and those of the first moment.
			is.True(w.began <= 1000/25+5)
			is.True(w.began >= 4)
			is.True(w.most <= 10)
		})
	}
}

// TestWaitingJobsAreAcceptedSoonAfterAnOutage guards against a release that takes longer than the
// jobs wait, and against one that starts all of them at once. The owner's transactions hold 90
// records and take 10 ms; own writes of the entry take 10 ms each.
func TestWaitingJobsAreAcceptedSoonAfterAnOutage(t *testing.T) {
	for name, c := range map[string]struct {
		result      retry.Result
		most        int
		withinSteps int
	}{
		"owner": {
			result: retry.StoredByOwner,
			most:   500,
			// A probe, 90 and the rest, of 10 ms each.
			withinSteps: 25 + 10*5,
		},
		"entry": {
			result: retry.StoredByEntry,
			most:   4,
			// Four per 10 ms.
			withinSteps: 25 + 10*(500/4+4),
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			back := start.Add(400 * time.Millisecond)
			w := newWorld(func(now time.Time) (time.Duration, retry.Result) {
				if now.Before(back) {
					return 0, retry.Failed
				}
				return 10 * time.Millisecond, c.result
			})
			for range 504 {
				w.arrive()
			}
			for w.now.Before(back) {
				w.step()
			}
			w.most = 0
			is.True(w.queue.Len() >= 480)
			steps := 0
			for ; w.queue.Len() > 0 && steps < 5000; steps++ {
				w.step()
			}
			is.True(steps <= c.withinSteps)
			is.True(w.most <= c.most)
			_, allowed := w.queue.Begin(w.now)
			is.True(allowed) // Nobody waits any more, so there is no limit.
		})
	}
}

// TestHangingAttemptDoesNotHoldTheOthers guards against a queue that waits for an attempt at an
// owner that hangs while its successor accepts jobs.
func TestHangingAttemptDoesNotHoldTheOthers(t *testing.T) {
	is := is.New(t)
	hangs := false
	w := newWorld(func(time.Time) (time.Duration, retry.Result) {
		if hangs {
			hangs = false
			return 1500 * time.Millisecond, retry.Failed
		}
		return 0, retry.Failed
	})
	w.arrive()
	w.step()
	hangs = true
	for range 10 {
		w.arrive()
	}
	for hangs {
		w.step()
	}
	w.store = func(time.Time) (time.Duration, retry.Result) { return time.Millisecond, retry.StoredByOwner }
	for range 220 {
		w.step()
	}
	is.Equal(w.queue.Len(), 0)
}

// TestLateFailuresOfOneOutageCountOnce guards against failures of attempts that began before the
// store came back: they must not close the queue again.
func TestLateFailuresOfOneOutageCountOnce(t *testing.T) {
	is := is.New(t)
	q := retry.NewQueue()
	first, allowed := q.Begin(start)
	is.True(allowed)
	second, allowed := q.Begin(start)
	is.True(allowed)
	q.End(first, retry.Failed, start)
	probe, allowed := q.Begin(start.Add(time.Second))
	is.True(allowed)
	back := start.Add(1100 * time.Millisecond)
	q.End(probe, retry.StoredByOwner, back)
	q.End(second, retry.Failed, back)
	_, allowed = q.Begin(back)
	is.True(allowed)
}

func TestFullQueueAcceptsNoMore(t *testing.T) {
	is := is.New(t)
	q := retry.NewQueue()
	for range retry.MaxWaiting {
		is.True(q.Wait(&retry.Waiter{}))
	}
	is.True(!q.Wait(&retry.Waiter{}))
}

func TestOfferTimeDependsOnTheDeadline(t *testing.T) {
	is := is.New(t)
	const offerTime = 600 * time.Millisecond
	until := func(deadline time.Duration, uncertain bool) time.Duration {
		return retry.OfferUntil(start, offerTime, deadline, uncertain).Sub(start)
	}
	is.Equal(until(3*time.Second, false), offerTime)
	is.Equal(until(3*time.Second, true), offerTime)
	is.Equal(until(400*time.Millisecond, false), 100*time.Millisecond)
	is.Equal(until(400*time.Millisecond, true), 200*time.Millisecond)
	is.Equal(retry.WriteUntil(start, 3*time.Second).Sub(start), 1500*time.Millisecond)
}

// TestEveryJobGetsItsTurn draws arrivals, jobs that leave, and outages. Once attempts succeed, no
// job may stay in the queue, and Next must not name a time at which nothing is released.
func TestEveryJobGetsItsTurn(t *testing.T) {
	prove.Property(t, func(r *rapid.T) {
		result := retry.Failed
		w := newWorld(func(time.Time) (time.Duration, retry.Result) {
			took := time.Duration(rapid.IntRange(0, 300).Draw(r, "took")) * time.Millisecond
			return took, result
		})
		var waiters []*retry.Waiter
		for range rapid.IntRange(1, 60).Draw(r, "events") {
			switch rapid.IntRange(0, 3).Draw(r, "event") {
			case 0:
				result = retry.Result(rapid.IntRange(int(retry.Abandoned), int(retry.StoredByOwner)).Draw(r, "result"))
			case 1:
				if waiter := w.arrive(); waiter != nil {
					waiters = append(waiters, waiter)
				}
			case 2:
				if len(waiters) > 0 {
					w.queue.Leave(waiters[0])
					waiters = waiters[1:]
				}
			default:
				for range rapid.IntRange(1, 100).Draw(r, "steps") {
					w.step()
				}
			}
		}
		result = retry.StoredByEntry
		for range 2000 {
			next, waiting := w.queue.Next()
			before := w.queue.Len()
			w.step()
			if waiting && !next.After(w.now) && w.queue.Len() == before {
				r.Fatalf("no job was released at %s, the time that Next named", next)
			}
		}
		if w.queue.Len() > 0 {
			r.Fatalf("%d jobs still wait", w.queue.Len())
		}
	})
}
