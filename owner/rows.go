package owner

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"lemonstream.dev/lemonstream/outside"
)

// Tables of the scheduler. All rows of a service stand in the part of its name.
const (
	// tableBeat holds a row that every transaction of an owner writes.
	tableBeat = "beat"

	// TableOwners holds who owns a service; it changes only with the owner.
	TableOwners = "owner"

	// tableUsed holds the workers that the owner may have given tasks, so that a
	// successor looks at them whether or not they are registered.
	tableRefused = "refused"
	tableUsed    = "used"

	// tableProgress holds what has happened to jobs.
	tableProgress = "progress"

	// prefixIntake begins the tables of accepted jobs; there is one for each
	// service, so that an owner reads the changes of its own jobs only.
	prefixIntake = "intake."

	// prefixCancel begins the keys of cancellations that an entry wrote because
	// it could not reach the owner.
	prefixCancel = "cancel."

	keyBeat  = "beat"
	keyOwner = "owner"
)

// Beat is the row that shows how far an owner has come.
type Beat struct {
	Epoch int64 `cbor:"1,keyasint"`

	// Sequence counts the owner's transactions; it tells whether one without
	// an answer was applied.
	Sequence int64 `cbor:"2,keyasint"`

	// Lapsed names the workers of a service on which nothing runs for sure. A
	// successor need not wait for them.
	Lapsed []string `cbor:"3,keyasint,omitempty"`

	// Ordered names the instances that the owner of the instances has ordered to do
	// something lately, or is about to: it writes this before it gives the orders.
	// Its successor leaves them alone for a while; no other can have been ordered.
	Ordered []string `cbor:"4,keyasint,omitempty"`

	// Leased says what may run on other workers that a successor may not reach. For
	// one that neither field names it knows nothing.
	Leased []LeasedRow `cbor:"5,keyasint,omitempty"`

	// Taken names the incarnations of workers whose instances the owner of the instances has taken
	// lately.
	Taken []TakenRow `cbor:"6,keyasint,omitempty"`

	// Given names the workers whose instances the owner of the instances is about to order:
	// the owner of their service had told that nothing runs there. It writes this before it
	// looks whether that is still the owner, and gives the orders after it.
	Given []GivenRow `cbor:"8,keyasint,omitempty"`

	// BlindMillis is for how long after the transaction was made the successor has to
	// reckon with an owner before this one that may live, even if this one has ended. At
	// a service, something that it started may run on any worker that neither Lapsed
	// nor Leased names; of the instances, those in Ordered are left alone.
	BlindMillis int64 `cbor:"7,keyasint,omitempty"`
}

// GivenRow is a worker of a service whose instance is about to be ordered.
type GivenRow struct {
	Service string `cbor:"1,keyasint"`
	Worker  string `cbor:"2,keyasint"`
}

// LeasedRow is what may run on one worker.
type LeasedRow struct {
	Worker string `cbor:"1,keyasint"`

	// LeftMillis is how long after the transaction was made it may run at the most.
	LeftMillis int64 `cbor:"2,keyasint"`

	// Unknown says that it may be any task; otherwise Tasks holds the names of all
	// that it may be.
	Unknown bool     `cbor:"3,keyasint,omitempty"`
	Tasks   []string `cbor:"4,keyasint,omitempty"`
}

// Ownership is the row that says who owns a service.
type Ownership struct {
	// Epoch grows with each owner; it is the fence at the workers.
	Epoch int64 `cbor:"1,keyasint"`

	// Owner is the incarnation of an entry, and Peer where it answers others.
	Owner string `cbor:"2,keyasint"`
	Peer  string `cbor:"3,keyasint"`

	// Released says that the owner has stopped giving orders.
	Released bool `cbor:"4,keyasint,omitempty"`

	// Next is the incarnation that a released part is meant for; empty where the
	// owner knew of none. It only advises: whoever claims first owns the part.
	Next string `cbor:"5,keyasint,omitempty"`
}

// TakenRow is a worker that has ended because its instance was moved or taken down.
type TakenRow struct {
	Service string `cbor:"1,keyasint"`
	Worker  string `cbor:"2,keyasint"`

	// LeftMillis is for how long the owner of the service is still told of it.
	LeftMillis int64 `cbor:"3,keyasint"`
}

// CancelKey names the row of a cancellation that an entry wrote itself.
func CancelKey(service, id string) outside.Key {
	return IntakeKey(service, prefixCancel+id)
}

// IntakeKey names the row of an accepted job.
func IntakeKey(service, id string) outside.Key {
	return outside.Key{
		Table: prefixIntake + service,
		Part:  service,
		Name:  id,
	}
}

// RefusedKey names the row of a job that was turned away.
func RefusedKey(service, id string) outside.Key {
	return outside.Key{
		Table: tableRefused,
		Part:  service,
		Name:  id,
	}
}

// usedKey names the row of a worker that may run something.
func usedKey(service, worker string) outside.Key {
	return outside.Key{
		Table: tableUsed,
		Part:  service,
		Name:  worker,
	}
}

// ProgressKey names the row of what has happened to a job.
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

func decodeBeat(value []byte) (Beat, error) {
	var b Beat
	if err := cbor.Unmarshal(value, &b); err != nil {
		return b, fmt.Errorf("row of a beat: %w", err)
	}
	return b, nil
}

func decodeOwnership(value []byte) (Ownership, error) {
	var o Ownership
	if err := cbor.Unmarshal(value, &o); err != nil {
		return o, fmt.Errorf("row of an owner: %w", err)
	}
	return o, nil
}

func encodeRow(value any) []byte {
	body, err := cbor.Marshal(value)
	if err != nil {
		// The rows hold only plain values, which always encode.
		panic(err)
	}
	return body
}
