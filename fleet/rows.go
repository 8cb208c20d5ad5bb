package fleet

import "strings"

// The keys of the table. Everything below StatePrefix is watched by every
// entry; the rest is read when needed.
const (
	// ConfigKey is the row of the current configuration.
	ConfigKey = StatePrefix + "config"

	// EpochKey is the row that every entry writes when it joins. A step that
	// relies on who the members are depends on it.
	EpochKey = StatePrefix + "epoch"

	// HomePrefix starts the rows of the homes of request identities.
	HomePrefix = StatePrefix + "home/"

	// InstancePrefix starts the rows of instances.
	InstancePrefix = StatePrefix + "instance/"

	// LeasePrefix starts the rows of leases.
	LeasePrefix = "lease/"

	// MemberPrefix starts the rows of entries.
	MemberPrefix = StatePrefix + "member/"

	// PlanPrefix starts the rows of plans.
	PlanPrefix = StatePrefix + "plan/"

	// PoolPrefix starts the rows of pools, which hold who is out.
	PoolPrefix = StatePrefix + "pool/"

	// StatePrefix starts the rows that every entry watches.
	StatePrefix = "state/"
)

// InstanceKey returns the key of the instance's row.
func InstanceKey(id string) string {
	return InstancePrefix + id
}

// NameOf returns the part of key behind prefix, and false when key does not
// start with it.
func NameOf(key, prefix string) (string, bool) {
	return strings.CutPrefix(key, prefix)
}

// PlanKey returns the key of the plan's row.
func PlanKey(id string) string {
	return PlanPrefix + id
}

// PoolKey returns the key of the pool's row.
func PoolKey(name string) string {
	return PoolPrefix + name
}
