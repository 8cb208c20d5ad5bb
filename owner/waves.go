package owner

import (
	"context"
	"fmt"
	"strconv"

	"github.com/fxamacker/cbor/v2"

	"lemonstream.dev/lemonstream/clock"
	"lemonstream.dev/lemonstream/outside"
	"lemonstream.dev/lemonstream/pool"
)

// loadWaves reads the stored progress of all waves.
func (f *instanceController) loadWaves(ctx context.Context) error {
	rows, _, err := f.deps.Table.ReadAll(ctx, tableWaves, partInstances)
	if err != nil {
		return err
	}
	for _, row := range rows {
		number, err := strconv.ParseInt(row.Key.Name, 10, 64)
		var stored waveRow
		if err == nil {
			err = cbor.Unmarshal(row.Value, &stored)
		}
		if err != nil {
			f.deps.Log.Error("row left out", "table", row.Key.Table, "key", row.Key.Name, "error", err)
			continue
		}
		state := &waveState{
			completed: stored.Completed,
			written:   true,
		}
		state.Seen = clock.FromMillis(stored.SeenMillis)
		state.Done = make(map[string]bool)
		for _, instance := range stored.Done {
			state.Done[instance] = true
		}
		f.waves[number] = state
	}
	return nil
}

// updateWaves adds new waves that the operator has requested and updates known ones.
func (f *instanceController) updateWaves() {
	now := f.deps.Clock.Now()
	for _, wave := range f.deps.Waves.Waves() {
		state, found := f.waves[wave.Number]
		if !found {
			state = &waveState{}
			state.Seen = now
			state.Done = make(map[string]bool)
			f.waves[wave.Number] = state
			f.deps.Log.Info("wave seen", "wave", wave.Number, "instances", len(wave.Instances),
				"at_once", wave.AtOnce, "within_ms", wave.Within.Milliseconds())
		}
		state.Wave.Wave = wave
	}
}

func (f *instanceController) openWaves() []*pool.Wave {
	var list []*pool.Wave
	for _, state := range f.waves {
		if !state.completed && state.Number > 0 && len(list) < maxOpenWaves {
			list = append(list, &state.Wave)
		}
	}
	return list
}

func (f *instanceController) markDone(wave int64, instance string) {
	if state, found := f.waves[wave]; found {
		state.Done[instance] = true
		state.written = false
	}
}

// completeWaves marks the waves that are complete. It does nothing if the list of instances is
// older than four list intervals.
func (f *instanceController) completeWaves() {
	if f.deps.Clock.Now().Sub(f.listed) >= listInterval*4 {
		return
	}
	for number, state := range f.waves {
		if !state.completed && state.Number > 0 && state.Complete(f.instances) {
			state.completed = true
			state.written = false
			f.deps.Log.Info("wave completed", "wave", number, "instances", len(state.Done))
		}
	}
}

// write writes the waves that have changed, or only the heartbeat when that is due. It then
// publishes the waves to the operator in separate transactions, because those rows belong to
// another part.
func (f *instanceController) write(ctx context.Context, release bool) error {
	now := f.deps.Clock.Now()
	var puts []outside.Put
	var unpublished []*waveState
	for number, state := range f.waves {
		if state.Number == 0 || (state.written && state.shown) {
			continue
		}
		unpublished = append(unpublished, state)
		if !state.written {
			puts = append(puts, state.put(number))
			state.written = true
		}
	}
	if len(puts) > 0 || release || now.Sub(f.tenure.lastWrite) >= beatInterval {
		if err := f.confirmOwnership(ctx, puts, release); err != nil {
			return err
		}
	}
	f.publishWaves(ctx, unpublished)
	return nil
}

// confirmOwnership writes rows together with the heartbeat. If it succeeds, this entry still
// owned the instances when the transaction was applied.
func (f *instanceController) confirmOwnership(ctx context.Context, puts []outside.Put, release bool) error {
	now := f.deps.Clock.Now()
	beat := Beat{
		Ordered:          f.recentOrders(),
		Taken:            f.takenRows(now),
		ReleasedWorkers:  f.releasedWorkers,
		History:          f.historyRow(now),
		UnobservedMillis: max(0, ceilMillis(f.blockedUntil.Sub(now))),
	}
	bounded, cancel := context.WithTimeout(ctx, ownerTimeout)
	defer cancel()
	version, err := f.tenure.write(bounded, f.tenure.transaction(beat, rowChanges{
		puts: puts,
	}, release))
	if err != nil {
		return fmt.Errorf("writing the heartbeat of the instance controller: %w", err)
	}
	f.tenure.beatVersion = version
	f.tenure.recordWrite(now)
	return nil
}

// publishWaves writes the state of waves to the operator's table.
func (f *instanceController) publishWaves(ctx context.Context, list []*waveState) {
	for _, state := range list {
		_, err := f.deps.Table.Transact(ctx, outside.Transaction{
			Puts: []outside.Put{{
				Key:   f.deps.Waves.StatusKey(state.Number),
				Value: f.deps.Waves.Status(state.completed),
			}},
		})
		if err != nil {
			f.deps.Log.Warn("failed to publish the state of a wave", "wave", state.Number, "error", err.Error())
			state.shown = false
			continue
		}
		state.shown = true
	}
}

// put returns the write of the wave's row.
func (w *waveState) put(number int64) outside.Put {
	row := waveRow{
		SeenMillis: clock.Millis(w.Seen),
		Completed:  w.completed,
	}
	for instance := range w.Done {
		row.Done = append(row.Done, instance)
	}
	return outside.Put{
		Key: outside.Key{
			Table: tableWaves,
			Part:  partInstances,
			Name:  strconv.FormatInt(number, 10),
		},
		Value: encodeRow(row),
	}
}
