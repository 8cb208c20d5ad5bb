// Package scheduler assembles the daemon that runs on the users' platform: it
// is the one place that joins the product with the platform's adapter.
package scheduler

import (
	"context"
	"fmt"
	"log/slog"
	"net/netip"
	"os"
	"sync"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/google/uuid"

	"lemonstream.dev/lemonstream/catalog"
	"lemonstream.dev/lemonstream/clock"
	"lemonstream.dev/lemonstream/conns"
	"lemonstream.dev/lemonstream/feed"
	"lemonstream.dev/lemonstream/figures"
	"lemonstream.dev/lemonstream/freshness"
	"lemonstream.dev/lemonstream/inflight"
	"lemonstream.dev/lemonstream/kernel"
	"lemonstream.dev/lemonstream/link"
	"lemonstream.dev/lemonstream/logbook"
	"lemonstream.dev/lemonstream/outside"
	"lemonstream.dev/lemonstream/owner"
	"lemonstream.dev/lemonstream/peer"
	"lemonstream.dev/lemonstream/platform"
	"lemonstream.dev/lemonstream/roster"
	"lemonstream.dev/lemonstream/shard"
	"lemonstream.dev/lemonstream/site"
	"lemonstream.dev/lemonstream/underway"
)

const (
	// incarnationLength is the length of what tells two lives of an entry
	// apart, in hexadecimal digits.
	incarnationLength = 8

	// workerLease is how long a worker runs on without a renewal: long enough
	// for a successor to take over, short enough that a worker that was cut off
	// holds up its tasks for a few seconds only.
	workerLease = 4 * time.Second

	// busyWait and idleWait are how long a look waits at a worker for an end.
	// A worker that is cut off is noticed that much later.
	busyWait = time.Second
	idleWait = 1500 * time.Millisecond

	// readHeaderTimeout bounds the headers of a request until the configuration
	// says otherwise.
	readHeaderTimeout = 3 * time.Second

	// quietConnTimeout is how long a connection of a caller or of another entry may
	// be quiet: unused, within a body, or with an answer that can't be written. It
	// is several times what a caller waits for an answer, so that a cut of some
	// seconds ends nothing that could still be delivered.
	quietConnTimeout = 15 * time.Second

	// storeSilence is how old the last success of the store may be for the
	// entry to call itself ready: the followers call at least once a second.
	storeSilence = 1500 * time.Millisecond

	// deadlineHeader names the header with a caller's patience; see platform.
	deadlineHeader = "Deadline-Ms"
)

// Daemon is one running entry.
type Daemon struct {
	settings site.Settings
	options  Options
	clock    clock.Clock
	group    *kernel.Group
	log      *slog.Logger
	table    outside.Table
	patience *outside.AdaptiveTimeout
	workers  outside.Workers
	figures  *figures.Set
	health   *storeHealth
	forecast *owner.ForecastFigures
	catalog  *catalog.Holder

	// feeds reads changes of the store's tables through other entries, followed is the table
	// whose changes are read so.
	feeds    *feed.Reader
	followed outside.Table

	// operator and owners are the states of this entry's copies of the operator's table and of
	// that of the owners.
	operator *freshness.Copy
	owners   *freshness.Copy

	// evacuations are known before the first configuration is.
	evacuations *catalog.Evacuations

	// underWay bounds what the services of this entry have under way.
	underWay *underway.Limits

	roster  *roster.Roster
	keeper  *owner.Keeper
	servers []*conns.Server

	// requests follows what the servers have read and not answered.
	requests *inflight.Requests

	// waves holds the operator's requests for maintenance by their row's key.
	wavesMu sync.Mutex
	waves   map[string]outside.Wave

	// stopping is closed when the entry was told to stop.
	stopping chan struct{}
}

