package owner

import (
	"context"
	"sort"
	"sync"
	"time"

	"lemonstream.dev/lemonstream/clock"
)

const (
	// strongShare is the share of the strongest entry's processor that makes an
	// entry strong: the owner of a large service needs much of one.
	strongShare = 0.5

	// listedWait bounds the reading of the list at a release, several times what it
	// takes on a calm day. Callers wait while it is read.
	listedWait = 100 * time.Millisecond

	// alonePause is the time between two readings while no other entry is listed, and
	// aloneWait how long an owner waits for one: its services are better off with it
	// than with nobody. An entry is back some 0.6 s after its last life has ended; the
	// rest of the time to stop is for requests that are under way.
	alonePause = 50 * time.Millisecond
	aloneWait  = time.Second

	// aloneShare is the most of the time for a release that goes into that wait: the
	// release itself needs the rest.
	aloneShare = 0.5
)

// Retire has the keeper take no service any more; it keeps what it owns.
func (k *Keeper) Retire() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.stopping = true
}

// Release hands over every service and takes none any more.
func (k *Keeper) Release(ctx context.Context, wait time.Duration) {
	k.mu.Lock()
	k.stopping = true
	k.released = true
	held := make(map[string]holding, len(k.held))
	for part, h := range k.held {
		held[part] = h
	}
	k.mu.Unlock()
	if len(held) == 0 {
		return
	}
	k.nameSuccessors(held, k.awaitListed(ctx))
	var all sync.WaitGroup
	for part, h := range held {
		all.Add(1)
		k.deps.Group.Go("release of "+part, func(context.Context) error {
			defer all.Done()
			h.release(ctx, wait)
			return nil
		})
	}
	all.Wait()
}

// nameSuccessors chooses who is to take each of the parts.
func (k *Keeper) nameSuccessors(held map[string]holding, listed []Member) {
	k.mu.Lock()
	defer k.mu.Unlock()
	owned := make(map[string]int)
	for part, o := range k.owners {
		if _, mine := held[part]; !mine {
			owned[o.holder()]++
		}
	}
	parts := make([]string, 0, len(held))
	for part := range held {
		parts = append(parts, part)
	}
	sort.Strings(parts)
	for part, next := range Deal(listed, k.self.Incarnation, parts, len(k.owners), owned) {
		held[part].tenure.successor.Store(&next)
	}
}

// awaitListed returns the entries that may succeed this one. Where there is none, it
// waits for one, but not long: the others may be stopping as well.
func (k *Keeper) awaitListed(ctx context.Context) []Member {
	end := k.deps.Clock.Now().Add(aloneBound(ctx))
	for {
		list := k.listed(ctx)
		if len(strongest(list, k.self.Incarnation)) > 0 || !k.deps.Clock.Now().Before(end) {
			return list
		}
		if !clock.Sleep(ctx, alonePause) {
			return list
		}
	}
}

// listed returns the entries that may succeed this one: as they stand in the table,
// or as they were last seen.
func (k *Keeper) listed(ctx context.Context) []Member {
	bounded, cancel := context.WithTimeout(ctx, listedWait)
	defer cancel()
	list, err := k.deps.Listed(bounded)
	if err != nil {
		k.deps.Log.Info("list of entries not read", "error", err.Error())
		return k.members()
	}
	return list
}

// holder returns the entry that owns a part, or is to own it; empty where none is.
func (o known) holder() string {
	if o.Released {
		return o.Next
	}
	return o.Owner
}

// wake has the keeper look at all parts at once.
func (k *Keeper) wake() {
	select {
	case k.named <- struct{}{}:
	default:
		// It is to look already.
	}
}

// Deal chooses a successor for each of the parts that the entry self gives up, of
// total parts in all. owned counts what the other entries have; it is changed. It
// chooses among strong entries with less than their share the one that was listed
// last: where entries are restarted in turn, that one will be restarted last. It
// returns nothing where no other entry is listed.
func Deal(listed []Member, self string, parts []string, total int, owned map[string]int) map[string]string {
	strong := strongest(listed, self)
	if len(strong) == 0 {
		return nil
	}
	share := (total + len(strong) - 1) / len(strong)
	next := make(map[string]string, len(parts))
	for _, part := range parts {
		best := strong[0]
		for _, member := range strong[1:] {
			if before(member, best, share, owned) {
				best = member
			}
		}
		next[part] = best.Incarnation
		owned[best.Incarnation]++
	}
	return next
}

// aloneBound returns for how long an owner waits for another entry, of the time that
// it has for its release.
func aloneBound(ctx context.Context) time.Duration {
	deadline, bounded := ctx.Deadline()
	if !bounded {
		return aloneWait
	}
	return min(aloneWait, time.Duration(aloneShare*float64(time.Until(deadline))))
}

// before reports whether a goes before b as a successor.
func before(a, b Member, share int, owned map[string]int) bool {
	overA := max(0, owned[a.Incarnation]-share+1)
	overB := max(0, owned[b.Incarnation]-share+1)
	if overA != overB {
		return overA < overB
	}
	if a.Listed != b.Listed {
		return a.Listed > b.Listed
	}
	return a.Incarnation < b.Incarnation
}

// strongest returns the strong entries without self.
func strongest(listed []Member, self string) []Member {
	most := 0.0
	for _, member := range listed {
		if member.Incarnation != self {
			most = max(most, member.Cores)
		}
	}
	var strong []Member
	for _, member := range listed {
		if member.Incarnation != self && member.Cores >= strongShare*most {
			strong = append(strong, member)
		}
	}
	return strong
}
