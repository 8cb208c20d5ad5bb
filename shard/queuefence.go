package shard

// QueueAddress is how a caller addressed a job.
type QueueAddress struct {
	Host   string `cbor:"1,keyasint"`
	Prefix string `cbor:"2,keyasint"`

	// Version is that of the configuration by which the queue leads to the service.
	Version int64 `cbor:"3,keyasint"`

	// Public says that the route of the queue is public.
	Public bool `cbor:"4,keyasint,omitempty"`
}

// QueueFence holds the versions of a queue's fence at a service, as an entry knew them when a job was
// handed in; 0 if there is no row. The fence is raised before another service takes jobs of the queue.
type QueueFence struct {
	Queue string

	// Version is that of the row in the service's own partition, StandbyVersion that of the row in its
	// standby partition.
	Version        int64
	StandbyVersion int64
}

// fences holds the fences that a batch requires, by queue.
type fences map[string]QueueFence

// conditions returns how many more conditions a record needs, and false if the batch requires other
// versions of its fence.
func (f fences) conditions(record Record) (int, bool) {
	withdrawals := len(record.WithdrawalScopes())
	fence := record.Fence
	if fence == nil {
		return withdrawals, true
	}
	required, found := f[fence.Queue]
	if !found {
		return withdrawals + 1, true
	}
	return withdrawals, required == *fence
}

// require adds a fence.
func (f fences) require(fence *QueueFence) {
	if fence != nil {
		f[fence.Queue] = *fence
	}
}
