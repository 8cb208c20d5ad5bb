package scheduler

import (
	"context"
	"sync"
	"time"

	"lemonstream.dev/lemonstream/clock"
	"lemonstream.dev/lemonstream/conns"
)

const (
	// lingerWait is how long an entry that was told to stop still takes new
	// connections: the balancer asks each second and takes it out after two
	// misses. The servers take them for conns.Settle of it, after the services were
	// handed over.
	lingerWait = 2500 * time.Millisecond

	// lingerShare is the most of the time until the kill that goes into taking new
	// connections: five twelfths, lingerWait of a grace time of 6 s. A platform that
	// kills sooner leaves less, and what is held needs its answer first.
	lingerShare = 5.0 / 12

	// releaseWait bounds the handing over of services at a stop, which ends with
	// workShare at the latest.
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
	grace := d.settings.StopGrace
	bounded, cancel := context.WithTimeout(context.Background(), part(grace, answerShare))
	defer cancel()
	working, done := context.WithTimeout(bounded, part(grace, workShare))
	defer done()
	// From here on, whatever the steps below take.
	defer context.AfterFunc(working, d.giveUp)()
	d.linger(working, began)
	d.keeper.Release(working, releaseWait)
	d.answerAll(bounded)
	d.group.Stop()
	d.log.Info("stopped in order", "took_ms", d.clock.Now().Sub(began).Milliseconds())
}

// linger leaves the list and takes new connections until the balancer has taken the
// entry out.
func (d *Daemon) linger(ctx context.Context, began time.Time) {
	wait := min(lingerWait, part(d.settings.StopGrace, lingerShare)) - conns.Settle
	lingering, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	d.keeper.StopClaiming()
	d.roster.Leave(lingering)
	clock.Sleep(lingering, wait-d.clock.Now().Sub(began))
}

// answerAll takes no more requests and ends once every one that was read is answered.
func (d *Daemon) answerAll(ctx context.Context) {
	var all sync.WaitGroup
	for _, server := range d.servers {
		all.Add(1)
		d.group.Go("shutdown of "+server.Addr, func(context.Context) error {
			defer all.Done()
			d.shutDown(ctx, server)
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

// part returns a share of the time until the kill.
func part(grace time.Duration, share float64) time.Duration {
	return time.Duration(share * float64(grace))
}

// shutDown ends a server once it has answered what it has read.
func (d *Daemon) shutDown(ctx context.Context, server *conns.Server) {
	if err := server.Shutdown(ctx); err != nil {
		held, oldest := d.requests.Held()
		d.log.Warn("requests cut at the stop", "address", server.Addr, "held", held, "oldest_ms", oldest.Milliseconds(), "error", err)
	}
}
