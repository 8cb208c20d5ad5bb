package pool_test

import (
	"testing"

	"github.com/matryer/is"
)

// evacuate puts the first count instances of a pool into an evacuated availability zone and
// returns their IDs.
func (f *fleet) evacuate(pool string, count int) map[string]bool {
	const zone = "evacuated"
	moved := make(map[string]bool)
	for i := range f.view.Instances {
		m := &f.view.Instances[i]
		if m.Pool == pool && len(moved) < count {
			m.Zone = zone
			moved[m.ID] = true
		}
	}
	f.view.Evacuated = func(name string) bool { return name == zone }
	return moved
}

// TestInstancesInEvacuatedZoneAreNotWoken covers a service that needs instances while half of
// the sleeping ones are in an evacuated availability zone.
func TestInstancesInEvacuatedZoneAreNotWoken(t *testing.T) {
	is := is.New(t)
	f := newFleet(map[string]int{
		"a":    3,
		asleep: 20,
	})
	evacuated := f.evacuate(asleep, 10)
	f.service("a").Load.Used = cpu(40)
	f.service("a").Load.Waiting = cpu(400)
	moves := f.plan().Moves
	is.Equal(len(moves), 10)
	for _, move := range moves {
		is.True(!evacuated[move.Instance])
	}
}

// TestEvacuatedInstancesAreReplaced covers a service with instances in an availability zone that
// is evacuated. These instances no longer count as its own, even if tasks still run there.
func TestEvacuatedInstancesAreReplaced(t *testing.T) {
	is := is.New(t)
	f := newFleet(map[string]int{
		"a":    10,
		"b":    3,
		asleep: 20,
	})
	f.service("a").Load.Used = cpu(9 * 16)
	is.Equal(len(f.plan().Moves), 0)
	f.evacuate("a", 5)
	plan := f.plan()
	is.True(len(plan.Moves) >= 5)
	for _, move := range plan.Moves {
		is.Equal(move.From, asleep)
	}
	// Tasks that run in the evacuated zone are left to finish.
	is.Equal(len(plan.Closed["a"]), 0)
	is.True(plan.MaxInstances["a"] <= 28-3)
}
