package intake_test

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"lemonstream.dev/lemonstream/catalog"
	"lemonstream.dev/lemonstream/clock"
	"lemonstream.dev/lemonstream/freshness"
	"lemonstream.dev/lemonstream/intake"
	"lemonstream.dev/lemonstream/internal/standin"
)

// TestStaleConfigurationDecidesNothing covers an entry whose configuration was last confirmed longer
// ago than a change may take to be in force: routes may have been added, dropped or led to another
// service, and keys given or withdrawn.
func TestStaleConfigurationDecidesNothing(t *testing.T) {
	current := oneRoute()
	current.Routes = append(current.Routes, catalog.Route{
		Name:    "private",
		Host:    "h",
		Prefix:  "/p/",
		Service: "s",
	})
	rows := standin.NewRows()
	var transactions atomic.Int64
	rows.Before = func(_ context.Context, call standin.Call) error {
		if call.Kind == "transact" {
			transactions.Add(1)
		}
		return nil
	}
	handler := serveWith(t, rows.Table(), current, opened(t, rows, func(s *intake.Server) {
		s.Operator = confirmedBefore(3 * time.Second)
	}))
	for name, c := range map[string]struct {
		method string
		path   string
		status int
	}{
		"a route that it does not know": {
			method: http.MethodGet,
			path:   "/new/",
			status: http.StatusServiceUnavailable,
		},
		"a withdrawal by a route that it does not know": {
			method: http.MethodDelete,
			path:   "/new/1",
			status: http.StatusServiceUnavailable,
		},
		"a withdrawal of a job without rows": {
			method: http.MethodDelete,
			path:   "/q/none",
			status: http.StatusServiceUnavailable,
		},
		"a job without rows": {
			method: http.MethodGet,
			path:   "/q/none",
			status: http.StatusServiceUnavailable,
		},
		"a path of which a longer prefix may be a route": {
			method: http.MethodGet,
			path:   "/q/1/2",
			status: http.StatusServiceUnavailable,
		},
		"a call without a key": {
			method: http.MethodGet,
			path:   "/p/1",
			status: http.StatusServiceUnavailable,
		},
		"a job for a route that it does not know": {
			method: http.MethodPost,
			path:   "/new/1",
			status: http.StatusGatewayTimeout,
		},
		"a job for a route that it knows": {
			method: http.MethodPost,
			path:   "/q/1",
			status: http.StatusGatewayTimeout,
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			answer := ask(handler, c.method, c.path, "job")
			is.Equal(answer.Code, c.status)
			is.True(answer.Header().Get("Retry-After") != "")
			is.Equal(transactions.Load(), int64(0))
		})
	}
}

// TestJobWaitsForAReadOfTheConfiguration covers a job that is handed in just before the configuration is
// known again.
func TestJobWaitsForAReadOfTheConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		rows := standin.NewRows()
		operator := freshness.NewCopy(freshness.Options{
			Clock: clock.System(),
			Limit: 2 * time.Second,
		})
		handler := serveWith(t, rows.Table(), oneRoute(), opened(t, rows, func(s *intake.Server) {
			s.Operator = operator
		}))
		time.AfterFunc(60*time.Millisecond, func() { operator.Confirm(time.Now()) })
		began := time.Now()
		is.Equal(ask(handler, http.MethodPost, "/q/1", "job").Code, http.StatusOK)
		is.True(time.Since(began) >= 60*time.Millisecond)
		time.Sleep(3 * time.Second)
		is.Equal(ask(handler, http.MethodPost, "/q/2", "job").Code, http.StatusGatewayTimeout)
	})
}

// TestStaleConfigurationShowsStatesForAnOutage covers a configuration that is too old for final answers: what an
// owner says of a job on a route that is known is shown for as long as owners continue.
func TestStaleConfigurationShowsStatesForAnOutage(t *testing.T) {
	for age, status := range map[time.Duration]int{
		3 * time.Second: http.StatusOK,
		9 * time.Second: http.StatusServiceUnavailable,
	} {
		t.Run(age.String(), func(t *testing.T) {
			is := is.New(t)
			rows := standin.NewRows()
			var server *intake.Server
			handler := serveWith(t, rows.Table(), oneRoute(), opened(t, rows, func(s *intake.Server) {
				server = s
			}))
			is.Equal(ask(handler, http.MethodPost, "/q/1", "job").Code, http.StatusOK)
			server.Operator = confirmedBefore(age)
			is.Equal(ask(handler, http.MethodGet, "/q/1", "").Code, status)
		})
	}
}
