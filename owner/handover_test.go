package owner_test

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"lemonstream.dev/lemonstream/catalog"
	"lemonstream.dev/lemonstream/internal/standin"
	"lemonstream.dev/lemonstream/job"
	"lemonstream.dev/lemonstream/outside"
	"lemonstream.dev/lemonstream/owner"
	"lemonstream.dev/lemonstream/shard"
)

const (
	// endlessLease is longer than any test: a test that waits for its end fails.
	endlessLease = time.Hour

	// pollWait is how long a fake worker delays its answer to a poll.
	pollWait = 20 * time.Millisecond

	tableListed = "listed"
	tableUsed   = "used"
)

// writeLongRunningJob writes the record of a job with a long-running task, as an entry does
// that cannot reach an owner.
func writeLongRunningJob(rows *standin.Rows, id string) {
	one := record(id)
	one.Spec.Steps[0].Lasting = true
	rows.Write(owner.IntakeKey("s", id), one.Encode())
}

// isUsed reports whether each of the workers has a row in tableUsed, which marks workers
// that may run tasks.
func isUsed(t *testing.T, rows *standin.Rows, ids ...string) bool {
	t.Helper()
	for _, id := range ids {
		row, err := rows.Table().Row(context.Background(), outside.Key{
			Table: tableUsed,
			Part:  "s",
			Name:  id,
		})
		if err != nil {
			t.Fatal(err)
		}
		if row == nil {
			return false
		}
	}
	return true
}

// changeOwners has three entries, one after another, claim the service and start a queued
// job. Each one releases the service to the next.
func changeOwners(t *testing.T, rows *standin.Rows, h *fakeWorkers, last *entry) {
	t.Helper()
	for i := range 3 {
		last.keeper.Release(context.Background(), waitTimeout)
		waiting := fmt.Sprintf("waiting%d", i)
		writeLongRunningJob(rows, waiting)
		name := fmt.Sprintf("successor%d", i)
		last = newEntryWith(t, name, rows.Table(), alive(name), h.deps)
		until(t, waiting+" is started", func() bool { return h.startsOf(waiting) == 1 })
	}
}

// TestReleaseHandsOverIdleWorkers takes the instance of an idle worker down just before its
// service is released, so that no next owner can reach the worker. The handover has to tell
// the next owners that the worker runs nothing.
func TestReleaseHandsOverIdleWorkers(t *testing.T) {
	rows := standin.NewRows()
	h := newFakeWorkers(rows, "w0", "w1")
	first := newEntryWith(t, "first", rows.Table(), alive("first"), h.deps)
	until(t, "both workers are used", func() bool { return isUsed(t, rows, "w0", "w1") })
	h.cutOff("w0")
	changeOwners(t, rows, h, first)
}

// TestReleaseHandsOverTasksOfSilentWorker lets a worker become unreachable while it runs a
// task. That task must not be started again while it may still run there, and no other task
// may have to wait for the worker.
func TestReleaseHandsOverTasksOfSilentWorker(t *testing.T) {
	is := is.New(t)
	rows := standin.NewRows()
	h := newFakeWorkers(rows, "w0", "w1")
	first := newEntryWith(t, "first", rows.Table(), alive("first"), h.deps)
	until(t, "both workers are used", func() bool { return isUsed(t, rows, "w0", "w1") })
	writeLongRunningJob(rows, "held")
	until(t, "the first task is started", func() bool { return h.startsOf("held") == 1 })
	h.cutOff(h.workerOf("held"))
	changeOwners(t, rows, h, first)
	is.Equal(h.startsOf("held"), 1) // It may still run on the silent worker.
}

// TestBeatOfOlderVersionIsRead reads heartbeat rows of an older version, which handed over
// nothing except the list of idle workers.
func TestBeatOfOlderVersionIsRead(t *testing.T) {
	type oldBeat struct {
		Epoch    int64    `cbor:"1,keyasint"`
		Sequence int64    `cbor:"2,keyasint"`
		Lapsed   []string `cbor:"3,keyasint,omitempty"`
	}
	for name, lapsed := range map[string][]string{
		"lapsed":  {"w0"},
		"unknown": nil,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			rows := standin.NewRows()
			h := newFakeWorkers(rows, "w0", "w1")
			h.cutOff("w0")
			write(t, rows, "owner", "owner", owner.Ownership{
				Epoch:    1,
				Owner:    "old",
				Released: true,
			})
			write(t, rows, "beat", "beat", oldBeat{
				Epoch:    1,
				Sequence: 7,
				Lapsed:   lapsed,
			})
			rows.Write(outside.Key{
				Table: tableUsed,
				Part:  "s",
				Name:  "w0",
			}, []byte("127.0.0.1:1"))
			writeLongRunningJob(rows, "waiting")
			e := newEntryWith(t, "new", rows.Table(), alive("new"), h.deps)
			until(t, "the entry owns the service", e.owns)
			if lapsed != nil {
				until(t, "the job is started", func() bool { return h.startsOf("waiting") == 1 })
				return
			}
			until(t, "the other worker is polled", func() bool { return h.pollsOf("w1") >= 10 })
			is.Equal(h.startsOf("waiting"), 0)
		})
	}
}

