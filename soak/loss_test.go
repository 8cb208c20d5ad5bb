package soak_test

import (
	"fmt"
	"math/rand"
	"net/http"
	"strings"
	"testing"
	"time"

	"lemonstream.dev/lemonstream/internal/standin"
)

// TestJobsOnCutOffWorkersAreNotFailed cuts off worker after worker of two jobs for longer than their
// leases and registrations last, amid the other faults. No worker crashes and no run fails, so that
// every job has to be completed.
func TestJobsOnCutOffWorkersAreNotFailed(t *testing.T) {
	forSeeds(t, func(t *testing.T, seed int64) {
		const (
			jobs = 2
			cuts = 4

			// cutTime is longer than it takes to give up a worker that is cut off, and
			// leaves workers for the tasks of both jobs.
			cutTime = 12 * time.Second
		)
		d := deploy(t)
		random := rand.New(rand.NewSource(seed))
		text := strings.Replace(`{"spec":"x","steps":[{"count":1,"cpu":1000,"memMb":100,"estimateMs":8000}]}`, `"x"`, `"`+standin.LongText+`"`, 1)
		var ids []string
		for i := range jobs {
			id := fmt.Sprintf("%016x", 0xc07<<32|seed<<16|int64(i))
			ids = append(ids, id)
			d.any(http.MethodPost, "/q/"+id, text, succeeded)
		}
		for range cuts {
			for _, id := range ids {
				d.cutOffWorkerOf(id, cutTime)
			}
			d.fault(random)
		}
		d.mend(true)
		for _, id := range ids {
			d.any(http.MethodGet, "/q/"+id, "", func(status int, answer string) bool {
				if failed(status, answer) {
					t.Errorf("job %s is shown as failed, and no worker has crashed", id)
					return true
				}
				return completed(status, answer)
			})
		}
		faults, starts := d.oracle.Faults()
		for _, fault := range faults {
			t.Error(fault)
		}
		t.Logf("seed %d: %d jobs, %d starts, %d faults", seed, len(ids), starts, len(faults))
	})
}

// cutOffWorkerOf cuts off the worker that runs a task of a job, once there is one that is not cut
// off, for the given time. It waits as long for such a worker.
func (d *deployment) cutOffWorkerOf(job string, span time.Duration) {
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		d.mend(false)
		if restore := d.fleet.CutOff(job); restore != nil {
			d.mendAt(time.Now().Add(span), restore)
			return
		}
	}
}
