package pool_test

import (
	"testing"

	"github.com/matryer/is"
)

// evacuate moves the first instances of a pool to an evacuated zone.
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

// TestPoolsTakeNoInstanceOfAnEvacuatedZone covers a service that needs instances while half of
// those asleep can't be used.
func TestPoolsTakeNoInstanceOfAnEvacuatedZone(t *testing.T) {
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

// TestRoomIsOrderedForWhatAnEvacuatedZoneHeld covers a service that loses the use of a zone: its
// instances there count for nothing, whatever still runs on them.
func TestRoomIsOrderedForWhatAnEvacuatedZoneHeld(t *testing.T) {
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
	// They run what they run, and nothing sends it away.
	is.Equal(len(plan.Closed["a"]), 0)
	is.True(plan.Most["a"] <= 28-3)
}
