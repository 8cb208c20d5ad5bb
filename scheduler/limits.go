package scheduler

import (
	"fmt"
	"math"
	"runtime/debug"
	"strconv"

	"lemonstream.dev/lemonstream/conns"
	"lemonstream.dev/lemonstream/peer"
	"lemonstream.dev/lemonstream/site"
)

// Defaults of what bounds connections; see Options. The lines are more than a head of 16 KiB can
// hold.
const (
	DefaultConnMemory    = 0.3
	DefaultHeaderLines   = 6000
	DefaultReceiveBuffer = 16 << 10
)

// Bounds of the options for connections.
const (
	connMemoryLeast    = 0.05
	connMemoryMost     = 0.5
	headerLinesLeast   = 16
	receiveBufferLeast = 2 << 10
	receiveBufferMost  = 4 << 20
)

const (
	// defaultMemory and defaultDescriptors stand for limits that the settings do not give.
	defaultMemory      = 512 << 20
	defaultDescriptors = 1024

	// fileDescriptors are those that are set aside for files.
	fileDescriptors = 200

	// heapShare is the share of the machine's memory from which on the collector works harder. The
	// system's buffers and what the collector has not freed yet need the rest.
	heapShare = 0.7

	// defaultHeaderBytes bounds a head until the configuration says otherwise.
	defaultHeaderBytes = 32 << 10

	// requestLineBytes come on top of the configuration's limit, which may mean the header lines
	// alone. net/http allows the same.
	requestLineBytes = 4 << 10

	// readinessBody bounds the bodies of requests that have none by rights, in bytes.
	readinessBody = 4 << 10
)

// listenerShare is the part of an entry's limits that one listener may use.
type listenerShare struct {
	// memory is the share of what connections may hold, least the fewest bytes: one request of
	// the largest size has to fit.
	memory float64
	least  int64

	// descriptors is the share of those for connections. Calls to the store, workers and other
	// entries need the rest.
	descriptors float64
}

func (d *Daemon) callerBound() *conns.Bound {
	options := d.boundOptions("callers", listenerShare{
		memory:      0.6,
		least:       4 << 20,
		descriptors: 0.5,
	})
	if d.options.MaxCallers > 0 {
		options.Connections = d.options.MaxCallers
	}
	options.HeaderBytes = d.headerBytes
	options.BodyBytes = func() int64 { return d.catalog.Current().Limits.BodyBytes }
	options.ReceiveBuffer = d.options.ReceiveBuffer
	return d.newBound(options)
}

func (d *Daemon) peerBound() *conns.Bound {
	options := d.boundOptions("peers", listenerShare{
		memory:      0.3,
		least:       4 * peer.MaxBody,
		descriptors: 0.2,
	})
	options.BodyBytes = func() int64 { return peer.MaxBody }
	return d.newBound(options)
}

func (d *Daemon) readinessBound() *conns.Bound {
	options := d.boundOptions("readiness", listenerShare{
		memory:      0.1,
		least:       2 << 20,
		descriptors: 0.05,
	})
	options.BodyBytes = func() int64 { return readinessBody }
	options.ReceiveBuffer = d.options.ReceiveBuffer
	return d.newBound(options)
}

// boundOptions returns the options of a listener's bound by the machine's limits.
func (d *Daemon) boundOptions(name string, share listenerShare) conns.BoundOptions {
	memory, descriptors := memoryOf(d.settings), d.settings.Descriptors
	if descriptors == 0 {
		descriptors = defaultDescriptors
	}
	return conns.BoundOptions{
		Name:        name,
		Bytes:       max(share.least, int64(share.memory*d.options.ConnMemory*float64(memory))),
		Connections: max(1, int(share.descriptors*float64(descriptors-min(fileDescriptors, descriptors/2)))),
		HeaderBytes: func() int { return defaultHeaderBytes },
		HeaderLines: func() int { return d.options.HeaderLines },
		Count:       d.figures.Count,
		Log:         d.log,
	}
}

// memoryOf returns the machine's memory in bytes.
func memoryOf(settings site.Settings) int64 {
	if settings.Memory == 0 {
		return defaultMemory
	}
	return settings.Memory
}

// newBound returns a bound whose use is shown with the figures.
func (d *Daemon) newBound(options conns.BoundOptions) *conns.Bound {
	bound := conns.NewBound(options)
	d.figures.Gauge("connections_open_"+options.Name, func() float64 { return float64(bound.Use().Connections) })
	d.figures.Gauge("connections_held_bytes_"+options.Name, func() float64 { return float64(bound.Use().Bytes) })
	return bound
}

// headerBytes returns the most bytes of a caller's head.
func (d *Daemon) headerBytes() int {
	if limit := d.catalog.Current().Limits.HeaderBytes; limit > 0 {
		return limit + requestLineBytes
	}
	return defaultHeaderBytes
}

// limitHeap has the collector keep the heap within the machine's memory.
func limitHeap(memory int64) {
	if memory > 0 {
		debug.SetMemoryLimit(int64(heapShare * float64(memory)))
	}
}

// checkConnections returns an *OptionError for the first option of connections that can't be used.
func (o Options) checkConnections() error {
	if !(o.ConnMemory >= connMemoryLeast && o.ConnMemory <= connMemoryMost) {
		return &OptionError{
			Name:   "connection-memory",
			Value:  strconv.FormatFloat(o.ConnMemory, 'g', -1, 64),
			Reason: fmt.Sprintf("is not between %g and %g", connMemoryLeast, connMemoryMost),
		}
	}
	counts := []struct {
		name        string
		value       int
		least, most int
	}{
		{
			name:  "max-callers",
			value: o.MaxCallers,
			least: 0,
			most:  math.MaxInt32,
		},
		{
			name:  "max-header-lines",
			value: o.HeaderLines,
			least: headerLinesLeast,
			most:  math.MaxInt32,
		},
		{
			name:  "receive-buffer",
			value: o.ReceiveBuffer,
			least: receiveBufferLeast,
			most:  receiveBufferMost,
		},
	}
	for _, count := range counts {
		if count.value < count.least || count.value > count.most {
			return &OptionError{
				Name:   count.name,
				Value:  strconv.Itoa(count.value),
				Reason: fmt.Sprintf("is not between %d and %d", count.least, count.most),
			}
		}
	}
	return nil
}
