package scheduler

import (
	"context"
	"net/http"
	"sync"
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

	// workShare is the part of the time until the kill in which an entry works for
	// the requests that it holds. Then it gives each its final answer, so that the
	// caller can come back elsewhere. A request that is held for its whole deadline
	// would outlast the entry.
	workShare = 0.75

	// answerShare is the part of the time until the kill by which the answers must
	// have been written; an entry with a fifth of a core needs some hundred
	// milliseconds for those of a busy second. The rest is for ending in order.
	answerShare = 0.95
)

// stop waits until the balancer has taken the entry out, hands the services over,
// answers the requests in flight, and stops. While entries are restarted in turn, those
// that were stopped before are back by then and succeed it.
func (d *Daemon) stop() {
	began := d.clock.Now()
	d.log.Info("stopping")
	close(d.stopping)
	d.requests.Leave()
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.StopGrace)
	defer cancel()
	d.keeper.Retire()
	d.roster.Leave(ctx)
	clock.Sleep(ctx, lingerWait-d.clock.Now().Sub(began))
	d.keeper.Release(ctx, releaseWait)
	d.answerAll(ctx, began)
	d.group.Stop()
	d.log.Info("stopped in order", "took_ms", d.clock.Now().Sub(began).Milliseconds())
}

// answerAll takes no more requests and ends once every one that was read is answered:
// what is not answered in its own time gets its final answer in time before the kill.
func (d *Daemon) answerAll(ctx context.Context, began time.Time) {
	left := func(share float64) time.Duration {
		return time.Duration(share*float64(d.settings.StopGrace)) - d.clock.Now().Sub(began)
	}
	working, stop := context.WithTimeout(ctx, max(0, left(workShare)))
	defer stop()
	defer context.AfterFunc(working, d.giveUp)()
	bounded, cancel := context.WithTimeout(ctx, max(0, left(answerShare)))
	defer cancel()
	var all sync.WaitGroup
	for _, server := range d.servers {
		all.Add(1)
		d.group.Go("shutdown of "+server.Addr, func(context.Context) error {
			defer all.Done()
			d.shutDown(bounded, server)
			return nil
		})
	}
	all.Wait()
}

// giveUp ends the work for what is still held; each request is answered by that.
func (d *Daemon) giveUp() {
	if held, oldest := d.requests.Held(); held > 0 {
		d.log.Info("requests given up at the stop", "held", held, "oldest_ms", oldest.Milliseconds())
	}
	d.requests.GiveUp()
}

// shutDown ends a server once it has answered what it has read.
func (d *Daemon) shutDown(ctx context.Context, server *http.Server) {
	if err := server.Shutdown(ctx); err != nil {
		held, oldest := d.requests.Held()
		d.log.Warn("requests cut at the stop", "address", server.Addr, "held", held, "oldest_ms", oldest.Milliseconds(), "error", err)
	}
}
