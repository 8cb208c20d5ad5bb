package shard_test

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestStopThatGotNoAnswerIsNotRepeatedWhileOthersAreAway covers a worker that is to be emptied
// of a lasting task. The stop is lost, and before it is repeated another task of the step loses
// its worker, so that none may be sent away. The repetition went out all the same:
//
//	j6.0.0.2 is stopped on w0 while 2 others of its step are away
func TestStopThatGotNoAnswerIsNotRepeatedWhileOthersAreAway(t *testing.T) {
	is := is.New(t)
	w, emptied, empty := loseStopAndWorker(is, time.Minute)
	empty(3 * time.Second)
	w.check(t)
	empty(12 * time.Second)
	w.check(t)
	is.Equal(len(emptied.runs), 0) // Once the others were at work, it went.
}

// TestStopThatGotNoAnswerMayStillBeCarriedOut covers the stop of a lasting task that got no
// answer and was not repeated, because others of its step were away by then. Its owner went on
// as if it had never been given, but the worker carried it out seconds later. While that took
// its time, the owner stopped another task of the step, and two were away of which one may be:
//
//	23.784 stop ordered task=0 worker=i-041226083a away=0 may_miss=1
//	24.549 stop taken back task=0 worker=i-041226083a away=1 may_miss=1
//	33.321 stop ordered task=1 worker=i-daf69aebb8 away=0 may_miss=1
//	33.545 run ended task=0 worker=i-041226083a how=stopped
func TestStopThatGotNoAnswerMayStillBeCarriedOut(t *testing.T) {
	const late = 4 * time.Second
	for wait := late - time.Second; wait < late+time.Second; wait += tick {
		w, emptied, _ := loseStopAndWorker(is.New(t), late)
		w.core.SetClosed(nil, w.now) // The instance is not wanted elsewhere any more.
		w.run(wait)
		for _, f := range w.workers {
			if f != emptied && len(f.runs) > 0 {
				w.empty(f, time.Second)
				break
			}
		}
		w.run(2 * time.Second)
		w.check(t)
	}
}

// TestStopThatHadNoEffectIsNotRepeatedWhileOthersAreAway covers a worker that answers the stop of
// a lasting task and goes on running it. Once the time of a stop was over, the owner ordered
// another one, whoever else of the step was away by then.
func TestStopThatHadNoEffectIsNotRepeatedWhileOthersAreAway(t *testing.T) {
	is := is.New(t)
	w, emptied, other := stepOnThree(is)
	emptied.deaf = 1
	w.empty(emptied, 100*time.Millisecond)
	is.Equal(emptied.deaf, 0)
	w.startAgain(other, 3*time.Second)
	w.empty(emptied, 3*time.Second)
	w.check(t)
	w.empty(emptied, 12*time.Second)
	w.check(t)
	is.Equal(len(emptied.runs), 0) // Once the others were at work, it went.
}

// TestStopThatCanNotBeCarriedOutAnyMoreIsGivenUp loses such a stop for good, while its step can't
// spare the task for longer than an order may be late. The task goes on.
func TestStopThatCanNotBeCarriedOutAnyMoreIsGivenUp(t *testing.T) {
	is := is.New(t)
	w, emptied, _ := loseStopAndWorker(is, time.Hour)
	w.core.SetClosed(nil, w.now)
	for _, f := range w.workers {
		f.cut = f != emptied && len(f.runs) == 0 // The lost task has nowhere to go.
	}
	w.run(20 * time.Second)
	for _, f := range w.workers {
		f.cut = false
	}
	w.run(5 * time.Second)
	w.check(t)
	is.Equal(w.atWorkOf("a"), 3)
	is.Equal(emptied.began, 1)
	is.Equal(len(emptied.runs), 1)
}

// TestLostStopOfACancelledJobIsRepeated cancels the job of such a task: whatever its step can
// spare, it ends.
func TestLostStopOfACancelledJobIsRepeated(t *testing.T) {
	is := is.New(t)
	w, emptied, empty := loseStopAndWorker(is, time.Minute)
	is.True(w.cancel("a"))
	empty(3 * time.Second)
	w.check(t)
	is.Equal(len(emptied.runs), 0)
}

// loseStopAndWorker returns a world in which the stop of a lasting task, whose worker is to be
// emptied, has just got no answer, and the worker of another task of its step has been lost as
// well; that worker, and what goes on emptying it. The stop is carried out late.
func loseStopAndWorker(is *is.I, late time.Duration) (*world, *fakeWorker, func(time.Duration)) {
	w, emptied, other := stepOnThree(is)
	empty := func(d time.Duration) { w.empty(emptied, d) }
	w.loseEach = 1
	w.loseStops = late
	empty(100 * time.Millisecond)
	is.Equal(len(emptied.runs), 1)
	w.loseStops = 0
	w.startAgain(other, time.Second)
	return w, emptied, empty
}

// stepOnThree returns a world of four workers with a lasting task on each of three, of which
// one may be away, and two of those workers.
func stepOnThree(is *is.I) (w *world, one, other *fakeWorker) {
	w = newWorld(4)
	w.judgeRepeated = true
	w.run(200 * time.Millisecond)
	s := lasting(3, 1)
	s.PerWorker = 1
	w.submit("a", s)
	w.run(5 * time.Second)
	is.Equal(w.atWorkOf("a"), 3)
	holders := w.holders()
	slices.Sort(holders)
	return w, w.workers[holders[0]], w.workers[holders[1]]
}

// empty has a worker emptied for a while.
func (w *world) empty(f *fakeWorker, d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.core.SetClosed([]string{f.reg.ID}, w.now)
		w.run(100 * time.Millisecond)
	}
}
