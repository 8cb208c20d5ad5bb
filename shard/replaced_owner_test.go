package shard_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"lemonstream.dev/lemonstream/job"
)

// TestJobReadByAReplacedOwnerStartsOnce covers an owner that still reads the rows of new jobs after
// its service was claimed. A job whose record is younger than the claim is started at once by the
// next owner, beside a worker that only the replaced owner reaches.
func TestJobReadByAReplacedOwnerStartsOnce(t *testing.T) {
	for name, written := range map[string]func(w *world){
		"written by an entry": func(w *world) {
			w.submit("a", step(2))
		},
		"submitted to the next owner": func(w *world) {
			w.submitToOwner("a", step(2))
			w.run(50 * time.Millisecond)
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(3)
			w.run(200 * time.Millisecond)
			f := w.workers["w0"]
			w.takeOverFromPartitioned(2*time.Second, f)
			w.run(200 * time.Millisecond)
			written(w)
			w.zombies[0].core.Accept(w.records["a"], w.version, false, w.now)
			w.run(1500 * time.Millisecond)
			f.partitioned = false
			w.run(10 * time.Second)
			w.check(t)
			is.Equal(w.shown["a"], job.Completed)
		})
	}
}
