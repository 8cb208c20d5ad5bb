package member

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"lemonstream.dev/lemonstream/clock"
	"lemonstream.dev/lemonstream/fleet"
	"lemonstream.dev/lemonstream/state"
	"lemonstream.dev/lemonstream/store"
)

const (
	// registerFor is how long an entry's row counts without a new write.
	registerFor = 12 * time.Second

	// registerEvery is the pause between two writes of the row.
	registerEvery = 4 * time.Second

	// operationLength keeps the operation id of the row short, because every
	// entry reads the row of every other one again and again. The id need
	// only differ from those of this row's last writes.
	operationLength = 8

	// registerRetry is the pause after a write that failed.
	registerRetry = time.Second
)

// Registrar is the duty that keeps the entry's row in the table, the only
// agreed truth about who is a member.
type Registrar struct {
	table store.Table
	peers *Peers
	clock clock.Clock
	log   *slog.Logger
	self  fleet.Self

	// joined is the table's revision at which this process first wrote the row,
	// or 0 before.
	joined atomic.Int64
}

// NewRegistrar returns the duty.
func NewRegistrar(table store.Table, peers *Peers, c clock.Clock, log *slog.Logger, self fleet.Self) *Registrar {
	return &Registrar{
		table: table,
		peers: peers,
		clock: c,
		log:   log,
		self:  self,
	}
}

// Run keeps the row until ctx ends.
func (r *Registrar) Run(ctx context.Context) error {
	for {
		wait := registerEvery
		if err := r.write(ctx, false); err != nil {
			r.log.Debug("member row not written", "error", err)
			wait = registerRetry
		}
		select {
		case <-ctx.Done():
			return nil
		case <-r.clock.After(wait):
		}
	}
}

// Joined returns the table's revision at which this process became a member, or
// 0 before. Until then an entry that carries a plan does not ask for its word.
func (r *Registrar) Joined() int64 {
	return r.joined.Load()
}

// Leave marks the entry as stopped.
func (r *Registrar) Leave(ctx context.Context) error {
	return r.write(ctx, true)
}

func (r *Registrar) write(ctx context.Context, left bool) error {
	key := fleet.MemberPrefix + r.self.ID
	row, err := r.table.Read(ctx, key)
	if err != nil {
		return err
	}
	joining := r.Joined() == 0
	value, err := json.Marshal(state.Member{
		ID:          r.self.ID,
		Incarnation: r.self.Incarnation,
		Zone:        r.self.Zone,
		Peers:       r.self.Peers.String(),
		Operators:   r.self.Operators.String(),
		Left:        left,
		Until:       clock.Millis(r.clock.Now().Add(registerFor)),
	})
	if err != nil {
		return fmt.Errorf("encoding member row: %w", err)
	}
	tx := store.Transaction{
		Op: "member/" + uuid.NewString()[:operationLength],
		Checks: []store.Check{{
			Key:     key,
			Version: row.Version,
		}},
		Puts: []store.Put{{
			Key:   key,
			Value: value,
		}},
	}
	if joining {
		if err := r.addEpoch(ctx, &tx); err != nil {
			return err
		}
	}
	revision, err := r.table.Commit(ctx, tx)
	if err != nil {
		return err
	}
	if joining {
		r.joined.Store(revision)
		// The entry serves once it knows the table as of now.
		r.peers.watch.Poke()
	}
	if joining || left {
		r.peers.TellRows(tx.Written(revision))
	}
	return nil
}

// addEpoch has the transaction write the epoch of membership too.
func (r *Registrar) addEpoch(ctx context.Context, tx *store.Transaction) error {
	epoch, err := r.table.Read(ctx, fleet.EpochKey)
	if err != nil {
		return err
	}
	value, err := json.Marshal(r.self.Incarnation)
	if err != nil {
		return fmt.Errorf("encoding epoch: %w", err)
	}
	tx.Checks = append(tx.Checks, store.Check{
		Key:     fleet.EpochKey,
		Version: epoch.Version,
	})
	tx.Puts = append(tx.Puts, store.Put{
		Key:   fleet.EpochKey,
		Value: value,
	})
	return nil
}
