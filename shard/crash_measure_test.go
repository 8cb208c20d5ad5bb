package shard_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"lemonstream.dev/lemonstream/job"
)

const (
	// crashSeedsVariable names the environment variable with the number of simulation runs. The
	// default is enough to check the bounds.
	crashSeedsVariable = "CRASH_SEEDS"
	defaultCrashSeeds  = 4

	// measuredTasks is the number of tasks in a simulation run.
	measuredTasks = 1000
)

// crashStats holds the results of one simulation run.
type crashStats struct {
	// crashes holds the number of workers that each culprit crashed.
	crashes []int

	// failedBystanders is the number of bystander jobs that were given up.
	failedBystanders int

	// meanDuration is the mean time from acceptance to the end of bystander jobs.
	meanDuration time.Duration
}

// TestCulpritsAmongManyInnocents does simulation runs of a thousand tasks, 1 to 20 of which crash
// each worker that starts them after 10 ms to 1 s, during takeovers and crashes that have another
// cause. A culprit may crash three workers and two more whose crashes owners may not have seen. No
// bystander job may be given up. CRASH_SEEDS sets the number of runs.
func TestCulpritsAmongManyInnocents(t *testing.T) {
	seeds := defaultCrashSeeds
	if text := os.Getenv(crashSeedsVariable); text != "" {
		var err error
		if seeds, err = strconv.Atoi(text); err != nil {
			t.Fatal(err)
		}
	}
	var crashes []int
	failedBystanders, most := 0, 0
	var meanDuration time.Duration
	for seed := range uint64(seeds) {
		stats := simulateCrashes(t, seed)
		crashes = append(crashes, stats.crashes...)
		failedBystanders += stats.failedBystanders
		meanDuration += stats.meanDuration / time.Duration(seeds)
		most = max(most, slices.Max(stats.crashes))
	}
	slices.Sort(crashes)
	t.Logf("seeds=%d culprits=%d crashes_mean=%.2f crashes_median=%d crashes_most=%d innocent_jobs_given_up=%d innocent_wait_ms=%d",
		seeds, len(crashes), mean(crashes), crashes[len(crashes)/2], most, failedBystanders, meanDuration.Milliseconds())
	if failedBystanders > 0 || most > maxCrashesPerTask+maxExtraStarts {
		t.Errorf("%d bystander jobs given up, %d workers crashed under one task", failedBystanders, most)
	}
}

// simulateCrashes does one simulation run.
func simulateCrashes(t *testing.T, seed uint64) crashStats {
	t.Helper()
	return simulateCrashesIn(t, newWorld(25), seed)
}

// simulateCrashesIn does one simulation run in a world.
func simulateCrashesIn(t *testing.T, w *world, seed uint64) crashStats {
	t.Helper()
	draw := rand.New(rand.NewPCG(seed, 1))
	w.allowExtraStarts = true
	w.restartDelay = 3 * time.Second
	w.run(200 * time.Millisecond)
	culprits := 1 + draw.IntN(20)
	accepted := make(map[string]time.Time)
	ended := make(map[string]time.Time)
	jobs := measuredTasks / 4
	bad := draw.Perm(jobs)[:culprits]
	for i := range jobs {
		s := step(4)
		s.Estimate = time.Duration(300+draw.IntN(1400)) * time.Millisecond
		s.Speculative = draw.IntN(3) == 0
		s.Gang = draw.IntN(8) == 0
		id := fmt.Sprintf("j%d", i)
		if slices.Contains(bad, i) {
			w.culprits[job.TaskID{
				Job:   id,
				Index: draw.IntN(4),
			}] = time.Duration(1+draw.IntN(100)) * tick
		}
		w.submit(id, s)
		accepted[id] = w.now
		w.run(time.Duration(draw.IntN(16)) * tick)
		switch draw.IntN(120) {
		case 0:
			w.takeOver()
		case 1:
			w.release(20 * tick)
		case 2, 3:
			workerIDs := w.workerIDs()
			w.crashWorker(w.workers[workerIDs[draw.IntN(len(workerIDs))]])
		}
		recordEnded(w, ended)
	}
	for range 60 {
		w.run(500 * time.Millisecond)
		recordEnded(w, ended)
	}
	w.check(t)
	return w.crashStats(accepted, ended)
}

// recordEnded records when each job was first seen to have ended.
func recordEnded(w *world, ended map[string]time.Time) {
	for id, state := range w.shown {
		if _, noted := ended[id]; state.Final() && !noted {
			ended[id] = w.now
		}
	}
}

// crashStats computes the results of a simulation run.
func (w *world) crashStats(accepted, ended map[string]time.Time) crashStats {
	var stats crashStats
	culpritJobs := make(map[string]bool)
	for id := range w.culprits {
		culpritJobs[id.Job] = true
		stats.crashes = append(stats.crashes, w.crashes[id])
	}
	sum, count := time.Duration(0), 0
	for id, at := range accepted {
		switch {
		case culpritJobs[id]:
		case w.shown[id] != job.Completed:
			stats.failedBystanders++
		default:
			sum += ended[id].Sub(at)
			count++
		}
	}
	stats.meanDuration = sum / time.Duration(count)
	return stats
}

func mean(list []int) float64 {
	sum := 0
	for _, one := range list {
		sum += one
	}
	return float64(sum) / float64(len(list))
}

// TestSimulationRunsRepeat does simulation runs twice with the same order of events. A failure of a
// run can only be traced if the run repeats: the decisions of the shard must not depend on the order
// of a map.
func TestSimulationRunsRepeat(t *testing.T) {
	for seed := range uint64(2) {
		first, second := crashLog(t, seed, 1), crashLog(t, seed, 1)
		for i := range first {
			if i >= len(second) || first[i] != second[i] {
				t.Fatalf("seed %d, line %d of %d and %d:\n%v\n%v", seed, i, len(first), len(second), first[i], second[min(i, len(second)-1)])
			}
		}
	}
}

// crashLog does one simulation run in an order of events that is drawn from a seed as well, and
// returns the lines that owners logged. Those of the same time are sorted: the world executes orders
// that are given at the same time in an order of its own.
func crashLog(t *testing.T, seed, order uint64) []logLine {
	t.Helper()
	var lines []logLine
	w := newOrderedWorld(25, order)
	w.logEvent = func(event string, fields ...any) {
		lines = append(lines, logLine{
			at:   w.now.Sub(w.start),
			text: fmt.Sprint(event, " ", fields),
		})
	}
	simulateCrashesIn(t, w, seed)
	slices.SortStableFunc(lines, func(a, b logLine) int { return cmp.Or(cmp.Compare(a.at, b.at), strings.Compare(a.text, b.text)) })
	return lines
}

// logLine is a line that an owner logged, and when.
type logLine struct {
	at   time.Duration
	text string
}
