package standin

import (
	"fmt"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/gin-gonic/gin"
)

const (
	// taskTime is how long a task of the stand-in runs.
	taskTime = 120 * time.Millisecond

	// LongText is the text of a job whose tasks run for longTime, longer than a lease lasts.
	LongText = "long"

	// FailingText is the text of a job whose tasks all fail.
	FailingText = "fails"
	longTime    = 12 * time.Second

	// lastingTime is longer than any stand-in is used.
	lastingTime = 24 * time.Hour

	// CrashText is the text of a job each of whose tasks crashes its worker, crashAfter its
	// start. Another life answers at the worker's address crashedFor later, each second time
	// under the same id; otherwise the registration goes after three heartbeats.
	CrashText     = "crash"
	crashAfter    = 10 * time.Millisecond
	crashedFor    = 500 * time.Millisecond
	registeredFor = 3 * heartbeat

	// crashLimit is how many workers may crash under a task, startsOver how often it may be
	// started after them.
	crashLimit = 3
	startsOver = 2

	// stopTime is how long a task takes to stop.
	stopTime = 20 * time.Millisecond

	// workerPoll is how often a worker looks at its tasks while a look waits.
	workerPoll = 5 * time.Millisecond

	// maxLease is the longest lease that a worker grants, listedEnds the most ends that it
	// lists at once.
	maxLease   = 10 * time.Second
	listedEnds = 500
)

// How a run ends.
const (
	endDone    = "done"
	endFailed  = "failed"
	endLapsed  = "lapsed"
	endStopped = "stopped"
)

// Worker is a stand-in for one worker of the users' platform. It serves the
// published protocol over HTTP and runs tasks by the clock.
type Worker struct {
	ID      string
	Service string
	Address netip.AddrPort

	oracle  *Oracle
	started time.Time

	// isFull reports whether a start is refused for want of room.
	isFull func() bool

	mu sync.Mutex

	// clockStart is the time on the worker's clock at its start, clockRate how fast that runs.
	clockStart time.Duration
	clockRate  float64

	fence  int64
	until  time.Duration
	runs   map[string]*workerRun
	top    map[string]int64
	ends   []workerEnd
	number int64

	// unleased is when the worker had no lease last.
	unleased time.Time

	// timer fires when the next run ends.
	timer *time.Timer

	// dead says that the worker's life has ended; crash ends it, as a task does whose text
	// is CrashText.
	dead  bool
	crash func()
}

type workerRun struct {
	// fails says that the run ends failed.
	fails bool

	run    int64
	ends   time.Time
	stopAt time.Time
	seen   *seenRun
}

// workerEnd is an end that is not acknowledged.
type workerEnd struct {
	number int64
	task   string
	run    *workerRun
	how    string
	at     time.Time
}

// NewWorker returns a worker that runs nothing.
func NewWorker(id, service string, oracle *Oracle) *Worker {
	now := time.Now()
	w := &Worker{
		ID:        id,
		Service:   service,
		oracle:    oracle,
		started:   now,
		isFull:    func() bool { return false },
		clockRate: 1,
		unleased:  now,
		runs:      make(map[string]*workerRun),
		top:       make(map[string]int64),
	}
	w.timer = time.AfterFunc(maxLease, w.tick)
	oracle.watch(w)
	return w
}

// Registration returns the row that the worker records about itself.
func (w *Worker) Registration() string {
	return fmt.Sprintf(`{"service":%q,"address":%q,"zone":"z","version":"v1","slots":8,"coldLeftMs":0,"state":"ready","capacity":{"cpu":4000,"memMb":4000,"gpus":0},"labels":["a","r1-1"],"born":%d,"clockMs":%d,"callSeq":1}`,
		w.Service, w.Address, w.started.UnixMilli(), w.clock().Milliseconds())
}

