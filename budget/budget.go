// Package budget decides how many instances of a pool may leave now without
// violating the availability budget of any service on the pool. It does no input or
// output and keeps no state.
package budget

import "fmt"

// ExceededError reports that a set of instances may not leave now.
type ExceededError struct {
	Pool string

	// Wanted is the number of available instances that were to leave, Free the
	// number that may leave.
	Wanted int
	Free   int

	// Available is the number of available instances, Least the number that must
	// stay available, and Reserve the number held back for the loss of racks.
	Available int
	Least     int
	Reserve   int
}

// Instance is the state of one instance of a pool that the budget depends on.
type Instance struct {
	ID   string
	Rack string

	// Out is whether the instance has left or has a permit to leave.
	Out bool

	// Lost is whether there is any evidence that the instance does not run.
	Lost bool
}

// Pool is the state of a pool that the budget depends on.
type Pool struct {
	Name      string
	Instances []Instance

	// Least is the minimum number of available instances.
	Least int

	// ReserveRacks is the number of racks that may fail without violating the budget.
	ReserveRacks int
}

// Error implements error.
func (e *ExceededError) Error() string {
	return fmt.Sprintf("pool %s: %d instances want to leave and %d may: %d serve, the budget keeps %d, the reserve for lost racks %d", e.Pool, e.Wanted, e.Free, e.Available, e.Least, e.Reserve)
}

// Available returns the number of instances that are neither out nor lost.
func (p Pool) Available() int {
	count := 0
	for _, instance := range p.Instances {
		if !instance.Out && !instance.Lost {
			count++
		}
	}
	return count
}

// Check returns nil if the instances with the given IDs may all leave together now,
// and an *ExceededError otherwise. Lost instances count against the budget first, so
// planned departures only get the rest.
func (p Pool) Check(ids []string) error {
	leaving := make(map[string]bool, len(ids))
	for _, id := range ids {
		leaving[id] = true
	}
	serving := 0
	for _, instance := range p.Instances {
		if leaving[instance.ID] && !instance.Out && !instance.Lost {
			serving++
		}
	}
	available := p.Available()
	reserve := p.reserve(leaving)
	free := available - p.Least - reserve
	if serving <= free {
		return nil
	}
	return &ExceededError{
		Pool:      p.Name,
		Wanted:    serving,
		Free:      max(free, 0),
		Available: available,
		Least:     p.Least,
		Reserve:   reserve,
	}
}

// Reserve returns the number of instances held back for the loss of racks while the
// instances with the given IDs are out. It is the number of available instances in
// the ReserveRacks largest racks that remain.
func (p Pool) Reserve(ids []string) int {
	leaving := make(map[string]bool, len(ids))
	for _, id := range ids {
		leaving[id] = true
	}
	return p.reserve(leaving)
}

// reserve implements Reserve for a set of IDs.
func (p Pool) reserve(leaving map[string]bool) int {
	racks := make(map[string]int)
	for _, instance := range p.Instances {
		if !instance.Out && !instance.Lost && !leaving[instance.ID] {
			racks[instance.Rack]++
		}
	}
	total := 0
	for range p.ReserveRacks {
		largest := ""
		for rack, count := range racks {
			if largest == "" || count > racks[largest] || (count == racks[largest] && rack < largest) {
				largest = rack
			}
		}
		total += racks[largest]
		delete(racks, largest)
	}
	return total
}
