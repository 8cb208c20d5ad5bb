package owner_test

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"lemonstream.dev/lemonstream/clock"
	"lemonstream.dev/lemonstream/internal/standin"
	"lemonstream.dev/lemonstream/job"
	"lemonstream.dev/lemonstream/outside"
	"lemonstream.dev/lemonstream/owner"
)

// registryFixture is a registry over rows that records the newest list passed to its watcher.
type registryFixture struct {
	rows   *standin.Rows
	table  outside.Table
	logged *bytes.Buffer
	counts map[string]int

	// nextPage is called before each page of a read but the first; nil does nothing.
	registry *owner.Registry
	nextPage func()

	mu            sync.Mutex
	list          []outside.Registration
	notifications int
}

// startRegistry starts a registry whose rows hold the CPU of a worker as a decimal number. Any
// other value is the row of another writer.
func startRegistry(t *testing.T) *registryFixture {
	t.Helper()
	f := &registryFixture{
		rows:   standin.NewRows(),
		logged: &bytes.Buffer{},
		counts: make(map[string]int),
	}
	f.table = f.rows.Table()
	get := f.table.Get
	f.table.Get = func(ctx context.Context, table, part, from string, limit int) (outside.Page, error) {
		if from != "" && f.nextPage != nil {
			f.nextPage()
		}
		return get(ctx, table, part, from, limit)
	}
	decode := func(id string, value []byte) (outside.Registration, error) {
		cpu, err := strconv.Atoi(string(value))
		return outside.Registration{
			ID:      id,
			Service: "s",
			Address: netip.MustParseAddrPort("127.0.0.1:1"),
			Capacity: job.Room{
				MilliCPU: cpu,
			},
		}, err
	}
	registry := owner.NewRegistry(f.table, clock.System(), "workers", decode, slog.New(slog.NewTextHandler(f.logged, nil)))
	registry.Count = func(name, outcome string) { f.counts[name+" "+outcome]++ }
	registry.Watch("s", owner.Watcher{
		Changed: func(l owner.Listing) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.list = l.Workers
			f.notifications++
		},
	})
	f.registry = registry
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { _ = registry.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	return f
}

// write stores a row, or removes it if value is empty, and waits until the registry has read it.
func (f *registryFixture) write(worker, value string) {
	key := outside.Key{
		Table: "workers",
		Name:  worker,
	}
	if value == "" {
		_, _ = f.table.Transact(context.Background(), outside.Transaction{
			Removes: []outside.Key{key},
		})
	} else {
		f.rows.Write(key, []byte(value))
	}
	time.Sleep(2 * time.Second)
	synctest.Wait()
}

// workers returns the newest list as sorted text.
func (f *registryFixture) workers() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []string
	for _, reg := range f.list {
		list = append(list, fmt.Sprint(reg.ID, "=", reg.Capacity.MilliCPU))
	}
	slices.Sort(list)
	return list
}

// TestListHoldsWorkersOfValidRows writes random sequences of valid rows, rows of other writers
// and removals to the same keys. The list has to hold the workers whose newest row is valid.
// It guards against a registration that stays in the list after a row of another writer has
// replaced it.
func TestListHoldsWorkersOfValidRows(t *testing.T) {
	for seed := range uint64(30) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			f := startRegistry(t)
			draw := rand.New(rand.NewPCG(seed, seed))
			want := make(map[string]string)
			for range 20 {
				worker := fmt.Sprint("w", draw.IntN(3))
				value := []string{"", "4000", "2000", "asleep", "{}", "\xff"}[draw.IntN(6)]
				f.write(worker, value)
				delete(want, worker)
				if _, err := strconv.Atoi(value); err == nil {
					want[worker] = worker + "=" + value
				}
				var list []string
				for _, one := range want {
					list = append(list, one)
				}
				slices.Sort(list)
				is.Equal(f.workers(), list)
			}
		})
	}
}

// TestCapacityChangeIsNotifiedAtOnce covers a worker of which only the capacity changes. The
// registry used to store the row and to notify nobody until something else of the service
// changed, so that tasks were started on a worker without capacity for them.
func TestCapacityChangeIsNotifiedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := startRegistry(t)
		f.write("w", "4000")
		is.Equal(f.workers(), []string{"w=4000"})
		f.write("w", "1000")
		is.Equal(f.workers(), []string{"w=1000"})
		notifications := f.notifications
		f.write("w", "1000")
		is.Equal(f.notifications, notifications) // A heartbeat alone is no change.
	})
}

// TestForeignRowIsLoggedOnce has another writer write the same row several times. The row is
// logged once, and again after a valid row in between.
func TestForeignRowIsLoggedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := startRegistry(t)
		for range 5 {
			f.write("x", "asleep")
		}
		is.Equal(strings.Count(f.logged.String(), "registration left out"), 1)
		is.Equal(f.counts["row_left_out workers"], 5)
		f.write("x", "4000")
		f.write("x", "asleep")
		is.Equal(strings.Count(f.logged.String(), "registration left out"), 2)
		is.True(!strings.Contains(f.logged.String(), "ERROR")) // The entry itself works correctly.
	})
}

// TestRemovedForeignRowsAreForgotten has another writer write and remove as many rows as the
// registry remembers. Rows used to be remembered forever, so that no later row was logged, and
// no log line explained why a worker was not used.
func TestRemovedForeignRowsAreForgotten(t *testing.T) {
	for name, forget := range map[string]func(f *registryFixture){
		"seen in changes": func(*registryFixture) {},
		"read anew":       func(f *registryFixture) { f.rows.Forget() },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := startRegistry(t)
				for range 2 {
					for i := range 1000 {
						f.rows.Write(outside.Key{
							Table: "workers",
							Name:  fmt.Sprint("x", i),
						}, []byte("asleep"))
					}
					f.write("y", "4000")
					for i := range 1000 {
						f.rows.Write(outside.Key{
							Table: "workers",
							Name:  fmt.Sprint("x", i),
						}, nil)
					}
					forget(f)
					f.write("y", "")
				}
				f.write("z", "asleep")
				is.Equal(strings.Count(f.logged.String(), "worker=z"), 1)
			})
		})
	}
}
