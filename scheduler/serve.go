package scheduler

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/gin-gonic/gin"

	"lemonstream.dev/lemonstream/conns"
	"lemonstream.dev/lemonstream/intake"
	"lemonstream.dev/lemonstream/link"
	"lemonstream.dev/lemonstream/outside"
	"lemonstream.dev/lemonstream/owner"
	"lemonstream.dev/lemonstream/peer"
	"lemonstream.dev/lemonstream/platform"
	"lemonstream.dev/lemonstream/queue"
	"lemonstream.dev/lemonstream/site"
)

const (
	// probeShare is the part of the store's calls, writing or reading ones, that all entries together
	// may spend on one thing that fails.
	probeShare = 0.1

	// probePauseLeast and probePauseMost bound the pause between two such tries of
	// one entry. A caller waits some 150 ms for a job to be taken; recovery must be
	// seen within a second or two at 300 entries as well.
	probePauseLeast = 100 * time.Millisecond
	probePauseMost  = 2 * time.Second

	// questionReads is how many reads a question for a state takes that is answered
	// from rows: the record and the progress, in both parts of the service.
	questionReads = 4

	// questionShare is the part of the store's reads that all entries together spend
	// on such questions: an owner that begins needs the rest.
	questionShare = 0.5
)

func listenPeers(settings site.Settings) (net.Listener, error) {
	var last error
	for port := settings.FirstPeerPort; port <= settings.LastPeerPort; port++ {
		listener, err := net.Listen("tcp4", netip.AddrPortFrom(settings.Address, port).String())
		if err == nil {
			return listener, nil
		}
		last = err
	}
	return nil, fmt.Errorf("listening for other entries: %w", last)
}

func (d *Daemon) serve(name string, listener net.Listener, handler http.Handler, bound *conns.Bound) {
	limits := conns.ServerLimits{
		Header:  readHeaderTimeout,
		Quiet:   quietConnTimeout,
		Meter:   d.figures.Link,
		Purpose: name,
		Bound:   bound,
	}
	server := conns.NewServer(handler, limits)
	server.Addr = listener.Addr().String()
	d.requests.Attach(server.Server)
	bound.Attach(server.Server)
	d.servers = append(d.servers, server)
	d.group.Go(name, func(context.Context) error {
		if err := server.Serve(conns.Listen(listener, limits)); !errors.Is(err, http.ErrServerClosed) {
			return fmt.Errorf("serving %s: %w", name, err)
		}
		return nil
	})
}

// intake returns what serves callers.
func (d *Daemon) intake(peers *peer.Client) *intake.Server {
	return &intake.Server{
		Catalog:  d.catalog.Current,
		Operator: d.operator,
		Clock:    d.clock,
		Codec: intake.Codec{
			DecodeJob:     platform.DecodeJob,
			EncodePending: platform.EncodePending,
			EncodeState:   platform.EncodeState,
			Key:           platform.CallerKey,
			KeyScheme:     platform.KeyScheme,
		},
		Figures: d.figures,
		Group:   d.group,
		Log:     d.log,
		Owners: intake.Owners{
			Duty:  d.keeper.Duty,
			Owner: d.keeper.Owner,
			Peers: peers,
		},
		Table:    d.table,
		Breakers: outside.NewBreakers(d.clock, d.probePause),
		Slow:     d.patience.Slow,
		Queues: &queue.Book{
			Count: d.figures.Count,
			Clock: d.clock,
			Group: d.group,
			Log:   d.log,
			Table: d.table,
		},
		RowBytes:       d.settings.RowBytes,
		ReadPause:      d.readPause,
		DeadlineHeader: deadlineHeader,
		OfferTime:      d.options.OfferTime,
	}
}

func (d *Daemon) serveCallers(server *intake.Server) {
	router := gin.New()
	server.Routes(router)
	d.listen("callers", d.settings.Callers, router, d.callerBound())
}

// probePause is how long this entry waits between two tries of something that fails,
// so that those of all entries together stay a small share of what the store takes.
func (d *Daemon) probePause() time.Duration {
	return max(probePauseLeast, d.sharedPause(d.settings.StoreWrites))
}

// overdue is the mean time after which this entry sends another read of changes where one is not
// answered, so that those of all entries leave the store room when it is back.
func (d *Daemon) overdue() time.Duration {
	return d.sharedPause(d.settings.StoreReads)
}

// sharedPause is the pause between two calls of this entry with which those of all entries together
// take probeShare of the calls that the store takes in a second; probePauseMost at the most.
func (d *Daemon) sharedPause(perSecond int) time.Duration {
	if perSecond <= 0 {
		return probePauseMost
	}
	fair := time.Duration(float64(len(d.roster.Members())) / (probeShare * float64(perSecond)) * float64(time.Second))
	return min(probePauseMost, fair)
}

// readPause is the mean time between two questions that this entry answers from rows,
// so that those of all entries stay a share of what the store reads.
func (d *Daemon) readPause() time.Duration {
	if d.settings.StoreReads <= 0 {
		return 0
	}
	return time.Duration(float64(len(d.roster.Members())) * questionReads / (questionShare * float64(d.settings.StoreReads)) * float64(time.Second))
}

func (d *Daemon) servePeers(listener net.Listener, self owner.Self, callers *intake.Server) {
	router := gin.New()
	server := &peer.Server{
		Incarnation: self.Incarnation,
		Duty:        d.keeper.Duty,
		Held:        d.keeper.Held,
		WriteAge:    d.keeper.WriteAge,
		TurnedAway:  d.keeper.TurnedAway,
		Contacted:   d.keeper.Contacted,
		Promise:     d.keeper.Promise,
		Submit:      callers.Submit,
		Placement:   callers.Queues.Placement,
		Pass:        d.feeds.Pass,
		PassBudget:  link.FeedBudget(d.settings.LinkBits),
	}
	server.Routes(router)
	d.serve("peers", listener, router, d.peerBound())
}

func (d *Daemon) serveReadiness() {
	router := gin.New()
	router.GET("/ready", func(c *gin.Context) {
		if d.isReady() {
			c.Status(http.StatusOK)
			return
		}
		c.Status(http.StatusServiceUnavailable)
	})
	router.GET("/metrics", func(c *gin.Context) {
		c.String(http.StatusOK, d.figures.Text())
	})
	d.listen("readiness", d.settings.Readiness, router, d.readinessBound())
}

func (d *Daemon) listen(name string, address netip.AddrPort, handler http.Handler, bound *conns.Bound) {
	listener, err := net.Listen("tcp4", address.String())
	if err != nil {
		d.group.Go(name, func(context.Context) error {
			return fmt.Errorf("listening for %s: %w", name, err)
		})
		return
	}
	d.serve(name, listener, handler, bound)
}

// isReady reports whether the entry can serve callers: it has a configuration that is known to be in
// force, reaches the store and has not been told to stop.
func (d *Daemon) isReady() bool {
	// A select over both channels would choose by chance once both are closed.
	if closed(d.stopping) || !closed(d.catalog.Loaded()) || !d.operator.Fresh() {
		return false
	}
	return d.health.silence() < storeSilence
}

// closed reports whether a channel on which nothing is sent has been closed.
func closed(channel <-chan struct{}) bool {
	select {
	case <-channel:
		return true
	default:
		return false
	}
}
