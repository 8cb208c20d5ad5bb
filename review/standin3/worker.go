package main

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

const (
	// maxHold is the longest lease that a worker grants.
	maxHold = 10 * time.Second

	// stopTime is how long a stop takes, far below stop_ms.
	stopTime = 20 * time.Millisecond

	// listedEnds is the most ends that a worker lists at once.
	listedEnds = 500

	// tick is how often a worker ends what is due.
	tick = 5 * time.Millisecond
)

// run is what a worker runs.
type run struct {
	number int64
	ends   time.Time
	how    string
	cpu    int
	mem    int
}

type ended struct {
	number int64
	task   string
	run    int64
	how    string
}

// worker is one life of a machine's worker.
type worker struct {
	id      string
	machine *machine
	lab     *lab
	began   time.Time

	mu    sync.Mutex
	cond  *sync.Cond
	dead  bool
	fence int64
	until time.Time
	runs  map[string]*run
	top   map[string]int64
	ends  []ended
	last  int64
}

type order struct {
	Task         string `json:"task"`
	RunID        int64  `json:"runId"`
	Spec         string `json:"spec"`
	DeadlineMs   int64  `json:"deadlineMs"`
	FencingToken int64  `json:"fencingToken"`
	LastSeen     int64  `json:"lastSeen"`
	WaitMs       int64  `json:"waitMs"`
}

func newWorker(id string, m *machine, l *lab) *worker {
	w := &worker{
		id:      id,
		machine: m,
		lab:     l,
		began:   time.Now(),
		runs:    make(map[string]*run),
		top:     make(map[string]int64),
	}
	w.cond = sync.NewCond(&w.mu)
	return w
}

// live ends what is due until the worker is dead.
func (w *worker) live() {
	for {
		time.Sleep(tick)
		w.mu.Lock()
		if w.dead {
			w.mu.Unlock()
			return
		}
		w.endDue(time.Now())
		w.mu.Unlock()
	}
}

// endDue ends the runs whose time has come, and all if the lease has lapsed.
func (w *worker) endDue(now time.Time) {
	lapsed := now.After(w.until)
	for task, r := range w.runs {
		switch {
		case lapsed:
			w.end(task, r, "lapsed")
		case !now.Before(r.ends):
			w.end(task, r, r.how)
		}
	}
}

func (w *worker) end(task string, r *run, how string) {
	delete(w.runs, task)
	w.last++
	w.ends = append(w.ends, ended{
		number: w.last,
		task:   task,
		run:    r.number,
		how:    how,
	})
	w.lab.ended(w, task, r.number, how)
	w.cond.Broadcast()
}

func (w *worker) clock() int64 {
	return time.Since(w.began).Milliseconds() + 1000
}

func (w *worker) serve(rw http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	if r.Header.Get("Expect-Instance") != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.dead {
		panic(http.ErrAbortHandler)
	}
	if o.FencingToken < w.fence {
		w.refuse(rw, "fence")
		return
	}
	w.fence = o.FencingToken
	switch r.URL.Path {
	case "/run-start":
		w.start(rw, o)
	case "/run-stop":
		w.stop(rw, o)
	case "/hold":
		w.hold(rw, o)
	case "/pace":
		w.agree(rw)
	default:
		rw.WriteHeader(http.StatusNotFound)
	}
}

func (w *worker) refuse(rw http.ResponseWriter, reason string) {
	answer(rw, http.StatusConflict, map[string]any{
		"clockMs": w.clock(),
		"reason":  reason,
	})
}

func (w *worker) agree(rw http.ResponseWriter) {
	answer(rw, http.StatusOK, map[string]any{
		"clockMs": w.clock(),
	})
}

// extend lets everything run until a time on the worker's clock, or longer.
func (w *worker) extend(deadline int64) {
	span := time.Duration(deadline-w.clock()) * time.Millisecond
	until := time.Now().Add(min(maxHold, span))
	if until.After(w.until) {
		w.until = until
	}
}

func (w *worker) start(rw http.ResponseWriter, o order) {
	if o.DeadlineMs < w.clock() {
		w.refuse(rw, "late")
		return
	}
	known := w.runs[o.Task]
	if known == nil || known.number != o.RunID {
		// Nothing runs on behind a lease that lapsed before this call.
		w.endDue(time.Now())
	}
	w.extend(o.DeadlineMs)
	if known != nil && known.number == o.RunID {
		w.agree(rw)
		return
	}
	if o.RunID <= w.top[o.Task] {
		w.refuse(rw, "old")
		return
	}
	step, length, how := w.lab.taskOf(o.Task, w)
	used := w.used()
	if used.CPU+step.CPU > w.machine.size.CPU || used.MemMB+step.MemMB > w.machine.size.MemMB {
		w.refuse(rw, "room")
		return
	}
	w.top[o.Task] = o.RunID
	w.runs[o.Task] = &run{
		number: o.RunID,
		ends:   time.Now().Add(length),
		how:    how,
		cpu:    step.CPU,
		mem:    step.MemMB,
	}
	w.lab.started(w, o.Task, o.RunID)
	w.agree(rw)
}

func (w *worker) stop(rw http.ResponseWriter, o order) {
	w.top[o.Task] = max(w.top[o.Task], o.RunID)
	if r := w.runs[o.Task]; r != nil && r.number <= o.RunID {
		if at := time.Now().Add(stopTime); at.Before(r.ends) {
			r.ends = at
			r.how = "stopped"
		}
	}
	w.agree(rw)
}

func (w *worker) hold(rw http.ResponseWriter, o order) {
	w.endDue(time.Now())
	if o.DeadlineMs > 0 {
		w.extend(o.DeadlineMs)
	}
	kept := w.ends[:0]
	for _, e := range w.ends {
		if e.number > o.LastSeen {
			kept = append(kept, e)
		}
	}
	w.ends = kept
	until := time.Now().Add(time.Duration(min(o.WaitMs, 2000)) * time.Millisecond)
	timer := time.AfterFunc(time.Until(until), w.cond.Broadcast)
	defer timer.Stop()
	for len(w.ends) == 0 && !w.dead && time.Now().Before(until) {
		w.cond.Wait()
	}
	if w.dead {
		panic(http.ErrAbortHandler)
	}
	running := make([][]any, 0, len(w.runs))
	for task, r := range w.runs {
		running = append(running, []any{task, r.number, "", 100, 0})
	}
	ends := make([][]any, 0)
	for _, e := range w.ends[:min(listedEnds, len(w.ends))] {
		ends = append(ends, []any{e.number, e.task, e.run, e.how, ""})
	}
	answer(rw, http.StatusOK, map[string]any{
		"clockMs":      w.clock(),
		"runningCount": running,
		"endTime":      ends,
	})
}

// used returns what runs on the worker takes. The caller holds mu.
func (w *worker) used() room {
	var sum room
	for _, r := range w.runs {
		sum.CPU += r.cpu
		sum.MemMB += r.mem
	}
	return sum
}

// load returns what the runs on the worker take.
func (w *worker) load() room {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.used()
}

// die ends everything without a word.
func (w *worker) die() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dead = true
	for task, r := range w.runs {
		w.lab.ended(w, task, r.number, "with its worker")
	}
	w.runs = make(map[string]*run)
	w.cond.Broadcast()
}
