package once

import (
	"context"
	"encoding/json"
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
	"lemonstream.dev/lemonstream/member"
	"lemonstream.dev/lemonstream/platform"
	"lemonstream.dev/lemonstream/state"
)

const (
	// claimPatience bounds the wait for a partition to get a home.
	claimPatience = time.Second

	// claimPause is the wait between two tries of a claim.
	claimPause = 25 * time.Millisecond

	// claimTimeout bounds one try of a claim at another entry.
	claimTimeout = 500 * time.Millisecond

	// movesATick bounds the partitions handed to a better home in one tick.
	movesATick = 8
)

// Claim is the message that asks a home for an identity.
type Claim struct {
	Key     Key    `cbor:"1,keyasint"`
	Attempt string `cbor:"2,keyasint"`
}

// ClaimAnswer is the answer to a Claim.
type ClaimAnswer struct {
	Verdict Verdict `cbor:"1,keyasint"`
}

// Homes is the duty that holds this entry's partitions, and the claims of the
// request path.
type Homes struct {
	platform    platform.Platform
	watch       *state.Watch
	transport   *member.Transport
	peers       *member.Peers
	clock       clock.Clock
	log         *slog.Logger
	incarnation string
	address     netip.AddrPort
	interval    time.Duration

	mu sync.RWMutex

	// held maps a partition to what this entry holds of it.
	held map[int]holding

	// poke makes the duty look again; its capacity is 1.
	poke chan struct{}

	// stopped is set at the stop, after which no partition is taken.
	stopped bool
}

// holding is a partition whose home this entry is.
type holding struct {
	window *Window

	// version is the row's version at this entry's last write. A newer row
	// that names another holder ends the holding.
	version int64
}

// HomesOptions are the settings of the duty.
type HomesOptions struct {
	Incarnation string
	Address     netip.AddrPort

	// Interval is how far ahead a range of issue times reaches.
	Interval time.Duration
}

// UnclaimedError reports an identity that this entry may not run, and that an
// earlier attempt may have run.
type UnclaimedError struct {
	Verdict Verdict

	// RetryAfter is when another attempt makes sense; 0 means never.
	RetryAfter time.Duration

	// Cause is set when the home did not answer.
	Cause error
}

// NewHomes returns the duty and registers its handlers.
func NewHomes(p platform.Platform, w *state.Watch, t *member.Transport, peers *member.Peers, c clock.Clock, log *slog.Logger, o HomesOptions) *Homes {
	h := &Homes{
		platform:    p,
		watch:       w,
		transport:   t,
		peers:       peers,
		clock:       c,
		log:         log,
		incarnation: o.Incarnation,
		address:     o.Address,
		interval:    o.Interval,
		held:        make(map[int]holding),
		poke:        make(chan struct{}, 1),
	}
	w.OnChange(h.lookAgain)
	t.Handle(member.KindClaim, h.handleClaim)
	t.Handle(member.KindRelease, h.handleRelease)
	return h
}

// Error implements error.
func (e *UnclaimedError) Error() string {
	switch e.Verdict {
	case Duplicate:
		return "another attempt of this request was let through; it may have run"
	case NotCovered:
		return "the identity is older than its home remembers, or its time of issue lies ahead; it may have run"
	default:
		return fmt.Sprintf("the home of the identity did not answer; it may have run (%v)", e.Cause)
	}
}

// Unwrap returns the cause.
func (e *UnclaimedError) Unwrap() error {
	return e.Cause
}

// Claim asks for the right to run the identity once. It returns nil when this
// attempt may run it, or an *UnclaimedError.
func (h *Homes) Claim(ctx context.Context, key Key, attempt string) error {
	asking, cancel := context.WithTimeout(ctx, claimPatience)
	defer cancel()
	verdict, cause := h.ask(asking, key, attempt)
	for cause == nil && verdict == NotHome && sleep(asking, claimPause) {
		verdict, cause = h.ask(asking, key, attempt)
	}
	if verdict == Granted && cause == nil {
		return nil
	}
	refused := &UnclaimedError{
		Verdict:    verdict,
		RetryAfter: time.Second,
		Cause:      cause,
	}
	if verdict == Duplicate || verdict == NotCovered {
		refused.RetryAfter = 0
	}
	return refused
}

