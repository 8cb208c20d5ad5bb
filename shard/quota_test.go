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
	// quotaTasks is how many tasks of a step the service may run of the organisation.
	quotaTasks = 5

	organisation = "north"
)

// worldQuota is what the service of a world may use of the limit of its organisation.
type worldQuota struct {
	share quota.Share
	limit job.Room

	// forgetful says that a new owner knows nothing of what owners before may have running.
	forgetful bool
}

// newQuota returns half of a limit of twice quotaTasks.
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

// quotaOf returns what the owner of an epoch is told.
func (w *world) quotaOf(epoch int64) func(string) (shard.Quota, bool) {
	return func(name string) (shard.Quota, bool) {
		if name != organisation {
			return shard.Quota{}, false
		}
		q := shard.Quota{
			Share: w.quota.share,
			Limit: w.quota.limit,
		}
		if epoch > 1 && !w.quota.forgetful {
			q.Inherited = w.quota.share.Of(w.quota.limit)
		}
		return q, true
	}
}

// judgeQuota notes a start that lifts what runs above the quota.
func (w *world) judgeQuota(id job.TaskID) {
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
		w.fault("%s starts and lifts what its organisation runs to %+v of %+v", id, running, most)
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

// An organisation ran more than its quota where owners of a service followed each other: the
// new one counted what it had started itself. What may run on workers that it has not seen
// counts as well, up to what the owner before was allowed.
func TestQuotaCountsRunsOfOwnersBefore(t *testing.T) {
	prove.Scenario(t, prove.Quota, "runs-of-owners-before", func(on bool) string {
		w := newWorld(3)
		w.quota = newQuota()
		w.quota.forgetful = !on
		w.run(200 * time.Millisecond)
		long := step(quotaTasks)
		long.Estimate = 3 * time.Second
		w.submit("a", long)
		w.run(500 * time.Millisecond)
		for _, f := range holderOf(w, "a") {
			f.cut = true
		}
		w.takeOver()
		w.run(200 * time.Millisecond)
		w.submit("b", step(quotaTasks))
		w.run(time.Second)
		return strings.Join(w.faults, "; ")
	})
}

func TestTaskAboveTheWholeQuotaRunsAlone(t *testing.T) {
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

func TestQuotaThatIsLoweredEndsNothingAndStartsNothing(t *testing.T) {
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

// An organisation that asked for several times its quota had all of its jobs taken, since the
// service had room for them. They waited for the quota until they were of no use, and so did
// what counted as work before the jobs of others.
func TestWorkThatWaitsForItsQuotaIsTurnedAway(t *testing.T) {
	is := is.New(t)
	w := newWorld(20)
	w.quota = newQuota()
	w.takeOver()
	w.run(6 * time.Second)
	w.core.SetMost(20)
	const jobs = 60
	for i := range jobs {
		w.ask(fmt.Sprintf("job-%02d", i), 0, step(4))
		w.run(tick)
	}
	w.run(300 * time.Millisecond)
	turned := 0
	for i := range jobs {
		if w.turned[fmt.Sprintf("job-%02d", i)] {
			turned++
		}
	}
	is.True(turned >= jobs/2) // A third of it can run within a useful time.
	is.True(turned < jobs*9/10)
	other := w.record("other", step(4))
	other.Organisation = "south"
	taken := false
	w.core.Submit(other, w.now, func(answer shard.Answer) { taken = answer.Taken })
	w.run(300 * time.Millisecond)
	is.True(taken)
	w.check(t)
}

// A gang that is larger than the whole limit of its organisation was taken in, and waited for
// good: its tasks only start together.
func TestGangAboveTheWholeLimitIsTurnedAway(t *testing.T) {
	is := is.New(t)
	w := newWorld(4)
	w.quota = newQuota()
	w.quota.share = quota.Whole
	w.run(200 * time.Millisecond)
	gang := step(2*quotaTasks + 1)
	gang.Gang = true
	w.handIn("large", gang)
	fitting := step(2 * quotaTasks)
	fitting.Gang = true
	w.handIn("fitting", fitting)
	w.handIn("wide", step(2*quotaTasks+1)) // Its tasks start as others end.
	w.run(8 * time.Second)
	is.Equal(w.taken["large"], false)
	_, turnedAway := w.refused["large"]
	is.True(turnedAway)
	is.Equal(w.shown["fitting"], job.Completed)
	is.Equal(w.shown["wide"], job.Completed)
	w.check(t)
}
