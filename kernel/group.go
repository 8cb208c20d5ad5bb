package kernel

import (
	"context"
	"fmt"
	"log/slog"
	"runtime/debug"
	"sync"
)

// Group starts every goroutine of the process, reports a panic of any of them
// and waits for all of them at the stop.
type Group struct {
	ctx    context.Context
	cancel context.CancelFunc
	log    *slog.Logger
	wait   sync.WaitGroup

	// failed receives the first error of a goroutine; its capacity is 1.
	failed chan error
}

// PanicError is the error of a goroutine that panicked.
type PanicError struct {
	// Name is the duty that panicked.
	Name string

	// Value is what it panicked with.
	Value any
}

// NewGroup returns a group whose goroutines run until ctx ends or Stop is
// called.
func NewGroup(ctx context.Context, log *slog.Logger) *Group {
	inner, cancel := context.WithCancel(ctx)
	return &Group{
		ctx:    inner,
		cancel: cancel,
		log:    log,
		failed: make(chan error, 1),
	}
}

// Context returns the context that ends when the group stops.
func (g *Group) Context() context.Context {
	return g.ctx
}

// Failed receives the first error that a goroutine of the group returned.
func (g *Group) Failed() <-chan error {
	return g.failed
}

// Go runs work in its own goroutine under the given duty name. An error or a
// panic of work is logged once and ends the process in an orderly way.
func (g *Group) Go(name string, work func(ctx context.Context) error) {
	g.wait.Add(1)
	go func() {
		defer g.wait.Done()
		if err := g.guard(name, work); err != nil && g.ctx.Err() == nil {
			g.log.Error("duty failed", "duty", name, "error", err)
			select {
			case g.failed <- err:
			default:
			}
		}
	}()
}

// Stop ends the group's context and waits for its goroutines.
func (g *Group) Stop() {
	g.cancel()
	g.wait.Wait()
}

func (g *Group) guard(name string, work func(ctx context.Context) error) (err error) {
	defer func() {
		if value := recover(); value != nil {
			g.log.Error("duty panicked", "duty", name, "stack", string(debug.Stack()))
			err = &PanicError{
				Name:  name,
				Value: value,
			}
		}
	}()
	return work(g.ctx)
}

// Error implements error.
func (e *PanicError) Error() string {
	return fmt.Sprintf("duty %s panicked: %v", e.Name, e.Value)
}
