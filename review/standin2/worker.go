package main

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"os"
	"sort"
	"sync"
	"time"
)

const (
	// mostListed is how many ends a worker lists at once.
	mostListed = 500

	// mostHoldWait bounds how long a look is held, stopTime is what a stop takes.
	mostHoldWait = 2 * time.Second
	stopTime     = 50 * time.Millisecond

	// leaseLook is the time between two looks whether the lease is over.
	leaseLook = 20 * time.Millisecond

	// defaultWork is how long a work unit takes whose text does not say so.
	defaultWork = 1000
)

// room is an amount of a worker's resources.
type room struct {
	CPU   int `json:"cpu"`
	MemMB int `json:"memMb"`
	GPUs  int `json:"gpus"`
}

// entry is a worker's row in the store.
type entry struct {
	Service    string   `json:"service"`
	Address    string   `json:"address"`
	Zone       string   `json:"zone"`
	Version    string   `json:"version"`
	Slots      int      `json:"slots"`
	State      string   `json:"state"`
	ColdLeftMs int      `json:"coldLeftMs"`
	Capacity   room     `json:"capacity"`
	Labels     []string `json:"labels"`
	ClockMs    int64    `json:"clockMs"`
	CallSeq    int64    `json:"callSeq"`
}

// registration is what a worker tells the platform of itself.
type registration struct {
	ID      string
	Machine string
	Entry   entry
}

// event is a line of a worker's record.
type event struct {
	AtMs   int64  `json:"at_ms"`
	Worker string `json:"worker"`
	What   string `json:"what"`

	// Machine is set where records are read.
	Machine string `json:"-"`

	Task string `json:"task,omitempty"`
	Run  int64  `json:"run,omitempty"`
	How  string `json:"how,omitempty"`

	// Number is that of an end, or of the last end that was taken note of.
	Number int64 `json:"number,omitempty"`
	CPU    int   `json:"cpu,omitempty"`
}

// order is the body of any order to a worker.
type order struct {
	Task         string `json:"task"`
	RunID        int64  `json:"runId"`
	Spec         string `json:"spec"`
	DeadlineMs   int64  `json:"deadlineMs"`
	FencingToken int64  `json:"fencingToken"`
	LastSeen     int64  `json:"lastSeen"`
	WaitMs       int64  `json:"waitMs"`
}

// running is a run on a worker.
type running struct {
	number int64
	began  time.Time
	work   time.Duration
	need   room
	timer  *time.Timer
}

// ended is an end that is listed until it is taken note of.
type ended struct {
	number int64
	task   string
	run    int64
	how    string
}

// worker is one life of a worker.
type worker struct {
	reg     registration
	began   time.Time
	maxHold time.Duration
	log     *os.File

	mu       sync.Mutex
	fence    int64
	deadline int64
	lastEnd  int64
	seen     int64
	runs     map[string]*running
	closed   map[string]int64
	ends     []ended
	changed  chan struct{}
}

