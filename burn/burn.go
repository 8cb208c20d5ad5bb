// Package burn counts what became of the requests of each service and turns
// the counts into the report on service-level burn: how much of the error
// budget each window spent and how fast.
package burn

import (
	"sync"
	"time"
)

// Outcomes of a request.
const (
	// Whole means answered whole.
	Whole Outcome = iota

	// Refused means not run.
	Refused

	// Unknown means that it may have run.
	Unknown

	// Late means answered after its deadline.
	Late

	// Failed means that the endpoint answered with a server error.
	Failed

	// Outcomes is the number of outcomes.
	Outcomes
)

// bucketLength is the resolution of the windows.
const bucketLength = 10 * time.Second

// keptBuckets covers the longest window.
const keptBuckets = int(72 * time.Hour / bucketLength)

// Counts holds the number of requests by outcome.
type Counts [Outcomes]int64

// Outcome is what became of a request.
type Outcome int

// Recorder counts the requests of one service at one entry.
type Recorder struct {
	mu sync.Mutex

	// buckets is a ring over time; first is the index in time, in units of
	// bucketLength since the Unix epoch, of the oldest bucket kept.
	buckets []Counts
	last    int64
	total   Counts
}

// Spend is the burn of one service over one window.
type Spend struct {
	Window time.Duration `json:"window"`
	Total  int64         `json:"total"`
	Bad    int64         `json:"bad"`

	// Burn is the rate at which the error budget is spent: 1 spends exactly
	// the budget of the window (Beyer et al., The Site Reliability Workbook,
	// chapter 5).
	Burn float64 `json:"burn"`

	// By are the bad requests by outcome.
	By Counts `json:"by"`
}

// Windows returns the windows of the report, from short to long.
func Windows() []time.Duration {
	return []time.Duration{5 * time.Minute, time.Hour, 6 * time.Hour, 72 * time.Hour}
}

// NewRecorder returns an empty recorder.
func NewRecorder() *Recorder {
	return &Recorder{
		buckets: make([]Counts, 0),
	}
}

// Add counts one request.
func (r *Recorder) Add(now time.Time, outcome Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.advance(now)
	r.buckets[len(r.buckets)-1][outcome]++
	r.total[outcome]++
}

// Over returns the counts of the window that ends now.
func (r *Recorder) Over(now time.Time, window time.Duration) Counts {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.advance(now)
	var sum Counts
	first := max(0, len(r.buckets)-int(window/bucketLength))
	for _, bucket := range r.buckets[first:] {
		sum = sum.Plus(bucket)
	}
	return sum
}

// Total returns the counts since the start.
func (r *Recorder) Total() Counts {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.total
}

// Plus returns the sum of both.
func (c Counts) Plus(other Counts) Counts {
	for i := range c {
		c[i] += other[i]
	}
	return c
}

// Spent reckons the burn of counts against the objective, a share between 0
// and 1.
func Spent(counts Counts, window time.Duration, objective float64) Spend {
	spend := Spend{
		Window: window,
		By:     counts,
	}
	for outcome, count := range counts {
		spend.Total += count
		if Outcome(outcome) != Whole {
			spend.Bad += count
		}
	}
	allowed := 1 - objective
	if spend.Total > 0 && allowed > 0 {
		spend.Burn = float64(spend.Bad) / float64(spend.Total) / allowed
	}
	return spend
}

// advance opens the buckets up to now and drops the oldest.
func (r *Recorder) advance(now time.Time) {
	index := now.UnixMilli() / bucketLength.Milliseconds()
	if len(r.buckets) == 0 {
		r.last = index - 1
	}
	if index-r.last > int64(keptBuckets) {
		r.buckets = r.buckets[:0]
		r.last = index - 1
	}
	for r.last < index {
		r.buckets = append(r.buckets, Counts{})
		r.last++
	}
	if extra := len(r.buckets) - keptBuckets; extra > 0 {
		r.buckets = append(r.buckets[:0], r.buckets[extra:]...)
	}
}
