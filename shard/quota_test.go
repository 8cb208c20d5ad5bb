package shard_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"lemonstream.dev/lemonstream/internal/prove"
	"lemonstream.dev/lemonstream/job"
	"lemonstream.dev/lemonstream/quota"
	"lemonstream.dev/lemonstream/shard"
)

const (
	// quotaTasks is the number of tasks, each as large as those of step, that the service may
	// run for the organisation at once.
	quotaTasks = 5

	organisation = "north"
)

// worldQuota is the limit of an organisation and the share of it that the service may use.
type worldQuota struct {
	share quota.Share
	limit job.Room

	// hideInherited keeps a new owner from learning what runs of previous owners may use.
	hideInherited bool
}

// newQuota returns a share of one half of a limit of 2*quotaTasks tasks.
func newQuota() *worldQuota {
	return &worldQuota{
		share: quota.Whole / 2,
		limit: job.Room{
			MilliCPU: 2 * quotaTasks * step(1).Need.MilliCPU,
		},
	}
}

func (q *worldQuota) organisation() string {
	if q == nil {
		return ""
	}
	return organisation
}

// quotaOf returns the function by which the owner of an epoch looks up quotas.
func (w *world) quotaOf(epoch int64) func(string) (shard.Quota, bool) {
	return func(name string) (shard.Quota, bool) {
		if name != organisation {
			return shard.Quota{}, false
		}
		q := shard.Quota{
			Share: w.quota.share,
			Limit: w.quota.limit,
		}
		if epoch > 1 && !w.quota.hideInherited {
			q.Inherited = w.quota.share.Of(w.quota.limit)
		}
		return q, true
	}
}

// checkQuota records a violation if the start of a task raised the usage of the organisation
// above its quota.
func (w *world) checkQuota(id job.TaskID) {
	if w.quota == nil {
		return
	}
	var running job.Room
	for _, f := range w.workers {
		for task, r := range f.runs {
			record, known := w.recordOf(task.Job)
			if !f.down && (!known || record.Organisation == organisation) {
				running = running.Add(r.step.Need)
			}
		}
	}
	if most := w.quota.share.Of(w.quota.limit); running.MilliCPU > most.MilliCPU {
		w.addViolation("start of %s raises the usage of its organisation to %+v, above its quota of %+v", id, running, most)
	}
}

func TestQuotaHoldsUnderFaults(t *testing.T) {
	prove.Property(t, func(t *rapid.T) {
		w := newWorld(4)
		w.quota = newQuota()
		w.takeOver()
		underFaults(t, w)
	})
}

// TestQuotaCountsRunsOfOwnersBefore guards against an organisation that exceeds its quota
// after a change of owner, because the new owner counts only the runs that it has started
// itself. Usage on workers that it has not polled yet counts as well, up to the quota of the
// previous owner.
func TestQuotaCountsRunsOfOwnersBefore(t *testing.T) {
	prove.Scenario(t, prove.Quota, "runs-of-owners-before", func(on bool) string {
		w := newWorld(3)
		w.quota = newQuota()
		w.quota.hideInherited = !on
		w.run(200 * time.Millisecond)
		long := step(quotaTasks)
		long.Estimate = 3 * time.Second
		w.submit("a", long)
		w.run(500 * time.Millisecond)
		for _, f := range reachableWorkersOf(w, "a") {
			f.partitioned = true
		}
		w.takeOver()
		w.run(200 * time.Millisecond)
		w.submit("b", step(quotaTasks))
		w.run(time.Second)
		return strings.Join(w.violations, "; ")
	})
}

func TestTaskAboveWholeQuotaRunsOneAtATime(t *testing.T) {
	is := is.New(t)
	w := newWorld(2)
	w.quota = newQuota()
	w.quota.share = quota.Whole
	w.quota.limit = job.Room{
		MilliCPU: step(1).Need.MilliCPU / 2,
	}
	w.takeOver()
	w.run(6 * time.Second)
	w.submit("a", step(3))
	for range 50 {
		w.run(100 * time.Millisecond)
		is.True(len(w.workers["w0"].runs)+len(w.workers["w1"].runs) <= 1)
	}
	is.Equal(w.shown["a"], job.Completed)
}

func TestLoweredQuotaKeepsRunsAndStartsNone(t *testing.T) {
	is := is.New(t)
	w := newWorld(2)
	w.quota = newQuota()
	w.takeOver()
	w.run(6 * time.Second)
	long := step(8)
	long.Estimate = 3 * time.Second
	w.submit("a", long)
	w.run(500 * time.Millisecond)
	running := func() int { return len(w.workers["w0"].runs) + len(w.workers["w1"].runs) }
	is.Equal(running(), quotaTasks)
	w.quota.share /= 2
	w.run(time.Second)
	is.Equal(running(), quotaTasks)
	usages := w.core.Usages()
	is.Equal(len(usages), 1)
	is.Equal(usages[0].Waiting.MilliCPU, 3*step(1).Need.MilliCPU)
	w.run(10 * time.Second)
	is.Equal(w.shown["a"], job.Completed)
}

// TestJobsThatWaitForQuotaAreRefused guards against accepting all jobs of an organisation that
// submits several times its quota because the service has capacity for them. Such jobs waited
// for the quota until they were worth nothing, and they counted as backlog ahead of the jobs of
// other organisations.
func TestJobsThatWaitForQuotaAreRefused(t *testing.T) {
	is := is.New(t)
	w := newWorld(20)
	w.quota = newQuota()
	w.takeOver()
	w.run(6 * time.Second)
	w.core.SetMaxInstances(20)
	const jobs = 60
	for i := range jobs {
		w.submitWithAge(fmt.Sprintf("job-%02d", i), 0, step(4))
		w.run(tick)
	}
	w.run(300 * time.Millisecond)
	turned := 0
	for i := range jobs {
		if w.turned[fmt.Sprintf("job-%02d", i)] {
			turned++
		}
	}
	is.True(turned >= jobs/2) // About a third of the jobs can end in time.
	is.True(turned < jobs*9/10)
	other := w.record("other", step(4))
	other.Organisation = "south"
	taken := false
	w.core.Submit(other, w.now, func(answer shard.SubmitResult) { taken = answer.Accepted })
	w.run(300 * time.Millisecond)
	is.True(taken)
	w.check(t)
}

// TestGangAboveOrganisationLimitIsRefused guards against accepting a gang that is larger than
// the whole limit of its organisation. Its tasks start only together, so that the gang waited
// forever.
func TestGangAboveOrganisationLimitIsRefused(t *testing.T) {
	is := is.New(t)
	w := newWorld(4)
	w.quota = newQuota()
	w.quota.share = quota.Whole
	w.run(200 * time.Millisecond)
	gang := step(2*quotaTasks + 1)
	gang.Gang = true
	w.submitToOwner("large", gang)
	fitting := step(2 * quotaTasks)
	fitting.Gang = true
	w.submitToOwner("fitting", fitting)
	w.submitToOwner("wide", step(2*quotaTasks+1)) // Not a gang: its tasks may start as others end.
	w.run(8 * time.Second)
	is.Equal(w.taken["large"], false)
	_, turnedAway := w.refused["large"]
	is.True(turnedAway)
	is.Equal(w.shown["fitting"], job.Completed)
	is.Equal(w.shown["wide"], job.Completed)
	w.check(t)
}
