package owner

import (
	"net/netip"
	"slices"
	"time"

	"lemonstream.dev/lemonstream/shard"
)

// Duty returns the duty of a service that this entry owns and whose rows it has loaded.
func (k *Keeper) Duty(service string) (*Duty, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	h, found := k.held[service]
	return h.duty, found && h.duty != nil && h.duty.ready.Load()
}

// ServiceZone is what runs of a service in an evacuated zone.
type ServiceZone struct {
	Service string
	shard.ZoneRuns
}

// EvacuatedZones returns what runs in evacuated zones of the services that this entry owns.
func (k *Keeper) EvacuatedZones() []ServiceZone {
	k.mu.Lock()
	defer k.mu.Unlock()
	var list []ServiceZone
	for service, h := range k.held {
		if h.duty == nil {
			continue
		}
		zones := h.duty.zones.Load()
		if zones == nil {
			continue
		}
		for _, runs := range *zones {
			list = append(list, ServiceZone{
				Service:  service,
				ZoneRuns: runs,
			})
		}
	}
	return list
}

// Owner returns the peer address of the owner of a service; false if none is known.
func (k *Keeper) Owner(service string) (netip.AddrPort, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	o, found := k.owners[service]
	if !found || o.Released {
		return netip.AddrPort{}, false
	}
	address, err := netip.ParseAddrPort(o.Peer)
	return address, err == nil
}

// Owners returns the peer addresses of the other entries that own a part, and whether this
// entry owns one itself.
func (k *Keeper) Owners() ([]netip.AddrPort, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	var list []netip.AddrPort
	for _, o := range k.owners {
		address, err := netip.ParseAddrPort(o.Peer)
		if err != nil || o.Released || o.Owner == k.self.Incarnation || slices.Contains(list, address) {
			continue
		}
		list = append(list, address)
	}
	return list, len(k.held) > 0
}

// RefusedJobs returns the number of jobs that the services of this entry refused because they could
// not write, and whose demand still counts.
func (k *Keeper) RefusedJobs() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	sum := 0
	for _, h := range k.held {
		if h.duty != nil {
			sum += int(h.duty.refusedJobs.Load())
		}
	}
	return sum
}

// InstancesOwner returns the peer address of the owner of the instances; false if this entry is
// the owner or none is known.
func (k *Keeper) InstancesOwner() (netip.AddrPort, bool) {
	k.mu.Lock()
	_, mine := k.held[partInstances]
	k.mu.Unlock()
	if mine {
		return netip.AddrPort{}, false
	}
	return k.Owner(partInstances)
}

// WriteAge returns the time since the duty of a service sent its last applied transaction;
// false if this entry does not own the service.
func (k *Keeper) WriteAge(service string) (time.Duration, bool) {
	k.mu.Lock()
	h, found := k.held[service]
	k.mu.Unlock()
	if !found {
		return 0, false
	}
	return h.tenure.age(), true
}

// WriteAges returns, for each part that this entry owns, the time since it sent its last applied
// transaction, in milliseconds.
func (k *Keeper) WriteAges() map[string]float64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	ages := make(map[string]float64, len(k.held))
	for part, h := range k.held {
		ages[part] = float64(h.tenure.age().Milliseconds())
	}
	return ages
}

// TurnedAway returns for how long the store has rejected all writes of the duty of a service.
// It is 0 if the last write was not rejected or this entry does not own the service.
func (k *Keeper) TurnedAway(service string) time.Duration {
	k.mu.Lock()
	h, found := k.held[service]
	k.mu.Unlock()
	if !found {
		return 0
	}
	return h.tenure.rejectedFor()
}
