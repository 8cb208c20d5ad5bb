package scheduler

import (
	"runtime"
	"runtime/metrics"
	"time"

	"lemonstream.dev/lemonstream/figures"
	"lemonstream.dev/lemonstream/owner"
	"lemonstream.dev/lemonstream/quota"
	"lemonstream.dev/lemonstream/underway"
)

// registerGauges registers the gauges of evacuations and of the parts that this entry owns.
func (d *Daemon) registerGauges() {
	d.figures.Gauge("evacuated_zones", func() float64 { return float64(len(d.evacuations.Zones())) })
	d.figures.Gauge("configuration_age_ms", func() float64 { return float64(d.configurationAge().Milliseconds()) })
	d.figures.Gauge("forecast_active", d.forecast.Active)
	d.figures.Gauge("forecast_expected_instances", d.forecast.Expected)
	d.figures.Gauge("forecast_observed_instances", d.forecast.Observed)
	d.figures.Gauge("forecast_error", d.forecast.Error)
	d.figures.Gauge("forecast_following_error", d.forecast.FollowingError)
	d.figures.Gauge("refused_demand_jobs", func() float64 { return float64(d.keeper.RefusedJobs()) })
	d.figures.LabelledGauge("write_age_ms", []string{"part"}, d.writeAges)
	d.figures.LabelledGauge("evacuated_runs", []string{"zone", "service"}, d.evacuatedRuns)
	for name, of := range map[string]func(underway.Use) float64{
		"under_way":             func(use underway.Use) float64 { return float64(use.Taken) },
		"under_way_limit":       func(use underway.Use) float64 { return float64(use.Most) },
		"under_way_peak":        func(use underway.Use) float64 { return float64(use.Peak) },
		"under_way_waits_total": func(use underway.Use) float64 { return float64(use.Waits) },
	} {
		d.figures.LabelledGauge(name, []string{"kind"}, func() []figures.Sample { return d.underWayUses(of) })
	}
	d.figures.Gauge("heap_bytes", heapBytes)
	d.figures.Gauge("goroutines", func() float64 { return float64(runtime.NumGoroutine()) })
	for name, of := range map[string]func(owner.QuotaState) quota.Share{
		"quota_held":  func(state owner.QuotaState) quota.Share { return state.Held },
		"quota_used":  func(state owner.QuotaState) quota.Share { return state.Used },
		"quota_asked": func(state owner.QuotaState) quota.Share { return state.Asked },
	} {
		d.figures.LabelledGauge(name, []string{"service", "organisation"}, func() []figures.Sample {
			return d.quotaShares(of)
		})
	}
}

// configurationAge returns how long ago the store confirmed the configuration; 0 before there is one.
func (d *Daemon) configurationAge() time.Duration {
	if !closed(d.catalog.Loaded()) {
		return 0
	}
	return d.operator.Age()
}

// underWayUses returns one figure of each bound on what is under way.
func (d *Daemon) underWayUses(of func(underway.Use) float64) []figures.Sample {
	var samples []figures.Sample
	for kind, use := range d.underWay.Uses() {
		samples = append(samples, figures.Sample{
			Labels: []string{kind},
			Value:  of(use),
		})
	}
	return samples
}

// heapBytes returns the bytes of the heap that objects take, also those that the collector has not freed
// yet.
func heapBytes() float64 {
	sample := []metrics.Sample{{
		Name: "/memory/classes/heap/objects:bytes",
	}}
	metrics.Read(sample)
	return float64(sample[0].Value.Uint64())
}

// evacuatedRuns returns how many runs of the services that this entry owns are in evacuated zones.
func (d *Daemon) evacuatedRuns() []figures.Sample {
	var samples []figures.Sample
	for _, zone := range d.keeper.EvacuatedZones() {
		samples = append(samples, figures.Sample{
			Labels: []string{zone.Zone, zone.Service},
			Value:  float64(zone.Runs),
		})
	}
	return samples
}

// writeAges returns the time since the last write of each part that this entry owns, in milliseconds.
func (d *Daemon) writeAges() []figures.Sample {
	var samples []figures.Sample
	for part, age := range d.keeper.WriteAges() {
		samples = append(samples, figures.Sample{
			Labels: []string{part},
			Value:  age,
		})
	}
	return samples
}

// quotaShares returns one figure of the quota states as a part of the organisation's limit.
func (d *Daemon) quotaShares(of func(owner.QuotaState) quota.Share) []figures.Sample {
	var samples []figures.Sample
	for _, state := range d.keeper.QuotaStates() {
		samples = append(samples, figures.Sample{
			Labels: []string{state.Service, state.Organisation},
			Value:  float64(of(state)) / float64(quota.Whole),
		})
	}
	return samples
}
