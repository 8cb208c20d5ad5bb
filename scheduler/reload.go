package scheduler

import (
	"bytes"
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"lemonstream.dev/lemonstream/platform"
)

// reloadPause is the time between two looks at the settings file, which may
// change without a signal.
const reloadPause = 3 * time.Second

// reload follows the settings file. Addresses and bounds belong to one life of
// an entry, so a change that is sound is reported, and takes effect with the
// next start; a change that is not sound is refused as a whole. In neither case
// is a request cut.
type reload struct {
	path string
	body []byte
	log  *slog.Logger

	// hangups receives SIGHUP, which would end the process otherwise.
	hangups chan os.Signal
}

func newReload(path string, body []byte, log *slog.Logger) *reload {
	r := &reload{
		path:    path,
		body:    body,
		log:     log,
		hangups: make(chan os.Signal, 1),
	}
	signal.Notify(r.hangups, syscall.SIGHUP)
	return r
}

// run looks at the file at each signal, and from time to time, until ctx ends.
func (r *reload) run(ctx context.Context) error {
	defer signal.Stop(r.hangups)
	ticker := time.NewTicker(reloadPause)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-r.hangups:
			r.look(true)
		case <-ticker.C:
			r.look(false)
		}
	}
}

// look reads the file once. A signal is answered by a line even where nothing
// has changed.
func (r *reload) look(asked bool) {
	body, err := os.ReadFile(r.path)
	if err != nil {
		r.log.Error("settings not read", "path", r.path, "error", err)
		return
	}
	if bytes.Equal(body, r.body) {
		if asked {
			r.log.Info("settings unchanged", "path", r.path)
		}
		return
	}
	r.body = body
	if _, err := platform.DecodeSettings(body); err != nil {
		r.log.Error("changed settings refused, the old ones stay", "path", r.path, "error", err)
		return
	}
	r.log.Info("settings changed, in force from the next start", "path", r.path)
}