// write stores a row in the partition of the service.
func write(t *testing.T, rows *standin.Rows, table, name string, value any) {
	t.Helper()
	body, err := cbor.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	rows.Write(outside.Key{
		Table: table,
		Part:  "s",
		Name:  name,
	}, body)
}

// endedJobs is a number of jobs whose ends do not fit into one transaction.
const endedJobs = 120

// TestReleaseWritesEveryEndFirst requests a release while the owner has more ends to write
// than fit into one transaction. The worker cannot be reached afterwards, so that the next
// owner can learn of the ends from the stored rows only.
func TestReleaseWritesEveryEndFirst(t *testing.T) {
	is := is.New(t)
	rows := standin.NewRows()
	var closed atomic.Bool
	open := make(chan struct{})
	rows.Before = func(_ context.Context, call standin.Call) error {
		if closed.Load() && call.Kind == "transact" && call.Part == "s" {
			<-open
		}
		return nil
	}
	h := newFakeWorkers(rows, "w0")
	var ids []string
	for i := range endedJobs {
		id := fmt.Sprintf("job%d", i)
		ids = append(ids, id)
		rows.Write(owner.IntakeKey("s", id), record(id).Encode())
	}
	first := newEntryWith(t, "first", rows.Table(), alive("first"), h.deps)
	for _, id := range ids {
		until(t, id+" is started", func() bool { return h.startsOf(id) == 1 })
	}
	closed.Store(true)
	h.finish("w0")
	until(t, "the ends are listed twice", func() bool { return h.pollsOf("w0") >= 2 })
	released := make(chan struct{})
	go func() {
		first.keeper.Release(context.Background(), waitTimeout)
		close(released)
	}()
	time.Sleep(10 * pollWait)
	close(open)
	<-released
	h.cutOff("w0")
	h.register(rows, "w1")
	second := newEntryWith(t, "second", rows.Table(), alive("second"), h.deps)
	until(t, "the second entry owns the service", second.owns)
	duty, _ := second.keeper.Duty("s")
	for _, id := range ids {
		until(t, id+" has ended", func() bool {
			state, _ := duty.State(catalog.Caller{}, id)
			return state == job.Completed
		})
		is.Equal(h.startsOf(id), 1)
	}
}

// TestReleaseDoesNotReportListedWorkerAsUsed registers a worker while the last transaction
// before the release is in progress. Nothing ever ran on that worker, so that the next owner
// must not wait for it.
func TestReleaseDoesNotReportListedWorkerAsUsed(t *testing.T) {
	rows := standin.NewRows()
	var closed atomic.Bool
	var stopped atomic.Int64
	open := make(chan struct{})
	rows.Before = func(_ context.Context, call standin.Call) error {
		if closed.Load() && call.Kind == "transact" && call.Part == "s" {
			stopped.Add(1)
			<-open
		}
		return nil
	}
	h := newFakeWorkers(rows, "w0")
	first := newEntryWith(t, "first", rows.Table(), alive("first"), h.deps)
	until(t, "the worker is used", func() bool { return isUsed(t, rows, "w0") })
	closed.Store(true)
	until(t, "a transaction is under way", func() bool { return stopped.Load() == 1 })
	h.register(rows, "w1")
	until(t, "the new worker is polled", func() bool { return h.pollsOf("w1") >= 2 })
	released := make(chan struct{})
	go func() {
		first.keeper.Release(context.Background(), waitTimeout)
		close(released)
	}()
	time.Sleep(10 * pollWait)
	closed.Store(false)
	close(open)
	<-released
	h.cutOff("w1")
	writeLongRunningJob(rows, "waiting")
	newEntryWith(t, "second", rows.Table(), alive("second"), h.deps)
	until(t, "the job is started", func() bool { return h.startsOf("waiting") == 1 })
}

// TestClaimOfStoppingEntryKeepsHandover stops an entry that has claimed the service before
// the answer to its claim arrives. That entry never runs the service, and the next owner still
// has to find the handover of the first one.
func TestClaimOfStoppingEntryKeepsHandover(t *testing.T) {
	rows := standin.NewRows()
	h := newFakeWorkers(rows, "w0", "w1")
	first := newEntryWith(t, "first", rows.Table(), alive("first"), h.deps)
	until(t, "both workers are used", func() bool { return isUsed(t, rows, "w0", "w1") })
	h.cutOff("w0")
	first.keeper.Release(context.Background(), waitTimeout)
	answered := make(chan struct{})
	table := rows.Table()
	transact := table.Transact
	table.Transact = func(ctx context.Context, tx outside.Transaction) (outside.Receipt, error) {
		receipt, err := transact(ctx, tx)
		<-answered
		return receipt, err
	}
	second := newEntryWith(t, "second", table, alive("second"), h.deps)
	until(t, "the claim is stored", func() bool {
		_, known := second.keeper.Owner("s")
		return known
	})
	second.keeper.Release(context.Background(), waitTimeout)
	close(answered)
	second.group.Stop()
	writeLongRunningJob(rows, "waiting")
	dead := func(context.Context, netip.AddrPort, string) (owner.Pong, error) {
		return owner.Pong{}, &outside.NotDoneError{
			Call: "ping",
		}
	}
	newEntryWith(t, "third", rows.Table(), dead, h.deps)
	until(t, "the job is started", func() bool { return h.startsOf("waiting") == 1 })
}

