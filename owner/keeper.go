// Package owner decides which entry owns a service, and runs the scheduler of
// the services that this entry owns. A lease decides who works; the table's
// conditions and the workers' fences decide what is true.
package owner

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"time"

	"lemonstream.dev/lemonstream/outside"
)

const (
	// keeperPause is the time between two rounds of the keeper.
	keeperPause = 100 * time.Millisecond

	// pingPause is the time between two calls of the first successor to an
	// owner; the others call less often by their rank.
	pingPause = 250 * time.Millisecond

	// pingTimeout bounds one such call; zones are about 1 ms apart.
	pingTimeout = 300 * time.Millisecond

	// silentPings is how many calls in a row must fail before the first
	// successor looks whether the owner still writes.
	silentPings = 3

	// suspectWrites is how old an owner's last write must be, by its own word, for
	// its beat to be watched: it has missed one.
	suspectWrites = beatPause + 100*time.Millisecond

	// silentWrites is how long a successor must have seen an owner write nothing
	// for it to be taken for lost.
	silentWrites = beatPause + beatPause/2

	// staleWrites is how old an owner's last write must be, by its own word,
	// for a successor that reaches the store to take over.
	staleWrites = 1200 * time.Millisecond

	// slowFactor times these two is what an owner may take while the store is
	// slow; twice the second stays below ownerHorizon.
	slowFactor = 2

	// turnedAway is for how long the store must have turned an owner away for a successor that
	// reads its rows to take over without waiting for more: several tries of the owner.
	turnedAway = 300 * time.Millisecond

	// rankPause keeps successors from racing: each waits this much longer than
	// the one before.
	rankPause = 200 * time.Millisecond

	// ownedPause is added for each service that the entry owns already, or is taking,
	// so that services spread over the entries.
	ownedPause = 300 * time.Millisecond

	// takePause is the time after a failed attempt to take a service.
	takePause = 500 * time.Millisecond
)

// Pong is an owner's answer to a successor.
type Pong struct {
	// Incarnation is the process that answered; Owns says that it owns the
	// service.
	Incarnation string
	Owns        bool

	// WriteAge is how long ago its last write was.
	WriteAge time.Duration

	// TurnedAway is for how long the store has turned away all of its writes.
	TurnedAway time.Duration
}

// Self is this entry.
type Self struct {
	Member

	Peer netip.AddrPort
}

// Member is one entry as the others see it.
type Member struct {
	// Incarnation is unique to the process.
	Incarnation string

	// Cores is the processor that the entry may use.
	Cores float64

	// Listed orders entries by when they were last listed: it is the version of
	// their row, so it needs no clock. It stands in no row itself.
	Listed int64 `json:"-"`
}

// Keeper takes services without an owner and runs their duties.
type Keeper struct {
	deps Deps
	self Self

	// ping asks the owner at an address. A *outside.NotDoneError means that no
	// process listens there.
	ping func(ctx context.Context, peer netip.AddrPort, service string) (Pong, error)

	// members returns the entries that are known to live, this one included.
	members func() []Member

	mu sync.Mutex

	// held holds what this entry owns: shards, and the instances' duty.
	held map[string]holding

	// seizing holds the parts that a goroutine of this entry is taking or has
	// taken; it stands until that goroutine ends. The row that names this entry
	// may be seen before the answer to the write that made it so.
	seizing map[string]bool

	// owners holds the newest known row of each service.
	owners map[string]known

	// watches holds what the keeper has noticed of each service's owner.
	watches map[string]*watch

	// read says that the rows of all owners have been read once; before that
	// nothing is known to be free.
	read bool

	// stopping says that nothing is to be taken any more, released that everything
	// was handed over.
	stopping bool
	released bool

	// named receives when a part was released for this entry; its capacity is 1.
	named chan struct{}
}

// holding is one part that this entry owns.
type holding struct {
	// duty is the scheduler of a service; nil for the instances' duty.
	duty    *Duty
	tenure  *tenure
	run     func(ctx context.Context) error
	release func(ctx context.Context, wait time.Duration)
}

// known is an ownership with the version of its row.
type known struct {
	Ownership
	version int64
}

// claim is an ownership that this entry has won.
type claim struct {
	epoch   int64
	version int64

	// before is the last beat of the owner before; read is an instant after it was
	// read, from which its spans count.
	before Beat
	read   time.Time
}

// watch is what a successor knows of one owner.
type watch struct {
	epoch int64

	// freeSince is when the service was first seen without an owner.
	freeSince time.Time

	// pinged is when the last call began; failures counts failed ones in a row.
	pinged   time.Time
	failures int
	pinging  bool

	// still is how the owner's beat was seen to stand still.
	still stillness

	// dead says that the owner's process certainly no longer runs; lost that it
	// does not write any more, although it may run.
	dead bool
	lost bool

	notBefore time.Time
}

