package owner

import (
	"context"
	"errors"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"lemonstream.dev/lemonstream/clock"
	"lemonstream.dev/lemonstream/outside"
	"lemonstream.dev/lemonstream/witness"
)

// claim is the result of a successful claim of a part by this entry.
type claim struct {
	epoch   int64
	version int64

	// before is the last heartbeat of the previous owner. read is a time after it was read; the
	// durations in before count from it.
	before Beat
	read   time.Time

	// unobservedFor is how long runs or orders of earlier owners may still be unobserved.
	unobservedFor time.Duration

	// outsider reports that the previous heartbeat names witnesses and this entry is none of
	// them, and that the previous owner may be alive.
	outsider bool
}

// previousOwner is what a claimer knows of the owner that it replaces.
type previousOwner struct {
	// ended says that the owner's process has certainly ended or has released the part.
	ended bool

	// unchanged is the heartbeat that was seen to be unchanged; zero if the owner has ended.
	unchanged unchangedBeat
}

// maybeClaim pings the current owner of a service when a ping is due, and starts to claim the
// service once it has been free for long enough. The caller holds k.mu.
func (k *Keeper) maybeClaim(ctx context.Context, service string, now time.Time) {
	o := k.owners[service]
	w := k.watches[service]
	if w == nil || w.epoch != o.Epoch {
		w = &ownerWatch{
			epoch: o.Epoch,
		}
		k.watches[service] = w
	}
	rank := k.rank(service, o.Owner)
	free := o.Owner == "" || o.Released || o.Owner == k.self.Incarnation || w.dead || w.lost
	if !free {
		w.freeSince = time.Time{}
		if !w.pinging && now.Sub(w.pingedAt) >= pingInterval*time.Duration(1+rank) {
			w.pinging = true
			w.pingedAt = now
			k.deps.Group.Go("ping", func(context.Context) error {
				k.probe(ctx, service, o)
				return nil
			})
		}
		return
	}
	if w.freeSince.IsZero() {
		w.freeSince = now
	}
	from := previousOwner{
		ended: w.dead || o.Released || o.Owner == "" || o.Owner == k.self.Incarnation,
	}
	wait := k.claimDelay(o, rank)
	if !from.ended {
		from.unchanged = w.still
		if w.outsider {
			wait += witness.OutsiderDelay
		}
	}
	if now.Before(w.notBefore) || now.Sub(w.freeSince) < wait {
		return
	}
	if !from.ended && !k.mayClaim(service, now) {
		return
	}
	k.active[service] = true
	k.deps.Group.Go("take "+service, func(context.Context) error {
		k.claimAndRun(ctx, service, o, from)
		return nil
	})
}

// claimDelay returns how long a part must have been free before this entry claims it. The
// entry that the part was released for claims it at once. The others wait according to their
// rank, as if that entry ranked before all of them.
func (k *Keeper) claimDelay(o ownerRow, rank int) time.Duration {
	switch o.Next {
	case k.self.Incarnation:
		return 0
	case "":
	default:
		rank++
	}
	return rankDelay*time.Duration(rank) + ownedDelay*time.Duration(len(k.active))
}

// rank returns the position of this entry among the possible successors of an owner, from 0.
// Entries with more cores come first; entries with the same number are ordered by weight, so
// that each service has its own order.
func (k *Keeper) rank(service, owner string) int {
	mine := weight(service, k.self.Incarnation)
	rank := 0
	for _, member := range k.members() {
		if member.Incarnation == owner || member.Incarnation == k.self.Incarnation {
			continue
		}
		stronger := member.Cores > k.self.Cores
		if stronger || (member.Cores == k.self.Cores && weight(service, member.Incarnation) > mine) {
			rank++
		}
	}
	return rank
}

// weight returns a hash that orders entries with equal cores differently for each service.
func weight(service, member string) uint64 {
	return xxhash.Sum64String(service + "\x00" + member)
}

