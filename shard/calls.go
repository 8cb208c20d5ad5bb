package shard

import (
	"time"

	"lemonstream.dev/lemonstream/job"
	"lemonstream.dev/lemonstream/outside"
	"lemonstream.dev/lemonstream/underway"
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

// maxWorkerOrders bounds the starts, and the stops, that are under way at one worker. Over the few
// connections to a worker they are answered long before any of them counts as unanswered, and a worker
// that is silent holds up no more of them.
const maxWorkerOrders = 64

// openOrders are the orders of one kind that are under way.
type openOrders struct {
	// share is what the owner may have under way of this kind.
	share *underway.Share

	// workers holds, by call, the worker of each order, counts how many each worker has.
	workers map[int64]*workerState
	counts  map[*workerState]int
}

func newOpenOrders(share *underway.Share) openOrders {
	return openOrders{
		share:   share,
		workers: make(map[int64]*workerState),
		counts:  make(map[*workerState]int),
	}
}

// open takes an order to a worker in, unless too many are under way, and reports whether it did.
func (o openOrders) open(w *workerState, call int64) bool {
	if o.counts[w] >= maxWorkerOrders || !o.share.Take() {
		return false
	}
	o.workers[call] = w
	o.counts[w]++
	return true
}

// answered handles that an order is no longer under way.
func (o openOrders) answered(call int64) {
	w, found := o.workers[call]
	if !found {
		return
	}
	delete(o.workers, call)
	if o.counts[w]--; o.counts[w] == 0 {
		delete(o.counts, w)
	}
	o.share.Done(1)
}

// orderStart orders the start of a run, unless too many starts are under way. It reports whether it did.
func (s *Shard) orderStart(r *run) bool {
	w, call := r.worker, s.nextCall()
	if !s.openStarts.open(w, call) {
		return false
	}
	r.call = call
	r.order.Fence = s.fenceAt(w.reg.ID)
	s.orders.Starts = append(s.orders.Starts, Start{
		Call:   r.call,
		Worker: w.ref(),
		Order:  r.order,
	})
	return true
}

// orderStop orders the stop of a run, unless too many stops are under way.
func (s *Shard) orderStop(r *run, now time.Time) {
	w, call := r.worker, s.nextCall()
	if !s.openStops.open(w, call) {
		return
	}
	r.call = call
	r.stopOrderedAt = now
	if r.percent >= fullPercent {
		s.logBudgetExceeded("stop", r.id, r.number, w)
	}
	s.logRun("stop ordered", r.id, r.number, w, "reason", r.reason)
	s.orders.Stops = append(s.orders.Stops, Stop{
		Call:   r.call,
		Worker: w.ref(),
		Task:   r.id,
		Run:    r.number,
		Fence:  s.fenceAt(w.reg.ID),
	})
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
