// Package catalog holds the configuration that the operator put in force: which
// queue a request belongs to, by which rules its jobs run, and on which service.
package catalog

import (
	"net"
	"strings"
	"time"
)

// Catalog is one version of the configuration. It is immutable.
type Catalog struct {
	// Version grows with every change, in uneven steps; 0 means that none has
	// been seen.
	Version int64

	// Routes are sorted by falling length of their prefix, so that the first
	// match is the longest.
	Routes   []Route
	Services []Service
	Limits   Limits

	// Organisations are those that may call routes which are not public.
	Organisations []Organisation

	// holders holds the organisations' names by the digests of their keys, byName the
	// organisations by name; both are set by IndexKeys.
	holders map[KeyDigest]string
	byName  map[string]Organisation
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Policy is how the jobs of a queue are treated. It is kept with each job, so
// that a job outlives its route.
type Policy struct {
	// Priority 0 goes first.
	Priority int

	// Attempts is how often a task may fail; at least 1.
	Attempts int

	// Stretch times the longest chain of work plus Target is the time in which
	// a job earns its full value.
	Stretch float64
	Target  time.Duration

	// Advised says that only workers named by the advice service may run a step.
	Advised bool
}

// Route is one queue.
type Route struct {
	Name    string
	Host    string
	Prefix  string
	Service string
	Timeout time.Duration
	Policy  Policy

	// Public says that callers need no key.
	Public bool
}

// Service is one pool of workers.
type Service struct {
	Name string

	// Guarded says that a worker refuses what does not fit.
	Guarded bool

	// Asleep says that machines in this pool are switched off.
	Asleep bool
}

// Match returns the route of a request by its host and the longest prefix of
// its path.
func (c *Catalog) Match(host, path string) (Route, bool) {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	for _, route := range c.Routes {
		if route.Host == host && strings.HasPrefix(path, route.Prefix) {
			return route, true
		}
	}
	return Route{}, false
}

// Route returns the route of the given name.
func (c *Catalog) Route(name string) (Route, bool) {
	for _, route := range c.Routes {
		if route.Name == name {
			return route, true
		}
	}
	return Route{}, false
}

// Service returns the service of the given name.
func (c *Catalog) Service(name string) (Service, bool) {
	for _, service := range c.Services {
		if service.Name == name {
			return service, true
		}
	}
	return Service{}, false
}
