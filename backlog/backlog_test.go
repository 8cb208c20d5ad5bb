package backlog_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"lemonstream.dev/lemonstream/backlog"
	"lemonstream.dev/lemonstream/internal/prove"
)

// testJob is a job of four instance-seconds that takes at least 2 s and should end in 4 s.
var testJob = backlog.Job{
	Work:      4 * time.Second,
	Starts:    16,
	Chain:     2 * time.Second,
	Objective: 4 * time.Second,
}

// TestDecide covers each cause of a refusal: instances, link and a large backlog.
func TestDecide(t *testing.T) {
	cases := map[string]struct {
		service    backlog.Service
		job        backlog.Job
		accept     bool
		retryAfter time.Duration
	}{
		"no backlog": {
			service: backlog.Service{
				Instances: 10,
			},
			job:    testJob,
			accept: true,
		},
		"unknown number of instances": {
			service: backlog.Service{
				Work: time.Hour,
			},
			job:    testJob,
			accept: true,
		},
		"as much work as can end in time": {
			service: backlog.Service{
				Instances: 10,
				Work:      96 * time.Second,
			},
			job:    testJob,
			accept: true,
		},
		"more work than can end in time": {
			service: backlog.Service{
				Instances: 10,
				Work:      126 * time.Second,
			},
			job:        testJob,
			retryAfter: 3 * time.Second,
		},
		"a link that carries too few starts": {
			service: backlog.Service{
				Instances:       100,
				Work:            time.Second,
				Starts:          1200,
				StartsPerSecond: 100,
			},
			job:        testJob,
			retryAfter: 3 * time.Second,
		},
		"a very large backlog": {
			service: backlog.Service{
				Instances: 1,
				Work:      time.Hour,
			},
			job:        testJob,
			retryAfter: backlog.MaxRetryAfter,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			verdict := backlog.Decide(c.service, c.job, 0)
			is.Equal(verdict.Accept, c.accept)
			is.Equal(verdict.RetryAfter, c.retryAfter)
		})
	}
}

// TestMoreCapacityNeverRefuses draws services and jobs. A job that is accepted must also be
// accepted with more instances, less work and a faster link. The retry time of a refused job
// must be in whole seconds and within the bounds.
func TestMoreCapacityNeverRefuses(t *testing.T) {
	prove.Property(t, func(t *rapid.T) {
		duration := func(name string) time.Duration {
			return time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, name))
		}
		service := backlog.Service{
			Instances:       rapid.Float64Range(1, 500).Draw(t, "instances"),
			Work:            duration("work"),
			Starts:          rapid.IntRange(0, 5000).Draw(t, "starts"),
			StartsPerSecond: rapid.Float64Range(1, 1000).Draw(t, "starts a second"),
		}
		job := backlog.Job{
			Work:      duration("asked"),
			Starts:    rapid.IntRange(0, 100).Draw(t, "tasks"),
			Chain:     duration("chain"),
			Objective: duration("objective"),
			Waited:    duration("waited"),
		}
		spread := rapid.Float64Range(0, 0.999).Draw(t, "spread")
		verdict := backlog.Decide(service, job, spread)
		more := service
		more.Instances *= 1 + rapid.Float64Range(0, 2).Draw(t, "more")
		more.StartsPerSecond *= 2
		more.Work /= 2
		if verdict.Accept && !backlog.Decide(more, job, spread).Accept {
			t.Fatalf("refused with more capacity: %+v", more)
		}
		if !verdict.Accept && (verdict.RetryAfter < backlog.MinRetryAfter || verdict.RetryAfter > backlog.MaxRetryAfter || verdict.RetryAfter%time.Second != 0) {
			t.Fatalf("retry after %v", verdict.RetryAfter)
		}
	})
}
