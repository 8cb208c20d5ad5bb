// Package budget decides how many instances of a pool may leave now without
// breaking the availability budget of any service on it. It is pure.
package budget

import "fmt"

// ExceededError reports instances that may not leave now.
type ExceededError struct {
	Pool string

	// Wanted is the number of instances that were to leave, Free the number
	// that may.
	Wanted int
	Free   int

	// Available is the number that serve now, Least the budget and Reserve
	// what is held back for the loss of racks.
	Available int
	Least     int
	Reserve   int
}

// Instance is one instance of the pool as the budget sees it.
type Instance struct {
	ID   string
	Rack string

	// Out is whether the instance left or has a permit to leave.
	Out bool

	// Lost is whether the instance does not run, by any evidence.
	Lost bool
}

// Pool is what the budget depends on.
type Pool struct {
	Name      string
	Instances []Instance

	// Least is the number of instances that must serve at any moment.
	Least int

	// ReserveRacks is the number of racks whose loss must stay affordable.
	ReserveRacks int
}

// Error implements error.
func (e *ExceededError) Error() string {
	return fmt.Sprintf("pool %s: %d instances want to leave and %d may: %d serve, the budget keeps %d, the reserve for lost racks %d", e.Pool, e.Wanted, e.Free, e.Available, e.Least, e.Reserve)
}

// Available returns the number of instances that can be counted on.
func (p Pool) Available() int {
	count := 0
	for _, instance := range p.Instances {
		if !instance.Out && !instance.Lost {
			count++
		}
	}
	return count
}

// Check returns nil if the instances called ids may all leave together now, or
// an *ExceededError. Unplanned losses have been counted already, so planned
// leave only gets what they left over.
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

// Reserve returns the instances held back while ids are out: as many as serve
// in the largest racks that would remain.
func (p Pool) Reserve(ids []string) int {
	leaving := make(map[string]bool, len(ids))
	for _, id := range ids {
		leaving[id] = true
	}
	return p.reserve(leaving)
}

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
