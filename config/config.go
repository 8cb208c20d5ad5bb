// Package config holds the configuration that operators roll out: pools,
// services, quotas and the policy's numbers. It is one immutable value with a
// version that only grows.
package config

import (
	"fmt"
	"sort"
	"time"

	"lemonstream.dev/lemonstream/fleet"
	"lemonstream.dev/lemonstream/settings"
)

// Config is one version of the configuration. It is never changed once built.
type Config struct {
	// Version is the number of accepted configurations up to this one; 0 is
	// the empty configuration before the first.
	Version int64

	// Services maps a service's name to it.
	Services map[string]fleet.Service

	// Teams maps a team's name to its quota.
	Teams map[string]Quota

	Routing Routing
	Retry   Retry
	Waves   Waves
	Weights Weights
}

// Quota bounds the requests of a team over all entries together.
type Quota struct {
	// Rate is in requests a second and at least 1.
	Rate float64

	// Burst is in requests and at least 1.
	Burst float64

	// JobProcessors bounds the processors that the team's jobs take together
	// in a pool; 0 sets no bound.
	JobProcessors int
}

// Retry bounds the repeats of repeatable requests.
type Retry struct {
	// Share is the part of recent requests that may be sent again, between
	// 0 and 1.
	Share float64

	// Most bounds the repeats of one request.
	Most int
}

// Routing holds the numbers of the choice of endpoint.
type Routing struct {
	// LeaveWithin bounds the time from the list showing an endpoint as
	// leaving to its last new request.
	LeaveWithin time.Duration

	// EjectMost is the largest part of a service's endpoints that may be
	// ejected at once, between 0 and 1.
	EjectMost float64
}

// Row is the value of the table's configuration row.
type Row struct {
	Version int64  `json:"version"`
	Body    []byte `json:"body"`

	// Accepted is when the version was accepted, in milliseconds since the
	// Unix epoch.
	Accepted int64 `json:"accepted"`
}

// Waves holds the numbers of wave planning.
type Waves struct {
	// First is the size of the first wave, at least 1.
	First int

	// Growth multiplies a wave's size after a healthy one, at least 1.
	Growth int

	// ReserveRacks is the number of racks whose loss must stay affordable
	// while a wave is out; 0 keeps no reserve.
	ReserveRacks int

	// FailStop is the number of failures in one wave that stops the plan.
	FailStop int
}

// Weights says what a deployment would rather save, each at least 0.
type Weights struct {
	// Buffer weighs the instances held spare while a plan runs.
	Buffer float64

	// RollOut weighs the time a plan takes.
	RollOut float64
}

// Parse checks body as the configuration with the given version; name is what
// refusals call it.
func Parse(name string, body []byte, version int64) (*Config, error) {
	file, err := Schema().Parse(name, body)
	if err != nil {
		return nil, err
	}
	c := &Config{
		Version:  version,
		Services: make(map[string]fleet.Service),
		Teams:    make(map[string]Quota),
		Routing: Routing{
			LeaveWithin: file.Duration("routing", "leave_within"),
			EjectMost:   file.Share("routing", "eject_most"),
		},
		Retry: Retry{
			Share: file.Share("retry", "share"),
			Most:  file.Count("retry", "most"),
		},
		Waves: Waves{
			First:        file.Count("waves", "first"),
			Growth:       file.Count("waves", "growth"),
			ReserveRacks: file.Count("waves", "reserve_racks"),
			FailStop:     file.Count("waves", "fail_stop"),
		},
		Weights: Weights{
			Buffer:  float64(file.Count("weights", "buffer")),
			RollOut: float64(file.Count("weights", "roll_out")),
		},
	}
	for _, name := range file.Labels("service") {
		c.Services[name] = service(file, name)
	}
	for _, name := range file.Labels("team") {
		section := "team " + name
		c.Teams[name] = Quota{
			Rate:  float64(file.Count(section, "rate")),
			Burst: float64(file.Count(section, "burst")),

			JobProcessors: file.Count(section, "job_processors"),
		}
	}
	return c, nil
}

// MinAvailable returns the largest budget of the services on the pool.
func (c *Config) MinAvailable(pool string) int {
	least := 0
	for _, s := range c.Services {
		if s.Pool == pool {
			least = max(least, s.MinAvailable)
		}
	}
	return least
}

// OnPool returns the services that run on the pool, sorted by name.
func (c *Config) OnPool(pool string) []fleet.Service {
	var services []fleet.Service
	for _, s := range c.Services {
		if s.Pool == pool {
			services = append(services, s)
		}
	}
	sort.Slice(services, func(i, j int) bool { return services[i].Name < services[j].Name })
	return services
}

// String returns the version for logs and messages.
func (c *Config) String() string {
	return fmt.Sprintf("configuration %d", c.Version)
}

func service(file *settings.File, name string) fleet.Service {
	section := "service " + name
	return fleet.Service{
		Name:             name,
		Pool:             file.Text(section, "pool"),
		MinAvailable:     file.Count(section, "min_available"),
		SlotsPerInstance: file.Count(section, "slots"),
		ConnsPerInstance: file.Count(section, "connections"),
		Objective:        file.Share(section, "objective"),
	}
}
