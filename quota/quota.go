// Package quota divides what an organisation may run over all services between the owners of
// the services. Each service holds a share of the organisation's limit, and the shares of all
// never come to more than the whole. Load pattern: demand moves from one service to another
// within a second or two, so a share that is not used goes back, and one that is needed is
// taken from what nobody holds; where all want more than there is, each gets an equal part.
//
// The package knows no clock, no store and no connection: all of it are functions of what is
// given. A ledger changes only by one grant at a time, under the condition that it still
// stands as it was read.
package quota

import (
	"math"
	"slices"

	"lemonstream.dev/lemonstream/job"
)

const (
	// Whole is the share that is all of a limit.
	Whole Share = 1_000_000

	// reserve is what a service that uses a quota holds beyond its need, and growth the part
	// of its need that comes on top: jobs that come at once start without waiting for the
	// store.
	reserve = Whole / 20
	growth  = 4

	// excessFactor times its target, a share is too large to be kept.
	excessFactor = 2

	// leastChange is the smallest part of a limit that is given back while others want more:
	// each change is a write.
	leastChange = Whole / 50

	// wantedChange is how far what is wanted may be from what the others know.
	wantedChange = Whole / 10
)

// Grant is what one service holds of an organisation's limit.
type Grant struct {
	// Epoch is that of the owner that wrote it.
	Epoch int64 `cbor:"1,keyasint"`

	// Share is the part that it holds: what may run of the organisation on its workers takes
	// no more than that part of Limit. What its owner has started and not seen end counts.
	Share Share `cbor:"2,keyasint"`

	// Wanted is what it would use.
	Wanted Share `cbor:"3,keyasint,omitempty"`

	// Limit is the organisation's limit by the configuration of Version.
	Limit   job.Room `cbor:"4,keyasint"`
	Version int64    `cbor:"5,keyasint"`
}

// Ledger holds the grants of one organisation by service. The shares never come to more than
// Whole.
type Ledger map[string]Grant

// Need is what one service has running of an organisation, or may have, and what else it
// could start.
type Need struct {
	Used    job.Room
	Waiting job.Room
}

// Policy is an organisation's limit by one version of the configuration.
type Policy struct {
	Limit   job.Room
	Version int64
}

// Share is a part of a limit in millionths.
type Share int64

// ShareOf returns the part of a limit that a room takes, rounded up.
func ShareOf(room, limit job.Room) Share {
	return Share(math.Ceil(room.Share(limit) * float64(Whole)))
}

// Allowance returns the share that a service's owner may use, and of which limit. It is 0
// where the grant is that of another owner, and while a service may run more than its part of
// a limit that was lowered: only what is under the newest limit together may grow.
func (l Ledger) Allowance(service string, epoch int64, now Policy) (Share, job.Room) {
	own := l[service]
	if own.Epoch != epoch {
		return 0, now.Limit
	}
	limit := Least(now.Limit, own.Limit)
	for _, other := range l {
		if other.Version > now.Version {
			limit = Least(limit, other.Limit)
		} else if (other.Share > 0 || other.Wanted > 0) && exceeds(other.Limit, now.Limit) {
			return 0, limit
		}
	}
	return own.Share, limit
}

// Propose returns the grant that a service should hold next, and whether that differs enough
// from what it holds to be written. A grant without a share is to be removed.
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

// differs reports whether a grant has to be written in the place of another one.
func (g Grant) differs(from Grant) bool {
	if g.Share != from.Share {
		return true
	}
	if g.Share > 0 && g.Limit != from.Limit {
		return true
	}
	more := g.Wanted - from.Wanted
	return more >= wantedChange || -more >= wantedChange || (g.Wanted > g.Share && more >= leastChange)
}

// share returns the share that a service should hold.
func (l Ledger) share(service string, used, wanted Share) Share {
	own := l[service].Share
	free := Whole - l.heldByOthers(service)
	target, contended := l.target(service, wanted)
	switch {
	case wanted > own && target > own:
		return max(own, min(target, free))
	case contended && own-max(used, target) >= leastChange:
		return max(used, target)
	case !contended && own > excessFactor*target:
		return min(own, max(used, target))
	default:
		return own
	}
}

// target returns what a service should hold by what all of them want, and whether that is
// more than there is.
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

// fairShare returns the most that each of several may have so that together they have Whole.
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

// newest returns the newest version of the configuration that a grant was made under.
func (l Ledger) newest() int64 {
	version := int64(0)
	for _, grant := range l {
		version = max(version, grant.Version)
	}
	return version
}

// Of returns the room that a share of a limit is, rounded up.
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

// Least returns the lower of two limits, part by part; a part that is 0 has no limit.
func Least(a, b job.Room) job.Room {
	return job.Room{
		MilliCPU:     leastPart(a.MilliCPU, b.MilliCPU),
		MemoryMB:     leastPart(a.MemoryMB, b.MemoryMB),
		Accelerators: leastPart(a.Accelerators, b.Accelerators),
	}
}

func leastPart(a, b int) int {
	if a == 0 || b == 0 {
		return max(a, b)
	}
	return min(a, b)
}

// exceeds reports whether a limit allows more of something than another one.
func exceeds(limit, than job.Room) bool {
	return Least(limit, than) != limit
}
