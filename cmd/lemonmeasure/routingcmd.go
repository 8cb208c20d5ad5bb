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

// routing is one run of the measure.
type routing struct {
	pick    chooser
	random  *rand.Rand
	workers []*worker
	now     time.Duration
	running calls

	// waiting holds each entry's own queue.
	waiting [routingEntries][]*call

	// waits are in milliseconds.
	waits   []float64
	failed  int
	refused int
	peak    int
}

func measureRouting(policy string) {
	r := &routing{
		pick:   newChooser(policy),
		random: rand.New(rand.NewPCG(7, 7)),
	}
	rate := r.addWorkers() * routingLoad
	for range routingRequests {
		arrival := r.now + time.Duration(r.random.ExpFloat64()/rate*float64(time.Second))
		for len(r.running) > 0 && r.running[0].ends <= arrival {
			r.finish()
			r.drain()
		}
		r.now = arrival
		r.arrive()
	}
	sort.Float64s(r.waits)
	report("routing-wait-p99", sizeToday, policy, r.waits[len(r.waits)*99/100], "ms")
	report("routing-wait-max", sizeToday, policy, r.waits[len(r.waits)-1], "ms")
	report("routing-failed", sizeToday, policy, 100*float64(r.failed)/routingRequests, "percent")
	report("routing-refused", sizeToday, policy, 100*float64(r.refused)/routingRequests, "percent")
	report("routing-peak-at-worker", sizeToday, policy, float64(r.peak), "requests")
}

// addWorkers returns how many requests a second the good workers can do.
func (r *routing) addWorkers() float64 {
	rate := 0.0
	for number := range routingWorkers {
		w := &worker{
			mean:    routingMean * time.Duration(1+number%4),
			failing: number == routingWorkers-1,
		}
		if !w.failing {
			rate += routingSlots / w.mean.Seconds()
		}
		r.workers = append(r.workers, w)
	}
	return rate
}

// arrive has a request come in at one of the entries.
func (r *routing) arrive() {
	c := &call{
		entry:   r.random.IntN(routingEntries),
		arrived: r.now,
	}
	switch {
	case len(r.waiting[c.entry]) == 0 && r.place(c):
	case len(r.waiting[c.entry]) < routingQueue:
		r.waiting[c.entry] = append(r.waiting[c.entry], c)
	default:
		r.refused++
	}
}

// drain places what waits at the entries.
func (r *routing) drain() {
	for entry := range r.waiting {
		for len(r.waiting[entry]) > 0 && r.place(r.waiting[entry][0]) {
			r.waiting[entry] = r.waiting[entry][1:]
		}
	}
}

// finish ends the request that ends next.
func (r *routing) finish() {
	c, _ := heap.Pop(&r.running).(*call)
	r.now = c.ends
	w := r.workers[c.worker]
	w.busy--
	if w.failing {
		r.failed++
	}
	c.done(r.now-c.arrived, w.failing)
	if len(w.queue) > 0 {
		next := w.queue[0]
		w.queue = w.queue[1:]
		r.start(next)
	}
}

// place sends a request to a worker, or reports that its entry must keep it.
func (r *routing) place(c *call) bool {
	number, done := r.pick(c.entry, r.now, r.random)
	if number < 0 {
		return false
	}
	c.worker = number
	c.done = done
	w := r.workers[number]
	r.peak = max(r.peak, w.busy+len(w.queue)+1)
	if w.busy < routingSlots {
		r.start(c)
		return true
	}
	w.queue = append(w.queue, c)
	return true
}

func (r *routing) start(c *call) {
	w := r.workers[c.worker]
	w.busy++
	length := routingFailTime
	if !w.failing {
		length = time.Duration(r.random.ExpFloat64() * float64(w.mean))
	}
	r.waits = append(r.waits, (r.now-c.arrived).Seconds()*1000)
	c.ends = r.now + length
	heap.Push(&r.running, c)
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
