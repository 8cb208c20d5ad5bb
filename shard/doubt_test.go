package shard_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestWorkingTaskIsNotStoppedForAStartWithoutAnAnswer covers starts of lasting tasks that their
// workers carry out, while neither they nor a look are answered. After its second try each run
// was stopped, so that the task could start elsewhere, and by then it was at work: two of a
// step went of which one may be away, and the stops were repeated after a look had shown the
// runs.
//
//	12.492 start ordered task=1 worker=i-0fe646574a away=3 may_miss=1
//	13.901 start failed task=1 worker=i-0fe646574a away=3
//	13.901 stop ordered task=1 worker=i-0fe646574a reason="start without an answer"
//	14.664 stop ordered task=1 worker=i-0fe646574a reason="start without an answer" away=1
//	15.486 stop ordered task=1 worker=i-0fe646574a reason="start without an answer" away=3
//	16.275 run ended task=1 worker=i-0fe646574a how=stopped
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

// TestTaskWhoseStartGotNoAnswerStartsElsewhere covers such starts that are not carried out: once
// a look shows that the run isn't there, the task goes elsewhere.
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

// startsWithoutAnswers returns a world in which two of three lasting tasks, of which one may be
// away, have just lost their workers and are started again. Nothing that workers answer gets
// through from then on.
func startsWithoutAnswers(is *is.I) *world {
	w := newWorld(5)
	w.run(200 * time.Millisecond)
	s := lasting(3, 1)
	s.PerWorker = 1
	w.submit("a", s)
	w.run(5 * time.Second)
	is.Equal(w.atWorkOf("a"), 3)
	w.lose = tick
	again := 0
	w.report = func(event string, _ ...any) {
		if event == "start ordered" {
			again++
			w.loseLooks = 2 * time.Second
			w.lookFails = 1600 * time.Millisecond
		}
	}
	for _, name := range w.holders()[:2] {
		w.startAgain(w.workers[name], 300*time.Millisecond)
	}
	for again < 2 {
		w.run(tick)
	}
	return w
}

// atWorkOf counts the tasks of a job's first step that are at work.
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