// probe pings an owner and marks it as dead or lost in its ownerWatch.
func (k *Keeper) probe(ctx context.Context, service string, o ownerRow) {
	var pong Pong
	address, err := netip.ParseAddrPort(o.Peer)
	if err == nil {
		bounded, cancel := context.WithTimeout(ctx, pingTimeout)
		pong, err = k.ping(bounded, address, service)
		cancel()
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	w := k.watches[service]
	if w == nil || w.epoch != o.Epoch {
		return
	}
	defer func() { w.pinging = false }()
	away := err == nil && pong.TurnedAway >= rejectionTimeout
	refused := outside.IsNotDone(err)
	suspect, silent := k.evaluatePong(w, o, pong, err)
	if w.dead {
		k.deps.Log.Info("owner has ended", "service", service, "owner", o.Owner, "epoch", o.Epoch)
	}
	if !suspect && !away {
		w.still = unchangedBeat{}
		return
	}
	k.mu.Unlock()
	beat, version, err := k.beat(ctx, service)
	var unreadable *UnreadableRowError
	if errors.As(err, &unreadable) {
		err = nil
	}
	k.mu.Lock()
	still := w.still.observe(version, err, k.deps.Clock.Now())
	w.outsider = unreadable != nil || k.isOutsider(beat)
	// The store serves this entry, and the owner is unlikely to write: by its own report the store
	// rejects its writes, or its process seems to have ended.
	if served := err == nil; ((away || refused) && served) || (silent && still >= k.scaleTimeout(silenceTimeout)) {
		w.lost = true
		k.deps.Log.Info("owner writes nothing", "service", service, "owner", o.Owner, "epoch", o.Epoch,
			"still_ms", still.Milliseconds(), "refused", refused, "write_age_ms", pong.WriteAge.Milliseconds(), "failed_pings", w.failures,
			"turned_away_ms", pong.TurnedAway.Milliseconds())
	}
}

// awaitEnd pings the previous owner of a service until its process is known to have ended, for as long
// as the duty waits for it at most.
func (k *Keeper) awaitEnd(ctx context.Context, duty *Duty, o ownerRow, wait time.Duration) error {
	address, err := netip.ParseAddrPort(o.Peer)
	if err != nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for clock.Sleep(ctx, pingInterval) {
		bounded, cancel := context.WithTimeout(ctx, pingTimeout)
		pong, err := k.ping(bounded, address, duty.service)
		cancel()
		if err == nil && pong.Incarnation != o.Owner {
			duty.pushAwaited(func(d *Duty, now time.Time) { d.core.PreviousOwnerEnded(now) })
			return nil
		}
	}
	return nil
}

// evaluatePong handles the result of a ping. suspect means that the owner's heartbeat has to be
// watched, silent that the owner is lost if its heartbeat does not change.
func (k *Keeper) evaluatePong(w *ownerWatch, o ownerRow, pong Pong, err error) (suspect, silent bool) {
	switch {
	case err == nil && pong.Incarnation != o.Owner:
		w.dead = true
		return false, false
	case outside.IsNotDone(err):
		// A network that refuses connections to a living owner shows the same as one that has ended.
		return true, false
	case err != nil:
		w.failures++
		return true, w.failures >= minFailedPings
	case !pong.Owns:
		return true, true
	}
	w.failures = 0
	return pong.WriteAge >= k.scaleTimeout(suspectWriteAge), pong.WriteAge >= k.scaleTimeout(staleWriteAge)
}

// observe handles one read of the heartbeat and returns for how long its version has not
// changed. A failed read restarts the measurement: the store may have failed for the owner as
// well, and the owner may be about to write again.
func (s *unchangedBeat) observe(version int64, err error, now time.Time) time.Duration {
	if err != nil {
		*s = unchangedBeat{}
		return 0
	}
	if s.since.IsZero() || version != s.version {
		*s = unchangedBeat{
			version: version,
			since:   now,
		}
	}
	return s.duration(now)
}

// duration returns for how long the version has not changed; 0 while no heartbeat is watched.
func (s *unchangedBeat) duration(now time.Time) time.Duration {
	if s.since.IsZero() {
		return 0
	}
	return now.Sub(s.since)
}

// scaleTimeout returns a timeout for an owner's writes, given its normal value. It is longer
// while the store is slow, because each write then takes as long as several normal ones.
func (k *Keeper) scaleTimeout(normal time.Duration) time.Duration {
	if k.deps.Slow() {
		return slowFactor * normal
	}
	return normal
}

// beat reads the last heartbeat of a part's owner and the version of its row. Both are zero if
// there is no row. The error is an *UnreadableRowError if another writer replaced the row.
func (k *Keeper) beat(ctx context.Context, part string) (Beat, int64, error) {
	row, err := k.deps.Table.Row(ctx, beatKey(part))
	if err != nil || row == nil {
		return Beat{}, 0, err
	}
	beat, err := decodeBeat(row.Value)
	return beat, row.Version, err
}

// claim makes this entry the owner of a service. The transaction checks that the owner's row is
// still o and that the previous owner has not written since its heartbeat was read here.
//
// If the previous owner may be alive and its heartbeat has another version now than when it was seen
// to be unchanged, claim returns a *RecoveredError; if this entry has promised that owner not to
// claim the part, a *PromisedError. The claim writes for how long runs or orders of earlier owners
// may still be unobserved: the longer of unobservedFor and of what the previous heartbeat says. If
// the transaction gets no answer, claim reads the row to find out whether it was applied. now is when
// the claim began: the caller counts unobservedFor from it.
func (k *Keeper) claim(ctx context.Context, service string, o ownerRow, from previousOwner, now time.Time) (claim, error) {
	before, version, err := k.beat(ctx, service)
	var unreadable *UnreadableRowError
	if err != nil && !errors.As(err, &unreadable) {
		return claim{}, err
	}
	read := k.deps.Clock.Now()
	if o.unreadable {
		// Each owner writes its epoch to both rows. Without a heartbeat there was none.
		o.Epoch = max(o.Epoch, before.Epoch)
		if o.Epoch == 0 && version > 0 {
			return claim{}, &UnreadableRowError{
				Row:   "an owner",
				Cause: errUnknownEpoch,
			}
		}
	}
	if unreadable == nil && version > 0 && before.Epoch < o.Epoch {
		// An owner writes its epoch to both rows.
		unreadable = &UnreadableRowError{
			Row:   "a beat",
			Cause: errOldEpoch,
		}
		before = Beat{}
	}
	if unreadable != nil {
		k.deps.Count("row_left_out", tableBeat)
		k.deps.Log.Error("row left out", "table", tableBeat, "key", service, "error", unreadable)
		// Nothing is known of earlier owners, so that they matter for as long as any may.
		before.UnobservedMillis = ceilMillis(k.unobservedFor(service, o, previousOwner{}, true, now))
	}
	if !from.ended && version != from.unchanged.version {
		return claim{}, &RecoveredError{
			Part:  service,
			Owner: o.Owner,
		}
	}
	won := claim{
		epoch:    o.Epoch + 1,
		read:     read,
		outsider: !from.ended && (unreadable != nil || k.isOutsider(before)),
	}
	won.unobservedFor = k.unobservedFor(service, o, from, won.outsider, now)
	ordered, err := k.beginClaim(service, o, before, version, from.ended)
	if err != nil {
		return claim{}, err
	}
	if service == partInstances && o.Owner == k.self.Incarnation {
		// The previous tenure of this entry may have ended before a row named its last orders.
		ordered = mergeOrdered(ordered, k.recentOrders())
		won.unobservedFor = k.deps.Site.HolderPause
	}
	before.Ordered = mergeOrdered(before.Ordered, ordered)
	won.before = before
	won.version, err = k.sendClaim(ctx, service, o, version, claimBeat(before, won.unobservedFor))
	k.endClaim(service, claimResult(err))
	return won, err
}

// sendClaim sends the transaction of a claim and returns the version of the owner's row. beatVersion
// is the version of the previous heartbeat, beat the heartbeat to write.
func (k *Keeper) sendClaim(ctx context.Context, service string, o ownerRow, beatVersion int64, beat Beat) (int64, error) {
	next := Ownership{
		Epoch: o.Epoch + 1,
		Owner: k.self.Incarnation,
		Peer:  k.self.Peer.String(),
	}
	value := encodeRow(next)
	receipt, err := k.deps.Table.Transact(ctx, claimTransaction(service, o.version, beatVersion, next, beat))
	version := receipt.Version
	var conflict *outside.ConflictError
	switch {
	case err == nil:
	case errors.As(err, &conflict):
		// The heartbeat row is among the checked rows as well.
		k.applyOwners(slices.DeleteFunc(slices.Clone(conflict.Rows), func(row outside.Row) bool { return row.Key.Table != TableOwners }))
		return 0, err
	case outside.IsUncertain(err):
		row, readErr := k.deps.Table.Row(ctx, ownerKey(service))
		if readErr != nil || row == nil || string(row.Value) != string(value) {
			return 0, err
		}
		version = row.Version
	default:
		return 0, err
	}
	k.applyOwners([]outside.Row{{
		Key:     ownerKey(service),
		Value:   value,
		Version: version,
	}})
	return version, nil
}

// recentOrders returns the instances that the last tenure of this entry as their controller had
// ordered recently when it ended.
func (k *Keeper) recentOrders() []string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.lastOrdered
}

