// Package quota divides an organisation's limit, which holds for all services together,
// between the owners of the services. Each service holds a share of the limit, and the shares
// never add up to more than the whole. Load pattern: demand moves from one service to another
// within a second or two. A service therefore gives back the share that it does not use, and
// takes what it needs from the part that no service holds. If the services want more than
// the limit together, each gets at most an equal share of it, and the parts that some leave
// are divided between the others.
//
// The package does no I/O and reads no clock: its functions depend only on their arguments.
// A ledger must be changed one grant at a time, on condition that it has not changed since
// it was read.
package quota

import (
	"math"
	"slices"

	"lemonstream.dev/lemonstream/job"
)

const (
	// Whole is the share that covers a whole limit.
	Whole Share = 1_000_000

	// A service that uses a quota holds more than its need: reserve, and the need divided by
	// growth. Jobs that arrive in a burst then start without waiting for the store.
	reserve = Whole / 20
	growth  = 4

	// excessFactor is the multiple of its target above which a share is reduced.
	excessFactor = 2

	// minChange is the smallest share that is given back while others want more, as each
	// change is a write. A service that wants more than its share writes an increase of
	// Grant.Wanted from the same size on.
	minChange = Whole / 50

	// minWantedChange is the smallest change of Grant.Wanted that is written in all cases. The
	// other services know Wanted only to this precision.
	minWantedChange = Whole / 10
)

// Grant is what one service holds of an organisation's limit.
type Grant struct {
	// Epoch is the epoch of the owner that wrote the grant.
	Epoch int64 `cbor:"1,keyasint"`

	// Share is the part of Limit that the organisation's tasks may take on the workers of the
	// service. Tasks count from their start until the owner has seen them end.
	Share Share `cbor:"2,keyasint"`

	// Wanted is the share that the service would use if it could start all waiting work.
	Wanted Share `cbor:"3,keyasint,omitempty"`

	// Limit is the organisation's limit in the configuration with the given Version.
	Limit   job.Room `cbor:"4,keyasint"`
	Version int64    `cbor:"5,keyasint"`
}

// Ledger holds the grants of one organisation by service. The shares never add up to more
// than Whole.
type Ledger map[string]Grant

// Need is an organisation's demand at one service: Used is taken by tasks that run or may
// run, Waiting is the demand of further tasks that could start.
type Need struct {
	Used    job.Room
	Waiting job.Room
}

// Policy is an organisation's limit in one version of the configuration.
type Policy struct {
	Limit   job.Room
	Version int64
}

// Share is a part of a limit in millionths.
type Share int64

// ShareOf returns the share of a limit that room takes, rounded up.
func ShareOf(room, limit job.Room) Share {
	return Share(math.Ceil(room.Share(limit) * float64(Whole)))
}

// Allowance returns the share that a service's owner may use and the limit that the share
// refers to. The share is 0 if the grant is another owner's. It is also 0 while any service
// has a grant under an earlier, higher limit: usage may grow only when all services keep
// within the newest limit together.
func (l Ledger) Allowance(service string, epoch int64, now Policy) (Share, job.Room) {
	own := l[service]
	if own.Epoch != epoch {
		return 0, now.Limit
	}
	limit := MinLimit(now.Limit, own.Limit)
	for _, other := range l {
		if other.Version > now.Version {
			limit = MinLimit(limit, other.Limit)
		} else if (other.Share > 0 || other.Wanted > 0) && exceeds(other.Limit, now.Limit) {
			return 0, limit
		}
	}
	return own.Share, limit
}

