package pool_test

import (
	"slices"
	"testing"

	"github.com/matryer/is"

	"lemonstream.dev/lemonstream/pool"
)

// TestWorkerOfUnansweredOrderStaysClosed covers an order to an instance that got no answer. The
// next plan opened the instance's worker again because it closed only workers that it moved away
// itself. Tasks started there. The order was repeated without a check for running tasks and ended
// them, so that a long-running step exceeded its disruption budget.
func TestWorkerOfUnansweredOrderStaysClosed(t *testing.T) {
	is := is.New(t)
	f, move := unansweredOrder(is)
	for range 30 { // 6 s, within which the order may still take effect.
		plan := f.plan()
		is.True(slices.Contains(plan.Closed[move.From], move.Worker.Worker))
	}
}

// TestOrderIsNotRepeatedWhileWorkerIsBusy covers a task that starts on the worker of an unanswered
// order although the worker is closed. The order is repeated only after the task has ended.
func TestOrderIsNotRepeatedWhileWorkerIsBusy(t *testing.T) {
	is := is.New(t)
	f, move := unansweredOrder(is)
	workers := f.service(move.From).Load.Workers
	busy := workers[move.Worker.Worker]
	busy.Runs = 1
	workers[move.Worker.Worker] = busy
	for range 10 {
		for _, again := range f.plan().Moves {
			is.True(again.Instance != move.Instance)
		}
	}
	busy.Runs = 0
	workers[move.Worker.Worker] = busy
	repeated := 0
	for range 10 {
		for _, again := range f.plan().Moves {
			if again.Instance == move.Instance {
				repeated++
			}
		}
	}
	is.True(repeated > 0)
}

// unansweredOrder returns a fleet in which an order to move an idle instance got no answer, and
// that order.
func unansweredOrder(is *is.I) (*fleet, pool.Move) {
	f := newFleet(map[string]int{
		"a":    8,
		"b":    3,
		asleep: 0,
	})
	for range 50 {
		plan := f.plan()
		if len(plan.Moves) == 0 {
			continue
		}
		move := plan.Moves[0]
		for _, other := range plan.Moves[1:] {
			f.sizer.Ordered(other.Instance, other.To, other.Worker, 0, f.view.Now)
		}
		f.sizer.Uncertain(move.Instance, move.From, move.To, move.Worker, 0, f.view.Now)
		return f, move
	}
	is.Fail() // No instance was put to sleep.
	return f, pool.Move{}
}
