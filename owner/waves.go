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

// load reads how far the waves have come.
func (f *fleet) load(ctx context.Context) error {
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

// takeWaves takes in what the operator asks for.
func (f *fleet) takeWaves() {
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

func (f *fleet) openWaves() []*pool.Wave {
	var list []*pool.Wave
	for _, state := range f.waves {
		if !state.completed && state.Number > 0 && len(list) < waveRounds {
			list = append(list, &state.Wave)
		}
	}
	return list
}

func (f *fleet) done(wave int64, instance string) {
	if state, found := f.waves[wave]; found {
		state.Done[instance] = true
		state.written = false
	}
}

// completeWaves marks waves of which every instance that stays is done.
func (f *fleet) completeWaves() {
	if f.deps.Clock.Now().Sub(f.listed) >= listPause*4 {
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

// write writes what changed, or the beat when it is due. The rows of the
// operator's view stand in another part; they follow in a transaction of their
// own.
func (f *fleet) write(ctx context.Context, release bool) error {
	now := f.deps.Clock.Now()
	var puts []outside.Put
	var shows []*waveState
	for number, state := range f.waves {
		if state.Number == 0 || (state.written && state.shown) {
			continue
		}
		shows = append(shows, state)
		if !state.written {
			puts = append(puts, state.put(number))
			state.written = true
		}
	}
	if len(puts) > 0 || release || now.Sub(f.tenure.lastWrite) >= beatPause {
		if err := f.confirm(ctx, puts, release); err != nil {
			return err
		}
	}
	f.show(ctx, shows)
	return nil
}

// confirm writes rows and the beat, which proves that this entry still owns the
// instances.
func (f *fleet) confirm(ctx context.Context, puts []outside.Put, release bool) error {
	now := f.deps.Clock.Now()
	beat := Beat{
		Ordered:     f.recentOrders(),
		Taken:       f.taken(now),
		Given:       f.given,
		BlindMillis: max(0, millisUp(f.aloneUntil.Sub(now))),
	}
	bounded, cancel := context.WithTimeout(ctx, ownerHorizon)
	defer cancel()
	version, err := f.tenure.write(bounded, f.tenure.transaction(beat, rowChanges{
		puts: puts,
	}, release))
	if err != nil {
		return fmt.Errorf("writing the instances' tenure: %w", err)
	}
	f.tenure.beatVersion = version
	f.tenure.noteWrite(now)
	return nil
}

// show tells the operator the state of waves.
func (f *fleet) show(ctx context.Context, list []*waveState) {
	for _, state := range list {
		_, err := f.deps.Table.Transact(ctx, outside.Transaction{
			Puts: []outside.Put{{
				Key:   f.deps.Waves.StatusKey(state.Number),
				Value: f.deps.Waves.Status(state.completed),
			}},
		})
		if err != nil {
			f.deps.Log.Warn("state of a wave not shown", "wave", state.Number, "error", err.Error())
			state.shown = false
			continue
		}
		state.shown = true
	}
}

// put returns the row of a wave.
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
