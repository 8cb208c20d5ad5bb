package shard_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"lemonstream.dev/lemonstream/job"
)

const (
	// aloneSeedsVariable names the environment variable with the number of simulation runs.
	aloneSeedsVariable = "ALONE_SEEDS"
	defaultAloneSeeds  = 4

	// maxIsolationWait is the longest that a task may wait for a dedicated worker.
	maxIsolationWait = 15 * time.Second

	// isolationJobs is the number of jobs in a simulation run, with four tasks each.
	isolationJobs = 250
)

// isolationStats holds the results of one or more simulation runs.
type isolationStats struct {
	// crashes holds the number of workers that each culprit crashed, waits how long each
	// isolated task waited for a dedicated worker.
	crashes []int
	waits   []time.Duration

	// failed counts the bystander jobs that were given up, unfinished those that had not ended.
	failed, unfinished int
}

// TestWaitsForAWorkerOfOnesOwn measures how long isolated tasks wait for a dedicated worker. Each
// simulation run has a pool of 4 to 30 workers that shrinks and grows, long-running tasks on most
// of them, and 1 to 30 culprits among a thousand tasks. Three workers in ten crash at a time, and
// owners are replaced, some of which stay active for a while. In every second run, crashed workers
// restart under their ids. ALONE_SEEDS sets the number of runs.
func TestWaitsForAWorkerOfOnesOwn(t *testing.T) {
	seeds := defaultAloneSeeds
	if text := os.Getenv(aloneSeedsVariable); text != "" {
		var err error
		if seeds, err = strconv.Atoi(text); err != nil {
			t.Fatal(err)
		}
	}
	var all isolationStats
	for seed := range uint64(seeds) {
		stats := simulateIsolation(t, seed)
		all.crashes = append(all.crashes, stats.crashes...)
		all.waits = append(all.waits, stats.waits...)
		all.failed += stats.failed
		all.unfinished += stats.unfinished
	}
	slices.Sort(all.crashes)
	slices.Sort(all.waits)
	t.Logf("seeds=%d culprits=%d crashes_median=%d crashes_most=%d innocent_jobs_given_up=%d innocent_jobs_open=%d waits=%d wait_median_ms=%d wait_99_ms=%d wait_most_ms=%d",
		seeds, len(all.crashes), all.crashes[len(all.crashes)/2], slices.Max(all.crashes), all.failed, all.unfinished,
		len(all.waits), quantile(all.waits, 0.5).Milliseconds(), quantile(all.waits, 0.99).Milliseconds(), quantile(all.waits, 1).Milliseconds())
	if all.unfinished > 0 {
		t.Errorf("%d bystander jobs have not ended", all.unfinished)
	}
	if most := quantile(all.waits, 1); most > maxIsolationWait {
		t.Errorf("a task waited %v for a dedicated worker", most)
	}
}

// quantile returns the value below which the given part of a sorted list lies.
func quantile(sorted []time.Duration, part float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(part*float64(len(sorted))))]
}

// simulateIsolation does one simulation run.
func simulateIsolation(t *testing.T, seed uint64) isolationStats {
	t.Helper()
	draw := rand.New(rand.NewPCG(seed, 2))
	var stats isolationStats
	count := 4 + draw.IntN(27)
	w := newWorld(count)
	w.logEvent = func(event string, fields ...any) {
		if event == "suspect waits no more" {
			stats.waits = append(stats.waits, time.Duration(waitedMillis(fields))*time.Millisecond)
		}
	}
	w.allowExtraStarts = true
	w.sameID = seed%2 == 1
	w.restartDelay = time.Duration(20+draw.IntN(300)) * tick
	w.run(200 * time.Millisecond)
	spread := lasting(count*3/4, 1)
	spread.PerWorker = 1
	w.submit("lasting", spread)
	w.run(3 * time.Second)
	culpritJobs := draw.Perm(isolationJobs)[:1+draw.IntN(30)]
	for i := range isolationJobs {
		id := fmt.Sprintf("j%d", i)
		s := step(4)
		s.Estimate = time.Duration(300+draw.IntN(900)) * time.Millisecond
		if slices.Contains(culpritJobs, i) {
			w.culprits[job.TaskID{
				Job:   id,
				Index: draw.IntN(4),
			}] = time.Duration(1+draw.IntN(60)) * tick
		}
		w.submit(id, s)
		w.run(time.Duration(draw.IntN(120*4/count)) * tick)
		injectFaults(w, draw, i)
	}
	w.run(2 * time.Minute)
	w.check(t)
	for id, state := range w.shown {
		culpritTasks := 0
		for task := range w.culprits {
			if task.Job == id {
				culpritTasks++
			}
		}
		switch {
		case culpritTasks > 0 || id == "lasting":
		case state == job.Failed:
			stats.failed++
		case state != job.Completed:
			stats.unfinished++
		}
	}
	for task := range w.culprits {
		stats.crashes = append(stats.crashes, w.crashes[task])
	}
	return stats
}

// injectFaults replaces the owner or an idle worker in some rounds. After one third and after two
// thirds of the jobs, three workers in ten crash.
func injectFaults(w *world, draw *rand.Rand, round int) {
	workerIDs := w.workerIDs()
	f := w.workers[workerIDs[draw.IntN(len(workerIDs))]]
	switch draw.IntN(60) {
	case 0:
		w.takeOver()
	case 1:
		w.release(20 * tick)
	case 2:
		w.takeOverFromActive(time.Duration(draw.IntN(300)) * tick)
	case 3:
		if len(w.runningTasks(f)) == 0 {
			w.replaceWorker(f, true)
		}
	}
	if round != isolationJobs/3 && round != 2*isolationJobs/3 {
		return
	}
	for i, id := range workerIDs {
		if i%10 < 3 {
			w.crashWorker(w.workers[id])
		}
	}
}

// runningTasks returns the tasks that run on a worker.
func (w *world) runningTasks(f *fakeWorker) []job.TaskID {
	list := make([]job.TaskID, 0, len(f.runs))
	for id := range f.runs {
		list = append(list, id)
	}
	return list
}

// waitedMillis returns the waited_ms field of a log line, or 0 if there is none.
func waitedMillis(fields []any) int64 {
	for i := 0; i+1 < len(fields); i += 2 {
		if ms, found := fields[i+1].(int64); found && fields[i] == "waited_ms" {
			return ms
		}
	}
	return 0
}
