package intake

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"time"

	"lemonstream.dev/lemonstream/outside"
	"lemonstream.dev/lemonstream/owner"
	"lemonstream.dev/lemonstream/peer"
	"lemonstream.dev/lemonstream/shard"
)

const (
	// ownerWait is how long a job waits for an owner that is about to be there: one
	// that is released is taken again within 0.6 s, and reads its rows in 0.2 s. Each
	// record that an entry writes itself meanwhile takes a turn at the part of the
	// store through which the next owner claims, and then writes 48 at a time.
	ownerWait = 800 * time.Millisecond

	// ownerWaitShare is the part of a caller's deadline that this may take at most, as
	// a divisor.
	ownerWaitShare = 4

	// deskLook is the time between two looks whether there is an owner, while jobs
	// wait. A look costs no call, and one desk makes it for all of them.
	deskLook = 10 * time.Millisecond

	// flightsMost bounds the calls of one entry that are under way for one service:
	// one that the owner's transaction holds, and the next. Further jobs wait here and
	// go together. Calls that are held take connections, of which there are a few to
	// each entry, and with all of them taken an owner that works can't be asked for it.
	flightsMost = 2

	// avoidFor is how long an owner is left alone that said it is none. The row that
	// names another, or none, is known within some tens of milliseconds.
	avoidFor = 100 * time.Millisecond

	// deskMost bounds the jobs that wait at one desk: what one entry is asked in a
	// second when all callers of a turn of demand meet it.
	deskMost = 1024
)

// BusyOwnerError reports that a job certainly was not taken, because its owner has not
// answered those that were handed in before it.
type BusyOwnerError struct {
	Service string
}

// desk hands the jobs of one service in at its owner, for all callers of this entry:
// as many together as wait, in a bounded number of calls. Where there is no owner, it
// waits for one.
type desk struct {
	server  *Server
	service string

	// bell holds a token when there is something new to do.
	bell chan struct{}

	// scribe writes what no owner takes.
	scribe scribe

	mu sync.Mutex

	// waiting holds the jobs that no call carries, in the order of their coming.
	waiting []*handed

	// flying counts the calls under way at each owner that has any; each count is at
	// most flightsMost. Calls that an owner before has not answered hold up none at the
	// next.
	flying map[place]int

	// running says that the desk's goroutine runs; it does while anything waits.
	running bool

	// avoided is the owner that said it is none, until avoidedUntil.
	avoided      place
	avoidedUntil time.Time

	// failed is the owner that did not take what was last handed in there.
	failed place
}

// handed is one job that is being handed in.
type handed struct {
	ctx    context.Context
	record shard.Record

	// until is how long it waits for an owner.
	until time.Time

	// answer receives once and has room for it.
	answer chan error
}

// place is where the owner of a service is.
type place struct {
	// duty is set where it is this entry.
	duty    *owner.Duty
	address netip.AddrPort
}

// Error implements error.
func (e *BusyOwnerError) Error() string {
	return "the owner of service " + e.Service + " has not answered the jobs before it"
}

// desk returns the desk of a service. There are as many as services.
func (s *Server) desk(service string) *desk {
	fresh := &desk{
		server:  s,
		service: service,
		bell:    make(chan struct{}, 1),
		flying:  make(map[place]int),
		scribe: scribe{
			server:  s,
			service: service,
		},
	}
	found, _ := s.desks.LoadOrStore(service, fresh)
	d, ok := found.(*desk)
	if !ok {
		return fresh
	}
	return d
}

// hand returns once the record of a job stands, or why it may not.
func (d *desk) hand(ctx context.Context, record shard.Record, until time.Time) error {
	h := &handed{
		ctx:    ctx,
		record: record,
		until:  until,
		answer: make(chan error, 1),
	}
	if !d.join(h) {
		return &outside.NotDoneError{
			Call:   "handing in at the owner of " + d.service,
			Reason: "too many jobs wait for it",
		}
	}
	select {
	case err := <-h.answer:
		return err
	case <-ctx.Done():
	}
	if d.withdraw(h) {
		return &outside.NotDoneError{
			Call:   "handing in at the owner of " + d.service,
			Reason: "no owner took it in time",
		}
	}
	select {
	case err := <-h.answer:
		return err
	default:
		return &outside.UncertainError{
			Call:  "handing in at the owner of " + d.service,
			Cause: ctx.Err(),
		}
	}
}

