package owner

import (
	"context"
	"sort"
	"sync"
	"time"

	"lemonstream.dev/lemonstream/clock"
)

const (
	// minCoresShare is the share of the largest entry's cores that an entry needs to be
	// chosen as a successor: the owner of a large service needs much CPU time.
	minCoresShare = 0.5

	// listTimeout bounds the read of the list of entries at a release, because callers wait
	// meanwhile. It is several times what the read normally takes.
	listTimeout = 100 * time.Millisecond

	// memberPollInterval is the time between two reads of the list while no other entry is
	// listed. maxMemberWait is how long a stopping owner waits for another entry, because
	// its services are better served by it than by no owner. An entry is listed again about
	// 0.6 s after its previous incarnation has ended. The rest of the time for stopping is
	// left for requests that are in flight.
	memberPollInterval = 50 * time.Millisecond
	maxMemberWait      = time.Second

	// maxMemberWaitShare bounds the same wait, as a share of the time until the deadline of
	// the release: the release itself needs the rest.
	maxMemberWaitShare = 0.5
)

// StopClaiming keeps the keeper from claiming further services. It still runs those it owns.
func (k *Keeper) StopClaiming() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.stopping = true
}

// Release hands over every service that this entry owns and claims no further ones. It returns
// once all of them have been released.
func (k *Keeper) Release(ctx context.Context, wait time.Duration) {
	k.mu.Lock()
	k.stopping = true
	k.released = true
	held := make(map[string]heldPart, len(k.held))
	for part, h := range k.held {
		held[part] = h
	}
	k.mu.Unlock()
	if len(held) == 0 {
		return
	}
	k.chooseSuccessors(held, k.awaitMembers(ctx))
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

// chooseSuccessors chooses the next owner of each held part.
func (k *Keeper) chooseSuccessors(held map[string]heldPart, listed []Member) {
	k.mu.Lock()
	defer k.mu.Unlock()
	owned := make(map[string]int)
	for part, o := range k.owners {
		if _, mine := held[part]; !mine {
			owned[o.ownerOrNext()]++
		}
	}
	parts := make([]string, 0, len(held))
	for part := range held {
		parts = append(parts, part)
	}
	sort.Strings(parts)
	for part, next := range AssignSuccessors(listed, k.self.Incarnation, parts, len(k.owners), owned) {
		held[part].tenure.successor.Store(&next)
	}
}

// awaitMembers returns the listed entries. If no other entry is listed, it waits for one, but
// only briefly, because the other entries may be stopping as well.
func (k *Keeper) awaitMembers(ctx context.Context) []Member {
	end := k.deps.Clock.Now().Add(memberWait(ctx))
	for {
		list := k.listMembers(ctx)
		if len(strongMembers(list, k.self.Incarnation)) > 0 || !k.deps.Clock.Now().Before(end) {
			return list
		}
		if !clock.Sleep(ctx, memberPollInterval) {
			return list
		}
	}
}

// listMembers returns the entries that are listed in the table, or those last seen if the
// table can't be read.
func (k *Keeper) listMembers(ctx context.Context) []Member {
	bounded, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	list, err := k.deps.ListMembers(bounded)
	if err != nil {
		k.deps.Log.Info("failed to read the list of entries", "error", err.Error())
		return k.members()
	}
	return list
}

// ownerOrNext returns the entry that owns a part or, if the part was released, the entry that
// it was released for. It is empty if there is none.
func (o ownerRow) ownerOrNext() string {
	if o.Released {
		return o.Next
	}
	return o.Owner
}

// wake makes the keeper check all parts immediately.
func (k *Keeper) wake() {
	select {
	case k.notify <- struct{}{}:
	default:
		// A check is already pending.
	}
}

// AssignSuccessors chooses a successor for each of the parts that the entry self releases, out
// of total parts in all. owned counts the parts of the other entries and is updated. Among the
// entries with enough cores and less than an equal share of the parts, it prefers the one that
// was listed last: in a rolling restart, that entry is restarted last. It returns nil if no
// other entry is listed.
func AssignSuccessors(listed []Member, self string, parts []string, total int, owned map[string]int) map[string]string {
	strong := strongMembers(listed, self)
	if len(strong) == 0 {
		return nil
	}
	share := (total + len(strong) - 1) / len(strong)
	next := make(map[string]string, len(parts))
	for _, part := range parts {
		best := strong[0]
		for _, member := range strong[1:] {
			if isPreferred(member, best, share, owned) {
				best = member
			}
		}
		next[part] = best.Incarnation
		owned[best.Incarnation]++
	}
	return next
}

// memberWait returns how long a stopping owner waits for another entry to be listed, given the
// deadline of its release.
func memberWait(ctx context.Context) time.Duration {
	deadline, bounded := ctx.Deadline()
	if !bounded {
		return maxMemberWait
	}
	return min(maxMemberWait, time.Duration(maxMemberWaitShare*float64(time.Until(deadline))))
}

// isPreferred reports whether a is a better successor than b. Entries that exceed the share
// least come first, then those that were listed last.
func isPreferred(a, b Member, share int, owned map[string]int) bool {
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

// strongMembers returns the entries other than self with enough cores to own a large service;
// see minCoresShare.
func strongMembers(listed []Member, self string) []Member {
	maxCores := 0.0
	for _, member := range listed {
		if member.Incarnation != self {
			maxCores = max(maxCores, member.Cores)
		}
	}
	var strong []Member
	for _, member := range listed {
		if member.Incarnation != self && member.Cores >= minCoresShare*maxCores {
			strong = append(strong, member)
		}
	}
	return strong
}
