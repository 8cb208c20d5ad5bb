package shard

import (
	"lemonstream.dev/lemonstream/job"
	"lemonstream.dev/lemonstream/outside"
)

// Ask is a question which workers may run a step.
type Ask struct {
	Step    string
	Workers []string
}

// Hold is an order to renew a worker's leases and look at it.
type Hold struct {
	// Call tells the order from every other one of this owner.
	Call    int64
	Worker  outside.WorkerRef
	Renewal outside.Renewal
}

// Orders are what a shard wants done. Each start, stop, look and lookup is answered by
// one call of Started, Stopped, Held or LookedUp.
type Orders struct {
	Starts []Start
	Stops  []Stop
	Holds  []Hold

	Lookups []Lookup

	// Paces are answered by one call of Paced each.
	Paces []Pace

	// Asks are answered by one call of Advised each.
	Asks []Ask
}

// Pace is an order to let a run work at a share of its speed.
type Pace struct {
	Worker  outside.WorkerRef
	Task    job.TaskID
	Run     int64
	Percent int
	Fence   int64
}

// Start is an order to start a run.
type Start struct {
	// Call tells the order from every other one of this owner.
	Call   int64
	Worker outside.WorkerRef
	Order  outside.StartOrder
}

// Stop is an order to stop a run.
type Stop struct {
	// Call tells the order from every other one of this owner.
	Call   int64
	Worker outside.WorkerRef
	Task   job.TaskID
	Run    int64
	Fence  int64
}

// nextCall returns the number of another order. Its answer is taken in by whoever waits for
// that number: one that comes after its worker has been given up, or has started again, says
// nothing of the incarnation that is known by then.
func (s *Shard) nextCall() int64 {
	s.calls++
	return s.calls
}

// answered returns the run that waits for the answer to an order, nil where none does any
// more.
func (s *Shard) answered(worker string, task job.TaskID, call int64) *run {
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
