package pool_test

import (
	"testing"

	"github.com/matryer/is"
)

// eject marks the first count workers of a pool as ejected and returns their instances.
func (f *fleet) eject(pool string, count int, giveBack bool) map[string]bool {
	ejected := make(map[string]bool)
	workers := f.service(pool).Load.Workers
	for _, m := range f.view.Instances {
		if load, found := workers[m.Worker]; m.Pool == pool && found && len(ejected) < count {
			load.Ejected = true
			load.GiveBack = giveBack
			workers[m.Worker] = load
			ejected[m.ID] = true
		}
	}
	return ejected
}

// TestEjectedInstancesAreReplaced guards against a service that counts workers as capacity that
// fail what they start.
func TestEjectedInstancesAreReplaced(t *testing.T) {
	is := is.New(t)
	f := newFleet(map[string]int{
		"a":    10,
		"b":    3,
		asleep: 20,
	})
	f.service("a").Load.Used = cpu(145)
	before := len(f.plan().Moves)
	f = newFleet(map[string]int{
		"a":    10,
		"b":    3,
		asleep: 20,
	})
	f.service("a").Load.Used = cpu(145)
	is.Equal(len(f.eject("a", 2, false)), 2)
	plan := f.plan()
	is.Equal(len(plan.Moves), before+2)
	is.Equal(len(plan.Closed["a"]), 0)
}

// TestEjectedInstanceIsGivenBack guards against an instance that stays with a service although its
// worker fails all that it starts, and against one that is taken before it is empty.
func TestEjectedInstanceIsGivenBack(t *testing.T) {
	is := is.New(t)
	f := newFleet(map[string]int{
		"a":    10,
		"b":    3,
		asleep: 20,
	})
	f.service("a").Load.Used = cpu(145)
	ejected := f.eject("a", 3, true)
	plan := f.plan()
	is.Equal(len(plan.Closed["a"]), 1) // One at a time of so few.
	for _, move := range plan.Moves {
		is.True(!ejected[move.Instance]) // It is closed first.
	}
}

// TestEjectedInstancesStayAboveTarget guards against a pool above its target that closes all its
// ejected instances at once: they lower no count, so that the target is not reached by it.
func TestEjectedInstancesStayAboveTarget(t *testing.T) {
	for name, c := range map[string]struct {
		giveBack bool
		most     int
	}{
		"before they are given back": {false, 0},
		"given back":                 {true, 2},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(map[string]int{
				"a":    25,
				"b":    3,
				asleep: 2,
			})
			f.service("a").Load.Used = cpu(20)
			ejected := f.eject("a", 6, c.giveBack)
			sound := 0
			for range 50 {
				closed := 0
				for _, worker := range f.plan().Closed["a"] {
					if ejected[worker[len("w-"):]] {
						closed++
					} else {
						sound++
					}
				}
				is.True(closed <= c.most)
			}
			is.True(sound > 0) // The pool is above its target.
		})
	}
}
