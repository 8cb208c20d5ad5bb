package pool_test

import (
	"testing"

	"github.com/matryer/is"
)

// TestInstanceMovesDirectlyBetweenBursts covers services that have demand bursts one after the
// other. At the end of a burst instances were put to sleep while others were woken in the same
// rounds for the next burst. That took two moves where one direct move is enough.
func TestInstanceMovesDirectlyBetweenBursts(t *testing.T) {
	is := is.New(t)
	f := newFleet(map[string]int{
		"a":    20,
		"b":    3,
		asleep: 20,
	})
	f.plan()
	f.plan() // Instances that a does not need are closed by now, about to be put to sleep.
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

// TestSleepingInstancesArePreferredToBusyOnes covers a service with more instances than it needs,
// all of them busy. Sleeping instances are available sooner than busy ones can be drained.
func TestSleepingInstancesArePreferredToBusyOnes(t *testing.T) {
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

// TestOnlySleepingInstancesCoverShortage covers a store outage, in which no instance with a worker
// can be ordered. Planned moves of empty instances then counted as capacity, and none was woken.
func TestOnlySleepingInstancesCoverShortage(t *testing.T) {
	is := is.New(t)
	f := newFleet(map[string]int{
		"a":    20,
		"b":    3,
		asleep: 100, // More than any target.
	})
	f.view.SleepingFirst = true
	f.plan()
	f.plan() // Instances that a does not need are closed by now.
	f.service("b").Load.Used = cpu(48)
	f.service("b").Load.Waiting = cpu(80)
	plan := f.plan()
	woken := 0
	for _, move := range plan.Moves {
		if move.To == "b" {
			is.Equal(move.From, asleep)
			woken++
		}
	}
	is.Equal(woken, plan.Targets["b"]-3)
}
