package outside

import (
	"context"
	"errors"
	"sync"
	"time"

	"lemonstream.dev/lemonstream/clock"
)

// minPause is the pause after the first failed try. It is short because a lost answer or
// a briefly overloaded partition must not delay the next caller for long.
const minPause = 50 * time.Millisecond

const (
	// provenFor is how long a success proves that calls work. It is many times the
	// duration of a call without load, which is 5 ms.
	provenFor = time.Second

	// maxUnproven is the maximum number of concurrent tries while no recent success proves
	// that calls work. Without it, callers that arrive together are all let through before
	// the first of their tries has failed: up to 192 calls instead of 20 with 300 callers
	// under load. Without load, one or two tries run concurrently.
	maxUnproven = 4
)

// Breaker is a circuit breaker: it limits how often all callers together try an operation
// that fails. After a recent success, every try is allowed. Without one, only a few
// concurrent tries are allowed. After a failure, one try is allowed per pause, and the pause
// doubles with each further failure.
type Breaker struct {
	clock clock.Clock

	// maxPause returns the longest pause.
	maxPause func() time.Duration

	mu sync.Mutex

	// inFlight counts the tries that have not ended. provenUntil is the time until which
	// the last success counts.
	inFlight    int
	provenUntil time.Time

	// failures counts consecutive failed tries. Tries that were in flight together count
	// once.
	failures int

	// retryAt is the time from which the next try is allowed if failures is above zero.
	// probing is set while that try is in flight.
	retryAt time.Time
	probing bool
}

// Breakers holds a breaker per operation, by name. Breakers are never removed; callers use
// only a few names per service.
type Breakers struct {
	clock    clock.Clock
	maxPause func() time.Duration

	mu     sync.Mutex
	byName map[string]*Breaker
}

// NewBreakers returns breakers whose pauses grow up to the duration that maxPause returns.
func NewBreakers(clock clock.Clock, maxPause func() time.Duration) *Breakers {
	return &Breakers{
		clock:    clock,
		maxPause: maxPause,
		byName:   make(map[string]*Breaker),
	}
}

// Try calls try under the breaker of the given name. If the breaker is open or ctx is done,
// it returns a *NotDoneError at once. A *ConflictError counts as a success, because it is an
// answer. A try that failed because ctx was done counts neither as a success nor as a
// failure. Any other error counts as a failure, even if ctx is done by then. Otherwise
// callers that reach their deadlines together would each let the next one through: up to 134
// calls to an unavailable partition instead of 20, with 300 callers under load.
func (b *Breakers) Try(ctx context.Context, name string, try func(context.Context) error) error {
	if ctx.Err() != nil {
		return &NotDoneError{
			Call:   name,
			Reason: "the caller has gone",
		}
	}
	breaker := b.get(name)
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

// isContextError reports whether err means that the context of a call was done.
func isContextError(err error) bool {
	return errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded)
}

// get returns the breaker of the given name and creates it if necessary.
func (b *Breakers) get(name string) *Breaker {
	b.mu.Lock()
	defer b.mu.Unlock()
	breaker, found := b.byName[name]
	if !found {
		breaker = &Breaker{
			clock:    b.clock,
			maxPause: b.maxPause,
		}
		b.byName[name] = breaker
	}
	return breaker
}

// allow reports whether a try may be made now, and whether it is the probe that an open
// breaker lets through after a pause.
func (b *Breaker) allow() (allowed, probe bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	if b.failures == 0 {
		if b.inFlight >= maxUnproven && !now.Before(b.provenUntil) {
			return false, false
		}
		b.inFlight++
		return true, false
	}
	if b.probing || now.Before(b.retryAt) {
		return false, false
	}
	b.probing = true
	b.inFlight++
	return true, true
}

func (b *Breaker) succeeded() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.inFlight--
	b.failures = 0
	b.probing = false
	b.provenUntil = b.clock.Now().Add(provenFor)
}

// abandoned ends a try whose caller gave up, which counts neither as success nor as failure.
func (b *Breaker) abandoned(probe bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.inFlight--
	if probe {
		b.probing = false
	}
}

// failed opens the breaker. If the breaker is open already, only the failure of its probe
// counts; tries that were allowed before it opened have no further effect.
func (b *Breaker) failed(probe bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.inFlight--
	if b.failures > 0 && !probe {
		return
	}
	b.failures++
	b.probing = false
	b.retryAt = b.clock.Now().Add(clock.Backoff(minPause, max(minPause, b.maxPause()), b.failures))
}
