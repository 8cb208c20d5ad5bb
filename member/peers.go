package member

import (
	"context"
	"log/slog"
	"maps"
	"net/netip"
	"slices"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"lemonstream.dev/lemonstream/clock"
	"lemonstream.dev/lemonstream/fleet"
	"lemonstream.dev/lemonstream/kernel"
	"lemonstream.dev/lemonstream/state"
	"lemonstream.dev/lemonstream/store"
)

// callTimeout bounds one message of the duty.
const callTimeout = time.Second

// lateTicks is the number of intervals after which a peer that should have
// started the talk is late.
const lateTicks = quietTicks + 1

// Heard is what a peer last told and when.
type Heard struct {
	Hello Hello

	// At is when the entry heard it, by its own clock.
	At time.Time
}

// Peers is the duty that tells the other entries what this one knows and
// remembers what they told.
type Peers struct {
	transport *Transport
	watch     *state.Watch
	clock     clock.Clock
	group     *kernel.Group
	log       *slog.Logger
	seeds     []netip.AddrPort
	interval  time.Duration
	silent    time.Duration

	// self is what never changes about the entry.
	self fleet.Self

	// contribute fills in parts of the entry's Hello; it is complete before
	// Run.
	contribute []func(*Hello)

	// leaving is set once the entry stops.
	leaving atomic.Bool

	mu sync.Mutex

	// heard maps an incarnation to what it last told. An entry that is silent
	// for ten times the silent limit is forgotten.
	heard map[string]Heard
}

// PeersOptions are the settings of the duty.
type PeersOptions struct {
	Seeds       []netip.AddrPort
	Interval    time.Duration
	SilentAfter time.Duration
}

// NewPeers returns the duty and registers its handlers on the transport.
func NewPeers(self fleet.Self, t *Transport, w *state.Watch, c clock.Clock, g *kernel.Group, log *slog.Logger, o PeersOptions) *Peers {
	p := &Peers{
		self:      self,
		transport: t,
		watch:     w,
		clock:     c,
		group:     g,
		log:       log,
		seeds:     o.Seeds,
		interval:  o.Interval,
		silent:    o.SilentAfter,
		heard:     make(map[string]Heard),
	}
	t.Handle(KindHello, p.handleHello)
	t.Handle(KindRows, p.handleRows)
	return p
}

// Heard returns the peers that were heard lately and are not leaving, the
// newest incarnation of each, sorted by id.
func (p *Peers) Heard() []Heard {
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	newest := make(map[string]Heard)
	for _, heard := range p.heard {
		if now.Sub(heard.At) > p.silent || heard.Hello.Leaving {
			continue
		}
		if other, found := newest[heard.Hello.ID]; !found || heard.At.After(other.At) {
			newest[heard.Hello.ID] = heard
		}
	}
	peers := slices.Collect(maps.Values(newest))
	sort.Slice(peers, func(i, j int) bool { return peers[i].Hello.ID < peers[j].Hello.ID })
	return peers
}

// Contribute has f fill in parts of what the entry tells. It must be called
// before Run.
func (p *Peers) Contribute(f func(*Hello)) {
	p.contribute = append(p.contribute, f)
}

// Leave tells the peers that the entry stops, and waits until they heard.
func (p *Peers) Leave(ctx context.Context) {
	p.leaving.Store(true)
	own := p.Own()
	var telling errgroup.Group
	for _, address := range p.addresses() {
		telling.Go(func() error {
			p.tell(ctx, address, own)
			return nil
		})
	}
	_ = telling.Wait()
}

// Live returns the entries that may be alive: those heard, and those that the
// table counts as members though they are silent, whose Hello is then empty
// but for the identity. The entry itself is not among them.
func (p *Peers) Live() []Heard {
	live := p.Heard()
	known := map[string]bool{
		p.self.ID: true,
	}
	for _, heard := range live {
		known[heard.Hello.ID] = true
	}
	// A row lapsed if the table was read since and it was not renewed; while
	// the table is away, nobody can say so.
	read := clock.Millis(p.watch.FreshAt())
	for id, row := range p.watch.View().Members {
		if known[id] || row.Left || row.Until <= read {
			continue
		}
		live = append(live, Heard{
			Hello: Hello{
				ID:          id,
				Incarnation: row.Incarnation,
				Peers:       row.Peers,
				Operators:   row.Operators,
			},
		})
	}
	return live
}

// Own returns what the entry tells of itself.
func (p *Peers) Own() Hello {
	view := p.watch.View()
	hello := Hello{
		ID:          p.self.ID,
		Incarnation: p.self.Incarnation,
		Peers:       p.self.Peers.String(),
		Operators:   p.self.Operators.String(),
		Config:      view.Config.Version,
		Revision:    view.Revision,
		Leaving:     p.leaving.Load(),
	}
	for _, f := range p.contribute {
		f(&hello)
	}
	return hello
}

