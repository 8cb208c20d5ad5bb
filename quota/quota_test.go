package quota_test

import (
	"maps"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"lemonstream.dev/lemonstream/internal/prove"
	"lemonstream.dev/lemonstream/job"
	"lemonstream.dev/lemonstream/quota"
)

const (
	taskCPU = 1_000
	limitOf = 100 * taskCPU
)

func room(tasks int) job.Room {
	return job.Room{
		MilliCPU: tasks * taskCPU,
	}
}

// division is an organisation's limit divided between owners. They read the ledger and learn
// of new limits late, and write only if the ledger has not changed since they read it.
type division struct {
	ledger   quota.Ledger
	revision int
	limits   []job.Room
	owners   []*divisionOwner
}

// divisionOwner is the owner of one service as it sees the ledger.
type divisionOwner struct {
	name     string
	epoch    int64
	version  int64
	seen     quota.Ledger
	revision int
	running  int
	waiting  int
}

func newDivision(owners int) *division {
	d := &division{
		ledger: quota.Ledger{},
		limits: []job.Room{room(100)},
	}
	for i := range owners {
		d.owners = append(d.owners, &divisionOwner{
			name:  string(rune('a' + i)),
			epoch: 1,
			seen:  quota.Ledger{},
		})
	}
	return d
}

func (d *division) policy(o *divisionOwner) quota.Policy {
	return quota.Policy{
		Limit:   d.limits[o.version],
		Version: o.version + 1,
	}
}

func (d *division) read(o *divisionOwner) {
	o.seen = maps.Clone(d.ledger)
	o.revision = d.revision
}

// write proposes a grant and applies it if the ledger has not changed since the owner read it.
func (d *division) write(o *divisionOwner) {
	next, differs := o.seen.Propose(o.name, o.epoch, d.policy(o), quota.Need{
		Used:    room(o.running),
		Waiting: room(o.waiting),
	})
	if !differs {
		return
	}
	if o.revision == d.revision {
		d.ledger[o.name] = next
		if next.Share == 0 && next.Wanted == 0 {
			delete(d.ledger, o.name)
		}
		d.revision++
	}
	d.read(o)
}

// start starts one waiting task if the owner's allowance permits, and reports whether it did.
func (d *division) start(o *divisionOwner) bool {
	share, limit := o.seen.Allowance(o.name, o.epoch, d.policy(o))
	if o.waiting == 0 || quota.ShareOf(room(o.running+1), limit) > share {
		return false
	}
	o.waiting--
	o.running++
	return true
}

func (d *division) total() int {
	total := 0
	for _, o := range d.owners {
		total += o.running
	}
	return total
}

// maxKnownLimit returns the highest limit that some owner may still take for the newest.
func (d *division) maxKnownLimit() int {
	oldest := int64(len(d.limits) - 1)
	for _, o := range d.owners {
		oldest = min(oldest, o.version)
	}
	maxKnownLimit := 0
	for _, limit := range d.limits[oldest:] {
		maxKnownLimit = max(maxKnownLimit, limit.MilliCPU/taskCPU)
	}
	return maxKnownLimit
}

func TestOwnersStayWithinLimit(t *testing.T) {
	prove.Property(t, func(t *rapid.T) {
		d := newDivision(rapid.IntRange(2, 5).Draw(t, "owners"))
		pick := func(t *rapid.T) *divisionOwner { return rapid.SampledFrom(d.owners).Draw(t, "owner") }
		run := func(t *rapid.T, o *divisionOwner) {
			for d.start(o) {
				if d.total() > d.maxKnownLimit() {
					t.Fatalf("%d tasks run, the limit is %d: %+v", d.total(), d.maxKnownLimit(), d.ledger)
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"work": func(t *rapid.T) {
				o := pick(t)
				o.waiting += rapid.IntRange(0, 150).Draw(t, "tasks")
				d.read(o)
				d.write(o)
				run(t, o)
			},
			"work with the newest limit": func(t *rapid.T) {
				o := pick(t)
				o.version = int64(len(d.limits) - 1)
				o.waiting += rapid.IntRange(0, 150).Draw(t, "tasks")
				d.write(o)
				run(t, o)
			},
			"ask":   func(t *rapid.T) { pick(t).waiting += rapid.IntRange(1, 150).Draw(t, "tasks") },
			"read":  func(t *rapid.T) { d.read(pick(t)) },
			"write": func(t *rapid.T) { d.write(pick(t)) },
			"end": func(t *rapid.T) {
				o := pick(t)
				o.running -= rapid.IntRange(0, o.running).Draw(t, "ended")
			},
			"start": func(t *rapid.T) { run(t, pick(t)) },
			"limit": func(t *rapid.T) { d.limits = append(d.limits, room(rapid.IntRange(10, 200).Draw(t, "limit"))) },
			"configure": func(t *rapid.T) {
				o := pick(t)
				o.version = min(o.version+1, int64(len(d.limits)-1))
			},
			"take over": func(t *rapid.T) {
				o := pick(t)
				o.epoch++
				o.seen = quota.Ledger{}
				o.revision = -1
			},
			"": func(t *rapid.T) {
				held := quota.Share(0)
				for _, grant := range d.ledger {
					held += grant.Share
				}
				if held > quota.Whole {
					t.Fatalf("shares add up to %d of %d: %+v", held, quota.Whole, d.ledger)
				}
			},
		})
	})
}

// settle lets each owner in turn read, write and start tasks, for a number of rounds.
func (d *division) settle(rounds int) {
	for range rounds {
		for _, o := range d.owners {
			d.read(o)
			d.write(o)
			for d.start(o) {
			}
		}
	}
}

func TestSingleBusyServiceGetsNearlyWholeLimit(t *testing.T) {
	is := is.New(t)
	d := newDivision(5)
	for _, o := range d.owners {
		o.waiting = 5
	}
	d.settle(3)
	d.owners[0].waiting = 500
	for _, o := range d.owners[1:] {
		o.running = 0
	}
	d.settle(20)
	is.True(d.owners[0].running >= 95) // At most 5 % is unused while one service wants more.
}

func TestBusyServicesGetEqualShares(t *testing.T) {
	is := is.New(t)
	d := newDivision(4)
	d.owners[0].waiting = 500
	d.settle(5)
	for _, o := range d.owners {
		o.waiting = 500
	}
	for range 20 {
		// Running tasks end gradually; more tasks wait than can start.
		d.owners[0].running -= d.owners[0].running / 5
		d.settle(2)
	}
	for _, o := range d.owners {
		is.True(o.running >= 22 && o.running <= 28)
	}
}

func TestNothingStartsUntilUsageIsBelowLoweredLimit(t *testing.T) {
	is := is.New(t)
	d := newDivision(2)
	d.owners[0].waiting = 80
	d.settle(5)
	is.Equal(d.owners[0].running, 80)
	d.limits = append(d.limits, room(50))
	d.owners[0].version = 1
	d.owners[1].version = 1
	d.owners[1].waiting = 100
	d.settle(5)
	is.Equal(d.owners[1].running, 0)
	d.owners[0].running = 20
	d.settle(10)
	is.Equal(d.total() > 40, true)
	is.True(d.total() <= 50)
}
