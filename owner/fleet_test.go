package owner_test

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"lemonstream.dev/lemonstream/catalog"
	"lemonstream.dev/lemonstream/internal/standin"
	"lemonstream.dev/lemonstream/job"
	"lemonstream.dev/lemonstream/outside"
	"lemonstream.dev/lemonstream/owner"
	"lemonstream.dev/lemonstream/shard"
	"lemonstream.dev/lemonstream/site"
)

const (
	awake           = "s"
	sleeping        = "z"
	fleetSize       = 24
	ordersPerSecond = 5 // orders per second, that is one per round
)

// idleBorn is the start time of the workers of the idle instances.
var idleBorn = time.UnixMilli(1_776_052_010_123)

// idleFleet is a service with many idle instances. Moves never take effect, as if each order
// were still in progress.
type idleFleet struct {
	mu sync.Mutex

	// moved holds the instances that each controller ordered to move, by controller.
	moved map[string]map[string]bool

	// fence returns the fencing token of the owner that reports the loads; nil means none.
	// loadRequests counts the requests for loads.
	fence        func() int64
	loadRequests atomic.Int64
}

func (f *idleFleet) list(context.Context) ([]outside.Instance, error) {
	var list []outside.Instance
	for i := 0; i < fleetSize; i++ {
		list = append(list, outside.Instance{
			ID:     fmt.Sprintf("m%02d", i),
			Pool:   awake,
			State:  outside.InstanceUp,
			Worker: fmt.Sprintf("w%02d", i),
			Capacity: job.Room{
				MilliCPU: 1000,
				MemoryMB: 1000,
			},
		})
	}
	return list, nil
}

func (f *idleFleet) move(_ context.Context, instance, _, holder string, _ int64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.moved[holder] == nil {
		f.moved[holder] = make(map[string]bool)
	}
	f.moved[holder][instance] = true
	return nil
}

func (f *idleFleet) count(holder string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.moved[holder])
}

// loads reports that no worker runs anything and that all workers of the directive are
// closed.
func (f *idleFleet) loads(_ context.Context, service string, told owner.Directive) (shard.Load, error) {
	f.loadRequests.Add(1)
	load := shard.Load{
		Workers: make(map[string]shard.WorkerLoad),
	}
	if f.fence != nil {
		load.Fence = f.fence()
	}
	if service != awake {
		return load, nil
	}
	for i := 0; i < fleetSize; i++ {
		load.Workers[fmt.Sprintf("w%02d", i)] = shard.WorkerLoad{
			Known:   true,
			Reached: true,
		}
	}
	for _, id := range told.Closed {
		w := load.Workers[id]
		w.Closed = true
		w.Born = idleBorn
		load.Workers[id] = w
	}
	return load, nil
}

// deps changes the dependencies of an entry so that it may become the instance controller.
func (f *idleFleet) deps(deps owner.Deps, name string) owner.Deps {
	deps.Holder = name
	deps.Instances = outside.Instances{
		List: f.list,
		Move: f.move,
	}
	deps.RequestLoad = f.loads
	deps.Waves = owner.WaveSource{
		Waves: func() []outside.Wave { return nil },
	}
	deps.Catalog = func() *catalog.Catalog {
		return &catalog.Catalog{
			Version: 1,
			Services: []catalog.Service{{
				Name: awake,
			}, {
				Name:   sleeping,
				Asleep: true,
			}},
		}
	}
	deps.Site = site.Settings{
		Instances:     netip.MustParseAddrPort("127.0.0.1:1"),
		HolderPause:   time.Hour,
		InstanceCalls: ordersPerSecond,
		MoveTime:      time.Second,
		MaintainTime:  time.Second,
	}
	return deps
}

// TestNextControllerSkipsOrderedInstances lets an instance controller that keeps running lose
// the store while it sends orders. Later controllers must not move the same instances.
func TestNextControllerSkipsOrderedInstances(t *testing.T) {
	is := is.New(t)
	rows := standin.NewRows()
	f := &idleFleet{
		moved: make(map[string]map[string]bool),
	}
	var away, awayToo atomic.Bool
	newEntryWith(t, "a", rejecting(rows, &away), alive("a"), f.deps)
	until(t, "the first controller sends orders", func() bool { return f.count("a") >= 2 })
	silent := func(context.Context, netip.AddrPort, string) (owner.Pong, error) {
		return owner.Pong{}, &outside.UncertainError{
			Call: "ping",
		}
	}
	newEntryWith(t, "b", rejecting(rows, &awayToo), silent, f.deps)
	away.Store(true)
	until(t, "the second controller sends orders", func() bool { return f.count("b") >= 2 })
	newEntryWith(t, "c", rows.Table(), silent, f.deps)
	awayToo.Store(true)
	until(t, "the third controller sends orders", func() bool { return f.count("c") >= 2 })
	f.mu.Lock()
	defer f.mu.Unlock()
	for instance := range f.moved["b"] {
		is.True(!f.moved["a"][instance])
	}
	for instance := range f.moved["c"] {
		is.True(!f.moved["a"][instance])
		is.True(!f.moved["b"][instance])
	}
}

// TestLongRoundsAllowMoreOrders guards against a limit on orders that assumes the shortest
// interval between two rounds. With thousands of instances a round takes several times that,
// mostly to list the instances, and pools shrank at a third of the possible rate.
func TestLongRoundsAllowMoreOrders(t *testing.T) {
	f := &idleFleet{
		moved: make(map[string]map[string]bool),
	}
	var mu sync.Mutex
	inRound, most := 0, 0
	newEntryWith(t, "a", standin.NewRows().Table(), alive("a"), func(deps owner.Deps, name string) owner.Deps {
		deps = f.deps(deps, name)
		list := deps.Instances.List
		deps.Instances.List = func(ctx context.Context) ([]outside.Instance, error) {
			mu.Lock()
			inRound = 0
			mu.Unlock()
			time.Sleep(900 * time.Millisecond)
			return list(ctx)
		}
		move := deps.Instances.Move
		deps.Instances.Move = func(ctx context.Context, instance, to, holder string, fence int64) error {
			mu.Lock()
			inRound++
			most = max(most, inRound)
			mu.Unlock()
			return move(ctx, instance, to, holder, fence)
		}
		return deps
	})
	// The platform accepts five orders per second, which is one in the shortest round.
	until(t, "a long round sends several orders", func() bool {
		mu.Lock()
		defer mu.Unlock()
		return most >= ordersPerSecond-1
	})
}

// TestOrdersAreLimitedByRowSize checks that the number of open orders is limited so that their
// row does not become too large for the store.
func TestOrdersAreLimitedByRowSize(t *testing.T) {
	is := is.New(t)
	f := &idleFleet{
		moved: make(map[string]map[string]bool),
	}
	newEntryWith(t, "a", standin.NewRows().Table(), alive("a"), func(deps owner.Deps, name string) owner.Deps {
		deps = f.deps(deps, name)
		deps.Site.RowBytes = 320
		deps.Site.InstanceCalls = 100
		return deps
	})
	until(t, "the controller sends orders", func() bool { return f.count("a") >= 10 })
	time.Sleep(time.Second)
	is.Equal(f.count("a"), 10) // They fill half of a row, and HolderPause is an hour here.
}
