package shard_test

import (
	"time"

	"lemonstream.dev/lemonstream/job"
	"lemonstream.dev/lemonstream/outside"
)

// fakeRun is a run on a fake worker.
type fakeRun struct {
	number   int64
	step     job.Step
	began    time.Time
	stopAt   time.Time
	workLeft time.Duration

	// late says that the worker carried out the start order late.
	late bool
}

// fakeWorker follows the platform's rules for workers, in virtual time.
type fakeWorker struct {
	reg        outside.Registration
	runs       map[job.TaskID]*fakeRun
	ends       []outside.End
	number     int64
	fence      int64
	leaseUntil time.Time
	highestRun map[job.TaskID]int64

	// clockZero is when the worker's steady clock stood at zero. Each incarnation resets the
	// clock.
	clockZero time.Time

	// restarts counts how often the worker has restarted under its id.
	restarts int

	// endedAt holds the time of each end by its number; number is that of the last one.
	// leaseLapsedAt is the last time at which the worker had no lease.
	endedAt       map[int64]time.Time
	leaseLapsedAt time.Time

	// partitioned says that no call reaches the worker. down says that it has ended, crashed
	// that it stays registered for a while all the same, and replaced that another worker
	// answers at its address.
	partitioned bool
	down        bool
	crashed     bool
	replaced    bool

	// unhealthy says that the worker refuses stops.
	unhealthy bool

	// ignoreStops is how many stops the worker answers without ending a run, began how many
	// runs it has started, and disturbed when it was last partitioned.
	ignoreStops int
	began       int
	disturbed   time.Time

	// tailLatency is the latency in milliseconds that the worker reports for every run. shares
	// holds the percentage of full speed that each run was told to work at.
	tailLatency int
	shares      map[job.TaskID]int

	// tickets counts the starts that carried a ticket.
	tickets int

	// fails says which runs fail; nil for none but those of poison steps.
	fails func(id job.TaskID) bool

	// unlisted says that the worker's registration was removed.
	unlisted bool
}

func (f *fakeWorker) endRun(id job.TaskID, kind outside.EndKind, now time.Time) {
	f.number++
	f.endedAt[f.number] = now
	f.ends = append(f.ends, outside.End{
		Number: f.number,
		Task:   id,
		Run:    f.runs[id].number,
		Kind:   kind,
	})
	delete(f.runs, id)
}

// endAtOnce ends the worker with all its runs. Its registration stays for a while.
func (f *fakeWorker) endAtOnce() {
	f.down = true
	f.crashed = true
	f.runs = make(map[job.TaskID]*fakeRun)
}

func (f *fakeWorker) renewLease(w *world, fence int64, leaseUntil time.Duration) {
	f.fence = max(f.fence, fence)
	at := f.clockZero.Add(leaseUntil)
	if limit := w.now.Add(testMaxLease); at.After(limit) {
		at = limit
	}
	if at.After(f.leaseUntil) {
		f.leaseUntil = at
	}
}

// clock returns the steady clock of the worker's incarnation.
func (f *fakeWorker) clock(now time.Time) time.Duration {
	return now.Sub(f.clockZero)
}

func (f *fakeWorker) glance(w *world) outside.WorkerStatus {
	g := outside.WorkerStatus{
		Born:  w.registration(f).Born,
		Clock: f.clock(w.now),
		Ends:  append([]outside.End(nil), f.ends[:min(len(f.ends), w.maxListedEnds)]...),
	}
	g.MoreEnds = len(g.Ends) == w.maxListedEnds && !w.hideMoreEnds
	for _, id := range walk(w, f.runs) {
		r := f.runs[id]
		if w.hideLateRuns && r.late {
			continue
		}
		percent := 0
		if w.reportAllAvailable || w.now.Sub(r.began) > 500*time.Millisecond {
			percent = 100
		}
		g.Runs = append(g.Runs, outside.RunningTask{
			Task:    id,
			Run:     r.number,
			Percent: percent,
			Figure:  f.tailLatency,
		})
	}
	return g
}
