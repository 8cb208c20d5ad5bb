package shard

import (
	"lemonstream.dev/lemonstream/job"
	"lemonstream.dev/lemonstream/outside"
)

// TicketRequest is an order to request tickets with which workers may run a step.
type TicketRequest struct {
	Step    string
	Workers []string
}

// Poll is an order to renew a worker's leases and to read its runs and ends.
type Poll struct {
	// Call is the number of the order, unique for this owner.
	Call    int64
	Worker  outside.WorkerRef
	Renewal outside.Renewal
}

// Orders are the calls that a shard's owner has to make. Each start, stop, poll and lookup is
// answered by one call of Started, Stopped, Polled or LookedUp.
type Orders struct {
	Starts []Start
	Stops  []Stop
	Polls  []Poll

	Lookups []Lookup

	// Each pace is answered by one call of Paced.
	Paces []Pace

	// Each ticket request is answered by one call of TicketsReceived.
	TicketRequests []TicketRequest
}

// Pace is an order to let a run work at a percentage of its full speed.
type Pace struct {
	Worker  outside.WorkerRef
	Task    job.TaskID
	Run     int64
	Percent int
	Fence   int64
}

// Start is an order to start a run.
type Start struct {
	// Call is the number of the order, unique for this owner.
	Call   int64
	Worker outside.WorkerRef
	Order  outside.StartOrder
}

// Stop is an order to stop a run.
type Stop struct {
	// Call is the number of the order, unique for this owner.
	Call   int64
	Worker outside.WorkerRef
	Task   job.TaskID
	Run    int64
	Fence  int64
}

// nextCall returns the number of the next order. An answer counts only if its order's number is
// still awaited: one that arrives after its worker was given up or has restarted says nothing about
// the incarnation that is known by then.
func (s *Shard) nextCall() int64 {
	s.lastCall++
	return s.lastCall
}

// awaitingRun returns the run that awaits the answer to an order, and ends its wait; nil if no run
// awaits it any more.
func (s *Shard) awaitingRun(worker string, task job.TaskID, call int64) *run {
	w, found := s.workers[worker]
	if !found {
		return nil
	}
	r, found := w.runs[task]
	if !found || r.call != call {
		return nil
	}
	r.call = 0
	return r
}
