package owner_test

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"lemonstream.dev/lemonstream/clock"
	"lemonstream.dev/lemonstream/internal/standin"
	"lemonstream.dev/lemonstream/job"
	"lemonstream.dev/lemonstream/outside"
	"lemonstream.dev/lemonstream/owner"
	"lemonstream.dev/lemonstream/shard"
)

// fakeWorkers are workers of the service. Their runs do not end unless finish is called.
type fakeWorkers struct {
	mu    sync.Mutex
	start time.Time

	// down holds the workers that refuse connections. runs holds the runs of each worker.
	down map[string]bool
	runs map[string]map[job.TaskID]int64

	// ends holds the ends that each worker lists. polls counts the polls of each worker.
	// acked holds the last end that each worker was told to forget.
	ends  map[string][]outside.End
	polls map[string]int
	acked map[string]int64

	// started counts the task starts of each job, stopped the task stops.
	started map[string]int
	stopped map[string]int
}

func newFakeWorkers(rows *standin.Rows, ids ...string) *fakeWorkers {
	h := &fakeWorkers{
		start:   time.Now(),
		down:    make(map[string]bool),
		runs:    make(map[string]map[job.TaskID]int64),
		ends:    make(map[string][]outside.End),
		polls:   make(map[string]int),
		acked:   make(map[string]int64),
		started: make(map[string]int),
		stopped: make(map[string]int),
	}
	for _, id := range ids {
		h.register(rows, id)
	}
	return h
}

// register lists a worker.
func (h *fakeWorkers) register(rows *standin.Rows, id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.runs[id] = make(map[job.TaskID]int64)
	rows.Write(outside.Key{
		Table: tableListed,
		Name:  id,
	}, []byte(id))
}

// finish ends all runs of a worker successfully and resets its poll counter.
func (h *fakeWorkers) finish(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for task, number := range h.runs[id] {
		delete(h.runs[id], task)
		h.ends[id] = append(h.ends[id], outside.End{
			Number: int64(len(h.ends[id]) + 1),
			Task:   task,
			Run:    number,
			Kind:   outside.EndDone,
		})
	}
	h.polls[id] = 0
}

// pollsOf returns the number of polls of a worker since the last call of finish for it.
func (h *fakeWorkers) pollsOf(id string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.polls[id]
}

// ackedOf returns the last end that a worker was told to forget.
func (h *fakeWorkers) ackedOf(id string) int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.acked[id]
}

// cutOff makes a worker refuse connections. Its runs go on.
func (h *fakeWorkers) cutOff(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.down[id] = true
}

// startsOf returns how often tasks of a job were started.
func (h *fakeWorkers) startsOf(id string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.started[id]
}

// stopsOf returns how often tasks of a job were stopped.
func (h *fakeWorkers) stopsOf(id string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.stopped[id]
}

// workerOf returns the ID of the worker that runs a task of a job, or "".
func (h *fakeWorkers) workerOf(id string) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	for worker, runs := range h.runs {
		for task := range runs {
			if task.Job == id {
				return worker
			}
		}
	}
	return ""
}

func (h *fakeWorkers) refused(worker outside.WorkerRef) error {
	if !h.down[worker.ID] {
		return nil
	}
	return &outside.NotDoneError{
		Call:   "any",
		Reason: "connection refused",
	}
}

func (h *fakeWorkers) poll(_ context.Context, worker outside.WorkerRef, renewal outside.Renewal) (outside.WorkerStatus, error) {
	time.Sleep(min(renewal.Wait, pollWait))
	h.mu.Lock()
	defer h.mu.Unlock()
	glance := outside.WorkerStatus{
		Clock: time.Since(h.start),
	}
	for task, number := range h.runs[worker.ID] {
		glance.Runs = append(glance.Runs, outside.RunningTask{
			Task:    task,
			Run:     number,
			Percent: 100,
		})
	}
	for _, end := range h.ends[worker.ID] {
		if end.Number > renewal.Acknowledged {
			glance.Ends = append(glance.Ends, end)
		}
	}
	h.polls[worker.ID]++
	h.acked[worker.ID] = max(h.acked[worker.ID], renewal.Acknowledged)
	return glance, h.refused(worker)
}

func (h *fakeWorkers) startOne(_ context.Context, worker outside.WorkerRef, order outside.StartOrder) (time.Duration, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if err := h.refused(worker); err != nil {
		return 0, err
	}
	h.runs[worker.ID][order.Task] = order.Run
	h.started[order.Task.Job]++
	return time.Since(h.start), nil
}

func (h *fakeWorkers) stopOne(_ context.Context, worker outside.WorkerRef, task job.TaskID, run, _ int64) (time.Duration, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if err := h.refused(worker); err != nil {
		return 0, err
	}
	if h.runs[worker.ID][task] == run {
		delete(h.runs[worker.ID], task)
	}
	h.stopped[task.Job]++
	return time.Since(h.start), nil
}

// deps changes the dependencies of an entry so that it uses these workers.
func (h *fakeWorkers) deps(deps owner.Deps, _ string) owner.Deps {
	deps.Workers = outside.Workers{
		Poll:  h.poll,
		Start: h.startOne,
		Stop:  h.stopOne,
	}
	deps.Options = shard.Options{
		Lease:        endlessLease,
		BusyPollWait: pollWait,
		IdlePollWait: pollWait,
		JobRetention: time.Hour,
	}
	deps.Site.RowBytes = 65_536
	deps.Registry = owner.NewRegistry(deps.Table, clock.System(), tableListed, func(id string, _ []byte) (outside.Registration, error) {
		return outside.Registration{
			ID:      id,
			Service: "s",
			Address: netip.MustParseAddrPort("127.0.0.1:1"),
			Capacity: job.Room{
				MilliCPU: 4000,
				MemoryMB: 4000,
			},
		}, nil
	}, deps.Log)
	deps.Group.Go("registry", deps.Registry.Run)
	return deps
}
