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

	// readWait is how long a question waits for its turn before the owner is asked
	// again, who answers from memory.
	readWait = 200 * time.Millisecond
)

// readPace spaces the questions that this entry answers from rows, over all callers.
// Each takes four reads, and more for a job that is not found at once; an owner that
// begins has to read its rows from the same store.
type readPace struct {
	mu sync.Mutex

	// next is when the next question has its turn; it may lie readBurst pauses behind.
	next time.Time
}

// turn waits for the turn of a question; false means that it does not come soon.
func (p *readPace) turn(ctx context.Context, c clock.Clock, pause time.Duration) bool {
	wait, soon := p.reserve(c.Now(), pause)
	if !soon {
		return false
	}
	return wait <= 0 || clock.Sleep(ctx, wait)
}

// reserve returns how long it is to the next turn, and takes it if that is soon.
func (p *readPace) reserve(now time.Time, pause time.Duration) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	at := p.next
	if earliest := now.Add(-readBurst * pause); at.Before(earliest) {
		at = earliest
	}
	wait := at.Sub(now)
	if wait > readWait {
		return 0, false
	}
	p.next = at.Add(pause)
	return wait, true
}
