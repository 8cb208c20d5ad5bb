package once

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"

	"lemonstream.dev/lemonstream/clock"
	"lemonstream.dev/lemonstream/state"
	"lemonstream.dev/lemonstream/store"
)

// change is a home's row with the value it is to get.
type change struct {
	partition int
	row       store.Row
	home      state.Home

	// seen is what the new holder remembers from the start.
	seen []Grant
}

// Tend brings the partitions to where they should be: what is free and meant
// for this entry is taken, what is held is extended, and what is meant for
// another entry is handed to it.
func (h *Homes) Tend(ctx context.Context) {
	done, err := h.takeTurn(ctx)
	defer done()
	if err != nil || !h.outside.Known() || h.isStopped() {
		return
	}
	candidates := h.outside.Candidates()
	now := clock.Millis(h.clock.Now())
	h.dropLost()
	var changes []change
	for partition := range Partitions {
		next, wanted := h.next(ctx, partition, h.outside.Row(partition), candidates, now)
		if wanted {
			changes = append(changes, next)
		}
	}
	h.apply(ctx, changes)
	h.rebalance(ctx, candidates)
}

// rebalance hands partitions to the entries that they are meant for, a few at
// a time.
func (h *Homes) rebalance(ctx context.Context, candidates []string) {
	moving := make(map[int]holding)
	h.mu.Lock()
	for partition, one := range h.held {
		if len(moving) < movesATick && h.target(partition, candidates) != h.incarnation {
			moving[partition] = one
			delete(h.held, partition)
		}
	}
	h.mu.Unlock()
	if err := h.handOver(ctx, moving); err != nil {
		h.log.Warn("partitions not handed over", "partitions", len(moving), "error", err)
	}
}

// apply writes the changes in one transaction. On a conflict each change is
// tried alone, so that one lost race does not hold up the rest.
func (h *Homes) apply(ctx context.Context, changes []change) {
	if len(changes) == 0 {
		return
	}
	rows, err := h.write(ctx, changes)
	var conflict *store.ConflictError
	if errors.As(err, &conflict) && len(changes) > 1 {
		h.outside.Refresh()
		for _, one := range changes {
			h.apply(ctx, []change{one})
		}
		return
	}
	if err != nil {
		h.log.Warn("homes not written", "partitions", len(changes), "error", err)
		h.outside.Refresh()
		return
	}
	h.adopt(changes, rows)
	h.outside.Learn(rows)
	h.outside.Tell(h.taken(changes, rows))
}

// taken returns the rows of partitions that this entry did not hold before.
// That a range was extended is no news to peers; they ask the same home.
func (h *Homes) taken(changes []change, rows []store.Row) []store.Row {
	var news []store.Row
	for i, c := range changes {
		if h.takes(c) {
			news = append(news, rows[i])
		}
	}
	return news
}

// takes reports whether the change takes the partition, rather than extends a
// range that this entry holds.
func (h *Homes) takes(c change) bool {
	before, err := decodeHome(c.row)
	return err != nil || before.Holder != h.incarnation
}

// adopt opens or extends the windows of changes that took effect with the given rows.
func (h *Homes) adopt(changes []change, rows []store.Row) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.stopped {
		return
	}
	for i, c := range changes {
		window := h.held[c.partition].window
		if window == nil || h.takes(c) {
			// A window of an earlier holding knows nothing of what other
			// homes granted since.
			window = NewWindow(h.guards, c.home.Start, c.home.End, c.seen)
		}
		window.Extend(c.home.End)
		h.held[c.partition] = holding{
			window: window,
			row:    rows[i],
		}
	}
}

// dropLost forgets the partitions that another entry took since.
func (h *Homes) dropLost() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for partition, one := range h.held {
		row := h.outside.Row(partition)
		home, err := decodeHome(row)
		if err == nil && row.Version > one.row.Version && home.Holder != h.incarnation {
			delete(h.held, partition)
		}
	}
}

// next returns the change that the partition's row needs, if any.
func (h *Homes) next(ctx context.Context, partition int, row store.Row, candidates []string, now int64) (change, bool) {
	home, err := decodeHome(row)
	if err != nil {
		h.log.Error("home not read", "error", err)
		return change{}, false
	}
	end := now + h.interval.Milliseconds()
	if home.Holder == h.incarnation {
		held := h.window(partition) != nil
		home.End = max(home.End, end)
		due := home.End-h.endOf(row) > h.interval.Milliseconds()/4
		return change{
			partition: partition,
			row:       row,
			home:      home,
		}, held && due
	}
	lapsed := home.Holder == "" || home.End <= now
	if !lapsed || h.target(partition, candidates) != h.incarnation {
		return change{}, false
	}
	return h.take(ctx, partition, row, home, end)
}

// take returns the change that makes this entry the home. After a hand-over it
// covers what the earlier home covered; after a lapse it starts at the end of
// the earlier range.
func (h *Homes) take(ctx context.Context, partition int, row store.Row, home state.Home, end int64) (change, bool) {
	next := state.Home{
		Epoch:   home.Epoch + 1,
		Holder:  h.incarnation,
		Address: h.address.String(),
		Start:   home.End,
		End:     end,
	}
	var seen []Grant
	if home.Holder == "" && home.Seen != "" {
		grants, err := h.load(ctx, home.Seen, partition)
		if err != nil {
			h.log.Warn("grants of the earlier home not read", "partition", partition, "error", err)
		} else {
			next.Start = home.Start
			seen = grants
		}
	}
	next.End = max(next.End, next.Start)
	return change{
		partition: partition,
		row:       row,
		home:      next,
		seen:      seen,
	}, true
}

func (h *Homes) endOf(row store.Row) int64 {
	home, err := decodeHome(row)
	if err != nil {
		return 0
	}
	return home.End
}

// load reads the grants of an earlier home of the partition; an object that
// fails its check is not used.
func (h *Homes) load(ctx context.Context, object string, partition int) ([]Grant, error) {
	sealed, err := h.outside.Objects.Get(ctx, object)
	if err != nil {
		return nil, err
	}
	body, err := store.Unseal(object, sealed)
	if err != nil {
		return nil, err
	}
	var grants []Grant
	if err := cbor.Unmarshal(body, &grants); err != nil {
		return nil, fmt.Errorf("decoding grants %s: %w", object, err)
	}
	return slices.DeleteFunc(grants, func(grant Grant) bool { return grant.Key.Partition() != partition }), nil
}

// write puts the changes' rows in one transaction and returns them as
// written.
func (h *Homes) write(ctx context.Context, changes []change) ([]store.Row, error) {
	tx := store.Transaction{
		Op: uuid.NewString(),
	}
	for _, c := range changes {
		value, err := json.Marshal(c.home)
		if err != nil {
			return nil, fmt.Errorf("encoding home: %w", err)
		}
		tx.Checks = append(tx.Checks, store.Check{
			Key:     c.row.Key,
			Version: c.row.Version,
		})
		tx.Puts = append(tx.Puts, store.Put{
			Key:   c.row.Key,
			Value: value,
		})
	}
	revision, err := h.outside.Commit(ctx, tx)
	if err != nil {
		return nil, err
	}
	return tx.Written(revision), nil
}
