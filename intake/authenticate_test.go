package intake_test

import (
	"bytes"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"lemonstream.dev/lemonstream/catalog"
	"lemonstream.dev/lemonstream/intake"
	"lemonstream.dev/lemonstream/internal/standin"
	"lemonstream.dev/lemonstream/platform"
)

const (
	knownKey     = "key-of-north"
	withdrawnKey = "key-taken-away"
)

// keyed returns a configuration with one route that needs a key and one that is public.
func keyed(t testing.TB) *catalog.Catalog {
	t.Helper()
	current := oneRoute()
	current.Routes[0].Public = false
	current.Routes = append(current.Routes, catalog.Route{
		Name:    "p",
		Host:    "h",
		Prefix:  "/p/",
		Service: "s",
		Public:  true,
	})
	current.Organisations = []catalog.Organisation{{
		Name: "north",
		Keys: catalog.DigestKeys([]string{knownKey}),
	}}
	if err := current.IndexKeys(); err != nil {
		t.Fatal(err)
	}
	return current
}

func askWithHeader(handler http.Handler, method, path, header string) *httptest.ResponseRecorder {
	request := httptest.NewRequest(method, "http://h"+path, strings.NewReader("job"))
	request.Header.Set("Patience", "400")
	if header != "" {
		request.Header.Set("Authorization", header)
	}
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, request)
	return recorder
}

// Routes that are not public were served to callers without a key, or with one that had been
// withdrawn, because nothing read the keys.
func TestRoutesNeedAKeyOfTheConfiguration(t *testing.T) {
	headers := map[string]struct {
		header string
		admits bool
	}{
		"valid":          {"Token " + knownKey, true},
		"missing":        {"", false},
		"unknown":        {"Token another", false},
		"withdrawn":      {"Token " + withdrawnKey, false},
		"other scheme":   {"Bearer " + knownKey, false},
		"without scheme": {knownKey, false},
		"empty":          {"Token ", false},
		"two keys":       {"Token " + knownKey + " another", false},
	}
	for name, c := range headers {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var logged bytes.Buffer
			rows := standin.NewRows()
			handler := serveWith(t, rows.Table(), keyed(t), "", func(s *intake.Server) {
				s.Codec.Key = platform.CallerKey
				s.Codec.KeyScheme = platform.KeyScheme
				s.Log = slog.New(slog.NewTextHandler(&logged, nil))
			})
			for _, method := range []string{http.MethodPost, http.MethodGet, http.MethodDelete} {
				refused := askWithHeader(handler, method, "/q/1", c.header).Code == http.StatusUnauthorized
				is.Equal(refused, !c.admits)
				is.True(askWithHeader(handler, method, "/p/1", c.header).Code != http.StatusUnauthorized)
			}
			is.Equal(askWithHeader(handler, http.MethodGet, "/q/", c.header).Code == http.StatusUnauthorized, !c.admits)
			is.True(!strings.Contains(logged.String(), knownKey))
		})
	}
}

func FuzzCallerKey(f *testing.F) {
	f.Add("Token " + knownKey)
	f.Add("Token")
	f.Add("Token \x00")
	f.Fuzz(func(t *testing.T, header string) {
		key, given := platform.CallerKey(http.Header{
			"Authorization": []string{header},
		})
		if given && (key == "" || !strings.HasSuffix(header, key)) {
			t.Fatalf("key %q of header %q", key, header)
		}
	})
}

func BenchmarkAuthenticateAmongManyKeys(b *testing.B) {
	current := oneRoute()
	for i := range 5000 {
		current.Organisations = append(current.Organisations, catalog.Organisation{
			Name: strings.Repeat("o", i+1),
			Keys: catalog.DigestKeys([]string{strings.Repeat("k", i+1)}),
		})
	}
	if err := current.IndexKeys(); err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		current.Authenticate("kkkkkkkkkkkkkkkkkkkk")
	}
}
