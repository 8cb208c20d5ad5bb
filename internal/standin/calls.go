package standin

import (
	"bytes"
	"context"
	"io"
	"math/rand"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"
)

const (
	// latestCall is how much later a call without an answer may be carried out.
	latestCall = 3 * time.Second

	// lostShare is the share of the calls that nobody takes while an instance has no worker,
	// refusedShare that of the connections that break at once then.
	lostShare    = 0.5
	refusedShare = 0.3

	pathHold = "/hold"
)

// CallFaults are faults of the calls to workers, as shares from 0 to 1.
type CallFaults struct {
	// LatePolls and LateOrders are those of the calls that get no answer and are carried out up to
	// latestCall later, by the life that the worker has then.
	LatePolls  float64
	LateOrders float64

	// Full is that of the starts that are refused for want of room.
	Full float64
}

// chance draws which calls a fault meets.
type chance struct {
	mu     sync.Mutex
	random *rand.Rand
	faults CallFaults
}

// SetFaults puts faults of calls in force. The seed applies to them and to the clocks of workers.
func (f *Fleet) SetFaults(seed int64, faults CallFaults) {
	f.chance.mu.Lock()
	defer f.chance.mu.Unlock()
	f.chance.random = rand.New(rand.NewSource(seed))
	f.chance.faults = faults
}

// serve passes a call on to the life that the worker of an instance has now, whichever was meant: its
// id does not tell the lives apart.
func (f *Fleet) serve(i *fleetInstance, w http.ResponseWriter, r *http.Request) {
	// The server notices that the caller has left only once the body is read.
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	again := r.Clone(context.WithoutCancel(r.Context()))
	again.Body = io.NopCloser(bytes.NewReader(body))
	f.mu.Lock()
	unreached := i.isUnreached()
	f.mu.Unlock()
	if unreached {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	late := f.chance.delay(r.URL.Path)
	time.Sleep(late)
	if !f.reach(i, late > 0) && late > 0 && r.URL.Path != pathHold {
		// Nothing can take back an order that is the first to reach a life.
		f.leaveUnanswered(i, r)
	}
	answer := f.pass(i, again, r.Context().Done())
	if late > 0 || answer == nil || f.isLost(i) {
		f.leaveUnanswered(i, r)
	}
	for name, values := range answer.Header() {
		w.Header()[name] = values
	}
	w.WriteHeader(answer.Code)
	_, _ = answer.Body.WriteTo(w)
}

// pass gives a call to the worker of an instance, and returns its answer; nil if there is none. A call
// that comes while there is no worker is lost, or waits for the next life unless its caller leaves.
func (f *Fleet) pass(i *fleetInstance, r *http.Request, left <-chan struct{}) *httptest.ResponseRecorder {
	f.mu.Lock()
	router, entered := i.router, i.entered
	f.mu.Unlock()
	if router == nil && f.chance.hits(lostShare) {
		return nil
	}
	if router == nil {
		select {
		case <-entered:
		case <-left:
			return nil
		}
		f.mu.Lock()
		router = i.router
		f.mu.Unlock()
	}
	if router == nil {
		return nil
	}
	answer := httptest.NewRecorder()
	if !isAnswered(router, answer, r) {
		return nil
	}
	return answer
}

// isAnswered reports whether the life that takes a call lives until it has answered.
func isAnswered(router http.Handler, answer *httptest.ResponseRecorder, r *http.Request) (answered bool) {
	defer func() {
		if problem := recover(); problem != nil && problem != any(http.ErrAbortHandler) {
			panic(problem)
		}
	}()
	router.ServeHTTP(answer, r)
	return true
}

// reach reports whether a call on time has reached the life that an instance has now.
func (f *Fleet) reach(i *fleetInstance, late bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	i.reached = i.router != nil && (i.reached || !late)
	return i.reached
}

// isLost reports whether answers of an instance are lost now.
func (f *Fleet) isLost(i *fleetInstance) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return i.router == nil || i.cuts != [CutKinds]int{}
}

// leaveUnanswered breaks the connection of a call once its caller has left, or at once where the life
// that took it has ended and chance has it.
func (f *Fleet) leaveUnanswered(i *fleetInstance, r *http.Request) {
	f.mu.Lock()
	dark := i.router == nil
	f.mu.Unlock()
	if !dark || !f.chance.hits(refusedShare) {
		<-r.Context().Done()
	}
	panic(http.ErrAbortHandler)
}

// delay returns how late a call is carried out; 0 for most.
func (c *chance) delay(path string) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	share := c.faults.LateOrders
	if path == pathHold {
		share = c.faults.LatePolls
	}
	if c.random.Float64() >= share {
		return 0
	}
	return 1 + time.Duration(c.random.Int63n(int64(latestCall)))
}

func (c *chance) hits(share float64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.random.Float64() < share
}

func (c *chance) isFull() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.random.Float64() < c.faults.Full
}

// newClock returns the time on the clock of a worker that starts, and its rate.
func (c *chance) newClock() (time.Duration, float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Duration(c.random.Int63n(int64(longestClock))), slowestClock + (1-slowestClock)*c.random.Float64()
}
