package scheduler

import (
	"context"
	"strings"

	"lemonstream.dev/lemonstream/outside"
	"lemonstream.dev/lemonstream/platform"
)

func (d *Daemon) readOperator(ctx context.Context) (int64, error) {
	rows, version, err := d.table.ReadAll(ctx, platform.TableOperator, "")
	if err != nil {
		return 0, err
	}
	d.takeOperator(rows)
	return version, nil
}

func (d *Daemon) takeOperator(rows []outside.Row) {
	for _, row := range rows {
		if strings.HasPrefix(row.Key.Name, platform.PrefixWaves) {
			d.takeWave(row)
		}
		if row.Gone || row.Key.Name != platform.RowConfiguration {
			continue
		}
		next, err := platform.DecodeCatalog(row.Value)
		if err != nil {
			d.log.Error("configuration not taken", "version", row.Version, "error", err)
			continue
		}
		d.catalog.Offer(next)
	}
}

func (d *Daemon) takeWave(row outside.Row) {
	d.wavesMu.Lock()
	defer d.wavesMu.Unlock()
	if row.Gone {
		delete(d.waves, row.Key.Name)
		return
	}
	wave, err := platform.DecodeWave(row.Value)
	if err != nil {
		d.log.Error("wave not taken", "key", row.Key.Name, "error", err)
		return
	}
	d.waves[row.Key.Name] = wave
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