// recordingFleet is an idleFleet that records which workers each instance controller reports
// as ended.
type recordingFleet struct {
	*idleFleet

	mu    sync.Mutex
	ended map[string]map[string]bool
}

func newRecordingFleet() *recordingFleet {
	return &recordingFleet{
		idleFleet: &idleFleet{
			moved: make(map[string]map[string]bool),
		},
		ended: make(map[string]map[string]bool),
	}
}

// list returns the instances; those with an order have the state InstanceMoving.
func (f *recordingFleet) list(ctx context.Context) ([]outside.Instance, error) {
	list, err := f.idleFleet.list(ctx)
	f.idleFleet.mu.Lock()
	defer f.idleFleet.mu.Unlock()
	for i := range list {
		for _, moved := range f.moved {
			if moved[list[i].ID] {
				list[i].State = outside.InstanceMoving
				list[i].Worker = ""
			}
		}
	}
	return list, err
}

func (f *recordingFleet) deps(deps owner.Deps, name string) owner.Deps {
	deps = f.idleFleet.deps(deps, name)
	deps.Instances.List = f.list
	deps.RequestLoad = func(ctx context.Context, service string, directive owner.Directive) (shard.Load, error) {
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.ended[name] == nil {
			f.ended[name] = make(map[string]bool)
		}
		for _, worker := range directive.Ended {
			f.ended[name][worker] = true
		}
		return f.loads(ctx, service, directive)
	}
	return deps
}

// hasReportedEnded reports whether the controller called name has reported as ended the
// workers of all instances that the controller called moved has ordered to move.
func (f *recordingFleet) hasReportedEnded(name, moved string) bool {
	f.idleFleet.mu.Lock()
	defer f.idleFleet.mu.Unlock()
	f.mu.Lock()
	defer f.mu.Unlock()
	for instance := range f.moved[moved] {
		taken := outside.Incarnation{
			Worker: "w" + instance[1:],
			Born:   idleBorn,
		}
		if !f.ended[name][taken.String()] {
			return false
		}
	}
	return len(f.moved[moved]) > 0
}

// TestNextControllerReportsInstancesTakenBefore lets an instance controller hand over before
// it has told the owners of services about its last orders.
func TestNextControllerReportsInstancesTakenBefore(t *testing.T) {
	rows := standin.NewRows()
	f := newRecordingFleet()
	first := newEntryWith(t, "a", rows.Table(), alive("a"), f.deps)
	until(t, "the first controller sends orders", func() bool { return f.count("a") >= 2 })
	first.keeper.Release(context.Background(), waitTimeout)
	newEntryWith(t, "b", rows.Table(), alive("b"), f.deps)
	until(t, "the second controller reports them", func() bool { return f.hasReportedEnded("b", "a") })
}

// TestNewOwnerRestoresTakenInstances stops an entry that is both the owner of a service and
// the instance controller after it has taken the instance of a worker.
func TestNewOwnerRestoresTakenInstances(t *testing.T) {
	rows := standin.NewRows()
	f := newRecordingFleet()
	var ids []string
	for i := range fleetSize {
		ids = append(ids, fmt.Sprintf("w%02d", i))
	}
	h := newFakeWorkers(rows, ids...)
	var once sync.Once
	both := func(deps owner.Deps, name string) owner.Deps {
		deps = f.deps(h.deps(deps, name), name)
		deps.Site.RowBytes = 65_536
		move := deps.Instances.Move
		deps.Instances.Move = func(ctx context.Context, instance, pool, holder string, epoch int64) error {
			once.Do(func() { h.cutOff("w" + instance[1:]) })
			return move(ctx, instance, pool, holder, epoch)
		}
		return deps
	}
	first := newEntryWith(t, "a", rows.Table(), alive("a"), both)
	until(t, "all workers are used", func() bool { return isUsed(t, rows, ids...) })
	until(t, "the entry takes instances, and writes more than once", func() bool { return f.count("a") >= 3 })
	first.group.Stop()
	writeLongRunningJob(rows, "waiting")
	dead := func(context.Context, netip.AddrPort, string) (owner.Pong, error) {
		return owner.Pong{}, &outside.NotDoneError{
			Call: "ping",
		}
	}
	newEntryWith(t, "b", rows.Table(), dead, both)
	until(t, "the job is started", func() bool { return h.startsOf("waiting") == 1 })
}
