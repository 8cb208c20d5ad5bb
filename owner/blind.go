package owner

import "time"

// BlindFor returns how long after a claim a worker that can't be reached may
// still run what the owner before started there: a lease, with the drift of the
// worker's clock, after the last renewal. An owner that may live renews for
// ownerHorizon after its last write.
func BlindFor(lease time.Duration, ended bool) time.Duration {
	blind := lease + lease/20
	if !ended {
		blind += ownerHorizon - silentWrites
	}
	return blind
}

// blindFor returns how long after a claim the owner before matters: at a service see
// BlindFor; the instances' is left to give its last orders, and the platform's pause
// follows.
func (k *Keeper) blindFor(part string, before known, ended bool) time.Duration {
	switch {
	case before.Epoch == 0:
		return 0
	case part != partInstances:
		return BlindFor(k.deps.Options.Lease, ended)
	case ended:
		return 0
	default:
		return aliveFor + k.deps.Site.HolderPause
	}
}