// Propose returns the grant that a service should hold next, and whether it differs enough
// from the current grant to be written. A grant with neither Share nor Wanted is to be removed.
func (l Ledger) Propose(service string, epoch int64, now Policy, need Need) (Grant, bool) {
	own := l[service]
	if own.Epoch > epoch {
		return own, false
	}
	next := Grant{
		Epoch:   epoch,
		Limit:   own.Limit,
		Version: own.Version,
	}
	limit := own.Limit
	current := now.Version >= l.newest()
	if current {
		limit = now.Limit
	}
	used := ShareOf(need.Used, limit)
	next.Wanted = min(Whole, ShareOf(need.Used.Add(need.Waiting), limit))
	next.Share = l.share(service, used, next.Wanted)
	if current && (used <= next.Share || !exceeds(own.Limit, limit)) {
		next.Limit = now.Limit
		next.Version = now.Version
	}
	if own.Epoch < epoch && own.Share > 0 {
		return next, true
	}
	return next, next.differs(own)
}

// differs reports whether the grant must be written to replace from.
func (g Grant) differs(from Grant) bool {
	if g.Share != from.Share {
		return true
	}
	if g.Share > 0 && g.Limit != from.Limit {
		return true
	}
	more := g.Wanted - from.Wanted
	return more >= minWantedChange || -more >= minWantedChange || (g.Wanted > g.Share && more >= minChange)
}

// share returns the share that a service should hold.
func (l Ledger) share(service string, used, wanted Share) Share {
	own := l[service].Share
	free := Whole - l.heldByOthers(service)
	target, contended := l.target(service, wanted)
	switch {
	case wanted > own && target > own:
		return max(own, min(target, free))
	case contended && own-max(used, target) >= minChange:
		return max(used, target)
	case !contended && own > excessFactor*target:
		return min(own, max(used, target))
	default:
		return own
	}
}

// target returns the share that a service should hold, given the shares that all services
// want, and whether these add up to more than Whole.
func (l Ledger) target(service string, wanted Share) (Share, bool) {
	sum := wanted
	wants := []Share{wanted}
	for name, other := range l {
		if name != service {
			sum += other.Wanted
			wants = append(wants, other.Wanted)
		}
	}
	if sum > Whole {
		return min(wanted, fairShare(wants)), true
	}
	if wanted == 0 {
		return 0, false
	}
	return min(Whole, wanted+wanted/growth+reserve), false
}

// fairShare returns the largest share that each service may hold if all of wants, each capped
// at that share, may together not exceed Whole.
func fairShare(wants []Share) Share {
	slices.Sort(wants)
	left := Whole
	for i, want := range wants {
		equal := left / Share(len(wants)-i)
		if want >= equal {
			return equal
		}
		left -= want
	}
	return left
}

func (l Ledger) heldByOthers(service string) Share {
	held := Share(0)
	for name, other := range l {
		if name != service {
			held += other.Share
		}
	}
	return held
}

// newest returns the newest configuration version of all grants.
func (l Ledger) newest() int64 {
	version := int64(0)
	for _, grant := range l {
		version = max(version, grant.Version)
	}
	return version
}

// Of returns the resources that the share of a limit amounts to, rounded up.
func (s Share) Of(limit job.Room) job.Room {
	part := func(of int) int {
		return int(math.Ceil(float64(of) * float64(s) / float64(Whole)))
	}
	return job.Room{
		MilliCPU:     part(limit.MilliCPU),
		MemoryMB:     part(limit.MemoryMB),
		Accelerators: part(limit.Accelerators),
	}
}

// MinLimit returns the lower of two limits for each resource. 0 means no limit.
func MinLimit(a, b job.Room) job.Room {
	return job.Room{
		MilliCPU:     minPart(a.MilliCPU, b.MilliCPU),
		MemoryMB:     minPart(a.MemoryMB, b.MemoryMB),
		Accelerators: minPart(a.Accelerators, b.Accelerators),
	}
}

func minPart(a, b int) int {
	if a == 0 || b == 0 {
		return max(a, b)
	}
	return min(a, b)
}

// exceeds reports whether limit allows more of some resource than the limit than.
func exceeds(limit, than job.Room) bool {
	return MinLimit(limit, than) != limit
}