// Routes serves the worker's protocol.
func (w *Worker) Routes(router *gin.Engine) {
	router.Use(func(c *gin.Context) {
		if c.GetHeader("Expect-Instance") != w.ID {
			c.AbortWithStatus(http.StatusMisdirectedRequest)
		}
	})
	router.POST("/run-start", w.start)
	router.POST("/run-stop", w.stop)
	router.POST(pathHold, w.hold)
}

type workerOrder struct {
	Task         string `json:"task"`
	Spec         string `json:"spec"`
	RunID        int64  `json:"runId"`
	DeadlineMs   int64  `json:"deadlineMs"`
	FencingToken int64  `json:"fencingToken"`
	LastSeen     int64  `json:"lastSeen"`
	WaitMs       int64  `json:"waitMs"`
}

// life names the worker together with its start: the next one may have the same id.
func (w *Worker) life() string {
	return fmt.Sprintf("%s@%d", w.ID, w.started.UnixMilli())
}

func (w *Worker) clock() time.Duration {
	return w.clockStart + time.Duration(w.clockRate*float64(time.Since(w.started)))
}

// setClock sets the clock of a worker that runs nothing yet.
func (w *Worker) setClock(start time.Duration, rate float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.clockStart = start
	w.clockRate = rate
}

// lapse returns when the lease of the worker ends.
func (w *Worker) lapse() time.Time {
	return w.started.Add(time.Duration(float64(w.until-w.clockStart) / w.clockRate))
}

// admit checks an order's fence; it reports false after it has answered.
func (w *Worker) admit(c *gin.Context, order *workerOrder) bool {
	if err := c.ShouldBindJSON(order); err != nil {
		c.Status(http.StatusBadRequest)
		return false
	}
	if w.dead {
		// Nobody is there to answer; the next life may have the same id.
		panic(http.ErrAbortHandler)
	}
	if order.FencingToken < w.fence {
		w.refuse(c, "fence")
		return false
	}
	w.fence = order.FencingToken
	return true
}

func (w *Worker) refuse(c *gin.Context, reason string) {
	c.JSON(http.StatusConflict, gin.H{
		"clockMs": w.clock().Milliseconds(),
		"reason":  reason,
	})
}

func (w *Worker) start(c *gin.Context) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	var order workerOrder
	if !w.admit(c, &order) {
		return
	}
	deadline := time.Duration(order.DeadlineMs) * time.Millisecond
	if deadline < w.clock() {
		w.refuse(c, "late")
		return
	}
	w.lease(deadline)
	if r, found := w.runs[order.Task]; found && r.run == order.RunID {
		c.JSON(http.StatusOK, gin.H{
			"clockMs": w.clock().Milliseconds(),
		})
		return
	}
	if order.RunID <= w.top[order.Task] {
		w.refuse(c, "old")
		return
	}
	if w.isFull() {
		w.refuse(c, "room")
		return
	}
	w.top[order.Task] = order.RunID
	now := time.Now()
	w.runs[order.Task] = &workerRun{
		run:   order.RunID,
		ends:  now.Add(lengthOf(order.Spec)),
		fails: order.Spec == FailingText,
		seen:  w.oracle.start(order.Task, order.RunID, w.life(), now),
	}
	if order.Spec == CrashText {
		w.oracle.crash(order.Task)
		time.AfterFunc(crashAfter, w.crash)
	}
	w.arm()
	c.JSON(http.StatusOK, gin.H{
		"clockMs": w.clock().Milliseconds(),
	})
}

func (w *Worker) stop(c *gin.Context) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	var order workerOrder
	if !w.admit(c, &order) {
		return
	}
	w.top[order.Task] = max(w.top[order.Task], order.RunID)
	if r, found := w.runs[order.Task]; found && r.run <= order.RunID && r.stopAt.IsZero() {
		r.stopAt = time.Now().Add(stopTime)
	}
	w.arm()
	c.JSON(http.StatusOK, gin.H{
		"clockMs": w.clock().Milliseconds(),
	})
}

