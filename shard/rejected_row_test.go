package shard_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"lemonstream.dev/lemonstream/job"
	"lemonstream.dev/lemonstream/shard"
)

// TestRejectedRowHoldsUpNoOther guards against one row that the store rejects and that stops all writes
// of the service: it is found and given up, and everything else is written.
func TestRejectedRowHoldsUpNoOther(t *testing.T) {
	for name, c := range map[string]struct {
		rejects func(shard.Batch) bool
		want    job.State
	}{
		"progress": {
			rejects: func(b shard.Batch) bool {
				for _, one := range b.Writes {
					if one.ID == "bad" && !one.Progress.State.Final() {
						return true
					}
				}
				return false
			},
			want: job.Failed,
		},
		"record": {
			rejects: func(b shard.Batch) bool {
				for _, record := range b.Records {
					if record.ID == "bad" {
						return true
					}
				}
				return false
			},
		},
		"final state": {
			rejects: func(b shard.Batch) bool {
				for _, one := range b.Writes {
					if one.ID == "bad" && one.Progress.State.Final() {
						return true
					}
				}
				return false
			},
			want: job.Running,
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(4)
			w.rejects = c.rejects
			w.run(200 * time.Millisecond)
			for i := range 6 {
				w.submitToOwner(fmt.Sprintf("a%d", i), short(3))
			}
			w.submitToOwner("bad", short(3), step(1, 0))
			for i := range 6 {
				w.submitToOwner(fmt.Sprintf("z%d", i), short(3))
			}
			w.run(5 * time.Second)
			for i := range 6 {
				is.Equal(w.shown[fmt.Sprintf("a%d", i)], job.Completed)
				is.Equal(w.shown[fmt.Sprintf("z%d", i)], job.Completed)
			}
			is.Equal(w.shown["bad"], c.want)
			w.submitToOwner("later", short(3))
			w.run(2 * time.Second)
			is.Equal(w.shown["later"], job.Completed)
			w.check(t)
		})
	}
}
