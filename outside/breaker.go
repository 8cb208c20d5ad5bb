package outside

import (
	"context"
	"errors"
	"sync"
	"time"

	"lemonstream.dev/lemonstream/clock"
)

// breakerFirst is the pause after the first try without success: a lost answer or
// a part that is full for a moment must not hold up the next caller for long.
const breakerFirst = 50 * time.Millisecond

const (
	// provedFor is how long a success tells that something works: many times what a
	// call takes on a calm day, which is 5 ms.
	provedFor = time.Second

	// unprovedMost is how many tries may be under way at once while nothing tells that
	// they succeed. Callers that come together are otherwise all let through before the
	// first of their tries has failed: up to 192 calls in place of 20 (300 callers,
	// beside load). On a calm day one or two are under way together.
	unprovedMost = 4
)

// Breaker is a circuit breaker: it bounds how often something that fails is tried
// by all who want to try it. While it works, it lets everyone through; where that is
// not known, a few at a time. After a failure, one try is let through in every pause,
// and the pause doubles with each further one.
type Breaker struct {
	clock clock.Clock

	// most is the longest pause.
	most func() time.Duration

	mu sync.Mutex

	// underWay counts the tries that have not ended; provedUntil is until when the last
	// success counts.
	underWay    int
	provedUntil time.Time

	// failures counts the tries without success in a row; those that were under
	// way together count once.
	failures int

	// until is when the next try is let through, if failures is above zero; probing
	// says that one is under way.
	until   time.Time
	probing bool
}

// Breakers holds a breaker for each thing that is tried, by its name. There are as
// many as the caller has names for, a few for each service.
type Breakers struct {
	clock clock.Clock
	most  func() time.Duration

	mu     sync.Mutex
	byName map[string]*Breaker
}

// NewBreakers returns breakers whose pauses grow up to what most returns.
func NewBreakers(clock clock.Clock, most func() time.Duration) *Breakers {
	return &Breakers{
		clock:  clock,
		most:   most,
		byName: make(map[string]*Breaker),
	}
}

// Try makes a try of what the name stands for, unless its breaker is open or the caller
// has gone: then it returns a *NotDoneError at once. A *ConflictError is an answer like
// any other, and a try that was cut short because its caller gave up tells nothing. One
// that failed by itself counts, even where the caller's time is over as well: otherwise
// callers that reach their deadline together open the way for each other, and make up to
// 134 calls of a part that is away in place of 20 (300 callers, beside load).
func (b *Breakers) Try(ctx context.Context, name string, try func(context.Context) error) error {
	if ctx.Err() != nil {
		return &NotDoneError{
			Call:   name,
			Reason: "the caller has gone",
		}
	}
	breaker := b.named(name)
	allowed, probe := breaker.allow()
	if !allowed {
		return &NotDoneError{
			Call:   name,
			Reason: "tried without success a moment ago",
		}
	}
	err := try(ctx)
	var conflict *ConflictError
	switch {
	case err == nil || errors.As(err, &conflict):
		breaker.succeeded()
	case ctx.Err() != nil && isContextError(err):
		breaker.abandoned(probe)
	default:
		breaker.failed(probe)
	}
	return err
}

// isContextError reports whether an error says that a call was cut short.
func isContextError(err error) bool {
	return errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded)
}

func (b *Breakers) named(name string) *Breaker {
	b.mu.Lock()
	defer b.mu.Unlock()
	breaker, found := b.byName[name]
	if !found {
		breaker = &Breaker{
			clock: b.clock,
			most:  b.most,
		}
		b.byName[name] = breaker
	}
	return breaker
}

// allow reports whether a try may be made now, and whether it is the one that an
// open breaker lets through.
func (b *Breaker) allow() (allowed, probe bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	if b.failures == 0 {
		if b.underWay >= unprovedMost && !now.Before(b.provedUntil) {
			return false, false
		}
		b.underWay++
		return true, false
	}
	if b.probing || now.Before(b.until) {
		return false, false
	}
	b.probing = true
	b.underWay++
	return true, true
}

func (b *Breaker) succeeded() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.underWay--
	b.failures = 0
	b.probing = false
	b.provedUntil = b.clock.Now().Add(provedFor)
}

func (b *Breaker) abandoned(probe bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.underWay--
	if probe {
		b.probing = false
	}
}

// failed opens the breaker. What was let through before it opened changes nothing
// any more.
func (b *Breaker) failed(probe bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.underWay--
	if b.failures > 0 && !probe {
		return
	}
	b.failures++
	b.probing = false
	b.until = b.clock.Now().Add(clock.Backoff(breakerFirst, max(breakerFirst, b.most()), b.failures))
}
