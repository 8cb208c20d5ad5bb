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
func TestWorkingTaskIsNotStoppedForAStartWithoutAnAnswer(t *testing.T) {
	is := is.New(t)
	w := startsWithoutAnswers(is)
	w.run(2500 * time.Millisecond)
	w.check(t)
	is.Equal(w.atWorkOf("a"), 3)
	w.loseLooks = 0
	w.lose = 0
	w.run(5 * time.Second)
	w.check(t)
	is.Equal(w.atWorkOf("a"), 3)
}

// TestTaskStartsElsewhereAfterUnansweredStart covers unanswered starts that are not carried out.
// Once a poll shows that the run does not exist, the task starts elsewhere.
func TestTaskWhoseStartGotNoAnswerStartsElsewhere(t *testing.T) {
	is := is.New(t)
	w := newWorld(3)
	w.run(200 * time.Millisecond)
	w.lose = time.Hour
	s := lasting(2, 1)
	s.PerWorker = 1
	w.submit("a", s)
	w.run(500 * time.Millisecond)
	w.lose = 0
	w.run(4 * time.Second)
	w.check(t)
	is.Equal(w.atWorkOf("a"), 2)
}

// newUnansweredStarts returns a world with three long-running tasks of a step that may miss one.
// Two of them have just lost their workers and are started again. No start or poll is answered
// from then on.
func startsWithoutAnswers(is *is.I) *world {
	w := newWorld(5)
	w.run(200 * time.Millisecond)
	s := lasting(3, 1)
	s.PerWorker = 1
	w.submit("a", s)
	w.run(5 * time.Second)
	is.Equal(w.atWorkOf("a"), 3)
	w.lose = tick
	restarts := 0
	w.report = func(event string, _ ...any) {
		if event == "start ordered" {
			restarts++
			w.loseLooks = 2 * time.Second
			w.lookFails = 1600 * time.Millisecond
		}
	}
	for _, name := range w.holders()[:2] {
		w.startAgain(w.workers[name], 300*time.Millisecond)
	}
	for restarts < 2 {
		w.run(tick)
	}
	return w
}

// availableRuns counts the available runs of a job.
func (w *world) atWorkOf(id string) int {
	count := 0
	for _, f := range w.workers {
		for task, r := range f.runs {
			if !f.down && task.Job == id && w.works(r) {
				count++
			}
		}
	}
	return count
}
