package shard_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestRecordOfAnUnwrittenJobIsLogged passes the stored records of two jobs to an owner that is about to
// write the same jobs, and once more after that. One of them is in no batch, the other in a batch.
func TestRecordOfAnUnwrittenJobIsLogged(t *testing.T) {
	is := is.New(t)
	w := newWorld(1)
	w.run(200 * time.Millisecond)
	log := w.recordEvents()
	accept := func(id string) {
		w.core.Accept(w.record(id, step(1)), 7, false, w.now)
	}
	w.submitToOwner("a", step(1))
	w.store(w.record("a", step(1)))
	accept("a")
	is.Equal(len(log["job taken"]), 1)
	is.Equal(log["job taken"][0]["fresh"], false)
	accept("a")
	w.submitToOwner("b", step(1))
	w.run(tick)
	accept("b")
	is.Equal(len(log["job taken"]), 1) // The write under way decides.
	is.Equal(log["record found"], []map[string]any{
		{
			"job":     "a",
			"version": int64(7),
			"state":   "submitted",
		},
		{
			"job":     "b",
			"version": int64(7),
			"state":   "in a batch",
		},
	})
	w.run(time.Second)
	accept("b")
	is.Equal(len(log["record found"]), 2)
	is.Equal(len(log["job taken"]), 2)
	for _, line := range log["job taken"] {
		is.Equal(line["claim_version"], int64(0))
	}
	w.submit("c", step(1))
	is.Equal(log["job taken"][2]["claim_version"], int64(0))
	w.run(3 * time.Second)
	w.check(t)
}
