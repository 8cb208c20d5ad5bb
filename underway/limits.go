package underway

import (
	"math"
	"time"
)

// Shares of an entry's memory that each kind may take. Connections take a share of their own, see
// package conns; the rest is for the jobs, copies of tables and what the collector has not freed yet.
const (
	startMemory = 0.05
	stopMemory  = 0.05
	paceMemory  = 0.02
	pollMemory  = 0.15
	runMemory   = 0.25
)

// Bytes that one thing of a kind takes, with what the collector has not freed yet.
const (
	// orderBytes is for the stack of the goroutine that sends an order, its body, its headers, its
	// timers and its answer.
	orderBytes = 16 << 10

	// pollBytes is for the same and for the list of ends in the answer, which has up to 500 of them.
	pollBytes = 64 << 10

	// runBytes is for a run, the state of its task, and the row about it in the answers to polls.
	runBytes = 1536
)

const (
	// orderTime is the processor time that an entry needs for an order and its answer.
	orderTime = 250 * time.Microsecond

	// orderWait is how long an order may wait for processor time: half of the time after which it counts
	// as unanswered.
	orderWait = 350 * time.Millisecond
)

// leastOrders and leastRuns are the smallest bounds: a machine that is too small for them is too small
// for an entry.
const (
	leastOrders = 16
	leastRuns   = 1000
)

// Limits are the bounds of an entry. A nil Limits has none.
type Limits struct {
	Starts *Bound
	Stops  *Bound
	Paces  *Bound
	Polls  *Bound
	Runs   *Bound
}

// Shares are what one service has of the bounds of an entry. The zero Shares have no bounds.
type Shares struct {
	// Starts, Stops, Paces and Polls are orders to workers without an answer.
	Starts *Share
	Stops  *Share
	Paces  *Share
	Polls  *Share

	// Runs are runs that may exist at workers.
	Runs *Share
}

// NewLimits returns the bounds of an entry with so many bytes of memory and so many cores.
func NewLimits(memory int64, cores float64) *Limits {
	byTime := int(math.Round(cores * float64(orderWait/orderTime)))
	orders := func(share float64) *Bound {
		return NewBound(max(leastOrders, min(byTime, fit(memory, share, orderBytes))))
	}
	return &Limits{
		Starts: orders(startMemory),
		Stops:  orders(stopMemory),
		Paces:  orders(paceMemory),
		Polls:  NewBound(max(leastOrders, fit(memory, pollMemory, pollBytes))),
		Runs:   NewBound(max(leastRuns, fit(memory, runMemory, runBytes))),
	}
}

// fit returns how many things of a size fit into a share of the memory.
func fit(memory int64, share float64, size int) int {
	return int(share * float64(memory) / float64(size))
}

// Shares returns the shares of a service that holds nothing yet.
func (l *Limits) Shares() Shares {
	if l == nil {
		return Shares{}
	}
	return Shares{
		Starts: l.Starts.Share(),
		Stops:  l.Stops.Share(),
		Paces:  l.Paces.Share(),
		Polls:  l.Polls.Share(),
		Runs:   l.Runs.Share(),
	}
}

// Uses returns the state of each bound by its kind.
func (l *Limits) Uses() map[string]Use {
	return map[string]Use{
		"starts": l.Starts.Use(),
		"stops":  l.Stops.Use(),
		"paces":  l.Paces.Use(),
		"polls":  l.Polls.Use(),
		"runs":   l.Runs.Use(),
	}
}

// Close returns everything that the service holds.
func (s Shares) Close() {
	for _, share := range []*Share{s.Starts, s.Stops, s.Paces, s.Polls, s.Runs} {
		share.Close()
	}
}
