package peer_test

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/matryer/is"

	"lemonstream.dev/lemonstream/catalog"
	"lemonstream.dev/lemonstream/clock"
	"lemonstream.dev/lemonstream/internal/standin"
	"lemonstream.dev/lemonstream/job"
	"lemonstream.dev/lemonstream/kernel"
	"lemonstream.dev/lemonstream/outside"
	"lemonstream.dev/lemonstream/owner"
	"lemonstream.dev/lemonstream/peer"
	"lemonstream.dev/lemonstream/shard"
)

// TestSubmitReturnsResult submits jobs to an owner while it serves, while the store rejects its
// writes, and after it has released the service.
func TestSubmitReturnsResult(t *testing.T) {
	is := is.New(t)
	rows := standin.NewRows()
	var rejecting atomic.Bool
	rows.Before = func(_ context.Context, call standin.Call) error {
		if rejecting.Load() && call.Kind == "transact" {
			return &outside.NotDoneError{
				Call: "transact",
			}
		}
		return nil
	}
	keeper := newKeeper(t, rows)
	address := serve(t, keeper)
	client := peer.NewClient(nil)
	submit := func(id string) error {
		return client.Submit(t.Context(), address, "s", record(id))
	}
	for _, id := range []string{"a", "b", "a"} {
		is.NoErr(submit(id))
	}
	rejecting.Store(true)
	is.NoErr(submit("a")) // The record is already stored.
	is.True(outside.IsNotDone(submit("c")))
	rejecting.Store(false)
	keeper.Release(t.Context(), 10*time.Second)
	var notOwner *peer.NotOwnerError
	is.True(errors.As(submit("d"), &notOwner))
	for id, want := range map[string]bool{
		"a": true,
		"b": true,
		"c": false,
		"d": false,
	} {
		row, err := rows.Table().Row(t.Context(), owner.IntakeKey("s", id))
		is.NoErr(err)
		is.Equal(row != nil, want)
	}
}

func record(id string) shard.Record {
	return shard.Record{
		ID: id,
		Spec: job.Spec{
			Steps: []job.Step{{
				Count: 1,
			}},
		},
	}
}

// newKeeper returns the keeper of an entry that owns the service.
func newKeeper(t *testing.T, rows *standin.Rows) *owner.Keeper {
	t.Helper()
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	group := kernel.NewGroup(context.Background(), log)
	t.Cleanup(group.Stop)
	table := rows.Table()
	current := &catalog.Catalog{
		Version: 1,
		Services: []catalog.Service{{
			Name: "s",
		}},
	}
	decode := func(string, []byte) (outside.Registration, error) { return outside.Registration{}, nil }
	keeper := owner.NewKeeper(owner.Deps{
		Count:       func(string, string) {},
		Clock:       clock.System(),
		Group:       group,
		Log:         log,
		Table:       table,
		Slow:        func() bool { return false },
		Catalog:     func() *catalog.Catalog { return current },
		Registry:    owner.NewRegistry(table, clock.System(), "workers", decode, log),
		ListMembers: func(context.Context) ([]owner.Member, error) { return nil, nil },
		Options: shard.Options{
			Lease: time.Second,
		},
	}, owner.Self{
		Member: owner.Member{
			Incarnation: "o",
		},
		Peer: netip.MustParseAddrPort("127.0.0.1:1"),
	}, func() []owner.Member { return nil }, func(context.Context, netip.AddrPort, string) (owner.Pong, error) {
		return owner.Pong{
			Incarnation: "o",
			Owns:        true,
		}, nil
	})
	group.Go("owners", keeper.WatchOwners)
	group.Go("keeper", keeper.Run)
	for {
		if _, found := keeper.Duty("s"); found {
			return keeper
		}
		time.Sleep(time.Millisecond)
	}
}

// serve starts a server for the services of the keeper, and returns its address.
func serve(t *testing.T, keeper *owner.Keeper) netip.AddrPort {
	t.Helper()
	gin.SetMode(gin.ReleaseMode)
	server := &peer.Server{
		Incarnation: "o",
		Duty:        keeper.Duty,
		Held:        keeper.Held,
		WriteAge:    keeper.WriteAge,
		TurnedAway:  keeper.TurnedAway,
	}
	router := gin.New()
	server.Routes(router)
	listener := httptest.NewServer(router)
	t.Cleanup(listener.Close)
	return netip.MustParseAddrPort(listener.Listener.Addr().String())
}
