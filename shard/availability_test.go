package shard_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lemonstream.dev/lemonstream/internal/prove"
	"lemonstream.dev/lemonstream/outside"
	"lemonstream.dev/lemonstream/pool"
)

const (
	// availabilityVariable names the environment variable with the number of simulation runs
	// for each kind of fault.
	availabilityVariable = "AVAILABILITY_DAYS"
	availabilityDays     = 2

	// simulationRounds is the number of rounds in a simulation run. A round takes some 300 ms
	// and may begin or end faults. guardRounds is the number of rounds in a short run.
	simulationRounds = 100
	guardRounds      = 10
)

// faultKind is one kind of fault. inject begins a fault, clearFaults ends it.
type faultKind struct {
	name   string
	inject func(w *world, h *instanceController, draw *rand.Rand)
}

// faultKinds returns every kind of fault that a simulation run may inject.
func faultKinds() []faultKind {
	randomWorker := func(w *world, draw *rand.Rand) *fakeWorker {
		workerIDs := w.workerIDs()
		return w.workers[workerIDs[draw.IntN(len(workerIDs))]]
	}
	return []faultKind{
		{name: "calm", inject: func(*world, *instanceController, *rand.Rand) {}},
		{name: "late stops", inject: func(w *world, _ *instanceController, draw *rand.Rand) {
			w.stopDelay = time.Duration(1+draw.IntN(12)) * time.Second
		}},
		{name: "late starts", inject: func(w *world, _ *instanceController, draw *rand.Rand) {
			w.startDelay = time.Duration(1+draw.IntN(30)) * 100 * time.Millisecond
		}},
		{name: "late looks", inject: func(w *world, _ *instanceController, draw *rand.Rand) {
			w.pollDelay = time.Duration(1+draw.IntN(30)) * 100 * time.Millisecond
		}},
		{name: "silent workers", inject: func(w *world, _ *instanceController, draw *rand.Rand) { randomWorker(w, draw).partitioned = true }},
		{name: "crashes", inject: func(w *world, _ *instanceController, draw *rand.Rand) { w.crashWorker(randomWorker(w, draw)) }},
		{name: "unhealthy workers", inject: func(w *world, _ *instanceController, draw *rand.Rand) { randomWorker(w, draw).unhealthy = true }},
		{name: "deaf workers", inject: func(w *world, _ *instanceController, draw *rand.Rand) { randomWorker(w, draw).ignoreStops = 1 }},
		{name: "instance orders without answers", inject: func(_ *world, h *instanceController, draw *rand.Rand) {
			h.unansweredOrders = true
			h.orderDelay = time.Duration(draw.IntN(9)) * 100 * time.Millisecond
		}},
		{name: "slow announcements", inject: func(_ *world, h *instanceController, draw *rand.Rand) {
			h.announceDelay = time.Duration(draw.IntN(95)) * tick
		}},
		{name: "takeovers", inject: func(w *world, _ *instanceController, _ *rand.Rand) { w.takeOver() }},
		{name: "hand-overs", inject: func(w *world, _ *instanceController, draw *rand.Rand) { w.release(time.Duration(draw.IntN(50)) * tick) }},
	}
}

// clearFaults ends the faults that are in effect.
func clearFaults(w *world, h *instanceController) {
	for _, f := range w.workers {
		f.partitioned = false
		f.unhealthy = false
	}
	w.startDelay = 0
	w.stopDelay = 0
	w.pollDelay = 0
	h.unansweredOrders = false
	h.announceDelay = 2 * tick
}

// TestAvailabilityUnderFaults simulates bursts of demand and a maintenance wave on a pool with
// long-running tasks, with one kind of fault or all of them. No order may make more tasks of a
// step unavailable than the step may miss.
func TestAvailabilityUnderFaults(t *testing.T) {
	runs := availabilityDays
	if text := os.Getenv(availabilityVariable); text != "" {
		var err error
		if runs, err = strconv.Atoi(text); err != nil {
			t.Fatal(err)
		}
	}
	kinds := faultKinds()
	for _, kind := range kinds {
		t.Run(strings.ReplaceAll(kind.name, " ", "-"), func(t *testing.T) {
			runSimulations(t, runs, []faultKind{kind})
		})
	}
	t.Run("all", func(t *testing.T) { runSimulations(t, runs, kinds) })
}

// TestWhoIsAtWorkCarriesAvailability checks that the simulation above detects a missing guard: the
// percentage by which a worker reports how far a run is available. Without the guard, workers
// report every run as fully available.
func TestWhoIsAtWorkCarriesAvailability(t *testing.T) {
	prove.Guard(t, prove.Budget, "percent-says-who-is-at-work", func(on bool) func(*rapid.T) {
		return func(t *rapid.T) {
			seed := rapid.Uint64Range(0, 1000).Draw(t, "seed")
			simulateAvailability(seed, guardRounds, faultKinds()[:1], func(w *world) { w.reportAllAvailable = !on }).check(t)
		}
	})
}

func runSimulations(t *testing.T, runs int, kinds []faultKind) {
	t.Helper()
	runPreparedSimulations(t, runs, kinds, func(*world) {})
}

// runPreparedSimulations is runSimulations in worlds that prepare changes before the run.
func runPreparedSimulations(t *testing.T, runs int, kinds []faultKind, prepare func(*world)) {
	t.Helper()
	stops, takenDown, broken := 0, 0, 0
	for seed := range uint64(runs) {
		w := simulateAvailability(seed, simulationRounds, kinds, prepare)
		stops += w.stops
		takenDown += w.instanceController.takenDown
		if len(w.violations) > 0 {
			broken++
			t.Errorf("seed %d: %s", seed, strings.Join(w.violations, "\n"))
		}
	}
	t.Logf("days=%d broken=%d stops=%d instances_taken=%d", runs, broken, stops, takenDown)
}

// simulateAvailability does one simulation run of the given number of rounds. prepare changes the
// world before the run. The returned world holds the violations and counters of the run.
func simulateAvailability(seed uint64, rounds int, kinds []faultKind, prepare func(*world)) *world {
	draw := rand.New(rand.NewPCG(seed, 2))
	w := newWorld(10)
	prepare(w)
	h := newInstanceController(w, 6)
	h.announceDelay = 2 * tick
	w.run(200 * time.Millisecond)
	for i, count := range []int{3, 5, 8} {
		s := lasting(count, 1+i/2)
		s.PerWorker = 1
		w.submit(fmt.Sprintf("lasting%d", i), s)
	}
	w.run(3 * time.Second)
	h.waves = append(h.waves, maintenanceWave(h, w.now))
	for round := range rounds {
		if phase := round / 15; phase%2 == 0 {
			w.submit(fmt.Sprintf("j%d", round), step(4+draw.IntN(12)))
		}
		switch draw.IntN(8) {
		case 0, 1:
			kinds[draw.IntN(len(kinds))].inject(w, h, draw)
		case 2:
			clearFaults(w, h)
		}
		w.run(time.Duration(draw.IntN(60)) * tick)
	}
	return w
}

// maintenanceWave returns a maintenance wave over every other instance.
func maintenanceWave(h *instanceController, now time.Time) *pool.Wave {
	wave := &pool.Wave{
		Wave: outside.Wave{
			Number: 1,
			Within: 25 * time.Second,
			AtOnce: 4,
		},
		Seen: now,
		Done: make(map[string]bool),
	}
	for i, m := range h.instances {
		if i%2 == 0 {
			wave.Instances = append(wave.Instances, m.id)
		}
	}
	return wave
}
