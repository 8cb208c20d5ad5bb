package place_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"lemonstream.dev/lemonstream/internal/prove"
	"lemonstream.dev/lemonstream/place"
)

func workers(count int) []place.Worker {
	some := make([]place.Worker, 0, count)
	for number := range count {
		some = append(some, place.Worker{
			ID:   fmt.Sprintf("w%d", number),
			Size: size(8, 1),
		})
	}
	return some
}

func size(processors, accelerators int64) place.Size {
	return place.Size{
		Milliprocessors: processors * 1000,
		Memory:          processors << 30,
		Accelerators:    accelerators,
	}
}

func failedOn(workers ...string) map[string]bool {
	failed := make(map[string]bool)
	for _, worker := range workers {
		failed[worker] = true
	}
	return failed
}

func TestUrgentJobStartsInFullPool(t *testing.T) {
	is := is.New(t)
	pool := place.Pool{
		Workers: workers(2),
	}
	for number := range 4 {
		pool.Jobs = append(pool.Jobs, place.Job{
			ID:          fmt.Sprintf("refit%d", number),
			Size:        size(4, 0),
			Worker:      fmt.Sprintf("w%d", number/2),
			Checkpoints: number,
		})
	}
	pool.Jobs = append(pool.Jobs, place.Job{
		ID:     "alert",
		Urgent: true,
		Size:   size(3, 0),
	})
	steps := pool.Next()
	is.Equal(steps.Checkpoint, []string{"refit0"}) // One suffices: the job with the fewest checkpoints.
	is.Equal(steps.Start["alert"], "w0")
}

func TestUrgentJobNeverDisplacesUrgent(t *testing.T) {
	is := is.New(t)
	steps := place.Pool{
		Workers: workers(1),
		Jobs: []place.Job{
			{
				ID:     "first",
				Urgent: true,
				Size:   size(8, 0),
				Worker: "w0",
			},
			{
				ID:     "second",
				Urgent: true,
				Size:   size(8, 0),
			},
		},
	}.Next()
	is.Equal(len(steps.Checkpoint), 0)
	is.Equal(len(steps.Start), 0)
}

func TestBlame(t *testing.T) {
	cases := map[string]struct {
		jobs    []place.Job
		takeOut []string
		aside   map[string]place.Reason
	}{
		"a job that fails everywhere": {
			jobs: []place.Job{{
				ID:       "bad",
				Size:     size(1, 0),
				FailedOn: failedOn("w0", "w1", "w2"),
			}},
			aside: map[string]place.Reason{"bad": place.ReasonFails},
		},
		"a worker on which all jobs fail": {
			jobs: []place.Job{
				{
					ID:       "a",
					Size:     size(1, 0),
					FailedOn: failedOn("w0"),
				},
				{
					ID:       "b",
					Size:     size(1, 0),
					FailedOn: failedOn("w0"),
				},
				{
					ID:       "c",
					Size:     size(1, 0),
					FailedOn: failedOn("w0"),
				},
			},
			takeOut: []string{"w0"},
		},
		"a job that also failed on a faulty worker": {
			jobs: []place.Job{
				{
					ID:       "a",
					Size:     size(1, 0),
					FailedOn: failedOn("w0"),
				},
				{
					ID:       "b",
					Size:     size(1, 0),
					FailedOn: failedOn("w0"),
				},
				{
					ID:       "c",
					Size:     size(1, 0),
					FailedOn: failedOn("w0"),
				},
				{
					ID:       "d",
					Size:     size(1, 0),
					FailedOn: failedOn("w0", "w1", "w2"),
				},
			},
			takeOut: []string{"w0"},
		},
		"a job that fits no worker": {
			jobs: []place.Job{{
				ID:   "huge",
				Size: size(64, 0),
			}},
			aside: map[string]place.Reason{"huge": place.ReasonNeverFits},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			steps := place.Pool{
				Workers: workers(4),
				Jobs:    c.jobs,
			}.Next()
			is.Equal(steps.TakeOut, c.takeOut)
			is.Equal(len(steps.SetAside), len(c.aside))
			for id, reason := range c.aside {
				is.Equal(steps.SetAside[id], reason)
			}
			for job, worker := range steps.Start {
				is.True(worker != "w0" || len(c.takeOut) == 0) // Nothing starts on a faulty worker.
				is.True(steps.SetAside[job] == "")
			}
		})
	}
}

func TestLearnTrustsUsage(t *testing.T) {
	is := is.New(t)
	declared := size(8, 1)
	is.Equal(place.EstimateSize(declared, place.Size{}), declared) // No usage observed.
	is.Equal(place.EstimateSize(declared, size(16, 0)).Milliprocessors, int64(18_000))
	is.Equal(place.EstimateSize(declared, place.Size{
		Milliprocessors: 1,
		Memory:          1,
	}).Milliprocessors, int64(400))
	is.Equal(place.EstimateSize(declared, size(16, 0)).Accelerators, int64(1)) // Accelerators are assigned whole.
}

// TestPoolMachine simulates a pool: no worker is overcommitted, no job starts
// while it runs, and every job finishes.
func TestPoolMachine(t *testing.T) {
	prove.Property(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		pool := place.Pool{
			Workers: workers(3),
		}
		left := make(map[string]int)
		for number := range rapid.IntRange(1, 25).Draw(t, "jobs") {
			job := place.Job{
				ID:      fmt.Sprintf("j%02d", number),
				Urgent:  rapid.IntRange(0, 4).Draw(t, "urgent") == 0,
				Size:    size(int64(rapid.IntRange(1, 8).Draw(t, "processors")), int64(rapid.IntRange(0, 1).Draw(t, "accelerators"))),
				Waiting: now.Add(time.Duration(number) * time.Second),
			}
			left[job.ID] = rapid.IntRange(1, 4).Draw(t, "length")
			pool.Jobs = append(pool.Jobs, job)
		}
		for round := 0; len(pool.Jobs) > 0; round++ {
			if round > 200 {
				t.Fatalf("%d jobs did not finish in 200 rounds", len(pool.Jobs))
			}
			step(t, &pool, left, now.Add(time.Duration(round)*time.Minute))
		}
	})
}

// step carries out the next steps, checks that no worker is overcommitted, and
// counts down the remaining rounds of the running jobs.
func step(t *rapid.T, pool *place.Pool, left map[string]int, now time.Time) {
	steps := pool.Next()
	for i := range pool.Jobs {
		job := &pool.Jobs[i]
		for _, id := range steps.Checkpoint {
			if job.ID == id {
				job.Worker = ""
				job.Waiting = now
				job.Checkpoints++
			}
		}
		if worker, starts := steps.Start[job.ID]; starts {
			if job.Worker != "" {
				t.Fatalf("job %s starts while it runs", job.ID)
			}
			job.Worker = worker
		}
	}
	used := make(map[string]place.Size)
	var rest []place.Job
	for _, job := range pool.Jobs {
		if job.Worker != "" {
			sum := used[job.Worker]
			sum.Milliprocessors += job.Size.Milliprocessors
			sum.Accelerators += job.Size.Accelerators
			used[job.Worker] = sum
			left[job.ID]--
		}
		if left[job.ID] > 0 {
			rest = append(rest, job)
		}
	}
	for id, sum := range used {
		if sum.Milliprocessors > 8000 || sum.Accelerators > 1 {
			t.Fatalf("worker %s is overcommitted: %+v", id, sum)
		}
	}
	pool.Jobs = rest
}
