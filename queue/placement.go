// Package queue records which services may hold jobs of a queue. A queue is what a caller addresses:
// a host and a path prefix. Configurations lead it to one service after the other, under routes of
// any name, while its jobs stay with the service that accepted them.
package queue

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"lemonstream.dev/lemonstream/catalog"
	"lemonstream.dev/lemonstream/outside"
)

// tableQueue holds the placement of each queue, each in a partition of its own.
const tableQueue = "queue"

// keyBytes is the length of a queue's key before it is encoded as text.
const keyBytes = 16

// Placement is the row of a queue. A record of a job of the queue is written only to the last of its
// services, and only once the fences of all others were raised after the row named the last one.
type Placement struct {
	Host   string `cbor:"1,keyasint"`
	Prefix string `cbor:"2,keyasint"`

	// Version is that of the configuration that led the queue to the last service.
	Version int64 `cbor:"3,keyasint"`

	// Services holds each service that may have jobs of the queue once; it is never empty in a row.
	Services []Service `cbor:"4,keyasint"`
}

// Service is a service that may have jobs of a queue.
type Service struct {
	Name string `cbor:"1,keyasint"`

	// Routes are the names of the routes under which the queue led here. Records of jobs hold them.
	Routes []string `cbor:"2,keyasint"`

	// Closed says that no record of the queue's jobs can be stored any more: the fences were raised
	// after the queue was led elsewhere. It is false for the last service of a placement.
	Closed bool `cbor:"3,keyasint,omitempty"`

	// Fence and StandbyFence are versions of the fence's rows in the service's two partitions, as of
	// the last time that this row was written.
	Fence        int64 `cbor:"4,keyasint,omitempty"`
	StandbyFence int64 `cbor:"5,keyasint,omitempty"`
}

// Key returns the name under which rows refer to a queue. Hosts and prefixes may be longer than the
// name of a row.
func Key(host, prefix string) string {
	sum := sha256.Sum256([]byte(host + "\x00" + prefix))
	return hex.EncodeToString(sum[:keyBytes])
}

// RowKey returns the key of the placement of a queue.
func RowKey(queue string) outside.Key {
	return outside.Key{
		Table: tableQueue,
		Part:  "/queue/" + queue,
		Name:  queue,
	}
}

// DecodePlacement decodes a row written by Placement.Encode.
func DecodePlacement(value []byte) (Placement, error) {
	var p Placement
	if err := cbor.Unmarshal(value, &p); err != nil {
		return p, fmt.Errorf("placement of a queue: %w", err)
	}
	return p, nil
}

// Encode returns the row in CBOR.
func (p Placement) Encode() ([]byte, error) {
	value, err := cbor.Marshal(p)
	if err != nil {
		return nil, fmt.Errorf("placement of queue %s%s: %w", p.Host, p.Prefix, err)
	}
	return value, nil
}

// Current returns the service that takes the queue's jobs, and false before the first.
func (p Placement) Current() (Service, bool) {
	if len(p.Services) == 0 {
		return Service{}, false
	}
	return p.Services[len(p.Services)-1], true
}

// Former returns the services that may still have jobs of the queue and take no more.
func (p Placement) Former() []Service {
	if len(p.Services) == 0 {
		return nil
	}
	return p.Services[:len(p.Services)-1]
}

// isClosed reports whether no former service can take a job any more.
func (p Placement) isClosed() bool {
	return !slices.ContainsFunc(p.Former(), func(s Service) bool { return !s.Closed })
}

// Led returns the placement under a route of a configuration, and whether it differs. A placement by a
// newer configuration stays.
func (p Placement) Led(route catalog.Route, version int64) (Placement, bool) {
	current, found := p.Current()
	switch {
	case !found:
		return Placement{
			Host:    route.Host,
			Prefix:  route.Prefix,
			Version: version,
			Services: []Service{{
				Name:   route.Service,
				Routes: []string{route.Name},
			}},
		}, true
	case current.Name == route.Service && slices.Contains(current.Routes, route.Name):
		return p, false
	case current.Name == route.Service:
		p.Services = slices.Clone(p.Services)
		p.Services[len(p.Services)-1].Routes = append(slices.Clone(current.Routes), route.Name)
		return p, true
	case version <= p.Version:
		return p, false
	}
	next := Service{
		Name: route.Service,
	}
	p.Version = version
	before := p.Services
	p.Services = nil
	for _, s := range before {
		if s.Name == route.Service {
			next = s
			next.Closed = false
			continue
		}
		p.Services = append(p.Services, s)
	}
	if !slices.Contains(next.Routes, route.Name) {
		next.Routes = append(slices.Clone(next.Routes), route.Name)
	}
	p.Services = append(p.Services, next)
	return p, true
}

// closed returns the placement with a former service closed at the given versions of its fences.
func (p Placement) closed(name string, fence, standby int64) Placement {
	p.Services = slices.Clone(p.Services)
	for i := range p.Former() {
		if p.Services[i].Name == name {
			p.Services[i].Closed = true
			p.Services[i].Fence = fence
			p.Services[i].StandbyFence = standby
		}
	}
	return p
}

// without returns the placement without a former service that is closed.
func (p Placement) without(name string) Placement {
	current := len(p.Services) - 1
	services := make([]Service, 0, len(p.Services))
	for i, s := range p.Services {
		if i == current || s.Name != name || !s.Closed {
			services = append(services, s)
		}
	}
	p.Services = services
	return p
}
