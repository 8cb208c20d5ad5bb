package intake

import (
	"context"
	"errors"
	"sync"
	"time"

	"lemonstream.dev/lemonstream/outside"
	"lemonstream.dev/lemonstream/owner"
	"lemonstream.dev/lemonstream/shard"
)

const (
	// scribeEntries is what one record takes of a transaction: two conditions and
	// itself.
	scribeEntries = 3

	// scribeWait is how long a record waits for its turn. A caller that hears of it
	// after that and comes back is served sooner than one that is held to its end.
	scribeWait = 500 * time.Millisecond
)

// scribe writes the records of one service that no owner takes, for all callers of
// this entry: together, and with a pause between two transactions. A part of the store
// takes one transaction after another, and the next owner claims and writes through
// the same part: when every entry wrote each record by itself, the part was full of
// them, and an owner that had just begun wrote nothing for seconds.
type scribe struct {
	server  *Server
	service string

	mu sync.Mutex

	// waiting holds the records that no transaction carries.
	waiting []*written

	// running says that the scribe's goroutine runs; it does while anything waits.
	running bool

	// next is when the next transaction may be sent.
	next time.Time
}

// written is one record that this entry is to write.
type written struct {
	ctx    context.Context
	record shard.Record

	// until is how long it waits for its turn.
	until time.Time

	// known says that it may be an earlier try of this very request that wrote it.
	known bool

	// answer receives once and has room for it.
	answer chan error
}

// OwnerThereError reports that a job was not written because there is an owner now
// that takes it.
type OwnerThereError struct {
	Service string
}

// Error implements error.
func (e *OwnerThereError) Error() string {
	return "service " + e.Service + " has an owner again"
}

// write returns once the record of a job stands, or why it may not. A record that
// stands already is a success.
func (w *scribe) write(ctx context.Context, record shard.Record, known bool) error {
	one := &written{
		ctx:    ctx,
		record: record,
		until:  w.server.Clock.Now().Add(scribeWait),
		known:  known,
		answer: make(chan error, 1),
	}
	if !w.join(one) {
		return w.notWritten("too many jobs wait for it")
	}
	select {
	case err := <-one.answer:
		return err
	case <-ctx.Done():
	}
	if w.withdraw(one) {
		return w.notWritten("others were before it until the caller's time was over")
	}
	select {
	case err := <-one.answer:
		return err
	default:
		return &outside.UncertainError{
			Call:  "writing to " + w.service,
			Cause: ctx.Err(),
		}
	}
}

func (w *scribe) notWritten(reason string) error {
	return &outside.NotDoneError{
		Call:   "writing to " + w.service,
		Reason: reason,
	}
}

// join puts a record to those that wait; false where there are too many.
func (w *scribe) join(one *written) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.waiting) >= deskMost {
		return false
	}
	w.waiting = append(w.waiting, one)
	if !w.running {
		w.running = true
		w.server.Group.Go("scribe of "+w.service, w.run)
	}
	return true
}

// withdraw takes a record out of those that wait; false where it is not among them.
func (w *scribe) withdraw(one *written) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, other := range w.waiting {
		if other == one {
			w.waiting = append(w.waiting[:i:i], w.waiting[i+1:]...)
			return true
		}
	}
	return false
}

// run writes while anything waits.
func (w *scribe) run(ctx context.Context) error {
	for {
		batch, wait := w.take(ctx)
		switch {
		case batch != nil:
			w.send(ctx, batch)
		case wait == 0:
			return nil
		default:
			select {
			case <-ctx.Done():
			case <-w.server.Clock.After(min(wait, deskLook)):
			}
		}
	}
}

// take returns the records of the next transaction, or how long to wait for it; no
// records and no time mean that nothing waits. Where an owner takes jobs again, the
// records go to it.
func (w *scribe) take(ctx context.Context) ([]*written, time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var err error
	switch {
	case ctx.Err() != nil:
		err = w.notWritten("the entry ends")
	case w.server.desk(w.service).open():
		err = &OwnerThereError{
			Service: w.service,
		}
	}
	if err != nil {
		for _, one := range w.waiting {
			one.answer <- err
		}
		w.waiting = nil
	}
	if len(w.waiting) == 0 {
		w.running = false
		return nil, 0
	}
	now := w.server.Clock.Now()
	if now.Before(w.next) {
		w.expire(now)
		return nil, w.next.Sub(now)
	}
	w.next = now.Add(w.server.WritePause())
	batch := w.waiting[:min(len(w.waiting), outside.MaxEntries/scribeEntries)]
	w.waiting = w.waiting[len(batch):]
	return batch, 0
}

// expire gives up the records whose turn did not come in time; its lock is held.
func (w *scribe) expire(now time.Time) {
	var kept []*written
	for _, one := range w.waiting {
		if now.Before(one.until) {
			kept = append(kept, one)
			continue
		}
		one.answer <- w.notWritten("its turn has not come")
	}
	w.waiting = kept
}

// send writes the records of one transaction.
func (w *scribe) send(ctx context.Context, batch []*written) {
	receipt, err := w.transact(ctx, batch)
	var conflict *outside.ConflictError
	if !errors.As(err, &conflict) {
		for _, one := range batch {
			if err == nil {
				w.server.tell(w.service, one.record, receipt.Version)
			}
			one.answer <- err
		}
		return
	}
	var others []*written
	for _, one := range batch {
		if !stands(conflict, w.service, one.record.ID) {
			others = append(others, one)
			continue
		}
		w.server.Log.Info("job known already", "job", one.record.ID, "route", one.record.Route)
		if one.known {
			w.server.tell(w.service, one.record, 0)
		}
		one.answer <- nil
	}
	if len(others) == len(batch) {
		for _, one := range batch {
			one.answer <- err
		}
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.waiting = append(others, w.waiting...)
}

// transact sends one transaction, unless what this entry sent to the part was without
// success a moment ago.
func (w *scribe) transact(ctx context.Context, batch []*written) (outside.Receipt, error) {
	var receipt outside.Receipt
	err := w.server.Breakers.Try(ctx, "writing to "+w.service, func(ctx context.Context) error {
		var tx outside.Transaction
		for _, one := range batch {
			key := owner.IntakeKey(w.service, one.record.ID)
			tx.Checks = append(tx.Checks, outside.Check{
				Key: key,
			}, outside.Check{
				Key: owner.ProgressKey(w.service, one.record.ID),
			})
			tx.Puts = append(tx.Puts, outside.Put{
				Key:   key,
				Value: one.record.Encode(),
			})
		}
		var err error
		receipt, err = w.server.Table.Transact(ctx, tx)
		return err
	})
	return receipt, err
}

// stands reports whether a conflict shows that a job is known.
func stands(conflict *outside.ConflictError, service, id string) bool {
	record, _ := conflict.Find(owner.IntakeKey(service, id))
	progress, _ := conflict.Find(owner.ProgressKey(service, id))
	return record.Version > 0 || progress.Version > 0
}
