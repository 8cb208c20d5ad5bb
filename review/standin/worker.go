package main

import (
	"bytes"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// maxHold is the longest lease that a worker grants, stopTime how long a stop takes.
	maxHold  = 10 * time.Second
	stopTime = 100 * time.Millisecond

	// lookTime is how often a worker looks at its runs while an answer is held.
	lookTime = 5 * time.Millisecond

	// maxEnds is the most ends that a worker lists at once.
	maxEnds = 500
)

// What every worker says of its room and its kind.
var (
	workerCapacity = map[string]int{
		"cpu":   16000,
		"memMb": 32768,
		"gpus":  0,
	}
	workerLabels = []string{"a", "r1-1"}
)

type workerOrder struct {
	Task         string `json:"task"`
	RunID        int64  `json:"runId"`
	Spec         string `json:"spec"`
	DeadlineMs   int64  `json:"deadlineMs"`
	FencingToken int64  `json:"fencingToken"`
	LastSeen     int64  `json:"lastSeen"`
	WaitMs       int64  `json:"waitMs"`
}

// taskRun is a run on a worker.
type taskRun struct {
	run    int64
	ends   time.Time
	how    string
	stopAt time.Time
}

type taskEnd struct {
	number int64
	task   string
	run    int64
	how    string
}

// worker is a stand-in of one worker: one life after another at one address.
type worker struct {
	platform string
	machine  string
	address  string
	record   *recorder

	mu     sync.Mutex
	id     string
	pool   string
	born   time.Time
	fence  int64
	until  time.Duration
	runs   map[string]*taskRun
	top    map[string]int64
	ends   []taskEnd
	number int64

	// awayUntil is when the next life begins after an order to the machine.
	awayUntil time.Time
}

// serveWorker serves a worker of a machine in a pool, at an address.
func serveWorker(platform, machine, pool, record, address string) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		fail(err.Error())
	}
	w := &worker{
		platform: platform,
		machine:  machine,
		address:  listener.Addr().String(),
		record:   newRecorder(record),
		pool:     pool,
	}
	w.begin()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", w.order(w.start))
	mux.HandleFunc("POST /run-stop", w.order(w.stop))
	mux.HandleFunc("POST /pace", w.order(w.pace))
	mux.HandleFunc("POST /hold", w.order(w.hold))
	mux.HandleFunc("POST /stand/end", w.end)
	go w.beatOn()
	go w.advanceOn()
	server := &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: time.Minute,
	}
	fail(server.Serve(listener).Error())
}

// begin begins a life.
func (w *worker) begin() {
	name := make([]byte, 5)
	_, _ = rand.Read(name)
	w.id = "i-" + hex.EncodeToString(name)
	w.born = time.Now()
	w.fence = 0
	w.until = 0
	w.runs = make(map[string]*taskRun)
	w.top = make(map[string]int64)
	w.ends = nil
	w.number = 0
	w.record.note("worker %s begins on machine %s in pool %s at %s", w.id, w.machine, w.pool, w.address)
}

func (w *worker) clock() time.Duration {
	return time.Since(w.born)
}

// beatOn tells the platform of the worker, at once and then every beatTime.
func (w *worker) beatOn() {
	for {
		w.mu.Lock()
		away := time.Until(w.awayUntil)
		body, _ := json.Marshal(beat{
			Machine: w.machine,
			Worker:  w.id,
			Address: w.address,
			Pool:    w.pool,
			Row:     w.registration(),
		})
		w.mu.Unlock()
		if away > 0 {
			time.Sleep(away + lookTime)
			continue
		}
		response, err := http.Post("http://"+w.platform+"/stand/beat", "application/json", bytes.NewReader(body))
		if err == nil {
			_ = response.Body.Close()
		}
		time.Sleep(beatTime)
	}
}

// registration returns the worker's own row in the store.
func (w *worker) registration() json.RawMessage {
	body, _ := json.Marshal(map[string]any{
		"service":    w.pool,
		"address":    w.address,
		"zone":       "z1",
		"version":    "v1",
		"slots":      8,
		"state":      "ready",
		"coldLeftMs": 0,
		"callSeq":    w.clock().Milliseconds(),
		"capacity":   workerCapacity,
		"labels":     workerLabels,
		"machine":    w.machine,
	})
	return body
}

// end ends this life: all that runs dies, and the next one begins in a pool after some time.
func (w *worker) end(rw http.ResponseWriter, r *http.Request) {
	ms, err := strconv.Atoi(r.URL.Query().Get("ms"))
	if err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for task, run := range w.runs {
		w.record.note("worker %s end %s run %d died", w.id, task, run.run)
	}
	w.record.note("worker %s ends", w.id)
	w.pool = r.URL.Query().Get("pool")
	w.awayUntil = time.Now().Add(time.Duration(ms) * time.Millisecond)
	w.begin()
}

