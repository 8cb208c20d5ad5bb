// Package owner decides which entry owns a service, and runs the scheduler of the services that
// this entry owns. Pings and heartbeats decide when another entry takes over. Correctness does not
// depend on them: the conditions of transactions and the fencing tokens at the workers keep a
// deposed owner from having an effect.
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
	// keeperInterval is the time between two rounds of the keeper.
	keeperInterval = 100 * time.Millisecond

	// pingInterval is the time between two pings of the first successor to an owner. Successors
	// that rank after it ping less often.
	pingInterval = 250 * time.Millisecond

	// pingTimeout bounds one ping. The round trip between availability zones is about 1 ms.
	pingTimeout = 300 * time.Millisecond

	// minFailedPings is how many consecutive pings must fail before a successor may take an
	// owner that has stopped writing for lost.
	minFailedPings = 3

	// suspectWriteAge is how old the last write that an owner reports must be for its
	// successors to watch its heartbeat: it has missed one.
	suspectWriteAge = beatInterval + 100*time.Millisecond

	// unknownOwner stands for the owner in an unreadable row. No incarnation has this name.
	unknownOwner = "?"

	// silenceTimeout is how long a successor must see an unchanged heartbeat before it takes
	// the owner for lost.
	silenceTimeout = beatInterval + beatInterval/2

	// staleWriteAge is how old the last write that an owner reports must be for a successor that
	// reaches the store to take over.
	staleWriteAge = 1200 * time.Millisecond

	// slowFactor multiplies suspectWriteAge, silenceTimeout and staleWriteAge while the store is
	// slow. Twice staleWriteAge stays below OwnerTimeout.
	slowFactor = 2

	// rejectionTimeout is how long the store must have rejected every write of an owner for a
	// successor that can read the owner's rows to take over at once. It covers several attempts
	// of the owner.
	rejectionTimeout = 300 * time.Millisecond

	// rankDelay keeps successors from racing: each waits this much longer than the one ranked
	// before it.
	rankDelay = 200 * time.Millisecond

	// ownedDelay is added for each part that the entry already owns or is claiming, so that
	// services spread over the entries.
	ownedDelay = 300 * time.Millisecond

	// claimRetryDelay is the shortest time between two attempts to claim a part.
	claimRetryDelay = 500 * time.Millisecond
)

// Pong is an owner's answer to a ping of a successor.
type Pong struct {
	// Incarnation identifies the process that answered. Owns says that it owns the service.
	Incarnation string
	Owns        bool

	// WriteAge is the time since its last successful write.
	WriteAge time.Duration

	// TurnedAway is how long the store has rejected every write of the owner; 0 if it does not.
	TurnedAway time.Duration
}

// Self describes this entry.
type Self struct {
	Member

	Peer netip.AddrPort
}

// Member describes an entry to the others.
type Member struct {
	// Incarnation is unique to the process.
	Incarnation string

	// Peer is the address of the entry for other entries. Rows of earlier versions have none.
	Peer string `json:",omitempty"`

	// Cores is the number of processor cores that the entry may use.
	Cores float64

	// Listed orders entries by when they were last listed. It is the version of the entry's
	// row, so it needs no clock, and is not stored.
	Listed int64 `json:"-"`
}

// Keeper watches the owners of all services, claims services without an owner and runs their
// duties. It treats the instance controller like a service.
type Keeper struct {
	deps Deps
	self Self

	// ping calls the owner at an address. A *outside.NotDoneError means that no process listens
	// there.
	ping func(ctx context.Context, peer netip.AddrPort, service string) (Pong, error)

	// members returns the entries that are known to be alive, including this one.
	members func() []Member

	mu sync.Mutex

	// held holds the parts that this entry owns: services, and the instance controller.
	held map[string]heldPart

	// active holds the parts that a goroutine of this entry is claiming or running, until that
	// goroutine ends. It keeps the keeper from claiming a part twice: the row that names this
	// entry as the owner may be seen before the answer to the write of that row.
	active map[string]bool

	// owners holds the newest known owner row of each part.
	owners map[string]ownerRow

	// watches holds what the keeper has observed of the owner of each part.
	watches map[string]*ownerWatch

	// witnessed holds what this entry has promised as a witness of each part.
	witnessed map[string]*witnessing

	// contacts holds when other entries last pinged this one. earlierVersion is a listed entry
	// of an earlier version; empty if there is none.
	contacts       map[string]time.Time
	earlierVersion string

	// lastOrdered holds the instances that this entry had ordered recently when its last tenure as
	// the instance controller ended.
	lastOrdered []string

	// ownersRead says that the rows of all owners have been read once. Before that no part is
	// known to be free.
	ownersRead bool

	// stopping says that no part is to be claimed any more. released says that this entry hands
	// over what it owns, so that a claim still in flight is not run.
	stopping bool
	released bool

	// notify receives a value when a part is released for this entry. Its capacity is 1.
	notify chan struct{}
}