// NewKeeper returns a keeper for this entry.
func NewKeeper(deps Deps, self Self, members func() []Member, ping func(context.Context, netip.AddrPort, string) (Pong, error)) *Keeper {
	return &Keeper{
		deps:    deps,
		self:    self,
		ping:    ping,
		members: members,
		held:    make(map[string]holding),
		seizing: make(map[string]bool),
		owners:  make(map[string]known),
		watches: make(map[string]*watch),
		named:   make(chan struct{}, 1),
	}
}

// Run watches the owners of all services until ctx ends.
func (k *Keeper) Run(ctx context.Context) error {
	ticker := time.NewTicker(keeperPause)
	defer ticker.Stop()
	for {
		k.round(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-k.named:
		}
	}
}

// WatchOwners follows the rows of owners until ctx ends.
func (k *Keeper) WatchOwners(ctx context.Context) error {
	return Follower{
		Table: k.deps.Table,
		Name:  TableOwners,
		Log:   k.deps.Log,
		Wait:  PromptWait,
		Read:  k.readOwners,
		Apply: k.take,
	}.Run(ctx)
}

// readOwners reads the owner of each configured service.
func (k *Keeper) readOwners(ctx context.Context) (int64, error) {
	first := int64(-1)
	for _, service := range k.services() {
		page, err := k.deps.Table.Get(ctx, TableOwners, service, "", 0)
		if err != nil {
			return 0, err
		}
		if first < 0 {
			first = page.Version
		}
		k.take(page.Rows)
	}
	k.mu.Lock()
	k.read = true
	k.mu.Unlock()
	return max(0, first), nil
}

// take takes in rows of owners.
func (k *Keeper) take(rows []outside.Row) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, row := range rows {
		o, err := decodeOwnership(row.Value)
		if err != nil {
			k.deps.Log.Error("row left out", "table", row.Key.Table, "key", row.Key.Part, "error", err)
			continue
		}
		if row.Version <= k.owners[row.Key.Part].version {
			continue
		}
		k.owners[row.Key.Part] = known{
			Ownership: o,
			version:   row.Version,
		}
		k.deps.Log.Info("owner seen", "service", row.Key.Part, "epoch", o.Epoch, "owner", o.Owner, "released", o.Released, "next", o.Next)
		if o.Next == k.self.Incarnation {
			k.wake()
		}
	}
}

func (k *Keeper) services() []string {
	var list []string
	for _, service := range k.deps.Catalog().Services {
		list = append(list, service.Name)
	}
	if k.deps.Site.Instances.IsValid() {
		list = append(list, partInstances)
	}
	return list
}

// round looks at each service once.
func (k *Keeper) round(ctx context.Context) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.stopping || !k.read {
		return
	}
	now := k.deps.Clock.Now()
	for _, service := range k.services() {
		if !k.seizing[service] {
			k.consider(ctx, service, now)
		}
	}
}

// seize writes this entry as the owner, if nobody else did, and runs the duty.
func (k *Keeper) seize(ctx context.Context, service string, o known, ended bool, still int64) {
	defer k.unseize(service)
	now := k.deps.Clock.Now()
	blindFor := k.blindFor(service, o, ended)
	won, err := k.claim(ctx, service, o, still, blindFor)
	var recovered *RecoveredError
	k.mu.Lock()
	w := k.watches[service]
	if w != nil {
		w.notBefore = now.Add(takePause)
	}
	if w != nil && errors.As(err, &recovered) {
		w.lost = false
	}
	if err != nil || k.released {
		k.mu.Unlock()
		if err != nil {
			k.deps.Log.Info("service not taken", "service", service, "epoch", o.Epoch+1, "error", err.Error())
		}
		return
	}
	h := k.hold(service, won, now, blindFor)
	k.held[service] = h
	k.mu.Unlock()
	k.deps.Log.Info("service taken", "service", service, "epoch", won.epoch, "from", o.Owner, "ended", ended)
	err = h.run(ctx)
	k.mu.Lock()
	delete(k.held, service)
	k.mu.Unlock()
	if err != nil {
		k.deps.Log.Warn("service lost", "service", service, "epoch", won.epoch, "error", err.Error())
	}
}

func (k *Keeper) unseize(service string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.seizing, service)
}

// hold builds the duty for a part that was won.
func (k *Keeper) hold(part string, won claim, now time.Time, blindFor time.Duration) holding {
	if part == partInstances {
		f := newFleet(k.deps, won, now, blindFor)
		return holding{
			tenure:  f.tenure,
			run:     f.run,
			release: f.release,
		}
	}
	d := newDuty(k.deps, part, won, now, blindFor)
	return holding{
		duty:    d,
		tenure:  d.tenure,
		run:     d.run,
		release: d.release,
	}
}
