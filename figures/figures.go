// Package figures keeps the counters and latency histograms of an entry and
// writes them as text that common scrapers read.
package figures

import (
	"context"
	"errors"
	"fmt"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"lemonstream.dev/lemonstream/job"
	"lemonstream.dev/lemonstream/outside"
)

const (
	// samples and decay are the library's usual values for a sample that
	// stands for the last five minutes.
	samples = 1028
	decay   = 0.015

	// Outcomes of calls.
	outcomeConflict  = "conflict"
	outcomeNotDone   = "not_done"
	outcomeOK        = "ok"
	outcomeRefused   = "refused"
	outcomeUncertain = "uncertain"
)

// Set is the figures of one entry.
type Set struct {
	registry metrics.Registry

	// labelled maps a name to its labelledGauge: the registry of the library takes its own types only.
	labelled sync.Map
}

// quantiles are the points of a latency that are written.
var quantiles = []float64{0.5, 0.95, 0.99}

// New returns an empty set.
func New() *Set {
	return &Set{
		registry: metrics.NewRegistry(),
	}
}

// Count adds one to a counter by its outcome.
func (s *Set) Count(name, outcome string) {
	metrics.GetOrRegisterCounter(name+"_total|"+outcome, s.registry).Inc(1)
}

// Observe counts a call by its outcome and takes in how long it took.
func (s *Set) Observe(name string, took time.Duration, outcome string) {
	s.Count(name, outcome)
	metrics.GetOrRegisterHistogram(name+"_ms", s.registry, metrics.NewExpDecaySample(samples, decay)).Update(took.Milliseconds())
}

// Gauge shows a figure that is read whenever it is asked for; the name says its unit.
func (s *Set) Gauge(name string, read func() float64) {
	s.registry.GetOrRegister(name, metrics.NewFunctionalGaugeFloat64(read))
}

// SetService sets a figure of one service; the name says its unit.
func (s *Set) SetService(name, service string, value float64) {
	metrics.GetOrRegisterGaugeFloat64(name+"|"+service, s.registry).Update(value)
}

// Text returns every figure, one a line, sorted by name.
func (s *Set) Text() string {
	var lines []string
	s.registry.Each(func(name string, value any) {
		base, outcome, _ := strings.Cut(name, "|")
		switch figure := value.(type) {
		case metrics.Counter:
			lines = append(lines, fmt.Sprintf("lemonstream_%s{outcome=%q} %d", base, outcome, figure.Count()))
		case metrics.GaugeFloat64:
			if outcome != "" {
				lines = append(lines, fmt.Sprintf("lemonstream_%s{service=%q} %g", base, outcome, figure.Value()))
				return
			}
			lines = append(lines, fmt.Sprintf("lemonstream_%s %g", base, figure.Value()))
		case metrics.Histogram:
			snapshot := figure.Snapshot()
			for i, at := range snapshot.Percentiles(quantiles) {
				lines = append(lines, fmt.Sprintf("lemonstream_%s{quantile=\"%g\"} %g", base, quantiles[i], at))
			}
			lines = append(lines, fmt.Sprintf("lemonstream_%s_count %d", base, snapshot.Count()))
		}
	})
	lines = append(lines, s.labelledLines()...)
	sort.Strings(lines)
	return strings.Join(lines, "\n") + "\n"
}

// ObserveTable returns the table with every call counted and timed.
func ObserveTable(s *Set, inner outside.Table) outside.Table {
	return outside.Table{
		Feed: func(ctx context.Context, table string, after int64, wait time.Duration) (outside.Change, error) {
			change, err := inner.Feed(ctx, table, after, wait)
			s.Count("store_feed", outcomeOf(err))
			return change, err
		},
		Get: func(ctx context.Context, table, part, from string, limit int) (outside.Page, error) {
			began := time.Now()
			page, err := inner.Get(ctx, table, part, from, limit)
			s.Observe("store_get", time.Since(began), outcomeOf(err))
			return page, err
		},
		Row: func(ctx context.Context, key outside.Key) (*outside.Row, error) {
			began := time.Now()
			row, err := inner.Row(ctx, key)
			s.Observe("store_row", time.Since(began), outcomeOf(err))
			return row, err
		},
		Transact: func(ctx context.Context, tx outside.Transaction) (outside.Receipt, error) {
			began := time.Now()
			receipt, err := inner.Transact(ctx, tx)
			s.Observe("store_transact", time.Since(began), outcomeOf(err))
			return receipt, err
		},
	}
}

// ObserveWorkers returns the workers with every order counted and timed; looks
// wait by design and are only counted.
func ObserveWorkers(s *Set, inner outside.Workers) outside.Workers {
	return outside.Workers{
		Poll: func(ctx context.Context, worker outside.WorkerRef, renewal outside.Renewal) (outside.WorkerStatus, error) {
			glance, err := inner.Poll(ctx, worker, renewal)
			s.Count("worker_look", outcomeOf(err))
			for _, end := range glance.Ends {
				s.Count("run_listed_end", string(end.Kind))
			}
			return glance, err
		},
		Pace: inner.Pace,
		Start: func(ctx context.Context, worker outside.WorkerRef, order outside.StartOrder) (time.Duration, error) {
			began := time.Now()
			heard, err := inner.Start(ctx, worker, order)
			s.Observe("worker_start", time.Since(began), outcomeOf(err))
			return heard, err
		},
		Stop: func(ctx context.Context, worker outside.WorkerRef, task job.TaskID, run int64, fence int64) (time.Duration, error) {
			began := time.Now()
			heard, err := inner.Stop(ctx, worker, task, run, fence)
			s.Observe("worker_stop", time.Since(began), outcomeOf(err))
			return heard, err
		},
	}
}

// outcomeOf names what became of a call.
func outcomeOf(err error) string {
	var conflict *outside.ConflictError
	var refused *outside.WorkerRefusedError
	switch {
	case err == nil:
		return outcomeOK
	case errors.As(err, &conflict):
		return outcomeConflict
	case errors.As(err, &refused):
		return outcomeRefused + "_" + string(refused.Reason)
	case outside.IsNotDone(err):
		return outcomeNotDone
	default:
		return outcomeUncertain
	}
}
