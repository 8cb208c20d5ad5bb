package carry_test

import (
	"context"
	"fmt"
	"log/slog"
	"net/netip"
	"time"

	"pgregory.net/rapid"

	"lemonstream.dev/lemonstream/carry"
	"lemonstream.dev/lemonstream/control"
	"lemonstream.dev/lemonstream/fleet"
	"lemonstream.dev/lemonstream/intent"
	"lemonstream.dev/lemonstream/internal/standin"
	"lemonstream.dev/lemonstream/lease"
	"lemonstream.dev/lemonstream/member"
	"lemonstream.dev/lemonstream/state"
	"lemonstream.dev/lemonstream/store"
)

const (
	entries     = 3
	entriesMost = 5
	instances   = 12
	least       = 3
)

const configuration = "[service a]\npool = one\nmin_available = 3\n[service b]\npool = two\nmin_available = 3\n[waves]\nfirst = 4\nreserve_racks = 0\n"

// guards are what the machine's promises rest on.
type guards struct {
	control control.Guards

	// quiet decides on the entries' words.
	quiet func(hold member.Hold, told bool, version int64) bool

	// newer decides which row a cache keeps.
	newer func(current, candidate store.Row) bool
}

// operator is one entry with its own, often old, copy of everything.
type operator struct {
	cache  *state.Cache
	listed []store.Listed
	view   *state.View
	store  *control.Store
	duty   *carry.Duty

	// inflight counts the entry's requests at each instance, told is what it
	// last told of them.
	inflight map[string]int
	told     map[string]member.Hold

	// joined is the version of the epoch at which the entry became a member.
	joined int64

	// highest is the newest configuration that was ever in force here.
	highest int64
}

// failer is what a world needs of a test.
type failer interface {
	Fatalf(format string, args ...any)
}

// world is the state machine: entries, operators, instances and the table,
// with every step apart from every other.
type world struct {
	t         failer
	guards    guards
	table     *standin.Table
	faults    *standin.Switch
	late      *standin.Late
	now       *standin.Manual
	operators []*operator

	// truth is what really runs, lost for how long each that does not.
	truth map[string]store.Listed
	down  map[string]bool

	// reboots counts the reboots of an instance by plan; ops are those asked.
	reboots map[string]int
	ops     map[string]bool

	// rebooted, when set, is told of each reboot.
	rebooted func(id string)

	// seen are earlier rows, which may be told again at any time.
	seen []store.Row
	plan string

	// checked is the table's revision at the oracle's last look.
	checked int64
}

func allGuards() guards {
	return guards{
		control: control.AllGuards(),
		quiet:   carry.Lets,
		newer:   state.Newer,
	}
}

// maintain plans, confirms and carries out the maintenance of one instance.
func (w *world) maintain(id string, tell func(o *operator)) {
	w.begin(intent.Intent{
		Kind:  intent.Maintain,
		Scope: intent.ScopeInstance,
		Name:  id,
	})
	w.carry(8, tell)
}

// begin plans and confirms; the plan's id is in w.plan.
func (w *world) begin(wanted intent.Intent) {
	first := w.operators[0]
	plan, err := first.store.Propose(context.Background(), wanted)
	w.must(err)
	_, err = first.store.Confirm(context.Background(), plan.ID, plan.Digest)
	w.must(err)
	w.plan = plan.ID
}

// carry has the first entry act for some rounds; after each, every entry
// catches up and tells as tell says.
func (w *world) carry(rounds int, tell func(o *operator)) {
	for range rounds {
		w.operators[0].duty.Round(context.Background())
		for _, o := range w.operators {
			w.refresh(o)
			tell(o)
		}
	}
}

func newWorld(t failer, g guards) *world {
	w := &world{
		t:       t,
		guards:  g,
		table:   standin.NewTable(),
		faults:  &standin.Switch{},
		late:    &standin.Late{},
		now:     standin.NewManual(time.UnixMilli(1_000_000_000)),
		truth:   make(map[string]store.Listed),
		down:    make(map[string]bool),
		reboots: make(map[string]int),
		ops:     make(map[string]bool),
	}
	w.start()
	return w
}

// start enrolls the instances and rolls the first configuration out.
func (w *world) start() {
	pools := map[string][]store.Listed{}
	for number := range instances {
		line := store.Listed{
			ID:      fmt.Sprintf("w%02d", number),
			Pool:    []string{"one", "two"}[number%2],
			Rack:    fmt.Sprintf("r%d", number/4),
			Zone:    fmt.Sprintf("z%d", number%2),
			Address: netip.MustParseAddrPort("127.0.0.1:1"),
			State:   store.ListedLive,
		}
		w.truth[line.ID] = line
		pools[line.Pool] = append(pools[line.Pool], line)
	}
	for range entries {
		w.operators = append(w.operators, w.operator())
	}
	first := w.operators[0]
	for name, lines := range pools {
		w.must(first.store.Enroll(context.Background(), name, lines))
	}
	plan, err := first.store.Propose(context.Background(), intent.Intent{
		Kind:   intent.Rollout,
		Config: configuration,
	})
	w.must(err)
	_, err = first.store.Confirm(context.Background(), plan.ID, plan.Digest)
	w.must(err)
	for _, o := range w.operators {
		w.refresh(o)
	}
}

