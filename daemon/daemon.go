// Package daemon joins the plug-ins into lemonstreamd.
package daemon

import (
	"context"
	"log/slog"
	"os"
	"time"

	"github.com/google/uuid"
	"go.uber.org/fx"

	"lemonstream.dev/lemonstream/clock"
	"lemonstream.dev/lemonstream/fleet"
	"lemonstream.dev/lemonstream/kernel"
	"lemonstream.dev/lemonstream/settings"
	"lemonstream.dev/lemonstream/store"

	// The plug-ins register themselves.
	_ "lemonstream.dev/lemonstream/carry"
	_ "lemonstream.dev/lemonstream/entry"
	_ "lemonstream.dev/lemonstream/member"
	_ "lemonstream.dev/lemonstream/once"
	_ "lemonstream.dev/lemonstream/operate"
	_ "lemonstream.dev/lemonstream/state"
	_ "lemonstream.dev/lemonstream/work"
)

// incarnationLength is the length of what tells two incarnations of an entry
// apart, in hexadecimal digits; it travels in every message and row.
const incarnationLength = 8

// NewLogger returns the logger that the settings ask for. Every line carries
// the entry's id.
func NewLogger(d settings.Daemon) *slog.Logger {
	var level slog.Level
	if err := level.UnmarshalText([]byte(d.LogLevel)); err != nil {
		level = slog.LevelInfo
	}
	options := &slog.HandlerOptions{
		Level: level,
	}
	var handler slog.Handler = slog.NewJSONHandler(os.Stderr, options)
	if d.LogFormat == "text" {
		handler = slog.NewTextHandler(os.Stderr, options)
	}
	return slog.New(handler).With("entry", d.ID)
}

// Run runs the daemon until ctx ends and everything has stopped in order.
func Run(ctx context.Context, d settings.Daemon) error {
	log := NewLogger(d)
	self := fleet.Self{
		ID:          d.ID,
		Zone:        d.Zone,
		Incarnation: d.ID + "/" + uuid.NewString()[:incarnationLength],
		Peers:       d.Peers,
		Operators:   d.Operators,
	}
	log.Info("starting", "incarnation", self.Incarnation, "callers", d.Callers.String())
	now := clock.SystemNoticing(func(gap time.Duration) { log.Warn("suspended", "for_ms", gap.Milliseconds()) })
	err := kernel.Run(ctx, log, fx.Supply(d, self, now, store.NewHTTP(d.Platform)))
	if err == nil {
		log.Info("stopped in order")
	}
	return err
}
