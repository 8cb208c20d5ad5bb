package soak_test

import (
	"context"
	"math/rand"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"lemonstream.dev/lemonstream/internal/standin"
	"lemonstream.dev/lemonstream/outside"
)

const (
	// slowAnswer is what a slow store adds to each call.
	slowAnswer = 150 * time.Millisecond

	// awayOf is how many parts there are for each one that is away.
	awayOf = 3

	// lostShare is the part of the answers that are lost.
	lostShare = 0.35
)

// Faults of the store.
const (
	storeWorks storeFault = iota
	storeIsBusy
	storeIsSilent
	storeIsSlow
	storeLosesAnswers
	storePartsAreAway

	storeFaultCount
)

type storeFault int

// faultyStore breaks the calls of a stand-in store.
type faultyStore struct {
	mu     sync.Mutex
	fault  storeFault
	random *rand.Rand
}

// breakable lets the faults of the returned store meet the calls of rows.
func breakable(rows *standin.Rows) *faultyStore {
	s := &faultyStore{
		random: rand.New(rand.NewSource(1)),
	}
	rows.Before = s.before
	rows.After = s.after
	return s
}

func (s *faultyStore) set(fault storeFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
}

func (s *faultyStore) current() storeFault {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fault
}

func (s *faultyStore) before(ctx context.Context, call standin.Call) error {
	switch s.current() {
	case storeIsBusy:
		return &outside.NotDoneError{
			Call: call.Kind,
		}
	case storeIsSilent:
		<-ctx.Done()
		return &outside.NotDoneError{
			Call: call.Kind,
		}
	case storeIsSlow:
		time.Sleep(slowAnswer)
	case storePartsAreAway:
		if call.Part != "" && xxhash.Sum64String(call.Part)%awayOf == 0 {
			return &outside.NotDoneError{
				Call: call.Kind,
			}
		}
	default:
	}
	return nil
}

// after loses answers: the caller waits until it gives up.
func (s *faultyStore) after(ctx context.Context, call standin.Call) error {
	s.mu.Lock()
	lost := s.fault == storeLosesAnswers && call.Kind == "transact" && s.random.Float64() < lostShare
	s.mu.Unlock()
	if lost {
		<-ctx.Done()
	}
	return nil
}
