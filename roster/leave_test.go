package roster_test

import (
	"context"
	"log/slog"
	"net/netip"
	"testing"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"lemonstream.dev/lemonstream/clock"
	"lemonstream.dev/lemonstream/internal/standin"
	"lemonstream.dev/lemonstream/outside"
	"lemonstream.dev/lemonstream/owner"
	"lemonstream.dev/lemonstream/roster"
)

// TestEntryThatIsStoppedWhileItJoinsIsNotListed covers a stop during the start: the
// write that lists the entry is under way when it leaves. Whoever releases a service
// next would name it, as the one that was listed last.
func TestEntryThatIsStoppedWhileItJoinsIsNotListed(t *testing.T) {
	is := is.New(t)
	table := standin.NewRows().Table()
	began := make(chan struct{})
	goOn := make(chan struct{})
	slow := table
	slow.Transact = func(ctx context.Context, tx outside.Transaction) (outside.Receipt, error) {
		if len(tx.Puts) > 0 {
			close(began)
			<-goOn
		}
		return table.Transact(ctx, tx)
	}
	r := roster.New(slow, clock.System(), slog.New(slog.DiscardHandler), "e", owner.Self{
		Member: owner.Member{
			Incarnation: "e/1",
			Cores:       1,
		},
		Peer: netip.MustParseAddrPort("127.0.0.1:1"),
	})
	var joining errgroup.Group
	joining.Go(func() error { return r.Join(context.Background()) })
	<-began
	r.Leave(context.Background())
	close(goOn)
	is.NoErr(joining.Wait())
	list, err := r.Read(context.Background())
	is.NoErr(err)
	is.Equal(len(list), 0)
}

// TestRowCarriesPeerAddress covers the address by which an owner asks its witnesses, and a row of an
// earlier version, which has none.
func TestRowCarriesPeerAddress(t *testing.T) {
	is := is.New(t)
	rows := standin.NewRows()
	address := netip.MustParseAddrPort("127.0.0.1:1")
	r := roster.New(rows.Table(), clock.System(), slog.New(slog.DiscardHandler), "e", owner.Self{
		Member: owner.Member{
			Incarnation: "e/1",
			Cores:       1,
		},
		Peer: address,
	})
	is.NoErr(r.Join(context.Background()))
	rows.Write(outside.Key{
		Table: roster.TableMembers,
		Part:  "member",
		Name:  "f",
	}, []byte(`{"Incarnation":"f/1","Cores":2}`))
	list, err := r.Read(context.Background())
	is.NoErr(err)
	peers := make(map[string]string)
	for _, member := range list {
		peers[member.Incarnation] = member.Peer
	}
	is.Equal(peers, map[string]string{
		"e/1": address.String(),
		"f/1": "",
	})
}
