package fleet

import "net/netip"

// Self is what an entry is. It never changes while the process runs.
type Self struct {
	// ID is unique among the entries of a deployment.
	ID   string
	Zone string

	// Incarnation is unique to the process; a restart gets another.
	Incarnation string

	Peers     netip.AddrPort
	Operators netip.AddrPort
}
