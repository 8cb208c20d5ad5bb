package scheduler

import (
	"context"
	"time"

	"lemonstream.dev/lemonstream/clock"
)

const (
	// lingerWait is how long an entry that was told to stop still takes new
	// connections: the balancer asks each second and takes it out after two
	// misses.
	lingerWait = 2500 * time.Millisecond

	// releaseWait bounds the handing over of services at a stop.
	releaseWait = 1200 * time.Millisecond
)

// stop hands the services over, waits until the balancer has taken the entry
// out, lets requests in flight end, and stops.
func (d *Daemon) stop() {
	began := d.clock.Now()
	d.log.Info("stopping")
	close(d.stopping)
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.StopGrace)
	defer cancel()
	d.keeper.Release(ctx, releaseWait)
	d.roster.Leave(ctx)
	clock.Sleep(ctx, lingerWait-d.clock.Now().Sub(began))
	bounded, stop := context.WithTimeout(ctx, d.settings.StopGrace*3/4-d.clock.Now().Sub(began))
	defer stop()
	for _, server := range d.servers {
		if err := server.Shutdown(bounded); err != nil {
			held, oldest := d.answering.held()
			d.log.Warn("requests cut at the stop", "address", server.Addr, "held", held, "oldest_ms", oldest.Milliseconds(), "error", err)
		}
	}
	d.group.Stop()
	d.log.Info("stopped in order", "took_ms", d.clock.Now().Sub(began).Milliseconds())
}
