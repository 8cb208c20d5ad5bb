package pool_test

import (
	"slices"
	"testing"

	"github.com/matryer/is"

	"lemonstream.dev/lemonstream/pool"
)

// An order to an instance got no answer. From the next round on its worker was open again: the
// plan closed only those that it sent away itself. Tasks started there, and the repetition of
// the order, which asked nothing, ended them: more of a lasting step than it may miss.
//
//	12.985 instance order without success instance=m-2904a worker=i-8eab648555 (no answer)
//	15.001 worker closed worker=i-8eab648555 runs=0
//	16.422 instance ordered instance=m-2904a worker=i-8eab648555
func TestWorkerOfAnOrderWithoutAnswerStaysClosed(t *testing.T) {
	is := is.New(t)
	f, move := orderWithoutAnswer(is)
	for range 30 { // 6 s, within which it may be carried out.
		plan := f.plan()
		is.True(slices.Contains(plan.Closed[move.From], move.Worker.Worker))
	}
}

// TestOrderIsNotRepeatedWhileItsWorkerRunsSomething lets a task start on such a worker all the
// same.
func TestOrderIsNotRepeatedWhileItsWorkerRunsSomething(t *testing.T) {
	is := is.New(t)
	f, move := orderWithoutAnswer(is)
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

// orderWithoutAnswer returns a fleet in which an order to an idle instance has got no answer.
func orderWithoutAnswer(is *is.I) (*fleet, pool.Move) {
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
		f.sizer.Unsure(move.Instance, move.From, move.To, move.Worker, 0, f.view.Now)
		return f, move
	}
	is.Fail() // No instance was sent to sleep.
	return f, pool.Move{}
}
