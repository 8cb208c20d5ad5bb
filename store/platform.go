// Package store is the seam to everything outside that lasts: the
// transactional table, the object store and the list of instances. Each is a
// concrete type whose operations are function fields, so a fault-making or a
// dry-run version has the same shape as the real one.
package store

import (
	"context"
	"net/netip"
	"time"
)

const (
	// ListedLeaving marks an instance that the platform is taking away.
	ListedLeaving ListedState = "leaving"

	// ListedLive marks an instance that the platform believes to be running.
	ListedLive ListedState = "live"
)

const (
	// MaxObjectBytes is the largest object that is read or written.
	MaxObjectBytes = 16 << 20

	// MaxValueBytes is the largest value of a row.
	MaxValueBytes = 256 << 10
)

// Check is a condition of a transaction: the row at Key has exactly Version.
type Check struct {
	Key string `json:"key"`

	// Version is 0 for a row that must not exist.
	Version int64 `json:"version"`
}

// Instances is the platform's lagging list and the actions on an instance.
type Instances struct {
	// List returns every instance that the platform knows; it lags the truth
	// and may be wrong.
	List func(ctx context.Context) ([]Listed, error)

	// Reboot restarts the instance. The platform runs one reboot for each op,
	// however often it is asked.
	Reboot func(ctx context.Context, id string, op string) error
}

// Listed is one line of the platform's list.
type Listed struct {
	ID      string         `json:"id"`
	Pool    string         `json:"pool"`
	Rack    string         `json:"rack"`
	Zone    string         `json:"zone"`
	Address netip.AddrPort `json:"address"`
	State   ListedState    `json:"state"`

	// Boot counts the instance's starts; it only grows.
	Boot int64 `json:"boot"`

	// Size is what the instance has for tasks.
	Size Resources `json:"size"`
}

// ListedState is what the list says of an instance.
type ListedState string

// Objects is the object store.
type Objects struct {
	// Get returns the object at key, or a *NotFoundError.
	Get func(ctx context.Context, key string) ([]byte, error)

	// Put writes the object at key, replacing what was there.
	Put func(ctx context.Context, key string, body []byte) error
}

// Page is the answer to a scan.
type Page struct {
	// Rows are in order of version.
	Rows []Row `json:"rows"`

	// Revision is the table's version as of the scan: no row with a version
	// at or below it will appear later.
	Revision int64 `json:"revision"`
}

// Platform joins the outside systems.
type Platform struct {
	Table     Table
	Objects   Objects
	Instances Instances
	Tasks     Tasks

	// Bytes returns the bytes sent to and received from the platform so far.
	Bytes func() int64
}

// Put is a write of a transaction. A put without a value deletes the row: reads
// don't find it any more, and scans list it without a value, at its new version,
// for at least DeletedFor.
type Put struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
}

// Row is one row of the table.
type Row struct {
	Key string `json:"key" cbor:"1,keyasint"`

	// Version is the table's revision at the row's last write. It only grows.
	Version int64 `json:"version" cbor:"2,keyasint"`

	// Op is the operation id of the last write, by which a writer whose
	// answer was lost finds out whether its write took effect.
	Op string `json:"op" cbor:"3,keyasint"`

	Value []byte `json:"value" cbor:"4,keyasint"`
}

// Table is the platform's transactional table.
type Table struct {
	// Read returns the row at key; its Version is 0 where there is none.
	Read func(ctx context.Context, key string) (Row, error)

	// Scan returns the rows below prefix whose version is greater than after.
	Scan func(ctx context.Context, prefix string, after int64) (Page, error)

	// Transact applies all puts if every check holds and returns the new
	// revision. It fails with a *ConflictError when a check does not hold,
	// or an *UnavailableError when it may or may not have taken effect.
	Transact func(ctx context.Context, tx Transaction) (int64, error)

	// Pause waits between two tries of a commit and reports whether ctx is
	// still open; nil waits by the machine's timer.
	Pause func(ctx context.Context, d time.Duration) bool
}

// Transaction is a set of conditional writes that take effect together.
type Transaction struct {
	// Op is unique to the intended change and the same on each try of it.
	Op     string  `json:"op"`
	Checks []Check `json:"checks"`
	Puts   []Put   `json:"puts"`
}

// DeletedFor is how long scans list a deleted row.
const DeletedFor = time.Hour

// CallTimeout bounds one call to the platform.
const CallTimeout = 2 * time.Second
