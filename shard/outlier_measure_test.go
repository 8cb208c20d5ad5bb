package shard_test

import (
	"os"
	"slices"
	"strconv"
	"testing"

	"github.com/matryer/is"

	"lemonstream.dev/lemonstream/outlier"
)

const (
	// outlierSeedsVariable names the environment variable with the number of simulation runs.
	outlierSeedsVariable = "OUTLIER_SEEDS"
	defaultOutlierSeeds  = 4

	// maxInnocentShare is the largest share of jobs that may be shown as failed although another
	// worker would have done them.
	maxInnocentShare = 0.005

	// guardFactor is how many times more must fail without ejection, or on one worker without the
	// estimate. Several times that is measured.
	guardFactor = 2
)

// TestWorkersThatFailEverything guards against workers that fail what they start taking tasks to
// their end, and against workers that do not being ejected. Without ejection the same days must
// break the limit: otherwise they would prove nothing.
func TestWorkersThatFailEverything(t *testing.T) {
	is := is.New(t)
	seeds := defaultOutlierSeeds
	if text := os.Getenv(outlierSeedsVariable); text != "" {
		var err error
		seeds, err = strconv.Atoi(text)
		is.NoErr(err)
	}
	some := func(d *failingDay) { d.badRate = 0.6 }
	none := func(d *failingDay) { d.badShare = 0 }
	off := func(d *failingDay) { d.w.ejectShare = 0 }
	counts := func(d *failingDay) { d.w.estimateFaults = countFailures }
	blind := func(d *failingDay) {
		d.w.estimateFaults = func(outlier.Observation) (float64, float64) { return 0, 0 }
	}
	on := func(*failingDay) {}
	measure := func(name string, mutations ...func(*failingDay)) failingStats {
		var all failingStats
		for seed := range uint64(seeds) {
			d := newFailingDay(seed, func(d *failingDay) {
				for _, mutate := range mutations {
					mutate(d)
				}
			})
			d.run()
			d.w.check(t)
			all.add(d.stats)
		}
		slices.Sort(all.latency)
		t.Logf("%s: seeds=%d jobs=%d hopeless=%d innocent_failed=%d worst_worker_failed_runs_in_10s=%d ejections=%d of_sound=%d latency_ms: median=%d p95=%d",
			name, seeds, all.jobs, all.hopeless, all.innocent, all.worst, all.ejected, all.wrongly,
			quantile(all.latency, 0.5).Milliseconds(), quantile(all.latency, 0.95).Milliseconds())
		return all
	}
	all := measure("all runs fail", on)
	for _, all := range []failingStats{all, measure("60% fail", some)} {
		is.True(float64(all.innocent) < maxInnocentShare*float64(all.jobs)) // Innocent jobs fail.
	}
	quiet := measure("none bad", none)
	is.True(quiet.wrongly <= quiet.jobs/1000)                                           // Sound workers are ejected.
	is.True(measure("all runs fail, off", off).innocent > guardFactor*all.innocent)     // The days prove nothing.
	is.True(measure("all runs fail, no estimate", blind).worst > guardFactor*all.worst) // The days prove nothing.
	if seeds > defaultOutlierSeeds {
		measure("60% fail, off", some, off)
		measure("none bad, off", none, off)
		measure("all runs fail, counts", counts)
		measure("60% fail, counts", some, counts)
		measure("none bad, counts", none, counts)
	}
}
