package shard_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"lemonstream.dev/lemonstream/job"
)

// TestTaskThatCrashesItsWorkersIsGivenUp covers tasks under which each worker crashes
// that starts them. Two of them took twelve workers of a pool of a dozen in eleven
// seconds, with 176 runs, and each was started again as long as its job was there: a run
// that is lost with its worker counted as nothing. What settled it is the log of one
// task. Each start is followed by the end of its worker some 11 ms later, and the loss
// by the next start, all under one owner:
//
//	41.922 start ordered run=3 worker=i-79b17482ea
//	41.934 worker lost runs=18 error=EOF
//	44.222 start ordered run=4 worker=i-188b7edb31
//	44.233 worker lost runs=13 error=EOF
//	45.220 run lost run=3 reason="another life answers"
//	46.117 start ordered run=5 worker=i-665084345f
//	47.925 start ordered run=6 worker=i-90e4318437
//
// Those that ran beside them were started beside them again: one that had done nothing
// lost four workers.
func TestTaskThatCrashesItsWorkersIsGivenUp(t *testing.T) {
	for _, test := range []struct {
		name string

		// after is how long the culprits run, back how long their workers are away.
		after, back time.Duration
		speculative bool
	}{
		{
			name:  "at once",
			after: tick,
			back:  3 * time.Second,
		},
		{
			name:  "after a while",
			after: 700 * time.Millisecond,
			back:  3 * time.Second,
		},
		{
			name:  "away for longer than a lease",
			after: tick,
			back:  2 * testLease,
		},
		{
			name:        "with copies",
			after:       tick,
			back:        3 * time.Second,
			speculative: true,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(12)
			w.backAfter = test.back
			w.run(200 * time.Millisecond)
			bad := step(3)
			bad.Speculative = test.speculative
			innocent := step(4)
			innocent.Speculative = test.speculative
			for i := range 8 {
				w.submit(fmt.Sprintf("good%d", i), innocent)
			}
			for _, name := range []string{"bad1", "bad2"} {
				w.culprits[job.TaskID{
					Job:   name,
					Index: 1,
				}] = test.after
				w.submit(name, bad)
			}
			for i := range 40 {
				w.run(time.Second)
				w.submit(fmt.Sprintf("later%d", i), innocent)
			}
			w.run(10 * time.Second)
			w.check(t)
			for id, state := range w.shown {
				if id == "bad1" || id == "bad2" {
					is.Equal(state, job.Failed) // The job of a culprit is given up.
					continue
				}
				is.Equal(state, job.Completed) // No other is.
			}
		})
	}
}

// TestCrashesCountAcrossOwners lets every crash but the first happen under another owner:
// what one has seen stands in the job's row.
func TestCrashesCountAcrossOwners(t *testing.T) {
	is := is.New(t)
	w := newWorld(6)
	w.backAfter = 2 * time.Second
	w.culprits[job.TaskID{
		Job: "bad",
	}] = tick
	w.run(200 * time.Millisecond)
	w.submit("bad", step(1))
	for range 8 {
		w.run(4 * time.Second)
		w.takeOver()
	}
	w.run(4 * time.Second)
	w.check(t)
	is.Equal(w.shown["bad"], job.Failed)
}

// TestWorkerThatAnswersAgainHasNotCrashed covers cuts that outlast a lease: nothing that
// ran behind one is marked, however often.
func TestWorkerThatAnswersAgainHasNotCrashed(t *testing.T) {
	is := is.New(t)
	w := newWorld(4)
	w.run(200 * time.Millisecond)
	slow := step(1)
	slow.Estimate = 60 * time.Second
	w.submit("a", slow)
	for range 5 {
		w.run(time.Second)
		f := holderOf(w, "a")[0]
		f.cut = true
		w.run(testLease + 2*time.Second)
		f.cut = false
	}
	w.run(70 * time.Second)
	w.check(t)
	is.Equal(w.shown["a"], job.Completed)
}

// TestAnnouncedEndIsNoCrash lets every worker under a task end after it has drained, and
// after its registration went without a word.
func TestAnnouncedEndIsNoCrash(t *testing.T) {
	for name, announce := range map[string]func(f *fakeWorker){
		"drains":               func(f *fakeWorker) { f.reg.Draining = true },
		"registration is gone": func(f *fakeWorker) { f.unlisted = true },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(4)
			w.backAfter = time.Second
			w.run(200 * time.Millisecond)
			slow := step(1)
			slow.Estimate = 20 * time.Second
			w.submit("a", slow)
			for range 5 {
				w.run(time.Second)
				f := holderOf(w, "a")[0]
				announce(f)
				w.list()
				w.run(time.Second)
				w.loseWorker(f)
				w.run(4 * time.Second)
			}
			w.run(30 * time.Second)
			w.check(t)
			is.Equal(w.shown["a"], job.Completed)
		})
	}
}

// TestLastingTaskThatHasRunForLongIsBeyondDoubt lets a lasting task lose five workers
// that have nothing to do with it, with more time between two losses than a crash at the
// start takes. It is never given up; one that crashes each worker at the start is.
func TestLastingTaskThatHasRunForLongIsBeyondDoubt(t *testing.T) {
	is := is.New(t)
	w := newWorld(4)
	w.backAfter = time.Second
	w.culprits[job.TaskID{
		Job: "bad",
	}] = tick
	w.run(200 * time.Millisecond)
	w.submit("a", lasting(1, 1))
	w.submit("bad", lasting(1, 1))
	w.run(20 * time.Second)
	is.Equal(w.shown["bad"], job.Failed)
	for range 5 {
		w.run(15 * time.Second)
		w.loseWorker(holderOf(w, "a")[0])
	}
	w.run(10 * time.Second)
	is.Equal(w.shown["a"], job.Running)
	is.Equal(len(holderOf(w, "a")), 1)
	w.check(t)
}
