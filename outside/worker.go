package outside

import (
	"context"
	"fmt"
	"net/netip"
	"reflect"
	"slices"
	"time"

	"lemonstream.dev/lemonstream/job"
)

// How a run ended.
const (
	EndAlone   EndKind = "alone"
	EndBroken  EndKind = "broken"
	EndDone    EndKind = "done"
	EndFailed  EndKind = "failed"
	EndLapsed  EndKind = "lapsed"
	EndStopped EndKind = "stopped"
)

// Reasons for which a worker refuses an order.
const (
	// RefusedFence means that the worker has seen the fencing token of a newer owner.
	RefusedFence Refusal = "fence"

	// RefusedLate means that the lease in the order had already expired.
	RefusedLate Refusal = "late"

	// RefusedOld means that the run number is not above that of a run that ended there.
	RefusedOld Refusal = "old"

	// RefusedRoom means that the task does not fit.
	RefusedRoom Refusal = "room"

	// RefusedTicket means that the ticket for the worker is missing or expired.
	RefusedTicket Refusal = "ticket"

	// RefusedUnhealthy means that the worker accepts no tasks at the moment.
	RefusedUnhealthy Refusal = "unhealthy"

	// RefusedOther means any other reason. The order had no effect.
	RefusedOther Refusal = "other"
)

// End is the end of one run as reported by its worker.
type End struct {
	// Number is the sequence number of the end within the worker's incarnation, from 1.
	Number     int64
	Task       job.TaskID
	Run        int64
	Kind       EndKind
	Checkpoint string
}

// EndKind is how a run ended.
type EndKind string

// WorkerStatus is the answer of a worker to a poll.
type WorkerStatus struct {
	// Born is the start time of the incarnation that answered; zero if not reported.
	Born time.Time

	// Clock is the time of the worker's monotonic clock.
	Clock time.Duration

	// Runs lists every run.
	Runs []RunningTask

	// Ends lists ends by rising number, from the first that the worker has not discarded. Unless
	// MoreEnds says that there may be more behind them, it lists every such end.
	Ends     []End
	MoreEnds bool
}

// Refusal is why a worker refused an order.
type Refusal string

// Registration is the record that a worker stores about itself.
type Registration struct {
	ID string

	// Born is the start time of the incarnation that wrote the registration; zero if not
	// reported. A worker that restarts under its id begins a new incarnation.
	Born time.Time

	Service  string
	Address  netip.AddrPort
	Zone     string
	Rack     string
	Labels   []string
	Capacity job.Room
	Draining bool

	// Remaining is the minimum time for which a draining worker continues to run.
	Remaining time.Duration

	// ColdLeft is for how long after the registration was written the worker is slow from its
	// start; 0 if it is not.
	ColdLeft time.Duration
}

// Equal reports whether two registrations are equal. Nil and empty labels are equal. ColdLeft is
// not compared: it falls with each write of the same incarnation.
func (r Registration) Equal(o Registration) bool {
	if !slices.Equal(r.Labels, o.Labels) {
		return false
	}
	o.Labels = r.Labels
	o.ColdLeft = r.ColdLeft
	return reflect.DeepEqual(r, o)
}

// Incarnation returns the incarnation of the worker that wrote the registration.
func (r Registration) Incarnation() Incarnation {
	return Incarnation{
		Worker: r.ID,
		Born:   r.Born,
	}
}

// Renewal extends the leases of all runs on a worker.
type Renewal struct {
	// Until is the end of the leases on the worker's clock; 0 does not extend them.
	Until time.Duration
	Fence int64

	// Acknowledged is the number of the last end that the worker may discard.
	Acknowledged int64

	// Wait is how long the worker may wait for an end before it answers.
	Wait time.Duration
}

// RunningTask is a run as its worker reports it.
type RunningTask struct {
	Task       job.TaskID
	Run        int64
	Checkpoint string
	Percent    int

	// Figure is the tail latency in milliseconds for a task that serves requests, and the
	// CPU usage in thousandths of a core for any other task.
	Figure int
}

// StartOrder tells a worker to run a task.
type StartOrder struct {
	Task       job.TaskID
	Run        int64
	Text       string
	Until      time.Duration
	Fence      int64
	Checkpoint string
	Ticket     string
}

// WorkerRef is the id and address of a worker.
type WorkerRef struct {
	ID      string
	Address netip.AddrPort

	// Born is the start time of the incarnation that is meant; zero if not known. An incarnation
	// takes calls that are meant for another one under its id.
	Born time.Time
}

// Workers is the interface to the workers.
type Workers struct {
	// Poll renews the leases at a worker and returns its runs and ends. It returns a
	// *GoneError, *WorkerRefusedError, *NotDoneError or *UncertainError.
	Poll func(ctx context.Context, worker WorkerRef, renewal Renewal) (WorkerStatus, error)

	// Pace sets the share of its full speed at which a run works, in percent from 0 to 100.
	Pace func(ctx context.Context, worker WorkerRef, task job.TaskID, run int64, percent int, fence int64) (time.Duration, error)

	// Start starts a run and returns the worker's clock. Starting a run that
	// exists is a success.
	Start func(ctx context.Context, worker WorkerRef, order StartOrder) (time.Duration, error)

	// Stop ends a run. If the run has not started there, Stop ensures that it never does.
	Stop func(ctx context.Context, worker WorkerRef, task job.TaskID, run int64, fence int64) (time.Duration, error)
}

// GoneError reports that the process at the worker's address is not the addressed worker, so
// nothing that the addressed worker ran is running any more.
type GoneError struct {
	ID string
}

// WorkerRefusedError reports an order that a worker did not carry out.
type WorkerRefusedError struct {
	Reason Refusal

	// Clock is the time of the worker's monotonic clock; 0 if the answer did not include it.
	Clock time.Duration
}

// Error implements error.
func (e *GoneError) Error() string {
	return fmt.Sprintf("worker %s has ended", e.ID)
}

// Error implements error.
func (e *WorkerRefusedError) Error() string {
	return fmt.Sprintf("worker refused the order: %s", e.Reason)
}
