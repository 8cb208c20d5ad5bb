package shard_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"lemonstream.dev/lemonstream/job"
	"lemonstream.dev/lemonstream/outside"
	"lemonstream.dev/lemonstream/shard"
)

// advised submits a job of a queue whose steps only some workers may run.
func (w *world) advised(id string, steps ...job.Step) {
	w.policy.Advised = true
	w.submit(id, steps...)
}

func TestAdvisedStepWaitsForTickets(t *testing.T) {
	is := is.New(t)
	w := newWorld(3)
	w.run(200 * time.Millisecond)
	w.advised("a", step(2))
	w.run(300 * time.Millisecond)
	is.Equal(len(w.asks), 1) // One question a step, and no start before its answer.
	for _, f := range w.workers {
		is.Equal(len(f.runs), 0)
	}
	w.core.Advised(w.asks[0], outside.Tickets{
		ByWorker: map[string]string{
			"w1": "ticket",
		},
		Valid: 3 * time.Second,
	}, nil, w.now)
	w.run(200 * time.Millisecond)
	is.Equal(len(w.workers["w1"].runs), 2) // Only the named worker may run it.
	is.Equal(w.workers["w1"].tickets, 2)
	w.run(3 * time.Second)
	is.Equal(w.shown["a"], job.Completed)
	w.check(t)
}

func TestAdviceIsAskedForAgainWhenTicketsEnd(t *testing.T) {
	is := is.New(t)
	w := newWorld(1)
	w.run(200 * time.Millisecond)
	full := step(4)
	w.submit("first", full)
	w.run(100 * time.Millisecond)
	w.advised("a", step(1))
	w.run(100 * time.Millisecond)
	is.Equal(len(w.asks), 1)
	w.core.Advised(w.asks[0], outside.Tickets{
		ByWorker: map[string]string{
			"w0": "ticket",
		},
		Valid: 400 * time.Millisecond,
	}, nil, w.now)
	w.run(3 * time.Second) // The worker was full until the ticket had ended.
	is.True(len(w.asks) > 1)
}

func TestFailedQuestionIsRepeated(t *testing.T) {
	is := is.New(t)
	w := newWorld(1)
	w.run(200 * time.Millisecond)
	w.advised("a", step(1))
	w.run(100 * time.Millisecond)
	w.core.Advised(w.asks[0], outside.Tickets{}, &outside.NotDoneError{}, w.now)
	w.run(time.Second)
	is.Equal(len(w.asks), 2)
	is.Equal(w.asks[1], shard.Ask{
		Step:    "a.0.0",
		Workers: []string{"w0"},
	})
}
