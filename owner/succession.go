package owner

import (
	"context"
	"errors"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"lemonstream.dev/lemonstream/clock"
	"lemonstream.dev/lemonstream/outside"
)

// consider decides whether this entry takes a service now.
func (k *Keeper) consider(ctx context.Context, service string, now time.Time) {
	o := k.owners[service]
	w := k.watches[service]
	if w == nil || w.epoch != o.Epoch {
		w = &watch{
			epoch: o.Epoch,
		}
		k.watches[service] = w
	}
	rank := k.rank(service, o.Owner)
	free := o.Owner == "" || o.Released || o.Owner == k.self.Incarnation || w.dead || w.lost
	if !free {
		w.freeSince = time.Time{}
		if !w.pinging && now.Sub(w.pinged) >= pingPause*time.Duration(1+rank) {
			w.pinging = true
			w.pinged = now
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
	wait := rankPause*time.Duration(rank) + ownedPause*time.Duration(len(k.held))
	if now.Before(w.notBefore) || now.Sub(w.freeSince) < wait {
		return
	}
	k.seizing[service] = true
	ended := w.dead || o.Released || o.Owner == "" || o.Owner == k.self.Incarnation
	k.deps.Group.Go("take "+service, func(context.Context) error {
		k.seize(ctx, service, o, ended)
		return nil
	})
}

// rank returns this entry's place among the successors of an owner: entries
// with more processor go first, and among equals each service has its own order.
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

// weight orders equal entries for a service.
func weight(service, member string) uint64 {
	return xxhash.Sum64String(service + "\x00" + member)
}

// probe asks an owner whether it still works.
func (k *Keeper) probe(ctx context.Context, service string, o known) {
	var pong Pong
	address, err := netip.ParseAddrPort(o.Peer)
	if err == nil {
		bounded, cancel := context.WithTimeout(ctx, pingTimeout)
		pong, err = k.ping(bounded, address, service)
		cancel()
	}
	silent := false
	k.mu.Lock()
	w := k.watches[service]
	if w == nil || w.epoch != o.Epoch {
		k.mu.Unlock()
		return
	}
	switch {
	case err == nil && pong.Incarnation != o.Owner:
		w.dead = true
	case err == nil && pong.Owns && pong.WriteAge < k.patient(staleWrites):
		w.failures = 0
	case err == nil:
		// The owner itself says that it does not write, or owns nothing.
		silent = true
	case outside.IsNotDone(err):
		w.dead = true
	default:
		w.failures++
		silent = w.failures >= silentPings
	}
	if w.dead {
		k.deps.Log.Info("owner has ended", "service", service, "owner", o.Owner, "epoch", o.Epoch)
	}
	k.mu.Unlock()
	if silent && k.writesNothing(ctx, service) {
		k.mu.Lock()
		w.lost = true
		k.mu.Unlock()
		k.deps.Log.Info("owner writes nothing", "service", service, "owner", o.Owner, "epoch", o.Epoch)
	}
	k.mu.Lock()
	w.pinging = false
	k.mu.Unlock()
}

// writesNothing watches an owner's beat for a little longer than its pause.
func (k *Keeper) writesNothing(ctx context.Context, service string) bool {
	_, before, err := k.beat(ctx, service)
	if err != nil || !clock.Sleep(ctx, k.patient(silentWrites)) {
		return false
	}
	_, after, err := k.beat(ctx, service)
	return err == nil && before == after
}

// patient returns how long an owner may take, given what it may on a calm day:
// with a slow store each write takes the time of several.
func (k *Keeper) patient(calm time.Duration) time.Duration {
	if k.deps.Slow() {
		return slowFactor * calm
	}
	return calm
}

// beat reads the last beat of a part's owner and its version.
func (k *Keeper) beat(ctx context.Context, part string) (Beat, int64, error) {
	row, err := k.deps.Table.Row(ctx, beatKey(part))
	if err != nil || row == nil {
		return Beat{}, 0, err
	}
	beat, err := decodeBeat(row.Value)
	return beat, row.Version, err
}

// claim writes the row of the owner under the condition that it stands as
// known, and that the owner before has written nothing since its beat was read. A lost answer is resolved by reading the row.
func (k *Keeper) claim(ctx context.Context, service string, o known) (claim, error) {
	before, version, err := k.beat(ctx, service)
	if err != nil {
		return claim{}, err
	}
	next := Ownership{
		Epoch: o.Epoch + 1,
		Owner: k.self.Incarnation,
		Peer:  k.self.Peer.String(),
	}
	value := encodeRow(next)
	receipt, err := k.deps.Table.Transact(ctx, outside.Transaction{
		Checks: []outside.Check{{
			Key:     ownerKey(service),
			Version: o.version,
		}, {
			Key:     beatKey(service),
			Version: version,
		}},
		Puts: []outside.Put{{
			Key:   ownerKey(service),
			Value: value,
		}, {
			Key: beatKey(service),
			Value: encodeRow(Beat{
				Epoch: next.Epoch,
			}),
		}},
	})
	won := claim{
		epoch:   next.Epoch,
		version: receipt.Version,
		before:  before,
	}
	var conflict *outside.ConflictError
	switch {
	case err == nil:
	case errors.As(err, &conflict):
		k.take(conflict.Rows)
		return claim{}, err
	case outside.IsUncertain(err):
		page, readErr := k.deps.Table.Get(ctx, tableOwner, service, "")
		if readErr != nil || len(page.Rows) == 0 || string(page.Rows[0].Value) != string(value) {
			return claim{}, err
		}
		won.version = page.Rows[0].Version
	default:
		return claim{}, err
	}
	k.take([]outside.Row{{
		Key:     ownerKey(service),
		Value:   value,
		Version: won.version,
	}})
	return won, nil
}
