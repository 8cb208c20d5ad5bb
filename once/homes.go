package once

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net/netip"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"

	"lemonstream.dev/lemonstream/clock"
	"lemonstream.dev/lemonstream/fleet"
	"lemonstream.dev/lemonstream/state"
	"lemonstream.dev/lemonstream/store"
)

// movesATick bounds the partitions handed to a better home in one tick.
const movesATick = 8

// Homes is the duty that holds this entry's partitions.
type Homes struct {
	outside     Outside
	clock       clock.Clock
	log         *slog.Logger
	incarnation string
	address     netip.AddrPort
	interval    time.Duration
	guards      Guards

	mu sync.RWMutex

	// held maps a partition to what this entry holds of it.
	held map[int]holding

	// poke makes the duty look again; its capacity is 1.
	poke chan struct{}

	// turn holds a token while rows are written, so that the hand-over at a stop comes after
	// an extension under way; its capacity is 1.
	turn chan struct{}

	// stopped is set at the stop, after which no partition is taken.
	stopped bool
}

// HomesOptions are the settings of the duty.
type HomesOptions struct {
	Incarnation string
	Address     netip.AddrPort

	// Interval is how far ahead a range of issue times reaches.
	Interval time.Duration

	Guards Guards
}

// Outside is what the duty sees and does beyond itself.
type Outside struct {
	// Row returns the partition's row as far as it is known here.
	Row func(partition int) store.Row

	// Known reports whether the table was read at all.
	Known func() bool

	// Candidates returns the incarnations that could be homes, this entry's
	// among them.
	Candidates func() []string

	// Commit writes a transaction.
	Commit func(ctx context.Context, tx store.Transaction) (int64, error)

	Objects store.Objects

	// Refresh asks for newer rows, Learn takes in rows that were written here,
	// and Tell tells them to this entry and its peers.
	Refresh func()
	Learn   func(rows []store.Row)
	Tell    func(rows []store.Row)
}

// holding is a partition whose home this entry is.
type holding struct {
	window *Window

	// row is what this entry wrote last. A newer one that names another holder ends the
	// holding.
	row store.Row
}

// NewHomes returns the duty.
func NewHomes(outside Outside, c clock.Clock, log *slog.Logger, o HomesOptions) *Homes {
	return &Homes{
		outside:     outside,
		clock:       c,
		log:         log,
		incarnation: o.Incarnation,
		address:     o.Address,
		interval:    o.Interval,
		guards:      o.Guards,
		held:        make(map[int]holding),
		poke:        make(chan struct{}, 1),
		turn:        make(chan struct{}, 1),
	}
}

// Claim answers a claim if this entry is the home of the partition, and with
// NotHome otherwise.
func (h *Homes) Claim(key Key, attempt string) Verdict {
	window := h.window(key.Partition())
	if window == nil {
		return NotHome
	}
	return window.Claim(key, attempt, clock.Millis(h.clock.Now()))
}

// HandOver gives up every partition, with what it remembers, so that another
// entry can take it at once. It is the last act of a planned stop.
func (h *Homes) HandOver(ctx context.Context) error {
	done, err := h.takeTurn(ctx)
	defer done()
	h.mu.Lock()
	held := h.held
	h.held = make(map[int]holding)
	h.stopped = true
	h.mu.Unlock()
	if err != nil {
		return err
	}
	return h.handOver(ctx, held)
}

// LookAgain wakes the duty when a partition waits for a home.
func (h *Homes) LookAgain(view *state.View) {
	for _, home := range view.Homes {
		if home.Holder == "" {
			select {
			case h.poke <- struct{}{}:
			default:
			}
			return
		}
	}
}

// Release forgets a grant whose attempt certainly did not run. It reports
// whether this entry is the home of the partition.
func (h *Homes) Release(key Key, attempt string) bool {
	window := h.window(key.Partition())
	if window == nil {
		return false
	}
	window.Release(key, attempt)
	return true
}

