package shard_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"lemonstream.dev/lemonstream/job"
	"lemonstream.dev/lemonstream/outside"
	"lemonstream.dev/lemonstream/shard"
)

// submitAdvised submits a job whose steps may only start on workers with a ticket.
func (w *world) submitAdvised(id string, steps ...job.Step) {
	w.policy.Advised = true
	w.submit(id, steps...)
}

func TestAdvisedStepWaitsForTickets(t *testing.T) {
	is := is.New(t)
	w := newWorld(3)
	w.run(200 * time.Millisecond)
	w.submitAdvised("a", step(2))
	w.run(300 * time.Millisecond)
	is.Equal(len(w.ticketRequests), 1) // One ticket request per step, and no start before its answer.
	for _, f := range w.workers {
		is.Equal(len(f.runs), 0)
	}
	w.core.TicketsReceived(w.ticketRequests[0], outside.Tickets{
		ByWorker: map[string]string{
			"w1": "ticket",
		},
		Valid: 3 * time.Second,
	}, nil, w.now)
	w.run(200 * time.Millisecond)
	is.Equal(len(w.workers["w1"].runs), 2) // Only the worker with a ticket may run the step.
	is.Equal(w.workers["w1"].tickets, 2)
	w.run(3 * time.Second)
	is.Equal(w.shown["a"], job.Completed)
	w.check(t)
}

func TestTicketsAreRequestedAgainWhenTheyExpire(t *testing.T) {
	is := is.New(t)
	w := newWorld(1)
	w.run(200 * time.Millisecond)
	full := step(4)
	w.submit("first", full)
	w.run(100 * time.Millisecond)
	w.submitAdvised("a", step(1))
	w.run(100 * time.Millisecond)
	is.Equal(len(w.ticketRequests), 1)
	w.core.TicketsReceived(w.ticketRequests[0], outside.Tickets{
		ByWorker: map[string]string{
			"w0": "ticket",
		},
		Valid: 400 * time.Millisecond,
	}, nil, w.now)
	w.run(3 * time.Second) // The worker was full until the ticket had expired.
	is.True(len(w.ticketRequests) > 1)
}

func TestFailedTicketRequestIsRetried(t *testing.T) {
	is := is.New(t)
	w := newWorld(1)
	w.run(200 * time.Millisecond)
	w.submitAdvised("a", step(1))
	w.run(100 * time.Millisecond)
	w.core.TicketsReceived(w.ticketRequests[0], outside.Tickets{}, &outside.NotDoneError{}, w.now)
	w.run(time.Second)
	is.Equal(len(w.ticketRequests), 2)
	is.Equal(w.ticketRequests[1], shard.TicketRequest{
		Step:    "a.0.0",
		Workers: []string{"w0"},
	})
}

// TestTicketsApplyToOneIncarnation restarts a worker that may not run a step, with or without an
// order that ends its instance, before or after the answer to the ticket request. The next
// incarnation may run the step. A denial was stored by the worker's id and never dropped, so the
// job waited forever.
func TestTicketsApplyToOneIncarnation(t *testing.T) {
	restart := func(w *world) { w.restartWorker(w.workers["w0"], 100*time.Millisecond) }
	endInstance := func(w *world) {
		w.core.RemoveTaken([]string{w.workers["w0"].reg.Incarnation().String()}, w.now)
		restart(w)
	}
	deny := func(w *world) {
		w.core.TicketsReceived(w.ticketRequests[0], outside.Tickets{}, nil, w.now)
	}
	for name, events := range map[string][]func(w *world){
		"starts again before the answer":       {restart, deny},
		"starts again after the answer":        {deny, restart},
		"is taken and back before the answer":  {endInstance, deny},
		"is taken and back after the answer":   {deny, endInstance},
		"starts again twice before the answer": {restart, restart, deny},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(1)
			w.run(200 * time.Millisecond)
			w.submitAdvised("a", step(1))
			w.run(100 * time.Millisecond)
			is.Equal(len(w.ticketRequests), 1)
			for _, event := range events {
				event(w)
				w.run(time.Second)
			}
			for _, ask := range w.ticketRequests[1:] {
				w.core.TicketsReceived(ask, outside.Tickets{
					ByWorker: map[string]string{
						"w0": "ticket",
					},
					Valid: 3 * time.Second,
				}, nil, w.now)
			}
			w.run(5 * time.Second)
			is.Equal(w.shown["a"], job.Completed)
			w.check(t)
		})
	}
}
