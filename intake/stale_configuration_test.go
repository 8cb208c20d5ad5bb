package intake_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
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
	rows := standin.NewRows()
	handler := serveWith(t, rows.Table(), &catalog.Catalog{
		Version: 1,
		Routes: []catalog.Route{{
			Name:    "r",
			Host:    "h.example",
			Prefix:  "/q/",
			Service: "s",
			Public:  true,
		}, {
			Name:    "private",
			Host:    "h.example",
			Prefix:  "/p/",
			Service: "s",
		}},
		Services: []catalog.Service{{
			Name: "s",
		}},
		Limits: catalog.Limits{
			BodyBytes: 1 << 20,
		},
	}, opened(t, rows, func(s *intake.Server) {
		s.Operator = freshness.NewCopy(freshness.Options{
			Clock: clock.System(),
		})
		s.Operator.Confirm(time.Now().Add(-3 * time.Second))
	}))
	for name, c := range map[string]struct {
		method string
		path   string
	}{
		"a route that it does not know": {
			method: http.MethodGet,
			path:   "/new/",
		},
		"a job for a route that it does not know": {
			method: http.MethodPost,
			path:   "/new/1",
		},
		"a job for a route that it knows": {
			method: http.MethodPost,
			path:   "/q/1",
		},
		"a call without a key": {
			method: http.MethodGet,
			path:   "/p/1",
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			request := httptest.NewRequest(c.method, c.path, strings.NewReader("job"))
			request.Host = "h.example"
			recorder := httptest.NewRecorder()
			handler.ServeHTTP(recorder, request)
			is.Equal(recorder.Code, http.StatusServiceUnavailable)
			is.True(recorder.Header().Get("Retry-After") != "")
		})
	}
}