func (w *Worker) hold(c *gin.Context) {
	var order workerOrder
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	if !w.admit(c, &order) {
		return
	}
	w.lease(time.Duration(order.DeadlineMs) * time.Millisecond)
	w.acknowledge(order.LastSeen)
	deadline := time.Now().Add(time.Duration(order.WaitMs) * time.Millisecond)
	for ; len(w.ends) == 0 && time.Now().Before(deadline); w.advance() {
		w.mu.Unlock()
		time.Sleep(workerPoll)
		w.mu.Lock()
	}
	if w.dead {
		panic(http.ErrAbortHandler)
	}
	running := make([][]any, 0, len(w.runs))
	for task, r := range w.runs {
		running = append(running, []any{task, r.run, "", 100, 0})
	}
	listed := w.ends[:min(listedEnds, len(w.ends))]
	ends := make([][]any, 0, len(listed))
	for _, end := range listed {
		ends = append(ends, []any{end.number, end.task, end.run.run, end.how, ""})
	}
	c.JSON(http.StatusOK, gin.H{
		"born":         w.started.UnixMilli(),
		"clockMs":      w.clock().Milliseconds(),
		"runningCount": running,
		"endTime":      ends,
	})
}

// lease lets everything run until a time on the worker's clock, or longer.
func (w *Worker) lease(until time.Duration) {
	w.until = max(w.until, min(until, w.clock()+maxLease))
}

// acknowledge forgets ends through the given number.
func (w *Worker) acknowledge(last int64) {
	now := time.Now()
	for len(w.ends) > 0 && w.ends[0].number <= last {
		w.oracle.acknowledge(w.ends[0].run.seen, now, w.unleased)
		w.ends = w.ends[1:]
	}
}

// advance ends what has run its time, was stopped, or lost its lease, each at its own time and the
// oldest first.
func (w *Worker) advance() {
	now := time.Now()
	if now.After(w.lapse()) {
		w.unleased = now
	}
	var due []workerEnd
	for task, r := range w.runs {
		how, at := w.endOf(r)
		if at.After(now) {
			continue
		}
		delete(w.runs, task)
		due = append(due, workerEnd{
			task: task,
			run:  r,
			how:  how,
			at:   at,
		})
	}
	slices.SortFunc(due, func(a, b workerEnd) int { return a.at.Compare(b.at) })
	for _, end := range due {
		w.number++
		end.number = w.number
		w.ends = append(w.ends, end)
		w.oracle.end(end.run.seen, end.how, end.at)
	}
}

// arm sets the timer to the next end.
func (w *Worker) arm() {
	next := time.Now().Add(maxLease)
	for _, r := range w.runs {
		if _, at := w.endOf(r); at.Before(next) {
			next = at
		}
	}
	if len(w.runs) > 0 {
		w.timer.Reset(time.Until(next))
	}
}

// tick lets the time go by where no call does.
func (w *Worker) tick() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	w.arm()
}

// endOf returns how and when a run ends if no other call comes.
func (w *Worker) endOf(r *workerRun) (string, time.Time) {
	how, at := endDone, r.ends
	if r.fails {
		how = endFailed
	}
	if !r.stopAt.IsZero() && r.stopAt.Before(at) {
		how, at = endStopped, r.stopAt
	}
	if lapse := w.lapse(); lapse.Before(at) {
		how, at = endLapsed, lapse
	}
	return how, at
}

// die ends everything that runs on a worker.
func (w *Worker) die() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	for task, r := range w.runs {
		w.oracle.end(r.seen, "with the worker", time.Now())
		delete(w.runs, task)
	}
	w.dead = true
}

// lengthOf returns how long a task runs, by the text of its job.
func lengthOf(text string) time.Duration {
	switch text {
	case LastingText:
		return lastingTime
	case LongText:
		return longTime
	}
	if length, err := time.ParseDuration(text); err == nil {
		return length
	}
	return taskTime
}
