package store_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"

	"github.com/gin-gonic/gin"
	"github.com/matryer/is"

	"lemonstream.dev/lemonstream/internal/standin"
	"lemonstream.dev/lemonstream/store"
)

// subject is one implementation of the platform with its faults.
type subject struct {
	platform store.Platform
	faults   *standin.Switch
	table    *standin.Table
}

// subjects are the implementations that the contract is held against.
func subjects(t *testing.T) map[string]subject {
	t.Helper()
	gin.SetMode(gin.ReleaseMode)
	outside := standin.NewPlatform(0)
	engine := gin.New()
	outside.Routes(engine)
	server := httptest.NewServer(engine)
	t.Cleanup(server.Close)
	table := standin.NewTable()
	faults := &standin.Switch{}
	return map[string]subject{
		"http": {
			platform: store.NewHTTP(netip.MustParseAddrPort(server.Listener.Addr().String())),
			faults:   outside.Faults,
			table:    outside.Table,
		},
		"memory": {
			platform: store.Platform{
				Table: standin.InMemory(table, faults, &standin.Late{}),
			},
			faults: faults,
			table:  table,
		},
	}
}

// write is a transaction that puts value at key if it has the version.
func write(op, key, value string, version int64) store.Transaction {
	return store.Transaction{
		Op: op,
		Checks: []store.Check{{
			Key:     key,
			Version: version,
		}},
		Puts: []store.Put{{
			Key:   key,
			Value: []byte(value),
		}},
	}
}

func TestTableContract(t *testing.T) {
	for name, s := range subjects(t) {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ctx := context.Background()
			table := s.platform.Table
			row, err := table.Read(ctx, "a")
			is.NoErr(err)
			is.Equal(row.Version, int64(0)) // A row that does not exist has version 0.
			first, err := table.Transact(ctx, write("1", "a", "x", 0))
			is.NoErr(err)
			_, err = table.Transact(ctx, write("2", "a", "y", 0))
			var conflict *store.ConflictError
			is.True(errors.As(err, &conflict)) // A check that does not hold.
			is.Equal(conflict.Op, "1")         // It says who wrote the row.
			is.Equal(conflict.Have, first)
			second, err := table.Transact(ctx, store.Transaction{
				Op: "3",
				Checks: []store.Check{{
					Key:     "a",
					Version: first,
				}},
				Puts: []store.Put{{
					Key:   "a",
					Value: []byte("z"),
				}, {
					Key:   "b",
					Value: []byte("z"),
				}},
			})
			is.NoErr(err)
			page, err := table.Scan(ctx, "", first)
			is.NoErr(err)
			is.Equal(len(page.Rows), 2) // Both puts, at one version.
			is.Equal(page.Rows[0].Version, second)
			is.Equal(page.Rows[1].Version, second)
			is.True(page.Revision >= second)
		})
	}
}

func TestCommitUnderFaults(t *testing.T) {
	cases := map[string]struct {
		fault       standin.Fault
		unavailable bool
		applied     bool
	}{
		"none": {
			fault:   standin.FaultNone,
			applied: true,
		},
		"down": {
			fault:       standin.FaultDown,
			unavailable: true,
		},
		"slow": {
			fault:   standin.FaultSlow,
			applied: true,
		},
		"lost answer": {
			fault:       standin.FaultLose,
			unavailable: true,
			applied:     true,
		},
	}
	for name, c := range cases {
		for kind, s := range subjects(t) {
			t.Run(name+"/"+kind, func(t *testing.T) {
				is := is.New(t)
				s.faults.Set(c.fault)
				_, err := s.platform.Table.Commit(context.Background(), write("op", "a", "x", 0))
				is.Equal(store.IsUnavailable(err), c.unavailable)
				is.Equal(s.table.Read("a").Version > 0, c.applied)
				s.faults.Set(standin.FaultNone)
				_, err = s.platform.Table.Commit(context.Background(), write("op", "a", "x", 0))
				is.NoErr(err)                                    // The same operation again finds its own write.
				is.Equal(string(s.table.Read("a").Value), "x")   // And wrote once:
				is.Equal(s.table.Scan("", 0).Revision, int64(1)) // one revision.
			})
		}
	}
}

func TestObjectsAndList(t *testing.T) {
	is := is.New(t)
	s := subjects(t)["http"]
	ctx := context.Background()
	_, err := s.platform.Objects.Get(ctx, "a/b")
	var missing *store.NotFoundError
	is.True(errors.As(err, &missing))
	is.NoErr(s.platform.Objects.Put(ctx, "a/b", store.Seal([]byte("body"))))
	sealed, err := s.platform.Objects.Get(ctx, "a/b")
	is.NoErr(err)
	body, err := store.Unseal("a/b", sealed)
	is.NoErr(err)
	is.Equal(string(body), "body")
	sealed[len(sealed)-1]++
	_, err = store.Unseal("a/b", sealed)
	var broken *store.BrokenObjectError
	is.True(errors.As(err, &broken)) // A damaged object is never trusted.
	listed, err := s.platform.Instances.List(ctx)
	is.NoErr(err)
	is.Equal(len(listed), 0)
}

func TestStatusOfPlatform(t *testing.T) {
	for status, unavailable := range map[int]bool{
		http.StatusBadRequest:          false,
		http.StatusForbidden:           false,
		http.StatusInternalServerError: true,
		http.StatusServiceUnavailable:  true,
	} {
		is := is.New(t)
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) }))
		table := store.NewHTTP(netip.MustParseAddrPort(server.Listener.Addr().String())).Table
		_, err := table.Transact(context.Background(), write("op", "a", "x", 0))
		is.Equal(store.IsUnavailable(err), unavailable) // Only a 5xx leaves the outcome open.
		server.Close()
	}
}
