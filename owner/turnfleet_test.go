package owner_test

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"

	"lemonstream.dev/lemonstream/catalog"
	"lemonstream.dev/lemonstream/internal/prove"
	"lemonstream.dev/lemonstream/internal/standin"
	"lemonstream.dev/lemonstream/job"
	"lemonstream.dev/lemonstream/outside"
	"lemonstream.dev/lemonstream/owner"
	"lemonstream.dev/lemonstream/shard"
	"lemonstream.dev/lemonstream/site"
)

// States of the store in these tests.
const (
	storeUp int32 = iota
	storeRejects
	storeSilent

	// storeDeaf applies transactions and loses the answers.
	storeDeaf
)

const (
	otherPool    = "t"
	turnOrders   = 20 // orders per second
	outageLimit  = 8 * time.Second
	orderMaxAge  = time.Second
	moveDuration = time.Second
)

// turnFleet is a service in its turn beside an idle one and a pool of sleeping instances. It checks
// every order that it gets.
type turnFleet struct {
	rows  *standin.Rows
	store atomic.Int32

	// promises says that every witness promises. uncertain says that orders get no answer.
	promises  atomic.Bool
	uncertain atomic.Bool
	rounds    atomic.Int64

	// act and tell are the promises as the controller gets them. A test may replace either.
	act  func(base time.Duration) bool
	tell func(ctx context.Context, instances []string) error

	mu         sync.Mutex
	instances  map[string]*outside.Instance
	demand     int
	informed   map[string]bool
	closed     map[string]bool
	appliedAt  time.Time
	unwritten  int
	orders     int
	noted      int
	violations []string
}

func newTurnFleet() *turnFleet {
	f := &turnFleet{
		rows:      standin.NewRows(),
		instances: make(map[string]*outside.Instance),
		informed:  make(map[string]bool),
		closed:    make(map[string]bool),
	}
	f.act, f.tell = f.mayAct, f.inform
	for i := range 30 {
		m := &outside.Instance{
			ID:    fmt.Sprintf("m%02d", i),
			Pool:  sleeping,
			State: outside.InstanceUp,
			Capacity: job.Room{
				MilliCPU: 1000,
			},
		}
		if i < 10 {
			m.Pool = []string{awake, otherPool}[i%2]
			m.Worker = "w-" + m.ID
		}
		f.instances[m.ID] = m
	}
	return f
}

// table returns the store as the entry sees it.
func (f *turnFleet) table() outside.Table {
	table := f.rows.Table()
	inner := table
	failure := func() error {
		switch f.store.Load() {
		case storeRejects:
			return &outside.NotDoneError{}
		case storeSilent:
			time.Sleep(300 * time.Millisecond)
			return &outside.UncertainError{}
		}
		return nil
	}
	table.Row = func(ctx context.Context, key outside.Key) (*outside.Row, error) {
		if err := failure(); err != nil {
			return nil, err
		}
		return inner.Row(ctx, key)
	}
	table.Transact = func(ctx context.Context, tx outside.Transaction) (outside.Receipt, error) {
		if err := failure(); err != nil {
			return outside.Receipt{}, err
		}
		began := time.Now()
		receipt, err := inner.Transact(ctx, tx)
		if err == nil && tx.Puts[0].Key.Part == "/instances" {
			f.mu.Lock()
			f.appliedAt = began
			f.mu.Unlock()
		}
		if f.store.Load() == storeDeaf {
			return outside.Receipt{}, &outside.UncertainError{}
		}
		return receipt, err
	}
	return table
}

func (f *turnFleet) beat() owner.Beat {
	row, err := f.rows.Table().Row(context.Background(), outside.Key{
		Table: "beat",
		Part:  "/instances",
		Name:  "beat",
	})
	var beat owner.Beat
	if err == nil && row != nil {
		err = cbor.Unmarshal(row.Value, &beat)
	}
	if err != nil {
		panic(err)
	}
	return beat
}

func (f *turnFleet) mayAct(base time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	age := time.Since(f.appliedAt)
	return age <= base || (f.promises.Load() && age <= outageLimit)
}

