package owner

import "time"

// UnobservedFor returns how long after a claim an unreachable worker may still run tasks that the
// previous owner started there: one lease, with the drift of the worker's clock, after the last
// renewal. A previous owner that has not ended may renew leases for ownerTimeout after its last
// write; this entry has already seen it write nothing for silenceTimeout.
func UnobservedFor(lease time.Duration, ended bool) time.Duration {
	unobserved := lease + lease/20
	if !ended {
		unobserved += ownerTimeout - silenceTimeout
	}
	return unobserved
}

// unobservedFor returns how long after a claim the previous owner may still have an effect. For a
// service, see UnobservedFor. A previous instance controller that may be alive gets the time to
// send its last orders, followed by the platform's HolderPause.
func (k *Keeper) unobservedFor(part string, before ownerRow, ended bool) time.Duration {
	switch {
	case before.Epoch == 0:
		return 0
	case part != partInstances:
		return UnobservedFor(k.deps.Options.Lease, ended)
	case ended:
		return 0
	default:
		return staleOrderWindow + k.deps.Site.HolderPause
	}
}
