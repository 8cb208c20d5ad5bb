package main

import (
	"container/heap"
	"context"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"lemonstream.dev/lemonstream/admit"
	"lemonstream.dev/lemonstream/route"
)

// The load of the routing measure: nine entries in front of twelve workers of
// eight slots, at about 70% of what the workers can do.
const (
	routingEntries  = 9
	routingRequests = 200_000
	routingSlots    = 8
	routingWorkers  = 12
	routingLoad     = 0.7
	routingQueue    = 256

	// routingMean is the mean service time of the fastest worker; the slowest
	// takes four times as long.
	routingMean = 10 * time.Millisecond

	// routingFailTime is how fast the failing worker fails.
	routingFailTime = 200 * time.Microsecond
)

// worker is a worker as it really is: slots, a queue and its own speed.
type worker struct {
	mean    time.Duration
	failing bool
	busy    int
	queue   []*call
}

// call is one request under way; times are since the start of the measure.
type call struct {
	entry   int
	worker  int
	arrived time.Duration
	ends    time.Duration
	done    func(elapsed time.Duration, failed bool)
}

// calls is a heap by end.
type calls []*call

// chooser picks a worker for an entry, or -1 to refuse.
type chooser func(entry int, now time.Duration, random *rand.Rand) (worker int, done func(elapsed time.Duration, failed bool))

func newRoutingCmd() *ffcli.Command {
	return newMeasureCmd("routing", "Wait, failures and refusals against round robin and random choice.", func(context.Context) error {
		for _, policy := range []string{ours, "round-robin", "random"} {
			measureRouting(policy)
		}
		return nil
	})
}

func measureRouting(policy string) {
	workers := make([]*worker, routingWorkers)
	rate := 0.0
	for number := range workers {
		mean := routingMean * time.Duration(1+number%4)
		workers[number] = &worker{
			mean:    mean,
			failing: number == routingWorkers-1,
		}
		if !workers[number].failing {
			rate += routingSlots / mean.Seconds()
		}
	}
	rate *= routingLoad
	random := rand.New(rand.NewPCG(7, 7))
	pick := newChooser(policy)
	var waits []float64
	failed, refused, peak := 0, 0, 0
	var running calls
	now := time.Duration(0)
	start := func(c *call) {
		w := workers[c.worker]
		w.busy++
		length := routingFailTime
		if !w.failing {
			length = time.Duration(random.ExpFloat64() * float64(w.mean))
		}
		waits = append(waits, (now-c.arrived).Seconds()*1000)
		c.ends = now + length
		heap.Push(&running, c)
	}
	finish := func() {
		c, _ := heap.Pop(&running).(*call)
		now = c.ends
		w := workers[c.worker]
		w.busy--
		if w.failing {
			failed++
		}
		c.done(now-c.arrived, w.failing)
		if len(w.queue) > 0 {
			next := w.queue[0]
			w.queue = w.queue[1:]
			start(next)
		}
	}
	// place sends a call to a worker, or reports that the entry must keep it.
	place := func(c *call) bool {
		number, done := pick(c.entry, now, random)
		if number < 0 {
			return false
		}
		c.worker = number
		c.done = done
		w := workers[number]
		peak = max(peak, w.busy+len(w.queue)+1)
		if w.busy < routingSlots {
			start(c)
		} else {
			w.queue = append(w.queue, c)
		}
		return true
	}
	var waiting [routingEntries][]*call
	drain := func() {
		for entry := range waiting {
			for len(waiting[entry]) > 0 && place(waiting[entry][0]) {
				waiting[entry] = waiting[entry][1:]
			}
		}
	}
	for range routingRequests {
		arrival := now + time.Duration(random.ExpFloat64()/rate*float64(time.Second))
		for len(running) > 0 && running[0].ends <= arrival {
			finish()
			drain()
		}
		now = arrival
		c := &call{
			entry:   random.IntN(routingEntries),
			arrived: now,
		}
		switch {
		case len(waiting[c.entry]) == 0 && place(c):
		case len(waiting[c.entry]) < routingQueue:
			waiting[c.entry] = append(waiting[c.entry], c)
		default:
			refused++
		}
	}
	sort.Float64s(waits)
	report("routing-wait-p99", sizeToday, policy, waits[len(waits)*99/100], "ms")
	report("routing-wait-max", sizeToday, policy, waits[len(waits)-1], "ms")
	report("routing-failed", sizeToday, policy, 100*float64(failed)/routingRequests, "percent")
	report("routing-refused", sizeToday, policy, 100*float64(refused)/routingRequests, "percent")
	report("routing-peak-at-worker", sizeToday, policy, float64(peak), "requests")
}

func newChooser(policy string) chooser {
	nothing := func(time.Duration, bool) {}
	next := 0
	switch policy {
	case "random":
		return func(_ int, _ time.Duration, random *rand.Rand) (int, func(time.Duration, bool)) {
			return random.IntN(routingWorkers), nothing
		}
	case "round-robin":
		return func(int, time.Duration, *rand.Rand) (int, func(time.Duration, bool)) {
			next++
			return next % routingWorkers, nothing
		}
	default:
		return newOwnChooser()
	}
}

// newOwnChooser gives each entry its own view of the workers and its share of
// their slots, as the daemon does when all entries ask for the same.
func newOwnChooser() chooser {
	var claims []admit.Claim
	for entry := range routingEntries {
		claims = append(claims, admit.Claim{
			Entry:  string(rune('a' + entry)),
			Demand: 1,
		})
	}
	services := make([]*route.Service, routingEntries)
	numbers := make(map[*route.Endpoint]int)
	for entry := range services {
		endpoints := newEndpoints(routingWorkers, 0)
		for number, endpoint := range endpoints {
			numbers[endpoint] = number
			endpoint.SetLimit(max(1, admit.Slots(claims[entry].Entry, routingSlots, claims, func(other string) uint64 {
				return rankOf(endpoint.ID + other)
			})))
		}
		services[entry] = route.NewService("s", endpoints, 0.34)
	}
	return func(entry int, now time.Duration, random *rand.Rand) (int, func(time.Duration, bool)) {
		service := services[entry]
		endpoint, _ := service.Choose(route.Request{
			Now:    now.Milliseconds(),
			Random: random.Uint64(),
		})
		if endpoint == nil {
			return -1, nil
		}
		return numbers[endpoint], func(elapsed time.Duration, failed bool) {
			service.Done(endpoint, (now + elapsed).Milliseconds(), elapsed, failed)
		}
	}
}

// Len implements heap.Interface.
func (c calls) Len() int { return len(c) }

// Less implements heap.Interface.
func (c calls) Less(i, j int) bool { return c[i].ends < c[j].ends }

// Swap implements heap.Interface.
func (c calls) Swap(i, j int) { c[i], c[j] = c[j], c[i] }

// Push implements heap.Interface.
func (c *calls) Push(x any) {
	one, _ := x.(*call)
	*c = append(*c, one)
}

// Pop implements heap.Interface.
func (c *calls) Pop() any {
	old := *c
	last := old[len(old)-1]
	*c = old[:len(old)-1]
	return last
}
