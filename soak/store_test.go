package soak_test

import (
	"bytes"
	"context"
	"io"
	"math/rand"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
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

// Faults of the store for the transactions of one entry, whose reads work.
const (
	writesWork writeFault = iota
	writesAreRefused
	writesAreSilent

	// writesAreUnanswered carries out transactions without an answer, writesAreLate does so
	// writeDelay after their caller has left.
	writesAreUnanswered
	writesAreLate

	writeFaults
)

const (
	// writeDelay is how much later a late transaction is done.
	writeDelay = 1500 * time.Millisecond

	// writeTimeout bounds what is done without a caller.
	writeTimeout = 5 * time.Second
)

type writeFault int32

// entryStore is the store as one entry reaches it.
type entryStore struct {
	next  http.Handler
	fault atomic.Int32
}

func (s *entryStore) set(fault writeFault) {
	s.fault.Store(int32(fault))
}

func (s *entryStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	fault := writeFault(s.fault.Load())
	if fault == writesWork || r.URL.Path != "/rows-tx" {
		s.next.ServeHTTP(w, r)
		return
	}
	// The server notices that the caller has left only once the body is read.
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	left := r.Context().Done()
	late, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), writeTimeout)
	defer cancel()
	r = r.WithContext(late)
	r.Body = io.NopCloser(bytes.NewReader(body))
	switch fault {
	case writesAreRefused:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case writesAreUnanswered:
		s.next.ServeHTTP(httptest.NewRecorder(), r)
		<-left
	case writesAreLate:
		<-left
		time.Sleep(writeDelay)
		s.next.ServeHTTP(httptest.NewRecorder(), r)
	default:
		<-left
	}
	panic(http.ErrAbortHandler)
}

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