// join puts a job to those that wait; false where there are too many.
func (d *desk) join(h *handed) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.waiting) >= deskMost {
		return false
	}
	d.waiting = append(d.waiting, h)
	d.wake()
	return true
}

// wake has the desk look at what waits; its lock is held.
func (d *desk) wake() {
	select {
	case d.bell <- struct{}{}:
	default:
	}
	if d.running || len(d.waiting) == 0 {
		return
	}
	d.running = true
	d.server.Group.Go("desk of "+d.service, d.run)
}

// run works while anything waits.
func (d *desk) run(ctx context.Context) error {
	for d.turn() {
		select {
		case <-ctx.Done():
			d.close()
			return nil
		case <-d.bell:
		case <-d.server.Clock.After(deskLook):
		}
	}
	return nil
}

// turn sends what can be sent and gives up what has waited for too long. It reports
// whether anything still waits.
func (d *desk) turn() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.server.Clock.Now()
	d.drop(func(h *handed) bool { return h.ctx.Err() != nil }, &peer.NotOwnerError{
		Service: d.service,
	})
	to, known := d.server.place(d.service)
	avoided := to == d.avoided && now.Before(d.avoidedUntil)
	for known && !avoided && len(d.waiting) > 0 && d.flying[to] < flightsMost {
		d.flying[to]++
		batch := d.waiting[:min(len(d.waiting), peer.SubmitMost)]
		d.waiting = d.waiting[len(batch):]
		d.server.Group.Go("hand in", func(ctx context.Context) error {
			d.send(ctx, to, batch)
			return nil
		})
	}
	var err error = &peer.NotOwnerError{
		Service: d.service,
	}
	if known && !avoided && d.flying[to] >= flightsMost {
		err = &BusyOwnerError{
			Service: d.service,
		}
	}
	d.drop(func(h *handed) bool { return !now.Before(h.until) }, err)
	d.running = len(d.waiting) > 0
	return d.running
}

// drop answers jobs that wait with an error that says that they were not taken.
func (d *desk) drop(which func(*handed) bool, err error) {
	var kept []*handed
	for _, h := range d.waiting {
		if which(h) {
			h.answer <- err
			continue
		}
		kept = append(kept, h)
	}
	d.waiting = kept
}

// send hands jobs in at an owner. Those for which it is none wait for another.
func (d *desk) send(ctx context.Context, to place, batch []*handed) {
	records := make([]shard.Record, 0, len(batch))
	for _, h := range batch {
		records = append(records, h.record)
	}
	errs := d.server.handInAt(ctx, to, d.service, records)
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.server.Clock.Now()
	var again []*handed
	for i, h := range batch {
		switch {
		case errs[i] != nil:
			d.failed = to
		case d.failed == to:
			d.failed = place{}
		}
		if !isNoOwner(errs[i]) {
			h.answer <- errs[i]
			continue
		}
		again = append(again, h)
		d.avoided = to
		d.avoidedUntil = now.Add(avoidFor)
	}
	d.flying[to]--
	if d.flying[to] == 0 {
		delete(d.flying, to)
	}
	d.waiting = append(again, d.waiting...)
	d.wake()
}

// withdraw takes a job out of those that wait; false where it is not among them.
func (d *desk) withdraw(h *handed) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i, other := range d.waiting {
		if other == h {
			d.waiting = append(d.waiting[:i:i], d.waiting[i+1:]...)
			return true
		}
	}
	return false
}

// open reports whether there is an owner that has not just failed to take a job.
func (d *desk) open() bool {
	to, known := d.server.place(d.service)
	d.mu.Lock()
	defer d.mu.Unlock()
	return known && to != d.failed
}

// close answers everything that waits, as the entry ends.
func (d *desk) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, h := range d.waiting {
		h.answer <- &peer.NotOwnerError{
			Service: d.service,
		}
	}
	d.waiting = nil
	d.running = false
}

// isNoOwner reports whether an error says that there is no owner where a job was
// handed in, and that it certainly was not taken.
func isNoOwner(err error) bool {
	var notServing *owner.NotServingError
	var notOwner *peer.NotOwnerError
	return errors.As(err, &notServing) || errors.As(err, &notOwner)
}