// Run runs an entry until ctx ends and everything has stopped in order.
func Run(ctx context.Context, options Options) error {
	if err := options.Check(); err != nil {
		return err
	}
	book := logbook.New(os.Stdout, shard.LastingField)
	log := book.Logger(slog.LevelInfo)
	path := platform.SettingsPath()
	body, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("reading the settings: %w", err)
	}
	settings, err := platform.DecodeSettings(body)
	if err != nil {
		return fmt.Errorf("settings %s: %w", path, err)
	}
	log = log.With("entry", settings.Name)
	limitHeap(settings.Memory)
	reload := newReload(path, body, log)
	writer := kernel.NewGroup(context.WithoutCancel(ctx), log)
	writer.Go("log", book.Run)
	writer.Go("lines left out", func(ctx context.Context) error { return reportLeftOut(ctx, book.Dropped, log) })
	defer writer.Stop()
	d, err := newDaemon(ctx, log, settings, options)
	if err != nil {
		return err
	}
	d.group.Go("settings", reload.run)
	return d.run(ctx)
}

// newCopy returns the state of a copy on which answers to callers rest until a change of it has to be in
// force, and the work of owners for as long as an owner may continue in an outage.
func newCopy(settings site.Settings, options Options, clock clock.Clock) *freshness.Copy {
	return freshness.NewCopy(freshness.Options{
		Clock:       clock,
		Limit:       settings.ConfigApply,
		OutageLimit: max(settings.ConfigApply, owner.OwnerTimeout, options.OutageTimeout),
	})
}

func newDaemon(ctx context.Context, log *slog.Logger, settings site.Settings, options Options) (*Daemon, error) {
	gin.SetMode(gin.ReleaseMode)
	set := figures.New()
	now := clock.SystemNoticing(func(gap time.Duration) {
		set.Count("suspension", "noticed")
		log.Warn("suspended", "for_ms", gap.Milliseconds())
	})
	d := &Daemon{
		settings: settings,
		options:  options,
		clock:    now,
		group:    kernel.NewGroup(context.WithoutCancel(ctx), log),
		log:      log,
		catalog:  catalog.NewHolder(log),
		operator: newCopy(settings, options, now),
		owners:   newCopy(settings, options, now),

		evacuations: catalog.NewEvacuations(log),
		underWay:    underway.NewLimits(memoryOf(settings), settings.Cores),

		figures:  set,
		waves:    make(map[string]outside.Wave),
		stopping: make(chan struct{}),
	}
	d.requests = inflight.New(d.clock)
	d.health = newStoreHealth(d.clock, d.operator, d.owners)
	d.forecast = &owner.ForecastFigures{}
	d.patience = outside.NewAdaptiveTimeout(d.clock)
	d.table = d.patience.Wrap(figures.ObserveTable(d.figures, d.health.observe(platform.NewTable(settings.Store, d.figures.Link))))
	d.workers = figures.ObserveWorkers(d.figures, platform.NewWorkers(d.figures.Link))
	listener, err := listenPeers(settings)
	if err != nil {
		return nil, err
	}
	address, err := netip.ParseAddrPort(listener.Addr().String())
	if err != nil {
		return nil, fmt.Errorf("peer address: %w", err)
	}
	self := owner.Self{
		Member: owner.Member{
			Incarnation: settings.Name + "/" + uuid.NewString()[:incarnationLength],
			Cores:       settings.Cores,
		},
		Peer: address,
	}
	peers := peer.NewClient(d.figures.Link)
	peers.From = self.Incarnation
	d.shareFeeds(peers, self.Incarnation)
	d.roster = roster.New(d.followed, d.clock, log, settings.Name, self)
	d.roster.Overdue = d.overdue
	registry := owner.NewRegistry(d.followed, d.clock, platform.TableWorkers, platform.DecodeRegistration, log)
	registry.Count = d.figures.Count
	d.keeper = owner.NewKeeper(d.deps(registry, peers), self, d.roster.Members, peers.Ping)
	d.registerGauges()
	d.group.Go("registrations", registry.Run)
	callers := d.intake(peers)
	d.servePeers(listener, self, callers)
	d.serveReadiness()
	d.serveCallers(callers)
	return d, nil
}