// Run tells the peers what the entry is, at the pace that its news ask for,
// until ctx ends.
func (p *Peers) Run(ctx context.Context) error {
	ticker := time.NewTicker(p.interval)
	defer ticker.Stop()
	var said pace
	for {
		own := p.Own()
		switch said.next(own) {
		case tellEveryone:
			p.tellAll(own, func(netip.AddrPort) bool { return true })
		case tellOwn:
			heard := p.Heard()
			p.tellAll(own, func(address netip.AddrPort) bool { return p.starts(address, heard) })
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// TellRows hands rows that this entry wrote to its own watch and to every
// peer at once, without waiting for answers.
func (p *Peers) TellRows(rows []store.Row) {
	if len(rows) == 0 {
		return
	}
	if err := p.watch.Offer(rows); err != nil {
		p.log.Debug("rows left to the next poll", "error", err)
	}
	body, err := Encode(Rows{
		Rows: rows,
	})
	if err != nil {
		p.log.Error("rows not told", "error", err)
		return
	}
	for _, address := range p.addresses() {
		p.group.Go("tell rows", func(ctx context.Context) error {
			p.send(ctx, address, KindRows, body)
			return nil
		})
	}
}

// addresses returns the peers worth telling: the seeds, those in the table and
// those heard, without the entry itself.
func (p *Peers) addresses() []netip.AddrPort {
	known := make(map[string]bool)
	for _, seed := range p.seeds {
		known[seed.String()] = true
	}
	for _, row := range p.watch.View().Members {
		if !row.Left {
			known[row.Peers] = true
		}
	}
	for _, heard := range p.Heard() {
		known[heard.Hello.Peers] = true
	}
	delete(known, p.self.Peers.String())
	addresses := make([]netip.AddrPort, 0, len(known))
	for text := range known {
		if address, err := netip.ParseAddrPort(text); err == nil {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// handleHello remembers the peer and answers with the entry's own Hello.
func (p *Peers) handleHello(_ context.Context, body []byte) ([]byte, error) {
	hello, err := Decode[Hello](body)
	if err != nil {
		return nil, err
	}
	p.remember(hello)
	return Encode(p.Own())
}

// handleRows takes in rows; a message without any asks for those the entry has
// above a version.
func (p *Peers) handleRows(_ context.Context, body []byte) ([]byte, error) {
	message, err := Decode[Rows](body)
	if err != nil {
		return nil, err
	}
	if len(message.Rows) == 0 {
		return Encode(Rows{
			Rows: p.watch.RowsAfter(message.After),
		})
	}
	return nil, p.watch.Offer(message.Rows)
}

func (p *Peers) remember(hello Hello) {
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.heard[hello.Incarnation] = Heard{
		Hello: hello,
		At:    now,
	}
	for incarnation, heard := range p.heard {
		if now.Sub(heard.At) > 10*p.silent {
			delete(p.heard, incarnation)
		}
	}
}

func (p *Peers) send(ctx context.Context, to netip.AddrPort, kind Kind, body []byte) []byte {
	calling, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	answer, err := p.transport.Call(calling, to, kind, body)
	if err != nil {
		p.log.Debug("peer not told", "peer", to.String(), "error", err)
		return nil
	}
	return answer
}

// tell tells one peer, and fetches rows from it when it knows newer ones.
func (p *Peers) tell(ctx context.Context, to netip.AddrPort, own Hello) {
	body, err := Encode(own)
	if err != nil {
		p.log.Error("hello not told", "error", err)
		return
	}
	answer := p.send(ctx, to, KindHello, body)
	if answer == nil {
		return
	}
	hello, err := Decode[Hello](answer)
	if err != nil {
		p.log.Warn("peer talks nonsense", "peer", to.String(), "error", err)
		return
	}
	p.remember(hello)
	if hello.Revision <= own.Revision {
		return
	}
	p.fetch(ctx, to)
}

// fetch asks a peer for the rows above what the table itself has told, which
// is all rows for an entry that never heard the table.
func (p *Peers) fetch(ctx context.Context, to netip.AddrPort) {
	question, err := Encode(Rows{
		After: p.watch.Revision(),
	})
	if err != nil {
		return
	}
	if rows, err := Decode[Rows](p.send(ctx, to, KindRows, question)); err == nil && len(rows.Rows) > 0 {
		_ = p.watch.Offer(rows.Rows)
	}
}

// starts reports whether this entry starts the talk with the peer at the
// address. Of two entries the one with the lower id does, since the answer
// tells as much; the other one starts too while it hears nothing.
func (p *Peers) starts(address netip.AddrPort, heard []Heard) bool {
	for _, peer := range heard {
		if peer.Hello.Peers == address.String() {
			late := p.clock.Now().Sub(peer.At) > lateTicks*p.interval
			return late || p.self.ID < peer.Hello.ID
		}
	}
	return true
}

// tellAll tells own to the peers that wanted picks.
func (p *Peers) tellAll(own Hello, wanted func(address netip.AddrPort) bool) {
	for _, address := range p.addresses() {
		if !wanted(address) {
			continue
		}
		p.group.Go("tell peer", func(ctx context.Context) error {
			p.tell(ctx, address, own)
			return nil
		})
	}
}
