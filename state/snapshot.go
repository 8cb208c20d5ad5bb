package state

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"lemonstream.dev/lemonstream/clock"
	"lemonstream.dev/lemonstream/fleet"
	"lemonstream.dev/lemonstream/lease"
	"lemonstream.dev/lemonstream/store"
)

// snapshotKey is the object that holds the newest snapshot.
const snapshotKey = "snapshot/state"

// snapshotLease is the lease of the entry that writes snapshots.
const snapshotLease = "snapshot"

// Keeper is the duty that writes snapshots of the rows to the object store, for
// an entry that starts while neither the table nor a peer answers.
type Keeper struct {
	watch   *Watch
	objects store.Objects
	leases  *lease.Holder
	log     *slog.Logger
	pause   time.Duration

	// written is the body of the last snapshot that this entry wrote.
	written []byte
}

// NewKeeper returns the duty, which writes at most once in every pause.
func NewKeeper(w *Watch, objects store.Objects, leases *lease.Holder, log *slog.Logger, pause time.Duration) *Keeper {
	return &Keeper{
		watch:   w,
		objects: objects,
		leases:  leases,
		log:     log,
		pause:   pause,
	}
}

// LoadSnapshot reads the rows of the newest snapshot. One that fails its check
// is not used; the error is a *store.BrokenObjectError then.
func LoadSnapshot(ctx context.Context, objects store.Objects) ([]store.Row, error) {
	sealed, err := objects.Get(ctx, snapshotKey)
	if err != nil {
		return nil, err
	}
	body, err := store.Unseal(snapshotKey, sealed)
	if err != nil {
		return nil, err
	}
	var rows []store.Row
	if err := cbor.Unmarshal(body, &rows); err != nil {
		return nil, fmt.Errorf("decoding snapshot: %w", err)
	}
	return rows, nil
}

// Run writes snapshots until ctx ends.
func (k *Keeper) Run(ctx context.Context) error {
	return clock.Every(ctx, k.pause, func(ctx context.Context) {
		if err := k.keep(ctx); err != nil {
			k.log.Debug("snapshot not written", "error", err)
		}
	})
}

// keep writes a snapshot if this entry holds the lease and anything changed.
func (k *Keeper) keep(ctx context.Context) error {
	if _, held, err := k.leases.Hold(ctx, snapshotLease); err != nil || !held {
		return err
	}
	body, err := cbor.Marshal(lasting(k.watch.RowsAfter(0)))
	if err != nil {
		return fmt.Errorf("encoding snapshot: %w", err)
	}
	if bytes.Equal(body, k.written) {
		return nil
	}
	if err := k.objects.Put(ctx, snapshotKey, store.Seal(body)); err != nil {
		return err
	}
	k.written = body
	return nil
}

// lasting leaves out the rows that change all the time and say nothing to an
// entry that starts later.
func lasting(rows []store.Row) []store.Row {
	var kept []store.Row
	for _, row := range rows {
		if !strings.HasPrefix(row.Key, fleet.MemberPrefix) && !strings.HasPrefix(row.Key, fleet.HomePrefix) {
			kept = append(kept, row)
		}
	}
	return kept
}
