package shard_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"lemonstream.dev/lemonstream/job"
	"lemonstream.dev/lemonstream/outside"
)

// TestManyUnreadEndsAreLogged lets a worker list many ends of a job that has no record, while the
// record can't be looked up.
func TestManyUnreadEndsAreLogged(t *testing.T) {
	const ends = 400
	is := is.New(t)
	w := newWorld(1)
	w.run(200 * time.Millisecond)
	is.Equal(w.core.MostListedEnds(), 0)
	w.lookupsFail = true
	log := w.recordEvents()
	f := w.workers["w0"]
	for i := range ends - 1 {
		f.addEnd(i)
	}
	w.run(500 * time.Millisecond)
	is.Equal(w.core.MostListedEnds(), ends-1)
	is.Equal(len(log["many unread ends"]), 0)
	f.addEnd(ends - 1)
	w.run(900 * time.Millisecond)
	is.Equal(w.core.MostListedEnds(), ends)
	is.Equal(len(log["many unread ends"]), 1)
	is.Equal(log["many unread ends"][0], map[string]any{
		"worker":       f.reg.Incarnation().String(),
		"listed":       ends,
		"acknowledged": int64(0),
		"deferred":     ends,
	})
	w.run(900 * time.Millisecond)
	is.Equal(len(log["many unread ends"]), 2)
	w.lookupsFail = false
	w.run(2 * time.Second)
	is.Equal(w.core.MostListedEnds(), 0)
	is.Equal(log["job has no record"], []map[string]any{{
		"job":  "a",
		"runs": 0,
		"ends": ends,
	}})
}

// addEnd makes the worker list the end of a run that it never had.
func (f *fakeWorker) addEnd(index int) {
	f.number++
	f.ends = append(f.ends, outside.End{
		Number: f.number,
		Task: job.TaskID{
			Job:   "a",
			Index: index,
		},
		Run:  1,
		Kind: outside.EndDone,
	})
}
