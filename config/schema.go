package config

import "lemonstream.dev/lemonstream/settings"

// Schema returns the schema of the configuration.
func Schema() settings.Schema {
	return settings.Schema{
		Sections: []settings.Section{
			serviceSection(),
			teamSection(),
			routingSection(),
			retrySection(),
			wavesSection(),
			weightsSection(),
		},
	}
}

func retrySection() settings.Section {
	return settings.Section{
		Name: "retry",
		Doc:  "Bounds of the repeats of repeatable requests.",
		Keys: []settings.Key{
			{
				Name:    "share",
				Kind:    settings.KindShare,
				Default: "10%",
				Doc:     "Part of recent requests that may be sent again.",
			},
			{
				Name:    "most",
				Kind:    settings.KindCount,
				Default: "2",
				Min:     0,
				Max:     10,
				Doc:     "Most repeats of one request.",
			},
		},
	}
}

func routingSection() settings.Section {
	return settings.Section{
		Name: "routing",
		Doc:  "Choice of endpoint.",
		Keys: []settings.Key{
			{
				Name:    "leave_within",
				Kind:    settings.KindDuration,
				Default: "3s",
				Min:     100,
				Max:     60000,
				Doc:     "Longest time from the list showing an endpoint as leaving to its last new request.",
			},
			{
				Name:    "eject_most",
				Kind:    settings.KindShare,
				Default: "34%",
				Doc:     "Largest part of a service's endpoints that may be ejected at once.",
			},
		},
	}
}

func serviceSection() settings.Section {
	return settings.Section{
		Name:     "service",
		Labelled: true,
		Required: true,
		Doc:      "A service that callers name, and its availability budget.",
		Keys: []settings.Key{
			{
				Name:     "pool",
				Kind:     settings.KindName,
				Required: true,
				Doc:      "Pool whose instances run the service.",
			},
			{
				Name:    "min_available",
				Kind:    settings.KindCount,
				Default: "1",
				Min:     0,
				Max:     100000,
				Doc:     "Instances that must serve at any moment.",
			},
			{
				Name:    "slots",
				Kind:    settings.KindCount,
				Default: "8",
				Min:     1,
				Max:     10000,
				Doc:     "Requests that an instance works on at once.",
			},
			{
				Name:    "connections",
				Kind:    settings.KindCount,
				Default: "64",
				Min:     1,
				Max:     10000,
				Doc:     "Connections that an instance takes from all entries together.",
			},
			{
				Name:    "objective",
				Kind:    settings.KindShare,
				Default: "99.9%",
				Doc:     "Part of requests that must be answered whole.",
			},
		},
	}
}

func teamSection() settings.Section {
	return settings.Section{
		Name:     "team",
		Labelled: true,
		Doc:      "A team's quota over all entries together.",
		Keys: []settings.Key{
			{
				Name:    "rate",
				Kind:    settings.KindCount,
				Default: "1000",
				Min:     1,
				Max:     10000000,
				Doc:     "Requests a second.",
			},
			{
				Name:    "burst",
				Kind:    settings.KindCount,
				Default: "1000",
				Min:     1,
				Max:     10000000,
				Doc:     "Requests above the rate that may come at once.",
			},
			{
				Name:    "job_processors",
				Kind:    settings.KindCount,
				Default: "0",
				Min:     0,
				Max:     1000000,
				Doc:     "Processors that the team's jobs may take together in a pool; 0 sets no bound.",
			},
		},
	}
}

func wavesSection() settings.Section {
	return settings.Section{
		Name: "waves",
		Doc:  "How instances leave for maintenance.",
		Keys: []settings.Key{
			{
				Name:    "first",
				Kind:    settings.KindCount,
				Default: "1",
				Min:     1,
				Max:     1000,
				Doc:     "Instances in the first wave.",
			},
			{
				Name:    "growth",
				Kind:    settings.KindCount,
				Default: "2",
				Min:     1,
				Max:     10,
				Doc:     "Factor between a healthy wave and the next.",
			},
			{
				Name:    "reserve_racks",
				Kind:    settings.KindCount,
				Default: "1",
				Min:     0,
				Max:     10,
				Doc:     "Racks whose loss must stay affordable while a wave is out.",
			},
			{
				Name:    "fail_stop",
				Kind:    settings.KindCount,
				Default: "2",
				Min:     1,
				Max:     1000,
				Doc:     "Failures in one wave that stop the plan.",
			},
		},
	}
}

func weightsSection() settings.Section {
	return settings.Section{
		Name: "weights",
		Doc:  "What the deployment would rather save where a plan can be had in several ways. Moves are always as few as can be.",
		Keys: []settings.Key{
			{
				Name:    "buffer",
				Kind:    settings.KindCount,
				Default: "1",
				Min:     0,
				Max:     1000,
				Doc:     "Weight of the instances held spare while a plan runs.",
			},
			{
				Name:    "roll_out",
				Kind:    settings.KindCount,
				Default: "1",
				Min:     0,
				Max:     1000,
				Doc:     "Weight of the time that a plan takes.",
			},
		},
	}
}
