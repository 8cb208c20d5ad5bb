package shard_test

import (
	"testing"
	"time"
)

// TestStandbyCopyOfStoredJobIsNotFresh covers a job whose record an entry stored in the service's own
// partition, and of which it told the previous owner only, which still runs it. Then that partition
// fails, and the caller submits the job again to the next owner, which writes it to the standby
// partition. That write does not show that no earlier owner knows the job.
func TestStandbyCopyOfStoredJobIsNotFresh(t *testing.T) {
	w := newWorld(3)
	w.run(200 * time.Millisecond)
	long := step(2)
	long.Estimate = 20 * time.Second
	f := w.workers["w0"]
	w.takeOverFromPartitioned(3*time.Second, f)
	w.run(200 * time.Millisecond)
	acceptAtDeposedOwner(w, "a", long)
	w.run(100 * time.Millisecond)
	if len(f.runs) != 2 {
		t.Fatalf("%d runs of the previous owner, want 2", len(f.runs))
	}
	w.storeDown = true
	w.standbyOn = true
	w.submitToOwner("a", long)
	w.run(2 * time.Second)
	w.storeDown = false
	w.run(10 * time.Second)
	w.check(t)
}
