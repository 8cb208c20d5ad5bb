package owner

import (
	"context"
	"errors"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

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
	wait := k.pause(o, rank)
	if now.Before(w.notBefore) || now.Sub(w.freeSince) < wait {
		return
	}
	k.seizing[service] = true
	ended := w.dead || o.Released || o.Owner == "" || o.Owner == k.self.Incarnation
	still := int64(0)
	if !ended {
		still = w.still.version
	}
	k.deps.Group.Go("take "+service, func(context.Context) error {
		k.seize(ctx, service, o, ended, still)
		return nil
	})
}

// pause returns how long a part must have been free for this entry to take it. The
// entry that it was released for takes it at once, and the others after their rank
// as if that one stood before them all.
func (k *Keeper) pause(o known, rank int) time.Duration {
	switch o.Next {
	case k.self.Incarnation:
		return 0
	case "":
	default:
		rank++
	}
	return rankPause*time.Duration(rank) + ownedPause*time.Duration(len(k.seizing))
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
	k.mu.Lock()
	defer k.mu.Unlock()
	w := k.watches[service]
	if w == nil || w.epoch != o.Epoch {
		return
	}
	defer func() { w.pinging = false }()
	away := err == nil && pong.TurnedAway >= turnedAway
	suspect, silent := k.judge(w, o, pong, err)
	if w.dead {
		k.deps.Log.Info("owner has ended", "service", service, "owner", o.Owner, "epoch", o.Epoch)
	}
	if !suspect && !away {
		w.still = stillness{}
		return
	}
	k.mu.Unlock()
	_, version, err := k.beat(ctx, service)
	k.mu.Lock()
	still := w.still.note(version, err, k.deps.Clock.Now())
	// The store serves this entry and, by the owner's own word, not the owner.
	if served := err == nil; (away && served) || (silent && still >= k.patient(silentWrites)) {
		w.lost = true
		k.deps.Log.Info("owner writes nothing", "service", service, "owner", o.Owner, "epoch", o.Epoch,
			"still_ms", still.Milliseconds(), "write_age_ms", pong.WriteAge.Milliseconds(), "failed_pings", w.failures,
			"turned_away_ms", pong.TurnedAway.Milliseconds())
	}
}

// judge takes in an owner's answer. It reports whether the owner's beat is to be
// watched, and whether the owner is lost if that stands still.
func (k *Keeper) judge(w *watch, o known, pong Pong, err error) (suspect, silent bool) {
	switch {
	case err == nil && pong.Incarnation != o.Owner, outside.IsNotDone(err):
		w.dead = true
		return false, false
	case err != nil:
		w.failures++
		return true, w.failures >= silentPings
	case !pong.Owns:
		return true, true
	}
	w.failures = 0
	return pong.WriteAge >= k.patient(suspectWrites), pong.WriteAge >= k.patient(staleWrites)
}

// note takes in the version of a beat, and returns for how long it has stood
// still. A gap in the watch starts it anew: the owner may be about to write after
// an outage of the store that met both.
func (s *stillness) note(version int64, err error, now time.Time) time.Duration {
	if err != nil {
		*s = stillness{}
		return 0
	}
	if s.since.IsZero() || version != s.version {
		*s = stillness{
			version: version,
			since:   now,
		}
	}
	return now.Sub(s.since)
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
// known, and that the owner before has written nothing since its beat was read, or
// since it was seen to stand still at the given version; 0 for one that has ended. blindFor
// is for how long that one may matter; the longer of it and of what was known before is
// what the claim passes on. A lost answer is resolved by reading the row.
func (k *Keeper) claim(ctx context.Context, service string, o known, still int64, blindFor time.Duration) (claim, error) {
	before, version, err := k.beat(ctx, service)
	if err != nil {
		return claim{}, err
	}
	read := k.deps.Clock.Now()
	if still != 0 && version != still {
		return claim{}, &RecoveredError{
			Part:  service,
			Owner: o.Owner,
		}
	}
	next := Ownership{
		Epoch: o.Epoch + 1,
		Owner: k.self.Incarnation,
		Peer:  k.self.Peer.String(),
	}
	value := encodeRow(next)
	receipt, err := k.deps.Table.Transact(ctx, claiming(service, o.version, version, next, passedOn(before, blindFor)))
	won := claim{
		epoch:   next.Epoch,
		version: receipt.Version,
		before:  before,
		read:    read,
	}
	var conflict *outside.ConflictError
	switch {
	case err == nil:
	case errors.As(err, &conflict):
		k.take(conflict.Rows)
		return claim{}, err
	case outside.IsUncertain(err):
		page, readErr := k.deps.Table.Get(ctx, TableOwners, service, "", 0)
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

// passedOn returns what the claim's beat repeats of the one before. What that said of
// workers and of taken instances stays true until the next owner writes: it starts nothing
// before. Its spans have shrunk since, and are not cut: they may only be too long.
func passedOn(before Beat, blindFor time.Duration) Beat {
	beat := Beat{
		Lapsed:      before.Lapsed,
		Leased:      before.Leased,
		Taken:       before.Taken,
		Given:       before.Given,
		BlindMillis: max(before.BlindMillis, millisUp(blindFor)),
	}
	if beat.BlindMillis > 0 {
		beat.Ordered = before.Ordered
	}
	return beat
}

// claiming builds the transaction that makes a part the next owner's, if the rows of
// the owner before still have the given versions. beat is what it passes on.
func claiming(part string, ownerVersion, beatVersion int64, next Ownership, beat Beat) outside.Transaction {
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

// stillness is a beat that has not changed while it was watched.
type stillness struct {
	version int64

	// since is when the version was first seen; zero where nothing is watched.
	since time.Time
}

// RecoveredError reports that an owner that was taken for lost writes again.
type RecoveredError struct {
	Part  string
	Owner string
}

// Error implements error.
func (e *RecoveredError) Error() string {
	return "owner " + e.Owner + " of " + e.Part + " writes again"
}
