package owner

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"lemonstream.dev/lemonstream/outside"
)

// Tables of the scheduler. All rows of a service are in the partition of its name.
const (
	// tableBeat holds the heartbeat row, which every transaction of an owner writes.
	tableBeat = "beat"

	// TableOwners holds the owner of a service. It changes only with the owner.
	TableOwners = "owner"

	// tableRefused holds the refusals of jobs. tableUsed holds the workers to which the owner
	// may have given tasks, so that the next owner polls them whether or not they are
	// registered.
	tableRefused = "refused"
	tableUsed    = "used"

	// tableProgress holds the progress of jobs.
	tableProgress = "progress"

	// tableWithdrawn holds, in both partitions of a service, the jobs that were withdrawn while no record
	// of them was stored. A record is written on condition that its job is not among them.
	tableWithdrawn = "withdrawn"

	// tableFence holds the fences of queues in both partitions of a service. A record is written on
	// condition that the fence of its queue has the version that it had when the job was handed in.
	tableFence = "fence"

	// prefixIntake is the prefix of the tables of accepted jobs. Each service has its own
	// table, so that an owner reads only the changes of its own jobs.
	prefixIntake = "intake."

	// prefixCancel is the prefix of the keys of cancellations that an entry wrote itself
	// because it could not reach the owner.
	prefixCancel = "cancel."

	keyBeat  = "beat"
	keyOwner = "owner"

	// maxEpoch bounds the epoch in a row; the next owners count on from it.
	maxEpoch = 1 << 53

	// maxRowMillis bounds the durations in a heartbeat row, in milliseconds: a day, many times any
	// lease.
	maxRowMillis = 86_400_000

	// fenceValue is the value of a fence's row, of which only the version counts.
	fenceValue = "raised"
)

// Beat is the heartbeat row of an owner. It also carries what the next owner has to know.
type Beat struct {
	Epoch int64 `cbor:"1,keyasint"`

	// Sequence counts the owner's transactions. It shows whether a transaction without an
	// answer was applied.
	Sequence int64 `cbor:"2,keyasint"`

	// IdleWorkers names the workers of a service on which certainly nothing runs. The next
	// owner need not wait for them.
	IdleWorkers []string `cbor:"3,keyasint,omitempty"`

	// Ordered names the instances to which the instance controller has recently sent an order
	// or is about to send one: it writes this field before it sends the orders. The next
	// controller blocks these instances for a while. No other instance can have been ordered.
	Ordered []string `cbor:"4,keyasint,omitempty"`

	// Leased holds what may still run on other workers, in case the next owner cannot reach
	// them. Nothing is known of a worker that is neither here nor in IdleWorkers.
	Leased []LeasedRow `cbor:"5,keyasint,omitempty"`

	// Taken names the worker incarnations whose instances the instance controller has
	// recently taken.
	Taken []TakenRow `cbor:"6,keyasint,omitempty"`

	// ReleasedWorkers names the workers whose instances the instance controller is about to
	// order, because the owner of their service reported that nothing runs there. The
	// controller first writes this field, then checks that the service still has the same
	// owner, and then sends the orders.
	ReleasedWorkers []ReleasedRow `cbor:"8,keyasint,omitempty"`

	// Witnesses names the incarnations of the entries that have to promise not to claim the part
	// for the owner to act beyond its usual time without a write; see package witness. If there
	// are none, the owner does not.
	Witnesses []string `cbor:"9,keyasint,omitempty"`

	// Evidence holds what speaks against the workers of a service, the worst first, as a list of
	// EvidenceRow. It is encoded by itself: if it can't be read, the rest of the row still counts.
	Evidence cbor.RawMessage `cbor:"10,keyasint,omitempty"`

	// UnobservedMillis is how long after this transaction was made, in milliseconds, an
	// previous owner may still matter, even if this one has ended. For a service,
	// runs that it started may still exist on any worker that is neither in IdleWorkers nor
	// in Leased. For the instance controller, the instances in Ordered stay blocked.
	UnobservedMillis int64 `cbor:"7,keyasint,omitempty"`

	// History is the demand history of the instance controller, an encoded HistoryRow. It is
	// decoded apart from the heartbeat: one that can't be decoded must not block a claim.
	History cbor.RawMessage `cbor:"11,keyasint,omitempty"`
}

// ReleasedRow is a worker of a service whose instance is about to be ordered.
type ReleasedRow struct {
	Service string `cbor:"1,keyasint"`
	Worker  string `cbor:"2,keyasint"`
}

// LeasedRow holds the tasks that may run on one worker.
type LeasedRow struct {
	Worker string `cbor:"1,keyasint"`

	// RemainingMillis is how long after the transaction was made tasks may run there at most.
	RemainingMillis int64 `cbor:"2,keyasint"`

	// AnyTask reports that any task may run there. Otherwise Tasks names all tasks that may.
	AnyTask bool     `cbor:"3,keyasint,omitempty"`
	Tasks   []string `cbor:"4,keyasint,omitempty"`
}

// Ownership is the row that names the owner of a service.
type Ownership struct {
	// Epoch increases with each owner. It is the fencing token at the workers.
	Epoch int64 `cbor:"1,keyasint"`

	// Owner is the incarnation of the owning entry, and Peer its address for other entries.
	Owner string `cbor:"2,keyasint"`
	Peer  string `cbor:"3,keyasint"`

	// Released reports whether the owner has stopped sending orders.
	Released bool `cbor:"4,keyasint,omitempty"`

	// Next is the incarnation that should claim a released partition, or empty if the owner
	// knew of none. It is only a hint: whoever claims first owns the partition.
	Next string `cbor:"5,keyasint,omitempty"`
}

