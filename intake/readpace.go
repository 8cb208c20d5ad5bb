package intake

import (
	"context"
	"sync"
	"time"

	"lemonstream.dev/lemonstream/clock"
)

const (
	// readBurst is how many questions may be answered from rows at once after a rest.
	readBurst = 10

	// readNever bounds the wait of a question without a deadline.
	readNever = 3 * time.Second
)

// readPace spaces the questions that this entry answers from rows, over all callers.
// Each takes four reads, and more for a job that is not found at once; an owner that
// begins has to read its rows from the same store.
type readPace struct {
	mu sync.Mutex

	// next is when the next question has its turn; it may lie readBurst pauses behind.
	next time.Time
}

// turn waits for the turn of a question; false means that it does not come while the
// caller waits. The owner is not asked again meanwhile: one that has no processor time
// for a question has none for its repetitions.
func (p *readPace) turn(ctx context.Context, c clock.Clock, pause time.Duration) bool {
	latest := c.Now().Add(readNever)
	if deadline, bounded := ctx.Deadline(); bounded {
		latest = deadline
	}
	wait, mine := p.reserve(c.Now(), latest, pause)
	if !mine {
		return false
	}
	return wait <= 0 || clock.Sleep(ctx, wait)
}

// reserve returns how long it is to the next turn, and takes it if that comes before
// the given instant.
func (p *readPace) reserve(now, before time.Time, pause time.Duration) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	at := p.next
	if earliest := now.Add(-readBurst * pause); at.Before(earliest) {
		at = earliest
	}
	if at.After(before) {
		return 0, false
	}
	p.next = at.Add(pause)
	return at.Sub(now), true
}

// giveBack returns a turn in which nothing was read. Otherwise questions that a breaker
// holds up take the turns of those that come after them.
func (p *readPace) giveBack(pause time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.next = p.next.Add(-pause)
}
