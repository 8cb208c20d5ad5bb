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
	"lemonstream.dev/lemonstream/platform"
	"lemonstream.dev/lemonstream/state"
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
	table platform.Table
	peers *Peers
	clock clock.Clock
	log   *slog.Logger
	self  fleet.Self

	// registered is set once the row was written by this process.
	registered atomic.Bool
}

// NewRegistrar returns the duty.
func NewRegistrar(table platform.Table, peers *Peers, c clock.Clock, log *slog.Logger, self fleet.Self) *Registrar {
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

// Registered reports whether the table counts this process as a member. Until
// then an entry that carries a plan would not ask for its word.
func (r *Registrar) Registered() bool {
	return r.registered.Load()
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
	tx := platform.Transaction{
		Op: "member/" + uuid.NewString()[:operationLength],
		Checks: []platform.Check{{
			Key:     key,
			Version: row.Version,
		}},
		Puts: []platform.Put{{
			Key:   key,
			Value: value,
		}},
	}
	revision, err := r.table.Commit(ctx, tx)
	if err != nil {
		return err
	}
	r.registered.Store(true)
	if row.Version == 0 || left {
		r.peers.TellRows([]platform.Row{{
			Key:     key,
			Version: revision,
			Op:      tx.Op,
			Value:   value,
		}})
	}
	return nil
}
