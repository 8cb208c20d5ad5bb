// Package kernel holds the plug-in registry and the lifetime of the process.
// A duty registers itself from one init line; the kernel builds all of them
// with fx, starts them in one group and stops them in reverse order.
package kernel

import (
	"context"
	"fmt"
	"log/slog"
	"sort"
	"sync"
	"time"

	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"
)

// Plugin is one part of the daemon.
type Plugin struct {
	// Name is unique among the registered plug-ins.
	Name string

	// Stage orders the start, low stages first; the stop runs backwards.
	Stage int

	// Options returns what the plug-in provides and invokes.
	Options func() fx.Option
}

// Stages of plug-ins.
const (
	// StageState is for what others read.
	StageState = iota + 1

	// StagePeers is for what joins the entries.
	StagePeers

	// StageDuties is for the duties.
	StageDuties

	// StageOperators is for the operators' server, which outlives that of
	// callers so that readiness can be asked during a stop.
	StageOperators

	// StageCallers is for the callers' server: last to start, first to stop.
	StageCallers
)

// Registry is the set of plug-ins of a program.
type Registry struct {
	mu      sync.Mutex
	plugins map[string]Plugin
}

// stopTimeout bounds the orderly stop of all plug-ins together. It is above the
// longest stop timeout that the settings allow for requests in flight.
const stopTimeout = 6 * time.Minute

// registered is the one global of lemonstream: the plug-ins linked into the
// program. See docs/design/house-style.md.
var registered = &Registry{
	plugins: make(map[string]Plugin),
}

// Register adds p to the plug-ins of this program. It panics when the name is
// taken, which can only be a mistake in the program itself.
func Register(p Plugin) {
	registered.mu.Lock()
	defer registered.mu.Unlock()
	if _, taken := registered.plugins[p.Name]; taken {
		panic(fmt.Sprintf("plug-in %s registered twice", p.Name))
	}
	registered.plugins[p.Name] = p
}

// Run builds every registered plug-in together with base, runs until ctx ends
// or a duty fails, and stops in order. It returns the error of the first duty
// that failed, or of the start.
func Run(ctx context.Context, log *slog.Logger, base ...fx.Option) error {
	group := NewGroup(context.WithoutCancel(ctx), log)
	defer group.Stop()
	app := fx.New(
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.StopTimeout(stopTimeout),
		fx.Supply(group, log),
		fx.Options(base...),
		fx.Options(registered.options()...),
	)
	if err := app.Start(ctx); err != nil {
		return fmt.Errorf("starting the daemon: %w", err)
	}
	var failure error
	select {
	case <-ctx.Done():
	case failure = <-group.Failed():
	}
	stopping, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	if err := app.Stop(stopping); err != nil && failure == nil {
		failure = fmt.Errorf("stopping the daemon: %w", err)
	}
	return failure
}

func (r *Registry) options() []fx.Option {
	r.mu.Lock()
	defer r.mu.Unlock()
	plugins := make([]Plugin, 0, len(r.plugins))
	for _, plugin := range r.plugins {
		plugins = append(plugins, plugin)
	}
	sort.Slice(plugins, func(i, j int) bool {
		if plugins[i].Stage != plugins[j].Stage {
			return plugins[i].Stage < plugins[j].Stage
		}
		return plugins[i].Name < plugins[j].Name
	})
	options := make([]fx.Option, 0, len(plugins))
	for _, plugin := range plugins {
		options = append(options, plugin.Options())
	}
	return options
}
