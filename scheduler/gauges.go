package scheduler

import (
	"lemonstream.dev/lemonstream/figures"
	"lemonstream.dev/lemonstream/owner"
	"lemonstream.dev/lemonstream/quota"
)

// showOwned adds the gauges of the services that this entry owns.
func (d *Daemon) showOwned() {
	d.figures.LabelledGauge("evacuated_runs", [2]string{"zone", "service"}, d.evacuatedRuns)
	for name, of := range map[string]func(owner.QuotaState) quota.Share{
		"quota_held":  func(state owner.QuotaState) quota.Share { return state.Held },
		"quota_used":  func(state owner.QuotaState) quota.Share { return state.Used },
		"quota_asked": func(state owner.QuotaState) quota.Share { return state.Asked },
	} {
		d.figures.LabelledGauge(name, [2]string{"service", "organisation"}, func() []figures.Sample {
			return d.quotaShares(of)
		})
	}
}

// evacuatedRuns returns how many runs of the services that this entry owns are in evacuated zones.
func (d *Daemon) evacuatedRuns() []figures.Sample {
	var samples []figures.Sample
	for _, zone := range d.keeper.EvacuatedZones() {
		samples = append(samples, figures.Sample{
			Labels: [2]string{zone.Zone, zone.Service},
			Value:  float64(zone.Runs),
		})
	}
	return samples
}

// quotaShares returns one figure of the quota states as a part of the organisation's limit.
func (d *Daemon) quotaShares(of func(owner.QuotaState) quota.Share) []figures.Sample {
	var samples []figures.Sample
	for _, state := range d.keeper.QuotaStates() {
		samples = append(samples, figures.Sample{
			Labels: [2]string{state.Service, state.Organisation},
			Value:  float64(of(state)) / float64(quota.Whole),
		})
	}
	return samples
}