// order decodes an order and checks which life is meant, and its fence.
func (w *worker) order(carryOut func(http.ResponseWriter, *workerOrder)) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		var o workerOrder
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		if r.Header.Get("Expect-Instance") != w.id {
			rw.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		w.advance()
		if o.FencingToken < w.fence {
			w.refuse(rw, "fence")
			return
		}
		w.fence = o.FencingToken
		carryOut(rw, &o)
	}
}

func (w *worker) refuse(rw http.ResponseWriter, reason string) {
	answer(rw, http.StatusConflict, map[string]any{
		"clockMs": w.clock().Milliseconds(),
		"reason":  reason,
	})
}

func (w *worker) accept(rw http.ResponseWriter) {
	answer(rw, http.StatusOK, map[string]any{
		"clockMs": w.clock().Milliseconds(),
	})
}

// lease lets everything run until a time of the worker's clock, or longer.
func (w *worker) lease(ms int64) {
	until := time.Duration(ms) * time.Millisecond
	w.until = max(w.until, min(until, w.clock()+maxHold))
}

func (w *worker) start(rw http.ResponseWriter, o *workerOrder) {
	if time.Duration(o.DeadlineMs)*time.Millisecond <= w.clock() {
		w.refuse(rw, "late")
		return
	}
	w.lease(o.DeadlineMs)
	if r, found := w.runs[o.Task]; found && r.run == o.RunID {
		w.accept(rw)
		return
	}
	if o.RunID <= w.top[o.Task] {
		w.refuse(rw, "old")
		return
	}
	how, length := parseSpec(o.Spec)
	w.top[o.Task] = o.RunID
	w.runs[o.Task] = &taskRun{
		run:  o.RunID,
		ends: time.Now().Add(length),
		how:  how,
	}
	w.record.note("worker %s start %s run %d token %d", w.id, o.Task, o.RunID, o.FencingToken)
	w.accept(rw)
}

// parseSpec returns how a run of a work unit ends and after what time: the text of a job is HOW/MS.
func parseSpec(spec string) (string, time.Duration) {
	how, ms, found := bytes.Cut([]byte(spec), []byte("/"))
	length, err := strconv.Atoi(string(ms))
	if !found || err != nil {
		return "done", time.Second
	}
	return string(how), time.Duration(length) * time.Millisecond
}

func (w *worker) stop(rw http.ResponseWriter, o *workerOrder) {
	w.top[o.Task] = max(w.top[o.Task], o.RunID)
	if r, found := w.runs[o.Task]; found && r.run <= o.RunID && r.stopAt.IsZero() {
		r.stopAt = time.Now().Add(stopTime)
	}
	w.record.note("worker %s told to stop %s run %d", w.id, o.Task, o.RunID)
	w.accept(rw)
}

func (w *worker) pace(rw http.ResponseWriter, _ *workerOrder) {
	w.accept(rw)
}

func (w *worker) hold(rw http.ResponseWriter, o *workerOrder) {
	life := w.id
	w.lease(o.DeadlineMs)
	for len(w.ends) > 0 && w.ends[0].number <= o.LastSeen {
		e := w.ends[0]
		w.record.note("worker %s end of %s run %d (%s) is taken note of", w.id, e.task, e.run, e.how)
		w.ends = w.ends[1:]
	}
	deadline := time.Now().Add(time.Duration(o.WaitMs) * time.Millisecond)
	for len(w.ends) == 0 && time.Now().Before(deadline) && w.id == life {
		w.mu.Unlock()
		time.Sleep(lookTime)
		w.mu.Lock()
		w.advance()
	}
	if w.id != life {
		panic(http.ErrAbortHandler)
	}
	running := make([][]any, 0, len(w.runs))
	for task, r := range w.runs {
		running = append(running, []any{task, r.run, "", 100, 0})
	}
	ends := make([][]any, 0, len(w.ends))
	for _, e := range w.ends[:min(maxEnds, len(w.ends))] {
		ends = append(ends, []any{e.number, e.task, e.run, e.how, ""})
	}
	answer(rw, http.StatusOK, map[string]any{
		"clockMs":      w.clock().Milliseconds(),
		"runningCount": running,
		"endTime":      ends,
	})
}

// advanceOn lets time go by where no order comes.
func (w *worker) advanceOn() {
	for range time.Tick(lookTime) {
		w.mu.Lock()
		w.advance()
		w.mu.Unlock()
	}
}

// advance ends what has run its time, was stopped, or has no lease.
func (w *worker) advance() {
	now := time.Now()
	lapsed := w.clock() > w.until
	for task, r := range w.runs {
		var how string
		switch {
		case lapsed:
			how = "lapsed"
		case !r.stopAt.IsZero() && now.After(r.stopAt):
			how = "stopped"
		case now.After(r.ends):
			how = r.how
		default:
			continue
		}
		delete(w.runs, task)
		w.number++
		w.ends = append(w.ends, taskEnd{
			number: w.number,
			task:   task,
			run:    r.run,
			how:    how,
		})
		w.record.note("worker %s end %s run %d %s", w.id, task, r.run, how)
	}
}
