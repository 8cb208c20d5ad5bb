package intake

import (
	"net/http"

	"github.com/gin-gonic/gin"

	"lemonstream.dev/lemonstream/catalog"
)

// reasonKey is what a caller without a valid key is told. It does not say whether the key is
// malformed, was withdrawn or has never existed.
const reasonKey = "a valid key is needed"

// authenticate returns the organisation whose key a call carries; empty for a call to a public
// route without one. It reports false where the route needs a key that this version of the
// configuration has.
func (s *Server) authenticate(c *gin.Context, current *catalog.Catalog, route catalog.Route) (string, bool) {
	if key, given := s.Codec.Key(c.Request.Header); given {
		if organisation, known := current.Authenticate(key); known {
			return organisation, true
		}
	}
	return "", route.Public
}

// denyKey answers a call to a route that needs a key of this version of the configuration.
func (s *Server) denyKey(c *gin.Context, current *catalog.Catalog, route catalog.Route) {
	s.Log.Info("request refused", "reason", reasonKey, "method", c.Request.Method, "route", route.Name, "version", current.Version,
		"confirmed_ms_ago", s.Operator.Age().Milliseconds())
	s.Figures.Count("caller_unauthenticated", route.Name)
	c.Header("WWW-Authenticate", s.Codec.KeyScheme)
	c.String(http.StatusUnauthorized, reasonKey+"\n")
}
