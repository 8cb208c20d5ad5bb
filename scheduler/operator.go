package scheduler

import (
	"context"
	"strings"

	"lemonstream.dev/lemonstream/outside"
	"lemonstream.dev/lemonstream/platform"
)

// readOperator reads all that the operator asks for. What no row asks for any more, because
// its end was missed, holds no longer.
func (d *Daemon) readOperator(ctx context.Context) (int64, error) {
	rows, version, err := d.table.ReadAll(ctx, platform.TableOperator, "")
	if err != nil {
		return 0, err
	}
	// Before the configuration, from which on services are taken and work is started.
	d.evacuations.Replace(d.evacuatedBy(rows))
	d.dropWaves()
	d.takeOperator(rows)
	return version, nil
}

func (d *Daemon) takeOperator(rows []outside.Row) {
	for _, row := range rows {
		switch {
		case strings.HasPrefix(row.Key.Name, platform.PrefixWaves):
			d.takeWave(row)
		case strings.HasPrefix(row.Key.Name, platform.PrefixEvacuations):
			d.takeEvacuation(row)
		case row.Key.Name == platform.RowConfiguration:
			d.takeConfiguration(row)
		}
	}
}

func (d *Daemon) takeConfiguration(row outside.Row) {
	if row.Gone {
		return
	}
	next, err := platform.DecodeCatalog(row.Value)
	if err != nil {
		d.log.Error("configuration not taken", "version", row.Version, "error", err)
		return
	}
	d.catalog.Offer(next)
}

// takeEvacuation takes in one row. One that can't be read evacuates nothing.
func (d *Daemon) takeEvacuation(row outside.Row) {
	zone := strings.TrimPrefix(row.Key.Name, platform.PrefixEvacuations)
	evacuated := false
	if !row.Gone {
		_, evacuated = d.evacuatedZone(row)
	}
	d.evacuations.Set(zone, evacuated)
}

// evacuatedBy returns the zones that rows of the operator's table evacuate.
func (d *Daemon) evacuatedBy(rows []outside.Row) []string {
	var zones []string
	for _, row := range rows {
		if row.Gone || !strings.HasPrefix(row.Key.Name, platform.PrefixEvacuations) {
			continue
		}
		if zone, sound := d.evacuatedZone(row); sound {
			zones = append(zones, zone)
		}
	}
	return zones
}

// evacuatedZone returns the zone that a row evacuates; false where it names none.
func (d *Daemon) evacuatedZone(row outside.Row) (string, bool) {
	zone, err := platform.DecodeEvacuation(row.Key.Name, row.Value)
	if err != nil {
		d.log.Warn("evacuation not taken", "key", row.Key.Name, "version", row.Version, "error", err.Error())
		return "", false
	}
	return zone, true
}

func (d *Daemon) takeWave(row outside.Row) {
	d.wavesMu.Lock()
	defer d.wavesMu.Unlock()
	if row.Gone {
		delete(d.waves, row.Key.Name)
		return
	}
	wave, err := platform.DecodeWave(row.Key.Name, row.Value)
	if err != nil {
		d.log.Error("wave not taken", "key", row.Key.Name, "error", err)
		return
	}
	d.waves[row.Key.Name] = wave
}

// dropWaves forgets all waves, before those that stand are taken in.
func (d *Daemon) dropWaves() {
	d.wavesMu.Lock()
	defer d.wavesMu.Unlock()
	clear(d.waves)
}

func (d *Daemon) listWaves() []outside.Wave {
	d.wavesMu.Lock()
	defer d.wavesMu.Unlock()
	list := make([]outside.Wave, 0, len(d.waves))
	for _, wave := range d.waves {
		list = append(list, wave)
	}
	return list
}