func (w *world) operator() *operator {
	o := &operator{
		cache:    state.NewGuardedCache(w.guards.newer),
		inflight: make(map[string]int),
		told:     make(map[string]member.Hold),
	}
	w.refresh(o)
	table := standin.InMemory(w.table, w.faults, w.late)
	clock := w.now.Clock(func() time.Duration { return 0 })
	o.store = control.NewGuardedStore(table, clock, control.Source{
		View:     func() *state.View { return o.view },
		ListedAt: clock.Now,
		Suspects: func() map[string]bool { return nil },
		Refresh:  func() {},
		Tell:     func(rows []store.Row) { w.merge(o, rows) },
		Wait:     func(_ context.Context, condition func(*state.View) bool) bool { return condition(o.view) },
	}, w.guards.control)
	// A lease this short lets every entry act at every step.
	leases := lease.NewHolder(table, clock, fmt.Sprint(len(w.operators)), 0)
	o.duty = carry.New(o.store, leases, carry.Outside{
		View:             func() *state.View { return o.view },
		Quiet:            func(id string) bool { return w.quiet(o, id) },
		Idle:             func(context.Context, fleet.Instance) bool { return true },
		Reboot:           w.reboot,
		Healthy:          func(context.Context, netip.AddrPort) bool { return true },
		ConfigEverywhere: func(int64) bool { return true },
	}, clock, slog.New(slog.DiscardHandler), time.Second)
	return o
}

// check is the oracle: it reads the table and what really runs.
func (w *world) check(*rapid.T) {
	w.checkAll()
}

func (w *world) checkAll() {
	for _, o := range w.operators {
		if o.view.Config.Version < o.highest {
			w.t.Fatalf("configuration went back from %d to %d", o.highest, o.view.Config.Version)
		}
		o.highest = o.view.Config.Version
	}
	page := w.table.Scan(fleet.StatePrefix, w.checked)
	if page.Revision == w.checked {
		return
	}
	w.checked = page.Revision
	w.checkFleet()
}

// checkFleet reads the whole table by the view that the product builds.
func (w *world) checkFleet() {
	view, err := state.BuildView(nil, w.table.Scan(fleet.StatePrefix, 0).Rows, nil)
	w.must(err)
	in := make(map[string]int)
	for name, pool := range view.Pools {
		serving := 0
		for id := range pool.Members {
			in[id]++
			if view.Instances[id].Phase == fleet.PhaseServing {
				serving++
			}
		}
		if serving < least {
			w.t.Fatalf("budget broken: %d of pool %s serve by plan, the budget keeps %d", serving, name, least)
		}
	}
	for id := range w.truth {
		if in[id] != 1 || !view.Pools[view.Instances[id].Pool].Members[id] {
			w.t.Fatalf("instance %s is in %d pools", id, in[id])
		}
	}
}

// reboot is the platform's: it runs once for each op, and cuts what is in
// flight.
func (w *world) reboot(_ context.Context, id, op string) error {
	if w.ops[op] {
		return nil
	}
	w.ops[op] = true
	for number, o := range w.operators {
		if o.inflight[id] > 0 {
			w.t.Fatalf("planned reboot of %s cuts %d requests of entry %d", id, o.inflight[id], number)
		}
	}
	line := w.truth[id]
	line.Boot++
	w.truth[id] = line
	if w.rebooted != nil {
		w.rebooted(id)
	}
	return nil
}

func (w *world) answer(t *rapid.T) {
	o := w.pick(t)
	id := w.instance(t)
	if o.inflight[id] > 0 {
		o.inflight[id]--
	}
}

func (w *world) confirm(t *rapid.T) {
	o := w.pick(t)
	if plan, err := o.store.Plan(context.Background(), w.plan); err == nil {
		_, _ = o.store.Confirm(context.Background(), w.plan, plan.Digest)
	}
}

func (w *world) fault(t *rapid.T) {
	faults := []standin.Fault{standin.FaultNone, standin.FaultNone, standin.FaultNone, standin.FaultDown, standin.FaultLose, standin.FaultLoseOnce, standin.FaultLate}
	w.late.Apply(w.table)
	w.faults.Set(rapid.SampledFrom(faults).Draw(t, "fault"))
}

func (w *world) instance(t *rapid.T) string {
	return fmt.Sprintf("w%02d", rapid.IntRange(0, instances-1).Draw(t, "instance"))
}