// runWorker serves one worker until it is killed.
func runWorker(args []string) (int, error) {
	flags := flag.NewFlagSet("worker", flag.ContinueOnError)
	address := flags.String("address", "", "where to listen")
	storeAddress := flags.String("store", "", "address of the platform's store")
	service := flags.String("service", "", "service of the worker")
	machineName := flags.String("machine", "", "machine of the worker")
	rack := flags.String("rack", "", "rack of the machine")
	record := flags.String("record", "", "file that takes the record")
	cpu := flags.Int("cpu", 16000, "thousandths of a core")
	memory := flags.Int("memory", 32768, "megabytes")
	hold := flags.Duration("hold", 10*time.Second, "longest lease")
	if err := flags.Parse(args); err != nil {
		return codeNotRun, err
	}
	log, err := os.OpenFile(*record, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return codeNotRun, err
	}
	name := make([]byte, 5)
	if _, err := rand.Read(name); err != nil {
		return codeNotRun, err
	}
	w := &worker{
		reg: registration{
			ID:      "i-" + hex.EncodeToString(name),
			Machine: *machineName,
			Entry: entry{
				Service: *service,
				Address: *address,
				Zone:    "z1",
				Version: "v1",
				Slots:   8,
				State:   "ready",
				Capacity: room{
					CPU:   *cpu,
					MemMB: *memory,
				},
				Labels: []string{"a", *rack},
			},
		},
		began:   time.Now(),
		maxHold: *hold,
		log:     log,
		runs:    make(map[string]*running),
		closed:  make(map[string]int64),
		changed: make(chan struct{}),
	}
	w.note(event{
		What: "begun",
	})
	go w.register("http://" + *storeAddress + "/standin/beat")
	go w.watchLease()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("POST /run-start", w.handle(w.start))
	mux.HandleFunc("POST /run-stop", w.handle(w.stop))
	mux.HandleFunc("POST /hold", w.handle(w.look))
	mux.HandleFunc("POST /pace", w.handle(func(context.Context, order) (int, any) { return http.StatusOK, w.clock("") }))
	return codeNotRun, http.ListenAndServe(*address, mux)
}

// note writes a line of the record.
func (w *worker) note(e event) {
	e.AtMs = time.Now().UnixMilli()
	e.Worker = w.reg.ID
	line, err := json.Marshal(e)
	if err == nil {
		_, err = w.log.Write(append(line, '\n'))
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "record:", err)
	}
}

// register writes the worker's registration about every heartbeat.
func (w *worker) register(address string) {
	for {
		w.reg.Entry.CallSeq++
		w.reg.Entry.ClockMs = w.clockMs()
		body, err := json.Marshal(w.reg)
		if err != nil {
			fmt.Fprintln(os.Stderr, "registration:", err)
			return
		}
		answer, err := http.Post(address, "application/json", bytes.NewReader(body))
		if err == nil {
			err = answer.Body.Close()
		}
		if err != nil {
			fmt.Fprintln(os.Stderr, "registration:", err)
		}
		time.Sleep(heartbeat)
	}
}

func (w *worker) clockMs() int64 {
	return time.Since(w.began).Milliseconds() + 1
}

// clock is the body of an answer.
func (w *worker) clock(reason string) any {
	body := map[string]any{
		"clockMs": w.clockMs(),
	}
	if reason != "" {
		body["reason"] = reason
	}
	return body
}

// handle decodes an order and checks whom it is meant for, and its fencing token.
func (w *worker) handle(next func(ctx context.Context, o order) (int, any)) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		var o order
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			http.Error(rw, err.Error(), http.StatusBadRequest)
			return
		}
		if meant := r.Header.Get("Expect-Instance"); meant != "" && meant != w.reg.ID {
			rw.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		w.mu.Lock()
		stale := o.FencingToken < w.fence
		w.fence = max(w.fence, o.FencingToken)
		w.mu.Unlock()
		status, value := http.StatusConflict, w.clock("fence")
		if !stale {
			status, value = next(r.Context(), o)
		}
		body, err := json.Marshal(value)
		if err != nil {
			http.Error(rw, err.Error(), http.StatusInternalServerError)
			return
		}
		reply(rw, status, body)
	}
}

// extend sets the deadline of everything that runs here; it is never shortened.
func (w *worker) extend(deadline int64) {
	w.deadline = max(w.deadline, min(deadline, w.clockMs()+w.maxHold.Milliseconds()))
}

