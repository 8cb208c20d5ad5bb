package main

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"lemonstream.dev/lemonstream/place"
	"lemonstream.dev/lemonstream/work"
)

// placeRuns is how often each placement is made; the best is reported.
const placeRuns = 20

func newPlaceCmd() *ffcli.Command {
	return newMeasureCmd("place", "Time to place one job, by workers and by jobs that run.", func(context.Context) error {
		sizes := []struct {
			name         string
			workers      int
			accelerators int
		}{
			{
				name:         sizeToday,
				workers:      12,
				accelerators: 24,
			},
			{
				name:         sizeTarget,
				workers:      700,
				accelerators: 1200,
			},
			{
				name:         "ten-times-target",
				workers:      7000,
				accelerators: 12_000,
			},
		}
		for _, size := range sizes {
			measurePlace(size.name, size.workers, size.accelerators)
		}
		body, err := json.Marshal(work.Job{
			ID:   "refit-2026-12-02-0001",
			Pool: "modelos",
			Team: "refits",
		})
		report("job-row", sizeTarget, ours, float64(len(body)), "bytes")
		return err
	})
}

// measurePlace has a pool in which every other accelerator is taken place one
// more job, alone and beside a displaced one.
func measurePlace(size string, workers, accelerators int) {
	each := int64(accelerators/workers + 1)
	pool := place.Pool{}
	for number := range workers {
		id := fmt.Sprintf("w%05d", number)
		pool.Workers = append(pool.Workers, place.Worker{
			ID: id,
			Size: place.Size{
				Milliprocessors: 16_000,
				Memory:          32 << 30,
				Accelerators:    each,
			},
		})
		pool.Jobs = append(pool.Jobs, place.Job{
			ID:     "r" + id,
			Worker: id,
			Size: place.Size{
				Milliprocessors: 8000,
				Memory:          16 << 30,
				Accelerators:    each / 2,
			},
		})
	}
	one := place.Job{
		ID: "one",
		Size: place.Size{
			Milliprocessors: 4000,
			Memory:          1 << 30,
			Accelerators:    1,
		},
	}
	report("place-look-at-pool", size, ours, bestOf(func() { pool.Next() }), "us")
	pool.Jobs = append(pool.Jobs, one)
	report("place-look-and-one-job", size, ours, bestOf(func() { pool.Next() }), "us")
	large := one
	large.ID = "large"
	large.Urgent = true
	large.Size.Milliprocessors = 16_000
	pool.Jobs[len(pool.Jobs)-1] = large
	report("place-look-and-one-displacing", size, ours, bestOf(func() { pool.Next() }), "us")
}

// bestOf returns the shortest of several runs in microseconds.
func bestOf(run func()) float64 {
	best := time.Hour
	for range placeRuns {
		begin := time.Now()
		run()
		best = min(best, time.Since(begin))
	}
	return float64(best.Nanoseconds()) / 1000
}
