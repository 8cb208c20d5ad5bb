package owner

import (
	"context"
	"fmt"
	"time"

	"lemonstream.dev/lemonstream/outside"
)

// announceWait is how long a round of the instance controller waits for the transaction that names
// its orders. The store answers within a few milliseconds. A transaction that takes longer goes on
// while the next rounds run, and the orders that it names are sent once it is applied.
const announceWait = 300 * time.Millisecond

// maxWaveRows and maxWaveBytes bound the rows of waves in one transaction, so that it stays below the
// entries and the bytes that a transaction may hold beside the rows of the tenure. The others are in the
// next one.
const (
	maxWaveRows  = 64
	maxWaveBytes = 512 << 10
)

// fleetWrite is a transaction of the instance controller whose result is not known yet.
type fleetWrite struct {
	// builtAt is when the transaction was built.
	builtAt time.Time

	// named holds the instances that its heartbeat names. announced maps those that are ordered
	// once it is applied to their workers; a sleeping instance has the empty worker.
	named     []string
	announced map[string]string

	// waves holds the waves whose rows it writes.
	waves []storedWave

	// result receives the result; its capacity is 1.
	result chan writeResult
}

// writeResult is the result of a transaction.
type writeResult struct {
	version int64
	err     error
}

// storedWave is a wave as a transaction stores it.
type storedWave struct {
	state     *waveState
	completed bool
}

// startWrite starts the next transaction, with the rows of the waves that have changed. There is at
// most one at a time: each checks the row version that the previous one wrote. While the store
// certainly applies nothing it ends without effect, so that the next one holds what is known by
// then. The transaction that releases the instances is repeated instead.
func (f *instanceController) startWrite(ctx context.Context, orders []instanceOrder, release bool) {
	w := &fleetWrite{
		builtAt:   f.deps.Clock.Now(),
		named:     f.namesWith(orders),
		announced: make(map[string]string, len(orders)),
		result:    make(chan writeResult, 1),
	}
	beat := Beat{
		Ordered:          w.named,
		Taken:            f.takenRows(w.builtAt),
		History:          f.historyRow(w.builtAt),
		UnobservedMillis: max(0, ceilMillis(f.blockedUntil.Sub(w.builtAt))),
	}
	for _, o := range orders {
		w.announced[o.instance] = o.worker.Worker
		if o.worker.Worker != "" {
			beat.ReleasedWorkers = append(beat.ReleasedWorkers, ReleasedRow{
				Service: o.from,
				Worker:  o.worker.Worker,
			})
		}
	}
	var puts []outside.Put
	bytes := maxWaveBytes
	for number, state := range f.waves {
		if state.Number == 0 || state.written {
			continue
		}
		put := state.put(number)
		if bytes -= len(put.Value); len(puts) > 0 && (bytes < 0 || len(puts) >= maxWaveRows) {
			break
		}
		puts = append(puts, put)
		state.written = true
		w.waves = append(w.waves, storedWave{
			state:     state,
			completed: state.completed,
		})
	}
	tx := f.tenure.transaction(beat, rowChanges{
		puts: puts,
	}, release)
	write := f.tenure.writeOrGiveUp
	if release {
		write = f.tenure.write
	}
	f.writing = w
	f.deps.Group.Go("heartbeat of the instance controller", func(context.Context) error {
		version, err := write(ctx, tx)
		w.result <- writeResult{
			version: version,
			err:     err,
		}
		return nil
	})
}

// writeIfDue starts a transaction if waves have changed, if instances were ordered that no row
// names, or if the heartbeat is due.
func (f *instanceController) writeIfDue(ctx context.Context) {
	if f.writing != nil {
		return
	}
	due := len(f.unnamed) > 0 || f.deps.Clock.Now().Sub(f.tenure.lastWrite) >= beatInterval
	for _, state := range f.waves {
		due = due || (state.Number > 0 && !state.written)
	}
	if due {
		f.startWrite(ctx, nil, false)
	}
}

// awaitWrite waits for the result of the current transaction, at most for wait.
func (f *instanceController) awaitWrite(ctx context.Context, wait time.Duration) error {
	if f.writing == nil || wait <= 0 {
		return f.pollWrite()
	}
	select {
	case r := <-f.writing.result:
		return f.handleWrite(r)
	case <-ctx.Done():
		return nil
	case <-f.deps.Clock.After(wait):
		return nil
	}
}

// pollWrite handles the result of the current transaction if it is known.
func (f *instanceController) pollWrite() error {
	if f.writing == nil {
		return nil
	}
	select {
	case r := <-f.writing.result:
		return f.handleWrite(r)
	default:
		return nil
	}
}

// handleWrite handles the result of the current transaction. It returns an error if the controller
// has to end, and nil if the transaction certainly had no effect and can be built anew.
func (f *instanceController) handleWrite(r writeResult) error {
	w := f.writing
	f.writing = nil
	if r.err != nil {
		for _, stored := range w.waves {
			stored.state.written = false
		}
		if outside.IsNotDone(r.err) {
			return nil
		}
		return fmt.Errorf("writing the heartbeat of the instance controller: %w", r.err)
	}
	f.tenure.beatVersion = r.version
	f.tenure.recordWrite(w.builtAt)
	f.announced = w.announced
	for _, stored := range w.waves {
		stored.state.setStored(stored.completed)
	}
	f.noteNamed(w.named)
	return nil
}

// writeRelease writes the release, after the current transaction if there is one.
func (f *instanceController) writeRelease(ctx context.Context) error {
	bounded, cancel := context.WithTimeout(ctx, OwnerTimeout)
	defer cancel()
	if err := f.awaitWrite(bounded, OwnerTimeout); err != nil {
		return err
	}
	if f.writing == nil {
		f.startWrite(bounded, nil, true)
		if err := f.awaitWrite(bounded, OwnerTimeout); err != nil {
			return err
		}
	}
	if f.writing != nil {
		return &LostError{
			Part:   partInstances,
			Reason: "the release could not be written in time",
		}
	}
	return nil
}

// checkLost returns a *LostError if the last write is so old that another entry may own the
// instances.
func (f *instanceController) checkLost() error {
	if f.mayAct(OwnerTimeout) && !f.tenure.replaced.Load() {
		return nil
	}
	return f.tenure.lostError()
}

// isStoreAway reports whether the heartbeat can't be written at the moment.
func (f *instanceController) isStoreAway() bool {
	return f.tenure.failing() || (f.writing != nil && f.deps.Clock.Now().Sub(f.writing.builtAt) > announceWait)
}
