// Package fleet holds the domain types that every other package speaks of:
// instances, pools, services and the immutable view of all of them.
package fleet

import (
	"net/netip"
)

const (
	// PhaseDrained marks an instance that carries no work and may reboot.
	PhaseDrained Phase = "drained"

	// PhaseDraining marks an instance that gets no new work.
	PhaseDraining Phase = "draining"

	// PhaseFailed marks an instance that did not come back from a reboot.
	PhaseFailed Phase = "failed"

	// PhaseRebooting marks an instance whose reboot was asked for.
	PhaseRebooting Phase = "rebooting"

	// PhaseServing marks an instance that takes work.
	PhaseServing Phase = "serving"
)

// Instance is one instance of a pool, the value of its row. The row holds its
// one pool, so that it is in exactly one pool at any moment.
type Instance struct {
	ID      string         `json:"id"`
	Pool    string         `json:"pool"`
	Rack    string         `json:"rack"`
	Zone    string         `json:"zone"`
	Address netip.AddrPort `json:"address"`
	Phase   Phase          `json:"phase"`

	// Plan is the plan that took the instance out; empty while it serves.
	Plan string `json:"plan,omitempty"`

	// Since is the instant of the last change of phase, in milliseconds
	// since the Unix epoch.
	Since int64 `json:"since"`

	// Boot is the platform's count of starts when the phase changed.
	Boot int64 `json:"boot"`
}

// Phase is where an instance is between serving and maintenance.
type Phase string

// Service is what a caller names in a request.
type Service struct {
	Name string `json:"name"`
	Pool string `json:"pool"`

	// MinAvailable is the availability budget: at least so many instances of
	// the pool serve at any moment. It is at least 0.
	MinAvailable int `json:"min_available"`

	// SlotsPerInstance is the number of requests that an instance works on
	// at once; it is at least 1.
	SlotsPerInstance int `json:"slots"`

	// ConnsPerInstance is the number of connections that an instance takes
	// from all entries together; it is at least 1.
	ConnsPerInstance int `json:"conns"`

	// Objective is the share of requests that must be answered whole,
	// between 0 and 1.
	Objective float64 `json:"objective"`
}