// Release gives back a grant whose attempt certainly did not run.
func (h *Homes) Release(ctx context.Context, key Key, attempt string) {
	if window := h.window(key.Partition()); window != nil {
		window.Release(key, attempt)
		return
	}
	address, found := h.homeAddress(key)
	if !found {
		return
	}
	body, err := member.Encode(Claim{
		Key:     key,
		Attempt: attempt,
	})
	if err != nil {
		return
	}
	calling, cancel := context.WithTimeout(context.WithoutCancel(ctx), claimTimeout)
	defer cancel()
	if _, err := h.transport.Call(calling, address, member.KindRelease, body); err != nil {
		h.log.Debug("grant not given back", "error", err)
	}
}

// Run takes, extends and hands over partitions until ctx ends.
func (h *Homes) Run(ctx context.Context) error {
	pause := max(min(h.interval/8, time.Second), 50*time.Millisecond)
	ticker := time.NewTicker(pause)
	defer ticker.Stop()
	for {
		h.tend(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-h.poke:
		}
	}
}

// HandOver gives up every partition, with what it remembers, so that another
// entry can take it at once. It is the last act of a planned stop.
func (h *Homes) HandOver(ctx context.Context) error {
	h.mu.Lock()
	held := h.held
	h.held = make(map[int]holding)
	h.stopped = true
	h.mu.Unlock()
	return h.handOver(ctx, held)
}

// ask asks the home once.
func (h *Homes) ask(ctx context.Context, key Key, attempt string) (Verdict, error) {
	if window := h.window(key.Partition()); window != nil {
		return window.Claim(key, attempt, clock.Millis(h.clock.Now())), nil
	}
	address, found := h.homeAddress(key)
	if !found {
		return NotHome, nil
	}
	body, err := member.Encode(Claim{
		Key:     key,
		Attempt: attempt,
	})
	if err != nil {
		return NotHome, err
	}
	calling, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	answer, err := h.transport.Call(calling, address, member.KindClaim, body)
	if err != nil {
		return NotHome, err
	}
	decoded, err := member.Decode[ClaimAnswer](answer)
	return decoded.Verdict, err
}

func (h *Homes) handleClaim(_ context.Context, body []byte) ([]byte, error) {
	claim, err := member.Decode[Claim](body)
	if err != nil {
		return nil, err
	}
	verdict := NotHome
	if window := h.window(claim.Key.Partition()); window != nil {
		verdict = window.Claim(claim.Key, claim.Attempt, clock.Millis(h.clock.Now()))
	}
	return member.Encode(ClaimAnswer{
		Verdict: verdict,
	})
}

func (h *Homes) handleRelease(_ context.Context, body []byte) ([]byte, error) {
	claim, err := member.Decode[Claim](body)
	if err != nil {
		return nil, err
	}
	if window := h.window(claim.Key.Partition()); window != nil {
		window.Release(claim.Key, claim.Attempt)
	}
	return nil, nil
}

// handOver writes what the windows remember to the object store and gives up
// the partitions' rows, all in one object and one transaction.
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
		row := h.row(partition)
		home, err := decodeHome(row)
		if err != nil || home.Holder != h.incarnation {
			continue
		}
		home.Holder = ""
		home.Address = ""
		home.Start = start
		home.Seen = object
		changes = append(changes, change{partition: partition, row: row, home: home})
	}
	body, err := cbor.Marshal(grants)
	if err != nil {
		return fmt.Errorf("encoding grants: %w", err)
	}
	if err := h.platform.Objects.Put(ctx, object, platform.Seal(body)); err != nil {
		return err
	}
	rows, err := h.write(ctx, changes)
	if err == nil {
		h.peers.TellRows(rows)
	}
	return err
}

// lookAgain wakes the duty when a partition waits for a home.
func (h *Homes) lookAgain(view *state.View) {
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

func (h *Homes) homeAddress(key Key) (netip.AddrPort, bool) {
	home, found := h.watch.View().Homes[PartitionName(key.Partition())]
	if !found || home.Holder == "" || home.Holder == h.incarnation {
		return netip.AddrPort{}, false
	}
	address, err := netip.ParseAddrPort(home.Address)
	return address, err == nil
}

func (h *Homes) row(partition int) platform.Row {
	return h.watch.Row(fleet.HomePrefix + PartitionName(partition))
}

// target returns the incarnation that should be the home of the partition:
// the one with the highest hash among those heard.
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

// decodeHome reads a home's row; a row that does not exist is the home of a
// partition that never granted anything.
func decodeHome(row platform.Row) (state.Home, error) {
	var home state.Home
	if row.Version == 0 {
		return home, nil
	}
	if err := json.Unmarshal(row.Value, &home); err != nil {
		return home, fmt.Errorf("decoding row %s: %w", row.Key, err)
	}
	return home, nil
}

// sleep waits for d; it reports false when ctx ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