func (f *turnFleet) inform(_ context.Context, instances []string) error {
	if !f.promises.Load() {
		return errors.New("no promise")
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, instance := range instances {
		f.informed[instance] = true
	}
	return nil
}

// move checks an order: its instance must be named by the row, or be asleep and known to the
// witnesses; a worker must be released and the row fresh.
func (f *turnFleet) move(_ context.Context, instance, to, _ string, _ int64) error {
	beat := f.beat()
	allowed := f.mayAct(orderMaxAge)
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.instances[instance]
	f.orders++
	named := slices.Contains(beat.Ordered, instance)
	if !named {
		f.unwritten++
	}
	released := slices.ContainsFunc(beat.ReleasedWorkers, func(r owner.ReleasedRow) bool { return r.Worker == m.Worker })
	switch {
	case !allowed:
		f.violations = append(f.violations, instance+" ordered too late")
	case !named && !f.informed[instance]:
		f.violations = append(f.violations, instance+" ordered and nobody knows")
	case m.Pool == to || m.State == outside.InstanceMoving:
		// A repeated order: the platform answers that it is done and ends nothing.
		return nil
	case m.Worker != "" && (!released || !f.closed[m.Worker]):
		f.violations = append(f.violations, instance+" ordered with a worker that is not released")
	}
	delete(f.informed, instance)
	m.State = outside.InstanceMoving
	time.AfterFunc(moveDuration, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		m.State = outside.InstanceUp
		m.Pool = to
		m.Worker = ""
		if to != sleeping {
			m.Worker = "w-" + m.ID + "-" + to
		}
	})
	if f.uncertain.Load() {
		return &outside.UncertainError{}
	}
	return nil
}

func (f *turnFleet) list(context.Context) ([]outside.Instance, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []outside.Instance
	for _, m := range f.instances {
		list = append(list, *m)
	}
	return list, nil
}

func (f *turnFleet) load(_ context.Context, service string, told owner.Directive) (shard.Load, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	load := shard.Load{
		Workers: make(map[string]shard.WorkerLoad),
	}
	if service == awake {
		f.rounds.Add(1)
		load.Waiting.MilliCPU = f.demand
	}
	for _, m := range f.instances {
		if m.Pool != service || m.Worker == "" {
			continue
		}
		closed := slices.Contains(told.Closed, m.Worker)
		f.closed[m.Worker] = closed
		load.Workers[m.Worker] = shard.WorkerLoad{
			Known:   true,
			Reached: true,
			Closed:  closed,
		}
	}
	return load, nil
}

func (f *turnFleet) deps(deps owner.Deps, name string) owner.Deps {
	deps.Holder = name
	deps.OrderInOutage = true
	deps.Promises = owner.Promises{
		MayAct: f.act,
		Inform: f.tell,
	}
	deps.Count = func(_, outcome string) {
		if outcome == "noted_late" {
			f.mu.Lock()
			f.noted++
			f.mu.Unlock()
		}
	}
	deps.Instances = outside.Instances{
		List: f.list,
		Move: f.move,
	}
	deps.RequestLoad = f.load
	deps.Waves = owner.WaveSource{
		Waves: func() []outside.Wave { return nil },
	}
	deps.Catalog = func() *catalog.Catalog {
		return &catalog.Catalog{
			Version: 1,
			Services: []catalog.Service{{
				Name: awake,
			}, {
				Name: otherPool,
			}, {
				Name:   sleeping,
				Asleep: true,
			}},
		}
	}
	deps.Site = site.Settings{
		Instances:     netip.MustParseAddrPort("127.0.0.1:1"),
		HolderPause:   3 * time.Second,
		InstanceCalls: turnOrders,
		MoveTime:      moveDuration,
		MaintainTime:  time.Second,
	}
	return deps
}

// set changes the demand of the service in its turn, in instances.
func (f *turnFleet) set(instances int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.demand = 1000 * instances
}

// count returns the orders, those sent without a write and those noted late.
func (f *turnFleet) count() (orders, unwritten, noted int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.orders, f.unwritten, f.noted
}

// play runs a controller through steps and returns the violations: the state of the store, the
// demand, the duration in tenths of a second, and whether orders are answered and promises given.
func play(t *testing.T, steps [][4]int, change func(f *turnFleet)) []string {
	t.Helper()
	defer prove.OneProcessor()()
	var violations []string
	synctest.Test(t, func(t *testing.T) {
		f := newTurnFleet()
		change(f)
		newEntryWith(t, "a", f.table(), alive("a"), f.deps)
		time.Sleep(2 * time.Second)
		for _, step := range steps {
			f.store.Store(int32(step[0]))
			f.set(step[1])
			f.uncertain.Store(step[3]&1 != 0)
			f.promises.Store(step[3]&2 != 0)
			time.Sleep(time.Duration(step[2]) * 100 * time.Millisecond)
		}
		f.mu.Lock()
		defer f.mu.Unlock()
		violations = f.violations
	})
	return violations
}
