package owner

import (
	"time"

	"lemonstream.dev/lemonstream/witness"
)

// UnobservedFor returns how long after a claim an unreachable worker may still run tasks that the
// previous owner started there: one lease, with the drift of the worker's clock, after the last
// renewal. A previous owner that has not ended may renew leases for OwnerTimeout after its last
// write; this entry has already seen it write nothing for silenceTimeout.
func UnobservedFor(lease time.Duration, ended bool) time.Duration {
	unobserved := lease + lease/20
	if !ended {
		unobserved += OwnerTimeout - silenceTimeout
	}
	return unobserved
}

// unobservedFor returns how long after a claim the previous owner may still have an effect. For a
// service, see UnobservedFor. A previous instance controller that may be alive gets the time to
// send its last orders, followed by the platform's HolderPause. now is when the claim began.
//
// If outsider is set, the previous owner may act by promises of witnesses that this entry knows
// nothing of. It then has the longest time for which any owner acts, less the time for which its
// heartbeat was seen unchanged. A controller may also have ordered instances that only its witnesses
// know: a second HolderPause lets this entry and its successors order nothing at all for the first
// one.
//
// An owner that rejects its pings, or says that it is turned away, is claimed from before its
// heartbeat was seen unchanged for silenceTimeout. What lacks of that is added.
func (k *Keeper) unobservedFor(part string, before ownerRow, from previousOwner, outsider bool, now time.Time) time.Duration {
	lease := k.deps.Options.Lease
	acting := witness.Standard().OutsiderWait(from.unchanged.duration(now))
	unseen := max(0, silenceTimeout-from.unchanged.duration(now))
	switch {
	case before.Epoch == 0:
		return 0
	case part != partInstances && outsider:
		return max(UnobservedFor(lease, false)+unseen, UnobservedFor(lease, true)+acting)
	case part != partInstances && from.ended:
		return UnobservedFor(lease, true)
	case part != partInstances:
		return UnobservedFor(lease, false) + unseen
	case from.ended:
		return 0
	case outsider:
		return max(staleOrderWindow+unseen, acting) + 2*k.deps.Site.HolderPause
	default:
		return staleOrderWindow + unseen + k.deps.Site.HolderPause
	}
}