// Run takes, extends and hands over partitions until ctx ends.
func (h *Homes) Run(ctx context.Context) error {
	pause := max(min(h.interval/8, time.Second), 50*time.Millisecond)
	ticker := time.NewTicker(pause)
	defer ticker.Stop()
	for {
		h.Tend(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-h.poke:
		}
	}
}

// handOver writes what the windows remember to the object store and gives up
// the partitions' rows, all in one object and one transaction. The windows are
// closed first: what is handed over is all that they will ever have granted.
func (h *Homes) handOver(ctx context.Context, held map[int]holding) error {
	if len(held) == 0 {
		return nil
	}
	object := "home/" + uuid.NewString()
	var grants []Grant
	var changes []change
	for partition, one := range held {
		start := one.window.Start()
		grants = append(grants, one.window.Close()...)
		row := one.newest(h.outside.Row(partition))
		home, err := decodeHome(row)
		if err != nil || home.Holder != h.incarnation {
			continue
		}
		home.Holder = ""
		home.Address = ""
		home.Start = start
		home.Seen = object
		changes = append(changes, change{
			partition: partition,
			row:       row,
			home:      home,
		})
	}
	body, err := cbor.Marshal(grants)
	if err != nil {
		return fmt.Errorf("encoding grants: %w", err)
	}
	if err := h.outside.Objects.Put(ctx, object, store.Seal(body)); err != nil {
		return err
	}
	return h.giveUp(ctx, changes)
}

// giveUp writes rows without a holder in one transaction. On a conflict each is tried alone:
// the keys of what is not given up are refused until its range ends, and one row that another
// entry had written kept all 64 partitions for 10 s.
func (h *Homes) giveUp(ctx context.Context, changes []change) error {
	rows, err := h.write(ctx, changes)
	var conflict *store.ConflictError
	if errors.As(err, &conflict) && len(changes) > 1 {
		var failed []error
		for _, one := range changes {
			failed = append(failed, h.giveUp(ctx, []change{one}))
		}
		return errors.Join(failed...)
	}
	if err == nil {
		h.outside.Tell(rows)
	}
	return err
}

// newest returns the newer of the row that this entry wrote and the one that it has read: it
// reads its own rows back some time later.
func (o holding) newest(read store.Row) store.Row {
	if o.row.Version > read.Version {
		return o.row
	}
	return read
}

// takeTurn waits until no other rows are being written, or ctx ends. The function that it
// returns ends the turn.
func (h *Homes) takeTurn(ctx context.Context) (func(), error) {
	select {
	case h.turn <- struct{}{}:
		return func() { <-h.turn }, nil
	case <-ctx.Done():
		return func() {}, fmt.Errorf("waiting for rows under way: %w", ctx.Err())
	}
}

func (h *Homes) isStopped() bool {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.stopped
}

// target returns the incarnation that should be the home of the partition:
// the one with the highest hash among the candidates.
func (h *Homes) target(partition int, candidates []string) string {
	best := ""
	highest := uint64(0)
	for _, candidate := range candidates {
		weight := xxhash.Sum64String(candidate + "/" + PartitionName(partition))
		if best == "" || weight > highest {
			best = candidate
			highest = weight
		}
	}
	return best
}

func (h *Homes) window(partition int) *Window {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.held[partition].window
}

// RowKey returns the key of the partition's row.
func RowKey(partition int) string {
	return fleet.HomePrefix + PartitionName(partition)
}

// decodeHome reads a home's row; a row that does not exist is the home of a
// partition that never granted anything.
func decodeHome(row store.Row) (state.Home, error) {
	var home state.Home
	if row.Version == 0 {
		return home, nil
	}
	if err := json.Unmarshal(row.Value, &home); err != nil {
		return home, fmt.Errorf("decoding row %s: %w", row.Key, err)
	}
	return home, nil
}