// TakenRow is a worker incarnation that ended because its instance was moved or taken down.
type TakenRow struct {
	Service string `cbor:"1,keyasint"`
	Worker  string `cbor:"2,keyasint"`

	// RemainingMillis is how long the owner of the service is still notified of the worker.
	RemainingMillis int64 `cbor:"3,keyasint"`
}

// UnreadableRowError reports that a row is none that an entry writes: another writer replaced it.
type UnreadableRowError struct {
	// Row says what the row should hold.
	Row   string
	Cause error
}

// Error implements error.
func (e *UnreadableRowError) Error() string {
	return "row of " + e.Row + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *UnreadableRowError) Unwrap() error {
	return e.Cause
}

// CancelKey returns the key of a cancellation that an entry wrote itself.
func CancelKey(service, id string) outside.Key {
	return IntakeKey(service, prefixCancel+id)
}

// FenceKey returns the key of the fence of a queue in a service's own partition.
func FenceKey(service, queue string) outside.Key {
	return outside.Key{
		Table: tableFence,
		Part:  service,
		Name:  queue,
	}
}

// StandbyFenceKey returns the key of the fence of a queue in a service's standby partition.
func StandbyFenceKey(service, queue string) outside.Key {
	key := FenceKey(service, queue)
	key.Part = prefixStandby + service
	return key
}

// FencePut returns the write that raises a fence.
func FencePut(key outside.Key) outside.Put {
	return outside.Put{
		Key:   key,
		Value: []byte(fenceValue),
	}
}

// IntakeKey returns the key of the row of an accepted job.
func IntakeKey(service, id string) outside.Key {
	return outside.Key{
		Table: prefixIntake + service,
		Part:  service,
		Name:  id,
	}
}

// RefusedKey returns the key of the row of a refused job.
func RefusedKey(service, id string) outside.Key {
	return outside.Key{
		Table: tableRefused,
		Part:  service,
		Name:  id,
	}
}

// WithdrawnKey returns the key of the row of a withdrawn job; see shard.Record.WithdrawalScopes.
func WithdrawnKey(service, scope, id string) outside.Key {
	name := id
	if scope != "" {
		name += "/" + scope
	}
	return outside.Key{
		Table: tableWithdrawn,
		Part:  service,
		Name:  name,
	}
}

// StandbyWithdrawnKey returns the key of the row of a withdrawn job in the standby partition.
func StandbyWithdrawnKey(service, scope, id string) outside.Key {
	key := WithdrawnKey(service, scope, id)
	key.Part = prefixStandby + service
	return key
}

// usedKey returns the key of the row of a worker that may run tasks.
func usedKey(service, worker string) outside.Key {
	return outside.Key{
		Table: tableUsed,
		Part:  service,
		Name:  worker,
	}
}

// ProgressKey returns the key of the row of a job's progress.
func ProgressKey(service, id string) outside.Key {
	return outside.Key{
		Table: tableProgress,
		Part:  service,
		Name:  id,
	}
}

func beatKey(service string) outside.Key {
	return outside.Key{
		Table: tableBeat,
		Part:  service,
		Name:  keyBeat,
	}
}

func ownerKey(service string) outside.Key {
	return outside.Key{
		Table: TableOwners,
		Part:  service,
		Name:  keyOwner,
	}
}

// decodeBeat decodes a heartbeat row. Its error is an *UnreadableRowError.
func decodeBeat(value []byte) (Beat, error) {
	var b Beat
	err := cbor.Unmarshal(value, &b)
	if err == nil {
		err = b.check()
	}
	if err != nil {
		return Beat{}, &UnreadableRowError{
			Row:   "a beat",
			Cause: err,
		}
	}
	return b, nil
}

// decodeOwnership decodes the row of an owner. Its error is an *UnreadableRowError.
func decodeOwnership(value []byte) (Ownership, error) {
	var o Ownership
	err := cbor.Unmarshal(value, &o)
	if err == nil && (o.Epoch < 1 || o.Epoch > maxEpoch) {
		err = fmt.Errorf("epoch %d is out of range", o.Epoch)
	}
	if err != nil {
		return Ownership{}, &UnreadableRowError{
			Row:   "an owner",
			Cause: err,
		}
	}
	return o, nil
}

// check returns an error if no owner writes the heartbeat so.
func (b Beat) check() error {
	if b.Epoch < 0 || b.Epoch > maxEpoch {
		return fmt.Errorf("epoch %d is out of range", b.Epoch)
	}
	durations := []int64{b.UnobservedMillis}
	for _, leased := range b.Leased {
		durations = append(durations, leased.RemainingMillis)
	}
	for _, taken := range b.Taken {
		durations = append(durations, taken.RemainingMillis)
	}
	for _, ms := range durations {
		if ms > maxRowMillis || ms < -maxRowMillis {
			return fmt.Errorf("duration of %d ms is out of range", ms)
		}
	}
	return nil
}

func encodeRow(value any) []byte {
	body, err := cbor.Marshal(value)
	if err != nil {
		// The rows hold only plain values, which always encode.
		panic(err)
	}
	return body
}
