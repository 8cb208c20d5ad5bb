package owner_test

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"lemonstream.dev/lemonstream/internal/standin"
	"lemonstream.dev/lemonstream/outside"
	"lemonstream.dev/lemonstream/owner"
)

// claimedBeats records the heartbeat rows that an entry writes when it claims a service.
type claimedBeats struct {
	mu   sync.Mutex
	list []owner.Beat
}

// table returns a table over the rows that records the heartbeat rows of claims.
func (c *claimedBeats) table(t *testing.T, rows *standin.Rows) outside.Table {
	t.Helper()
	table := rows.Table()
	write := table.Transact
	table.Transact = func(ctx context.Context, tx outside.Transaction) (outside.Receipt, error) {
		receipt, err := write(ctx, tx)
		if err == nil && len(tx.Puts) == 2 && tx.Puts[0].Key.Table == "owner" && tx.Puts[0].Key.Part == "s" {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.list = append(c.list, beatIn(t, tx.Puts[1].Value))
		}
		return receipt, err
	}
	return table
}

// first returns the heartbeat row of the first claim.
func (c *claimedBeats) first() owner.Beat {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.list[0]
}

// TestClaimRecordsUnobservedTime lets an owner keep running without access to the store. The
// claim of the next owner has to record for how long runs of the first one may be unobserved,
// and the claim of the third owner has to carry the remaining time over.
func TestClaimRecordsUnobservedTime(t *testing.T) {
	const lease = time.Second // The lease that newEntryOn sets.
	is := is.New(t)
	rows := standin.NewRows()
	var away atomic.Bool
	first := newEntryOn(t, "a", rejecting(rows, &away), alive("a"))
	until(t, "the first entry owns the service", first.owns)
	away.Store(true)
	var said, passedOn claimedBeats
	second := newEntryOn(t, "b", said.table(t, rows), func(context.Context, netip.AddrPort, string) (owner.Pong, error) {
		return owner.Pong{}, &outside.UncertainError{
			Call: "ping",
		}
	})
	until(t, "the second entry owns the service", second.owns)
	second.group.Stop()
	is.Equal(said.first().UnobservedMillis, owner.UnobservedFor(lease, false).Milliseconds())
	row, err := rows.Table().Row(context.Background(), outside.Key{
		Table: "beat",
		Part:  "s",
		Name:  "beat",
	})
	is.NoErr(err)
	left := beatIn(t, row.Value).UnobservedMillis
	third := newEntryOn(t, "c", passedOn.table(t, rows), alive("another incarnation"))
	until(t, "the third entry owns the service", third.owns)
	is.Equal(passedOn.first().UnobservedMillis, max(left, owner.UnobservedFor(lease, true).Milliseconds()))
}

func beatIn(t *testing.T, value []byte) owner.Beat {
	t.Helper()
	var b owner.Beat
	if err := cbor.Unmarshal(value, &b); err != nil {
		t.Error(err)
	}
	return b
}
