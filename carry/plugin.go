package carry

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"go.uber.org/fx"

	"lemonstream.dev/lemonstream/clock"
	"lemonstream.dev/lemonstream/control"
	"lemonstream.dev/lemonstream/entry"
	"lemonstream.dev/lemonstream/fleet"
	"lemonstream.dev/lemonstream/kernel"
	"lemonstream.dev/lemonstream/lease"
	"lemonstream.dev/lemonstream/member"
	"lemonstream.dev/lemonstream/settings"
	"lemonstream.dev/lemonstream/state"
	"lemonstream.dev/lemonstream/store"
	"lemonstream.dev/lemonstream/work"
)

func init() {
	kernel.Register(kernel.Plugin{
		Name:    "carry",
		Stage:   kernel.StageDuties,
		Options: options,
	})
}

// configEverywhere reports whether every entry that may be alive tells of the
// version or a later one.
func configEverywhere(w *state.Watch, p *member.Peers, version int64) bool {
	if w.View().Config.Version < version {
		return false
	}
	for _, peer := range p.Live() {
		if peer.Hello.Config < version {
			return false
		}
	}
	return true
}

// idle reports whether the platform answers that no task runs on the instance.
func idle(ctx context.Context, tasks store.Tasks, instance fleet.Instance) bool {
	some, err := tasks.List(ctx, instance.Pool)
	if err != nil {
		return false
	}
	return !slices.ContainsFunc(some, func(task store.Task) bool {
		return task.Worker == instance.ID && task.State == store.TaskRunning
	})
}

func newDuty(store *control.Store, leases *lease.Holder, p store.Platform, w *state.Watch, peers *member.Peers, s *entry.Services, c clock.Clock, log *slog.Logger, d settings.Daemon) *Duty {
	outside := Outside{
		View:             w.View,
		Quiet:            func(id string) bool { return quiet(w, peers, s, id) },
		Idle:             func(ctx context.Context, one fleet.Instance) bool { return idle(ctx, p.Tasks, one) },
		Reboot:           p.Instances.Reboot,
		Healthy:          Connects,
		ConfigEverywhere: func(version int64) bool { return configEverywhere(w, peers, version) },
	}
	return New(store, leases, outside, c, log, roundPause(d))
}

func newStore(p store.Platform, c clock.Clock, w *state.Watch, peers *member.Peers, s *entry.Services) *control.Store {
	return control.NewStore(p.Table, c, control.Source{
		View:     w.View,
		ListedAt: w.ListedAt,
		Suspects: func() map[string]bool { return suspects(peers, s) },
		Refresh:  w.Poke,
		Tell:     peers.TellRows,
		Wait:     w.Wait,
	})
}

func options() fx.Option {
	return fx.Options(
		fx.Provide(
			newStore,
			newDuty,
		),
		fx.Invoke(func(lc fx.Lifecycle, g *kernel.Group, duty *Duty, store *control.Store, jobs *work.Store, leases *lease.Holder, w *state.Watch, c clock.Clock, log *slog.Logger, d settings.Daemon) {
			enroller := NewEnroller(store, leases, w.View, log, roundPause(d))
			cleaner := NewCleaner(store, jobs, leases, w, c, log)
			lc.Append(fx.StartHook(func() {
				g.Go("clean", cleaner.Run)
				g.Go("carry", duty.Run)
				g.Go("enroll", enroller.Run)
			}))
		}),
	)
}

// quiet reports whether every entry that may be alive tells that it keeps new
// work from the instance and waits for nothing from it. An entry that tells
// nothing is not quiet.
func quiet(w *state.Watch, p *member.Peers, s *entry.Services, id string) bool {
	view := w.View()
	version := view.Rows[fleet.InstanceKey(id)].Version
	hold, told := s.Held(view)[id]
	if !Lets(hold, told, version) {
		return false
	}
	for _, peer := range p.Live() {
		hold, told := peer.Hello.Held[id]
		if !Lets(hold, told, version) {
			return false
		}
	}
	return true
}

func roundPause(d settings.Daemon) time.Duration {
	return max(d.PollInterval/2, 50*time.Millisecond)
}

func suspects(p *member.Peers, s *entry.Services) map[string]bool {
	all := make(map[string]bool)
	for _, id := range s.Suspects() {
		all[id] = true
	}
	for _, peer := range p.Heard() {
		for _, id := range peer.Hello.Suspects {
			all[id] = true
		}
	}
	return all
}