// heldPart is a part that this entry owns.
type heldPart struct {
	// duty is the scheduler of a service; nil for the instance controller.
	duty   *Duty
	tenure *tenure

	// base is how long the owner may act after its last write without promises.
	base time.Duration

	// recentOrders returns the instances that were ordered recently; nil for a service. It is
	// called once run has returned.
	recentOrders func() []string

	run     func(ctx context.Context) error
	release func(ctx context.Context, wait time.Duration)
}

// ownerRow is an ownership with the version of its row.
type ownerRow struct {
	Ownership
	version int64

	// unreadable says that another writer replaced the row: the version is that of the row, and
	// the epoch the last one known, 0 for none. There may have been later owners.
	unreadable bool
}

// ownerWatch is what a successor has observed of one owner.
type ownerWatch struct {
	epoch int64

	// freeSince is when the part was first seen without an owner.
	freeSince time.Time

	// pingedAt is when the last ping began. failures counts consecutive failed pings.
	pingedAt time.Time
	failures int
	pinging  bool

	// still records since when the owner's heartbeat is unchanged. outsider reports that this
	// heartbeat names witnesses and this entry is none of them.
	still    unchangedBeat
	outsider bool

	// dead says that the owner's process has certainly ended. lost says that the owner has
	// stopped writing, although its process may still run.
	dead bool
	lost bool

	// notBefore is when this entry may next try to claim the part.
	notBefore time.Time
}

// NewKeeper returns a keeper for this entry.
func NewKeeper(deps Deps, self Self, members func() []Member, ping func(context.Context, netip.AddrPort, string) (Pong, error)) *Keeper {
	return &Keeper{
		deps:    deps,
		self:    self,
		ping:    ping,
		members: members,
		held:    make(map[string]heldPart),
		active:  make(map[string]bool),
		owners:  make(map[string]ownerRow),
		watches: make(map[string]*ownerWatch),
		notify:  make(chan struct{}, 1),

		witnessed: make(map[string]*witnessing),
		contacts:  make(map[string]time.Time),
	}
}

// Run watches the owners of all parts until ctx ends.
func (k *Keeper) Run(ctx context.Context) error {
	ticker := time.NewTicker(keeperInterval)
	defer ticker.Stop()
	for {
		k.round(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-k.notify:
		}
	}
}

// WatchOwners follows the owner rows until ctx ends.
func (k *Keeper) WatchOwners(ctx context.Context) error {
	follower := Follower{
		Table:   k.deps.Table,
		Name:    TableOwners,
		Clock:   k.deps.Clock,
		Log:     k.deps.Log,
		Wait:    ShortFeedWait,
		Read:    k.readOwners,
		Apply:   k.applyOwners,
		Overdue: k.deps.Overdue,
	}
	if k.deps.Owners != nil {
		follower.Confirmed = k.deps.Owners.Confirm
		follower.Wanted = k.deps.Owners.Wanted()
	}
	return follower.Run(ctx)
}

// readOwners reads the owner row of each configured part. It returns the version of the first
// read.
func (k *Keeper) readOwners(ctx context.Context) (int64, error) {
	first := int64(-1)
	for _, service := range k.services() {
		page, err := k.deps.Table.Get(ctx, TableOwners, service, keyOwner, 1)
		if err != nil {
			return 0, err
		}
		if first < 0 {
			first = page.Version
		}
		k.applyOwners(page.Rows)
	}
	k.mu.Lock()
	k.ownersRead = true
	k.mu.Unlock()
	return max(0, first), nil
}

