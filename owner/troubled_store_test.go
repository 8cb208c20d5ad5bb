package owner_test

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"lemonstream.dev/lemonstream/clock"
	"lemonstream.dev/lemonstream/internal/standin"
	"lemonstream.dev/lemonstream/outside"
)

// storeCallTimeout is how long the client of the store waits for an answer, beyond the time for which
// the store may hold it.
const storeCallTimeout = 900 * time.Millisecond

// storeState says how a store answers.
type storeState int

const (
	answering storeState = iota
	silent
	refusing
	overloaded
	slow
	losing
	states
)

// troubledStore is a store with states in virtual time. Whoever asks a silent one, or waits for its
// answer when it falls silent, never gets it.
type troubledStore struct {
	rows *standin.Rows

	// thin is how long an answer with rows takes on its way.
	thin time.Duration

	mu    sync.Mutex
	draw  *rand.Rand
	state storeState
	since time.Time

	// silenced is closed when the store falls silent.
	silenced chan struct{}

	// written holds when each version was acknowledged, failed the reads by the second in which they
	// were sent to a store that does not answer them.
	written []time.Time
	failed  map[int64]int
}

func newTroubledStore(seed uint64) *troubledStore {
	return &troubledStore{
		rows:     standin.NewRows(),
		draw:     rand.New(rand.NewPCG(seed, 79)),
		silenced: make(chan struct{}),
		since:    time.Now(),
		failed:   make(map[int64]int),
	}
}

func (s *troubledStore) set(state storeState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state != silent && state == silent {
		close(s.silenced)
	}
	if s.state == silent && state != silent {
		s.silenced = make(chan struct{})
	}
	if state != s.state {
		s.since = time.Now()
	}
	s.state = state
}

// write writes the next version of the row, and returns it.
func (s *troubledStore) write() int64 {
	s.rows.Write(outside.Key{
		Table: "op",
		Name:  "config",
	}, []byte("a configuration"))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.written = append(s.written, time.Now())
	return int64(len(s.written))
}

// due returns the newest version that was acknowledged before an instant.
func (s *troubledStore) due(before time.Time) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	newest := 0
	for i, at := range s.written {
		if at.Before(before) {
			newest = i + 1
		}
	}
	return int64(newest)
}

// calm reports whether the store has answered for some time.
func (s *troubledStore) calm(span time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state == answering && time.Since(s.since) >= span
}

// answers reports whether calls of other tables are answered.
func (s *troubledStore) answers() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state == answering || s.state == slow || s.state == losing
}

// mostFailed returns the most reads of a second that were not answered.
func (s *troubledStore) mostFailed() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	most := 0
	for _, count := range s.failed {
		most = max(most, count)
	}
	return most
}

// enter returns how long its answer takes and what closes if it gets none. Its error
// is a refusal, or that of ctx if the call is never answered.
func (s *troubledStore) enter(ctx context.Context) (time.Duration, <-chan struct{}, error) {
	s.mu.Lock()
	state, silenced := s.state, s.silenced
	took := time.Duration(1+s.draw.IntN(8)) * time.Millisecond
	lost := state == silent || state == losing && s.draw.IntN(2) == 0
	if state == slow {
		took = time.Duration(s.draw.IntN(500)) * time.Millisecond
	}
	refused := state == refusing || state == overloaded
	if lost || refused {
		s.failed[time.Now().Unix()]++
	}
	s.mu.Unlock()
	switch {
	case lost:
		return 0, nil, unanswered(ctx)
	case refused:
		return 0, nil, &outside.NotDoneError{
			Call:   "read",
			Status: map[storeState]int{refusing: http.StatusServiceUnavailable, overloaded: http.StatusTooManyRequests}[state],
		}
	}
	return took, silenced, nil
}

func (s *troubledStore) table() outside.Table {
	table := s.rows.Table()
	feed := table.Feed
	table.Feed = func(ctx context.Context, name string, after int64, wait time.Duration) (outside.Change, error) {
		ctx, cancel := context.WithTimeout(ctx, storeCallTimeout+wait)
		defer cancel()
		took, silenced, err := s.enter(ctx)
		if err != nil {
			return outside.Change{}, err
		}
		clock.Sleep(ctx, took/2)
		change, err := feed(ctx, name, after, wait)
		if len(change.Rows) > 0 {
			took += s.thin
		}
		return change, s.deliver(ctx, took/2, silenced, err)
	}
	return table
}

// deliver lets an answer take its time, and returns its error.
func (s *troubledStore) deliver(ctx context.Context, took time.Duration, silenced <-chan struct{}, err error) error {
	if err != nil {
		return err
	}
	if !clock.Sleep(ctx, took) {
		return unanswered(ctx)
	}
	select {
	case <-silenced:
		return unanswered(ctx)
	default:
		return nil
	}
}

// unanswered waits until the caller gives up.
func unanswered(ctx context.Context) error {
	<-ctx.Done()
	return &outside.UncertainError{
		Call:  "read",
		Cause: ctx.Err(),
	}
}