// lose takes an instance away, or brings it back, without any plan.
func (w *world) lose(t *rapid.T) {
	if rapid.IntRange(0, 5).Draw(t, "rarely") > 0 {
		return
	}
	id := w.instance(t)
	w.down[id] = !w.down[id]
	if w.down[id] {
		for _, o := range w.operators {
			o.inflight[id] = 0
		}
	}
}

// join has another entry become a member: it writes the epoch, reads the table
// as of then, and serves.
func (w *world) join(t *rapid.T) {
	if len(w.operators) >= entriesMost || rapid.IntRange(0, 5).Draw(t, "rarely") > 0 {
		return
	}
	w.add()
}

func (w *world) add() *operator {
	revision, err := w.table.Transact(store.Transaction{
		Op: "join",
		Puts: []store.Put{{
			Key:   fleet.EpochKey,
			Value: []byte("1"),
		}},
	})
	w.must(err)
	o := w.operator()
	o.joined = revision
	w.operators = append(w.operators, o)
	return o
}

func (w *world) merge(o *operator, rows []store.Row) {
	o.cache.Merge(rows)
	w.seen = append(w.seen, rows...)
	w.build(o)
}

func (w *world) build(o *operator) {
	view, err := state.BuildView(o.view, o.cache.All(), o.listed)
	w.must(err)
	o.view = view
}

func (w *world) must(err error) {
	if err != nil {
		w.t.Fatalf("%v", err)
	}
}

func (w *world) pick(t *rapid.T) *operator {
	return w.operators[rapid.IntRange(0, len(w.operators)-1).Draw(t, "entry")]
}

func (w *world) propose(t *rapid.T) {
	kinds := []intent.Intent{
		{
			Kind:  intent.Drain,
			Scope: intent.ScopeRack,
			Name:  "r0",
		},
		{
			Kind:  intent.Drain,
			Scope: intent.ScopeRack,
			Name:  "r1",
		},
		{
			Kind:  intent.Drain,
			Scope: intent.ScopeRack,
			Name:  "r2",
		},
		{
			Kind:  intent.Maintain,
			Scope: intent.ScopeAll,
		},
		{
			Kind:  intent.Maintain,
			Scope: intent.ScopeInstance,
			Name:  w.instance(t),
		},
		{
			Kind:  intent.Move,
			Scope: intent.ScopeInstance,
			Name:  w.instance(t),
			Pool:  "two",
		},
		{
			Kind:  intent.Grow,
			Pool:  "one",
			Count: 1,
		},
		{
			Kind:  intent.Return,
			Scope: intent.ScopeAll,
		},
		{
			Kind:   intent.Rollout,
			Config: configuration,
		},
	}
	plan, err := w.pick(t).store.Propose(context.Background(), rapid.SampledFrom(kinds).Draw(t, "intent"))
	if err == nil {
		w.plan = plan.ID
	}
}

// quiet asks for the word of every entry.
func (w *world) quiet(o *operator, id string) bool {
	version := o.view.Rows[fleet.InstanceKey(id)].Version
	for _, other := range w.operators {
		if other.joined > o.view.Rows[fleet.EpochKey].Version {
			// This entry has not heard that the other one joined.
			continue
		}
		hold, told := other.told[id]
		if !w.guards.quiet(hold, told, version) {
			return false
		}
	}
	return true
}

// refresh brings the entry's copy of the table and the list up to date.
func (w *world) refresh(o *operator) {
	page := w.table.Scan(fleet.StatePrefix, 0)
	o.cache.MergePage(page)
	w.seen = append(w.seen, page.Rows...)
	o.listed = nil
	for id, line := range w.truth {
		if !w.down[id] {
			o.listed = append(o.listed, line)
		}
	}
	w.build(o)
}

// rumour tells an entry a row again that was told before, however old.
func (w *world) rumour(t *rapid.T) {
	o := w.pick(t)
	row := w.seen[rapid.IntRange(0, len(w.seen)-1).Draw(t, "row")]
	w.merge(o, []store.Row{row})
}

// send has an entry send a request to an instance that it believes to serve.
func (w *world) send(t *rapid.T) {
	o := w.pick(t)
	id := w.instance(t)
	if o.view.Instances[id].Phase == fleet.PhaseServing && !w.down[id] {
		o.inflight[id]++
	}
}

// tell has an entry give its word on the instances that it sends nothing to.
func (w *world) tell(o *operator) {
	o.told = make(map[string]member.Hold)
	for id, instance := range o.view.Instances {
		if instance.Phase != fleet.PhaseServing {
			o.told[id] = member.Hold{
				Version: o.view.Rows[fleet.InstanceKey(id)].Version,
				Count:   o.inflight[id],
			}
		}
	}
}

func (w *world) verb(t *rapid.T) {
	verbs := []control.Verb{control.VerbPause, control.VerbResume, control.VerbResume, control.VerbAbort}
	_, _ = w.pick(t).store.Apply(context.Background(), w.plan, rapid.SampledFrom(verbs).Draw(t, "verb"), "tester")
}
