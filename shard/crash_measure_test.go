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
	// seedsVariable names the environment variable with the number of seeds to measure; a
	// few are enough to hold the bounds.
	seedsVariable = "CRASH_SEEDS"
	defaultSeeds  = 4

	// measuredTasks is the number of tasks of a measured day.
	measuredTasks = 1000
)

// crashDay is what one measured day came to.
type crashDay struct {
	// crashes holds the workers that each culprit crashed, in their order.
	crashes []int

	// innocents is the number of innocent jobs that were given up.
	innocents int

	// waited is how long innocent jobs took beyond their work, on the mean.
	waited time.Duration
}

// TestCulpritsAmongManyInnocents measures days of a thousand tasks, 1 to 20 of which crash
// each worker that starts them, after 10 ms to 1 s, under takeovers and crashes that have
// another cause. No culprit takes more than three workers and the two that owners may not
// have seen; no innocent job is given up. CRASH_SEEDS sets the number of days.
func TestCulpritsAmongManyInnocents(t *testing.T) {
	seeds := defaultSeeds
	if text := os.Getenv(seedsVariable); text != "" {
		var err error
		if seeds, err = strconv.Atoi(text); err != nil {
			t.Fatal(err)
		}
	}
	var crashes []int
	innocents, most := 0, 0
	var waited time.Duration
	for seed := range uint64(seeds) {
		day := measureCrashes(t, seed)
		crashes = append(crashes, day.crashes...)
		innocents += day.innocents
		waited += day.waited / time.Duration(seeds)
		most = max(most, slices.Max(day.crashes))
	}
	slices.Sort(crashes)
	t.Logf("seeds=%d culprits=%d crashes_mean=%.2f crashes_median=%d crashes_most=%d innocent_jobs_given_up=%d innocent_wait_ms=%d",
		seeds, len(crashes), mean(crashes), crashes[len(crashes)/2], most, innocents, waited.Milliseconds())
	if innocents > 0 || most > crashBound+startsAfter {
		t.Errorf("%d innocent jobs given up, %d workers crashed under one task", innocents, most)
	}
}

// measureCrashes plays one day.
func measureCrashes(t *testing.T, seed uint64) crashDay {
	t.Helper()
	draw := rand.New(rand.NewPCG(seed, 1))
	w := newWorld(25)
	w.lenient = true
	w.backAfter = 3 * time.Second
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
			names := w.names()
			w.crashUnder(w.workers[names[draw.IntN(len(names))]])
		}
		noteEnded(w, ended)
	}
	for range 60 {
		w.run(500 * time.Millisecond)
		noteEnded(w, ended)
	}
	w.check(t)
	return w.crashDay(accepted, ended)
}

// noteEnded notes when jobs were first seen to have ended.
func noteEnded(w *world, ended map[string]time.Time) {
	for id, state := range w.shown {
		if _, noted := ended[id]; state.Final() && !noted {
			ended[id] = w.now
		}
	}
}

// crashDay sums a day up.
func (w *world) crashDay(accepted, ended map[string]time.Time) crashDay {
	var day crashDay
	guilty := make(map[string]bool)
	for id := range w.culprits {
		guilty[id.Job] = true
		day.crashes = append(day.crashes, w.crashes[id])
	}
	sum, count := time.Duration(0), 0
	for id, at := range accepted {
		switch {
		case guilty[id]:
		case w.shown[id] != job.Completed:
			day.innocents++
		default:
			sum += ended[id].Sub(at)
			count++
		}
	}
	day.waited = sum / time.Duration(count)
	return day
}

func mean(list []int) float64 {
	sum := 0
	for _, one := range list {
		sum += one
	}
	return float64(sum) / float64(len(list))
}
