package shard_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestRecordOfASubmittedJobIsPassedOver passes the stored record of a job to an owner that is about
// to write the same job, and once more after that.
func TestRecordOfASubmittedJobIsPassedOver(t *testing.T) {
	is := is.New(t)
	w := newWorld(1)
	w.run(200 * time.Millisecond)
	log := w.recordEvents()
	w.submitToOwner("a", step(1))
	record := w.record("a", step(1))
	w.core.Accept(record, 7, false, w.now)
	w.run(tick)
	w.core.Accept(record, 7, false, w.now)
	is.Equal(log["record passed over"], []map[string]any{
		{
			"job":     "a",
			"version": int64(7),
			"state":   "submitted",
		},
		{
			"job":     "a",
			"version": int64(7),
			"state":   "in a batch",
		},
	})
	w.run(time.Second)
	w.core.Accept(record, 7, false, w.now)
	is.Equal(len(log["record passed over"]), 2)
	is.Equal(len(log["job taken"]), 1)
	is.Equal(log["job taken"][0]["claim_version"], int64(0))
	w.submit("b", step(1))
	is.Equal(log["job taken"][1]["claim_version"], int64(0))
	w.check(t)
}
