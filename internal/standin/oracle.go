package standin

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

// startSlack is how long after an end is taken note of the platform's rule counts no start; orders may be
// under way.
const startSlack = time.Second

// Oracle watches every worker of a stand-in from outside and judges what it saw by the rules of
// the users' platform: a task does not run twice at a time on workers that are up, and it does not
// start again after a run ended as done whose end is acknowledged, then or later.
type Oracle struct {
	mu      sync.Mutex
	workers []*Worker
	tasks   map[string]*taskHistory
	starts  int
	faults  []string
}

// taskHistory is what became of a task.
type taskHistory struct {
	runs []*seenRun

	// crashes counts the workers that crashed under the task, over its starts after the limit.
	crashes int
	over    int
}

// seenRun is a run as its worker saw it. Times that are zero have not come.
type seenRun struct {
	number int64
	worker string
	began  time.Time
	ended  time.Time
	how    string
	acked  time.Time

	// lapsed says that the worker's lease lapsed between the end and its acknowledgement.
	lapsed bool
}

// NewOracle returns a judge that has seen nothing.
func NewOracle() *Oracle {
	return &Oracle{
		tasks: make(map[string]*taskHistory),
	}
}

// Faults returns what was broken, each with the history of its task, and the number of starts.
func (j *Oracle) Faults() ([]string, int) {
	j.mu.Lock()
	workers := slices.Clone(j.workers)
	j.mu.Unlock()
	for _, w := range workers {
		// A timer may be late on a busy machine.
		w.tick()
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	faults := slices.Clone(j.faults)
	for task, seen := range j.tasks {
		if broken := seen.broken(task); len(broken) > 0 {
			faults = append(faults, strings.Join(append(broken, seen.lines()...), "\n\t"))
		}
	}
	return faults, j.starts
}

// broken returns the broken promises of a task.
func (t *taskHistory) broken(task string) []string {
	var faults []string
	if t.over > startsOver {
		faults = append(faults, fmt.Sprintf("%s: %d starts after %d workers have crashed under it", task, t.over, crashLimit))
	}
	for _, first := range t.runs {
		for _, next := range t.runs {
			if next == first || next.began.Before(first.began) {
				continue
			}
			done := first.how == endDone && !first.acked.IsZero()
			switch {
			case first.ended.IsZero() || next.began.Before(first.ended):
				faults = append(faults, fmt.Sprintf("%s: run %d starts on %s while run %d is on %s", task, next.number, next.worker, first.number, first.worker))
			case done && next.began.After(first.countsFrom()):
				faults = append(faults, fmt.Sprintf("%s: run %d starts on %s after the end of run %d was acknowledged", task, next.number, next.worker, first.number))
			case done && !first.lapsed:
				faults = append(faults, fmt.Sprintf("%s: the end of run %d on %s is acknowledged after run %d was started", task, first.number, first.worker, next.number))
			}
		}
	}
	return faults
}

// countsFrom returns when a start begins to count as one after an acknowledged end.
func (r *seenRun) countsFrom() time.Time {
	if r.lapsed {
		return r.acked.Add(startSlack)
	}
	return r.acked
}

// lines returns the history of a task, a line for each run.
func (t *taskHistory) lines() []string {
	lines := make([]string, 0, len(t.runs))
	for _, r := range t.runs {
		line := fmt.Sprintf("run %d on %s: starts %s", r.number, r.worker, timeOfDay(r.began))
		if !r.ended.IsZero() {
			line += fmt.Sprintf(", ends %s (%s)", timeOfDay(r.ended), r.how)
		}
		if !r.acked.IsZero() {
			line += ", acknowledged " + timeOfDay(r.acked)
		}
		if r.lapsed {
			line += ", the worker's lease lapsed in between"
		}
		lines = append(lines, line)
	}
	return lines
}

func timeOfDay(t time.Time) string {
	return t.UTC().Format("15:04:05.000")
}

func (j *Oracle) watch(w *Worker) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.workers = append(j.workers, w)
}

// of returns the history of a task.
func (j *Oracle) of(task string) *taskHistory {
	seen, found := j.tasks[task]
	if !found {
		seen = new(taskHistory)
		j.tasks[task] = seen
	}
	return seen
}

// start notes that a run begins, and returns what is known of it.
func (j *Oracle) start(task string, number int64, worker string, at time.Time) *seenRun {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.starts++
	r := &seenRun{
		number: number,
		worker: worker,
		began:  at,
	}
	seen := j.of(task)
	seen.runs = append(seen.runs, r)
	return r
}

func (j *Oracle) end(r *seenRun, how string, at time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	r.ended = at
	r.how = how
}

// acknowledge notes that the end of a run is acknowledged at a worker that had no lease last at
// the given time.
func (j *Oracle) acknowledge(r *seenRun, at, unleased time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	r.acked = at
	r.lapsed = unleased.After(r.ended)
}

// crash notes that a worker crashes under a task.
func (j *Oracle) crash(task string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	seen := j.of(task)
	if seen.crashes >= crashLimit {
		seen.over++
	}
	seen.crashes++
}

func (j *Oracle) fault(format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.faults = append(j.faults, fmt.Sprintf(format, args...))
}