// applyOwners records owner rows that are newer than the known ones.
func (k *Keeper) applyOwners(rows []outside.Row) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, row := range rows {
		if row.Key.Name != keyOwner || row.Version <= k.owners[row.Key.Part].version {
			continue
		}
		o, err := decodeOwnership(row.Value)
		if err != nil {
			k.setUnreadable(row, err)
			continue
		}
		k.owners[row.Key.Part] = ownerRow{
			Ownership: o,
			version:   row.Version,
		}
		if h, held := k.held[row.Key.Part]; held && h.tenure.epoch < o.Epoch {
			h.tenure.replaced.Store(true)
		}
		k.deps.Log.Info("owner row changed", "service", row.Key.Part, "epoch", o.Epoch, "owner", o.Owner, "released", o.Released, "next", o.Next)
		if o.Next == k.self.Incarnation {
			k.wake()
		}
	}
}

// setUnreadable records that another writer replaced the row of an owner. The row names nobody who
// could be pinged: the owner counts as lost once its heartbeat stands still. The caller holds k.mu.
func (k *Keeper) setUnreadable(row outside.Row, err error) {
	known := k.owners[row.Key.Part]
	k.deps.Count("row_left_out", TableOwners)
	if !known.unreadable {
		k.deps.Log.Error("row left out", "table", row.Key.Table, "key", row.Key.Part, "error", err)
	}
	k.owners[row.Key.Part] = ownerRow{
		Ownership: Ownership{
			Epoch: known.Epoch,
			Owner: unknownOwner,
		},
		version:    row.Version,
		unreadable: true,
	}
	delete(k.watches, row.Key.Part)
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

// round considers each part once.
func (k *Keeper) round(ctx context.Context) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.stopping || !k.ownersRead {
		return
	}
	now := k.deps.Clock.Now()
	for _, service := range k.services() {
		if !k.active[service] {
			k.maybeClaim(ctx, service, now)
		}
	}
}

// claimAndRun claims a part for this entry and runs its duty until that ends. It returns early if
// the claim fails, for example because another entry has claimed the part.
func (k *Keeper) claimAndRun(ctx context.Context, service string, o ownerRow, from previousOwner) {
	defer k.clearActive(service)
	now := k.deps.Clock.Now()
	won, err := k.claim(ctx, service, o, from, now)
	var recovered *RecoveredError
	k.mu.Lock()
	w := k.watches[service]
	if w != nil {
		w.notBefore = now.Add(claimRetryDelay)
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
	h := k.newHeldPart(service, won, now)
	h.tenure.replaced.Store(k.owners[service].Epoch > won.epoch)
	k.held[service] = h
	k.mu.Unlock()
	k.deps.Log.Info("service taken", "service", service, "epoch", won.epoch, "from", o.Owner, "ended", from.ended, "outsider", won.outsider)
	held, cancel := context.WithCancel(ctx)
	k.deps.Group.Go("promises of "+service, func(context.Context) error {
		return h.tenure.keepPromises(held, h.base)
	})
	if h.duty != nil && !from.ended && o.Epoch > 0 {
		k.deps.Group.Go("previous owner of "+service, func(context.Context) error {
			return k.awaitEnd(held, h.duty, o, won.unobservedFor)
		})
	}
	err = h.run(ctx)
	cancel()
	k.mu.Lock()
	delete(k.held, service)
	if h.recentOrders != nil {
		k.lastOrdered = h.recentOrders()
	}
	k.mu.Unlock()
	if err != nil {
		k.deps.Log.Warn("service lost", "service", service, "epoch", won.epoch, "error", err.Error())
	}
}

func (k *Keeper) clearActive(service string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.active, service)
}

// newHeldPart builds the duty for a part that was claimed.
func (k *Keeper) newHeldPart(part string, won claim, now time.Time) heldPart {
	if part == partInstances {
		f := newInstanceController(k.deps, won, now, won.unobservedFor)
		k.extend(f.tenure)
		return heldPart{
			tenure:  f.tenure,
			base:    maxOrderWriteAge,
			run:     f.run,
			release: f.release,

			recentOrders: f.recentOrders,
		}
	}
	d := newDuty(k.deps, part, won, now, won.unobservedFor)
	k.extend(d.tenure)
	return heldPart{
		duty:    d,
		tenure:  d.tenure,
		base:    OwnerTimeout,
		run:     d.run,
		release: d.release,
	}
}
