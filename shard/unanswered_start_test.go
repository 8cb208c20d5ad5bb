package shard_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestUnansweredStartDoesNotStopAvailableTask covers starts of long-running tasks that are carried
// out, while neither the starts nor the polls are answered. After its second attempt each run was
// stopped so that the task could start elsewhere, but by then the task was available. Two tasks of
// a step that may miss one were stopped, and the stops were retried after a poll had listed the
// runs.
func TestUnansweredStartDoesNotStopAvailableTask(t *testing.T) {
	is := is.New(t)
	w := newUnansweredStarts(is)
	w.run(2500 * time.Millisecond)
	w.check(t)
	is.Equal(w.availableRuns("a"), 3)
	w.pollDelay = 0
	w.startDelay = 0
	w.run(5 * time.Second)
	w.check(t)
	is.Equal(w.availableRuns("a"), 3)
}

// TestTaskStartsElsewhereAfterUnansweredStart covers unanswered starts that are not carried out.
// Once a poll shows that the run does not exist, the task starts elsewhere.
func TestTaskStartsElsewhereAfterUnansweredStart(t *testing.T) {
	is := is.New(t)
	w := newWorld(3)
	w.run(200 * time.Millisecond)
	w.startDelay = time.Hour
	s := lasting(2, 1)
	s.PerWorker = 1
	w.submit("a", s)
	w.run(500 * time.Millisecond)
	w.startDelay = 0
	w.run(4 * time.Second)
	w.check(t)
	is.Equal(w.availableRuns("a"), 2)
}

// newUnansweredStarts returns a world with three long-running tasks of a step that may miss one.
// Two of them have just lost their workers and are started again. No start or poll is answered
// from then on.
func newUnansweredStarts(is *is.I) *world {
	w := newWorld(5)
	w.run(200 * time.Millisecond)
	s := lasting(3, 1)
	s.PerWorker = 1
	w.submit("a", s)
	w.run(5 * time.Second)
	is.Equal(w.availableRuns("a"), 3)
	w.startDelay = tick
	restarts := 0
	w.logEvent = func(event string, _ ...any) {
		if event == "start ordered" {
			restarts++
			w.pollDelay = 2 * time.Second
			w.pollTimeout = 1600 * time.Millisecond
		}
	}
	for _, name := range w.holders()[:2] {
		w.restartWorker(w.workers[name], 300*time.Millisecond)
	}
	for restarts < 2 {
		w.run(tick)
	}
	return w
}

// availableRuns counts the available runs of a job.
func (w *world) availableRuns(id string) int {
	count := 0
	for _, f := range w.workers {
		for task, r := range f.runs {
			if !f.down && task.Job == id && w.isRunAvailable(r) {
				count++
			}
		}
	}
	return count
}
