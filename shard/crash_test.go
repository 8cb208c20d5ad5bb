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
