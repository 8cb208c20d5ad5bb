package pool_test

import (
	"testing"

	"github.com/matryer/is"
)

// The fleet's services have turns of demand, one after the other. At the end of a turn instances
// were sent to sleep, and in the same rounds others were woken for the next turn: two moves for
// each instance that could have gone straight from one service to the other with one.
func TestInstanceGoesStraightFromOneTurnToTheNext(t *testing.T) {
	is := is.New(t)
	f := newFleet(map[string]int{
		"a":    20,
		"b":    3,
		asleep: 20,
	})
	f.plan()
	f.plan() // What a does not need is closed by now, and goes to sleep.
	f.service("b").Load.Used = cpu(48)
	f.service("b").Load.Waiting = cpu(80)
	straight := 0
	for _, move := range f.plan().Moves {
		if move.From == "a" {
			is.Equal(move.To, "b")
			straight++
		}
	}
	is.Equal(straight, 17)
}

// TestServiceIsNotLeftWaitingForAnotherToEmpty covers a service that has more than it needs, all
// of it at work: sleeping instances are there sooner.
func TestServiceIsNotLeftWaitingForAnotherToEmpty(t *testing.T) {
	is := is.New(t)
	f := newFleet(map[string]int{
		"a":    20,
		"b":    3,
		asleep: 20,
	})
	for id, load := range f.service("a").Load.Workers {
		load.Runs = 1
		f.service("a").Load.Workers[id] = load
	}
	f.service("b").Load.Used = cpu(48)
	f.service("b").Load.Waiting = cpu(80)
	woken := 0
	for _, move := range f.plan().Moves {
		if move.From == asleep && move.To == "b" {
			woken++
		}
	}
	is.True(woken >= 6)
}