// isOutsider reports whether a heartbeat names witnesses and this entry is none of them.
func (k *Keeper) isOutsider(beat Beat) bool {
	return len(beat.Witnesses) > 0 && !slices.Contains(beat.Witnesses, k.self.Incarnation)
}

// mergeOrdered returns the instances of both lists, sorted.
func mergeOrdered(recorded, told []string) []string {
	if len(told) == 0 {
		return recorded
	}
	all := slices.Concat(recorded, told)
	slices.Sort(all)
	return slices.Compact(all)
}

// claimBeat returns the heartbeat that a claim writes, built from that of the previous owner.
// What the previous heartbeat says of workers and of taken instances stays true until the new
// owner writes, because the new owner starts nothing before that. Its durations have become
// shorter since but are copied unchanged: it is safe for them to be too long.
func claimBeat(before Beat, unobservedFor time.Duration) Beat {
	beat := Beat{
		IdleWorkers:      before.IdleWorkers,
		Leased:           before.Leased,
		Taken:            before.Taken,
		ReleasedWorkers:  before.ReleasedWorkers,
		Evidence:         before.Evidence,
		History:          before.History,
		UnobservedMillis: max(before.UnobservedMillis, ceilMillis(unobservedFor)),
	}
	if beat.UnobservedMillis > 0 {
		beat.Ordered = before.Ordered
	}
	return beat
}

