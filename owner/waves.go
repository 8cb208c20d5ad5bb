package owner

import (
	"context"
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

			stored:          true,
			storedCompleted: stored.Completed,
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

// setStored records that the row of a wave was written, with the given state.
func (w *waveState) setStored(completed bool) {
	w.shown = w.shown && w.stored && w.storedCompleted == completed
	w.stored = true
	w.storedCompleted = completed
}

// publishedWave is the state of a wave as it was written to the operator's table; err is nil if it
// was.
type publishedWave struct {
	state     *waveState
	completed bool
	err       error
}

// publishWaves writes the state of stored waves to the operator's table, in separate transactions
// because those rows belong to another part. They run beside the rounds, one group at a time: the
// store may be away.
func (f *instanceController) publishWaves(ctx context.Context) {
	if f.publishing != nil {
		select {
		case list := <-f.publishing:
			f.publishing = nil
			f.handlePublished(list)
		default:
			return
		}
	}
	var list []publishedWave
	for _, state := range f.waves {
		if state.Number > 0 && state.stored && !state.shown {
			list = append(list, publishedWave{
				state:     state,
				completed: state.storedCompleted,
			})
		}
	}
	if len(list) == 0 {
		return
	}
	puts := make([]outside.Put, len(list))
	for i, w := range list {
		puts[i] = outside.Put{
			Key:   f.deps.Waves.StatusKey(w.state.Number),
			Value: f.deps.Waves.Status(w.completed),
		}
	}
	result := make(chan []publishedWave, 1)
	f.publishing = result
	f.deps.Group.Go("states of waves", func(context.Context) error {
		for i := range list {
			_, list[i].err = f.deps.Table.Transact(ctx, outside.Transaction{
				Puts: puts[i : i+1],
			})
		}
		result <- list
		return nil
	})
}

// handlePublished handles the results of writing the states of waves. A state that has changed
// meanwhile is written again.
func (f *instanceController) handlePublished(list []publishedWave) {
	for _, w := range list {
		if w.err != nil {
			f.deps.Log.Warn("failed to publish the state of a wave", "wave", w.state.Number, "error", w.err.Error())
			continue
		}
		w.state.shown = w.state.storedCompleted == w.completed
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