func (w *worker) start(_ context.Context, o order) (int, any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if o.DeadlineMs <= w.clockMs() {
		return http.StatusConflict, w.clock("late")
	}
	w.extend(o.DeadlineMs)
	if current := w.runs[o.Task]; current != nil && current.number == o.RunID {
		return http.StatusOK, w.clock("")
	}
	if w.runs[o.Task] != nil || o.RunID <= w.closed[o.Task] {
		return http.StatusConflict, w.clock("old")
	}
	text := fields(o.Spec)
	need := room{
		CPU:   text["cpu"],
		MemMB: text["mem"],
	}
	used := w.used()
	if used.CPU+need.CPU > w.reg.Entry.Capacity.CPU || used.MemMB+need.MemMB > w.reg.Entry.Capacity.MemMB {
		return http.StatusConflict, w.clock("room")
	}
	work := text["work"]
	if work == 0 {
		work = defaultWork
	}
	one := &running{
		number: o.RunID,
		began:  time.Now(),
		work:   time.Duration(work) * time.Millisecond,
		need:   need,
	}
	one.timer = time.AfterFunc(one.work, func() { w.finish(o.Task, o.RunID, "done") })
	w.runs[o.Task] = one
	w.note(event{
		What: "start",
		Task: o.Task,
		Run:  o.RunID,
		CPU:  need.CPU,
	})
	return http.StatusOK, w.clock("")
}

// used returns what the runs take.
func (w *worker) used() room {
	var sum room
	for _, one := range w.runs {
		sum.CPU += one.need.CPU
		sum.MemMB += one.need.MemMB
	}
	return sum
}

// finish ends a run, unless it has ended.
func (w *worker) finish(task string, run int64, how string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	one := w.runs[task]
	if one == nil || one.number != run {
		return
	}
	one.timer.Stop()
	delete(w.runs, task)
	w.closed[task] = max(w.closed[task], run)
	w.lastEnd++
	w.ends = append(w.ends, ended{
		number: w.lastEnd,
		task:   task,
		run:    run,
		how:    how,
	})
	w.note(event{
		What:   "end",
		Task:   task,
		Run:    run,
		How:    how,
		Number: w.lastEnd,
		CPU:    one.need.CPU,
	})
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *worker) stop(_ context.Context, o order) (int, any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if one := w.runs[o.Task]; one != nil && one.number <= o.RunID {
		run := one.number
		time.AfterFunc(stopTime, func() { w.finish(o.Task, run, "stopped") })
	}
	w.closed[o.Task] = max(w.closed[o.Task], o.RunID)
	return http.StatusOK, w.clock("")
}

// look is the order /hold.
func (w *worker) look(ctx context.Context, o order) (int, any) {
	ctx, cancel := context.WithTimeout(ctx, min(mostHoldWait, time.Duration(o.WaitMs)*time.Millisecond))
	defer cancel()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.extend(o.DeadlineMs)
	if o.LastSeen > w.seen {
		w.seen = o.LastSeen
		w.note(event{
			What:   "seen",
			Number: o.LastSeen,
		})
	}
	for len(w.ends) > 0 && w.ends[0].number <= o.LastSeen {
		w.ends = w.ends[1:]
	}
	for len(w.ends) == 0 && ctx.Err() == nil {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
		}
		w.mu.Lock()
	}
	return http.StatusOK, w.lists()
}

// lists returns what runs and what has ended.
func (w *worker) lists() any {
	runs := make([][]any, 0, len(w.runs))
	for task, one := range w.runs {
		percent := int(100 * time.Since(one.began) / one.work)
		runs = append(runs, []any{task, one.number, "", min(percent, 99), one.need.CPU})
	}
	sort.Slice(runs, func(i, j int) bool { return runs[i][0].(string) < runs[j][0].(string) })
	ends := make([][]any, 0, min(len(w.ends), mostListed))
	for _, one := range w.ends[:min(len(w.ends), mostListed)] {
		ends = append(ends, []any{one.number, one.task, one.run, one.how, ""})
	}
	return map[string]any{
		"clockMs":      w.clockMs(),
		"runningCount": runs,
		"endTime":      ends,
	}
}

// watchLease kills everything once the lease is over.
func (w *worker) watchLease() {
	for range time.Tick(leaseLook) {
		w.mu.Lock()
		lapsed := make(map[string]int64)
		if w.clockMs() > w.deadline {
			for task, one := range w.runs {
				lapsed[task] = one.number
			}
		}
		w.mu.Unlock()
		for task, run := range lapsed {
			w.finish(task, run, "lapsed")
		}
	}
}
