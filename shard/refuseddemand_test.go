package shard_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"lemonstream.dev/lemonstream/internal/prove"
	"lemonstream.dev/lemonstream/job"
	"lemonstream.dev/lemonstream/shard"
)

const (
	refusedTTL = 1500 * time.Millisecond
	mostNoted  = 4096
)

// TestRefusedJobsCountInTheLoad guards against an outage in which nobody knows what was asked for:
// the pool was sized for nothing and grew only after the store's return.
func TestRefusedJobsCountInTheLoad(t *testing.T) {
	is := is.New(t)
	w := newWorld(1)
	w.run(200 * time.Millisecond)
	before := w.core.Load(w.now)
	first, second, labelled := step(2), step(3), step(1)
	second.After = []int{0}
	labelled.Label = "gpu"
	record := w.record("a", first, second, labelled)
	record.AcceptedMillis = w.now.UnixMilli()
	for range 3 {
		w.core.NoteRefused(record, w.now)
	}
	load := w.core.Load(w.now)
	is.Equal(load.Waiting.MilliCPU-before.Waiting.MilliCPU, 2*first.Charge().MilliCPU) // Once, however often it is offered.
	is.Equal(load.Coming.MilliCPU-before.Coming.MilliCPU, 3*second.Charge().MilliCPU)
	is.Equal(load.Labelled["gpu"].MilliCPU, labelled.Charge().MilliCPU)
	is.Equal(load.Late.MilliCPU, before.Late.MilliCPU)

	late := record
	late.ID = "late"
	late.AcceptedMillis = w.now.Add(-time.Hour).UnixMilli()
	w.core.NoteRefused(late, w.now)
	load = w.core.Load(w.now)
	is.Equal(load.Late.MilliCPU, 2*first.Charge().MilliCPU)
	is.Equal(load.LateComing.MilliCPU, 3*second.Charge().MilliCPU)

	w.core.Accept(record, 1, false, w.now)
	w.core.NoteRefused(record, w.now) // Known by now.
	is.Equal(w.core.RefusedJobs(w.now), 1)
	is.Equal(w.core.Load(w.now).Waiting.MilliCPU, load.Waiting.MilliCPU) // The accepted job counts once.
	is.Equal(w.core.RefusedJobs(w.now.Add(refusedTTL)), 1)
	is.Equal(w.core.RefusedJobs(w.now.Add(refusedTTL+time.Millisecond)), 0)
}

// TestSubmittedJobsThatAreRefusedAreNoted submits jobs and refuses them, as an owner does whose
// transactions fail.
func TestSubmittedJobsThatAreRefusedAreNoted(t *testing.T) {
	is := is.New(t)
	w := newWorld(1)
	w.run(200 * time.Millisecond)
	w.storeDown = true
	w.submitWithAge("a", 0, step(2))
	w.submitWithAge("b", 0, step(1))
	// With a silent store it takes seconds until the jobs are refused; they count before.
	is.Equal(w.core.Load(w.now).Waiting.MilliCPU, 3*step(1).Charge().MilliCPU)
	w.core.RefuseSubmitted(w.now)
	is.Equal(w.core.RefusedJobs(w.now), 2)
	is.Equal(w.core.Load(w.now).Waiting.MilliCPU, 3*step(1).Charge().MilliCPU)
	w.storeDown = false
	w.submitWithAge("a", 0, step(2))
	w.run(400 * time.Millisecond)
	is.True(w.taken["a"])
	is.Equal(w.core.RefusedJobs(w.now), 1)
}

// TestRefusedDemandIsBounded compares the noted jobs with a plain list. Too many jobs, or jobs that
// never expire, would fill the memory of an entry in an outage.
func TestRefusedDemandIsBounded(t *testing.T) {
	prove.Property(t, func(rt *rapid.T) {
		is := is.New(t)
		var demand shard.RefusedDemand
		now := time.UnixMilli(1_776_052_010_123)
		offered := make(map[string]time.Time)
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(rt, "ms")) * time.Millisecond)
			id := fmt.Sprint(rapid.IntRange(0, 9).Draw(rt, "job"))
			if rapid.Bool().Draw(rt, "accepted") {
				demand.Forget(id)
				delete(offered, id)
			} else {
				demand.Note(id, nil, now)
				offered[id] = now
			}
			count := 0
			for _, at := range offered {
				if now.Sub(at) <= refusedTTL {
					count++
				}
			}
			is.Equal(demand.Count(now), count)
		}
		for i := range mostNoted + 50 {
			demand.Note(fmt.Sprint("more-", i), []shard.RefusedStep{{
				Need: job.Room{
					MilliCPU: 1,
				},
			}}, now)
		}
		is.Equal(demand.Count(now), mostNoted)
	})
}