// claimTransaction builds the transaction that gives a part to the next owner. It applies only
// if the previous owner's rows still have the given versions. beat is the heartbeat to write.
func claimTransaction(part string, ownerVersion, beatVersion int64, next Ownership, beat Beat) outside.Transaction {
	beat.Epoch = next.Epoch
	return outside.Transaction{
		Checks: []outside.Check{{
			Key:     ownerKey(part),
			Version: ownerVersion,
		}, {
			Key:     beatKey(part),
			Version: beatVersion,
		}},
		Puts: []outside.Put{{
			Key:   ownerKey(part),
			Value: encodeRow(next),
		}, {
			Key:   beatKey(part),
			Value: encodeRow(beat),
		}},
	}
}

// unchangedBeat records since when a watched heartbeat has had the same version.
type unchangedBeat struct {
	version int64

	// since is when the version was first seen; zero while no heartbeat is watched.
	since time.Time
}

var (
	// errOldEpoch is the cause if a heartbeat is not that of the owner or a later one.
	errOldEpoch = errors.New("the epoch is older than that of the owner")

	// errUnknownEpoch is the cause if neither the row of an owner nor its heartbeat can be read.
	errUnknownEpoch = errors.New("no row tells the last epoch")
)

// RecoveredError reports that an owner that was considered lost has written again.
type RecoveredError struct {
	Part  string
	Owner string
}

// Error implements error.
func (e *RecoveredError) Error() string {
	return "owner " + e.Owner + " of " + e.Part + " has written again"
}
