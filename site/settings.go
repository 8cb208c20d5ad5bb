// Package site holds what an entry is told about the place that it runs in:
// addresses, the platform's bounds and limits.
package site

import (
	"fmt"
	"net/netip"
	"strings"
	"time"
)

// Fault is one setting that can't be used.
type Fault struct {
	Key    string
	Value  string
	Reason string
}

// FaultsError reports settings of which nothing applies.
type FaultsError struct {
	// List holds at least one fault.
	List []Fault
}

// Settings are the entry's own. They are immutable; a reload makes new ones.
type Settings struct {
	// Name is unique among the entries that live at one time.
	Name    string
	Zone    string
	Address netip.Addr

	// Callers and Readiness are where callers and the balancer connect.
	Callers   netip.AddrPort
	Readiness netip.AddrPort

	// Cores is the processor that the entry may use, in cores.
	Cores float64

	// LinkBits is what the entry's link carries in each direction, in bits a second; 0
	// where that is not known.
	LinkBits float64

	// Memory is what the process may take, in bytes, and Descriptors how many it may have open;
	// 0 where that is not known.
	Memory      int64
	Descriptors int

	// FirstPeerPort to LastPeerPort are free for the entries' own protocol.
	FirstPeerPort uint16
	LastPeerPort  uint16

	Store     netip.AddrPort
	Instances netip.AddrPort
	Advice    netip.AddrPort

	// StoreReads is how many reading calls a second the store takes from all entries.
	StoreReads int

	// StoreWrites is how many writing calls a second the store takes from all
	// entries together.
	StoreWrites int

	// RowBytes is the most bytes that the store takes in one row.
	RowBytes int

	// Heartbeat is how often a worker writes its registration.
	Heartbeat time.Duration

	// MaxLease is the longest lease that a worker grants.
	MaxLease time.Duration

	// ConfigApply is how long after its acknowledgement a configuration must be in force.
	ConfigApply time.Duration

	// StopGrace is the time between the request to stop and the kill.
	StopGrace time.Duration

	// StopTimeout is the longest time that a task takes to stop.
	StopTimeout time.Duration

	// GangWait is how long a member of a gang waits for the others.
	GangWait time.Duration

	// JobRetention is how long the state of an ended job must be known.
	JobRetention time.Duration

	// Notice is how long a lasting task counts as away once it was stopped.
	Notice time.Duration

	// MoveTime and MaintainTime are how long an instance is dark.
	MoveTime     time.Duration
	MaintainTime time.Duration

	// HolderPause is how long two holders must stay apart at one instance.
	HolderPause time.Duration

	// DrainTime is how long after its mark a draining worker may still be given
	// tasks.
	DrainTime time.Duration

	// Early is how much before its time a repeated job may start.
	Early time.Duration

	// RemoteFactor is how many times longer a task takes away from its data.
	RemoteFactor float64

	// InstanceCalls is how many orders for instances all entries may give
	// together in a second.
	InstanceCalls float64
}

// Error implements error.
func (e *FaultsError) Error() string {
	texts := make([]string, 0, len(e.List))
	for _, fault := range e.List {
		texts = append(texts, fmt.Sprintf("setting %s = %q: %s", fault.Key, fault.Value, fault.Reason))
	}
	return strings.Join(texts, "\n")
}