// deps returns what the duties of this entry work with.
func (d *Daemon) deps(registry *owner.Registry, peers *peer.Client) owner.Deps {
	return owner.Deps{
		Clock:    d.clock,
		Group:    d.group,
		Log:      d.log,
		Table:    d.table,
		Slow:     d.patience.Slow,
		Workers:  d.workers,
		Catalog:  d.catalog.Current,
		Registry: registry,
		UnderWay: d.underWay,
		Owners:   d.owners,
		Overdue:  d.overdue,
		Usable:   d.operator.Usable,
		Options: shard.Options{
			Lease:        min(workerLease, d.settings.MaxLease),
			LeaseLimit:   d.settings.MaxLease,
			BusyPollWait: busyWait,
			IdlePollWait: idleWait,
			StopTimeout:  d.settings.StopTimeout,
			DrainTime:    d.settings.DrainTime,
			JobRetention: d.settings.JobRetention,
			RemoteFactor: d.settings.RemoteFactor,
			Starts:       link.StartBudget(d.settings.LinkBits),
			Evacuated:    d.evacuations.Has,
			EjectShare:   d.options.EjectShare,
			ProbeAfter:   d.options.ProbeAfter,

			Usable: d.operator.Usable,

			IgnoreRefused: !d.options.OutageOrders,
		},
		ListMembers: d.roster.Read,
		MoveCost:    d.options.MoveCost,

		OrganisationWeights: d.options.OrganisationWeights,
		OrderInOutage:       d.options.OutageOrders,
		ForecastDemand:      d.options.Forecast,
		Forecast:            d.forecast,

		Advice:    platform.NewAdvice(d.settings.Advice, d.figures.Link),
		Instances: platform.NewInstances(d.settings.Instances, d.figures.Link),
		Waves: owner.WaveSource{
			Waves:     d.listWaves,
			StatusKey: platform.WaveStatusKey,
			Status:    platform.EncodeWaveStatus,
		},
		RequestLoad: func(ctx context.Context, service string, told owner.Directive) (shard.Load, error) {
			return d.load(ctx, peers, service, told)
		},
		RequestPromise: peers.Promise,
		OutageTimeout:  d.options.OutageTimeout,

		Count:     d.figures.Count,
		SetFigure: d.figures.SetService,

		Holder: d.settings.Name,
		Site:   d.settings,
	}
}

// run starts the duties, waits for the end and stops in order.
func (d *Daemon) run(ctx context.Context) error {
	d.log.Info("starting", "callers", d.settings.Callers.String(), "peers", d.roster.Peer().String())
	d.group.Go("configuration", func(ctx context.Context) error {
		return owner.Follower{
			Table: d.followed,
			Name:  platform.TableOperator,
			Clock: d.clock,
			Log:   d.log,
			Wait:  owner.ShortFeedWait,
			Read:  d.readOperator,
			Apply: d.takeOperator,

			Confirmed: d.operator.Confirm,
			Wanted:    d.operator.Wanted(),
			Overdue:   d.overdue,
		}.Run(ctx)
	})
	d.group.Go("link", d.reportLink)
	d.group.Go("roster", d.roster.Run)
	d.group.Go("join", d.roster.Join)
	d.group.Go("keeper", func(ctx context.Context) error {
		select {
		case <-ctx.Done():
			return nil
		case <-d.catalog.Loaded():
		}
		d.group.Go("owners", d.keeper.WatchOwners)
		return d.keeper.Run(ctx)
	})
	var failure error
	select {
	case <-ctx.Done():
	case failure = <-d.group.Failed():
	}
	d.stop()
	return failure
}

// load asks the owner of a service, which may be this entry.
func (d *Daemon) load(ctx context.Context, peers *peer.Client, service string, told owner.Directive) (shard.Load, error) {
	if duty, mine := d.keeper.Duty(service); mine {
		return duty.Load(ctx, told)
	}
	address, known := d.keeper.Owner(service)
	if !known {
		return shard.Load{}, &peer.NotOwnerError{
			Service: service,
		}
	}
	return peers.Load(ctx, address, service, told)
}
