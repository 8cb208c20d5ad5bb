package peer_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/matryer/is"

	"lemonstream.dev/lemonstream/owner"
	"lemonstream.dev/lemonstream/peer"
)

// TestPromiseCrossesTheWire covers every field of a request for a promise and of its answer, and the
// entry that a ping names.
func TestPromiseCrossesTheWire(t *testing.T) {
	is := is.New(t)
	var got owner.PromiseRequest
	var contacted string
	router := gin.New()
	(&peer.Server{
		WriteAge:   func(string) (time.Duration, bool) { return 0, false },
		TurnedAway: func(string) time.Duration { return 0 },
		Contacted:  func(incarnation string) { contacted = incarnation },
		Promise: func(_ context.Context, request owner.PromiseRequest) owner.PromiseAnswer {
			got = request
			return owner.PromiseAnswer{
				Incarnation: "b/1",
				Promised:    time.Second,
				Reason:      "none",
			}
		},
	}).Routes(router)
	server := httptest.NewServer(router)
	defer server.Close()
	to := netip.MustParseAddrPort(server.Listener.Addr().String())
	client := peer.NewClient(func(string, int, int) {})
	client.From = "a/1"
	request := owner.PromiseRequest{
		Part:    "/instances",
		Epoch:   3,
		Owner:   "a/1",
		Ordered: []string{"i1", "i2"},
	}
	answer, err := client.Promise(context.Background(), to, request)
	is.NoErr(err)
	is.Equal(got, request)
	is.Equal(answer, owner.PromiseAnswer{
		Incarnation: "b/1",
		Promised:    time.Second,
		Reason:      "none",
	})
	_, err = client.Ping(context.Background(), to, "s")
	is.NoErr(err)
	is.Equal(contacted, "a/1")
}

// TestPromiseRequestIsBounded guards against a body that would take the memory of a small entry.
func TestPromiseRequestIsBounded(t *testing.T) {
	is := is.New(t)
	router := gin.New()
	(&peer.Server{}).Routes(router)
	server := httptest.NewServer(router)
	defer server.Close()
	body := `{"part":"` + strings.Repeat("a", 1<<20) + `"}`
	answer, err := http.Post(server.URL+"/v1/promise", "application/json", strings.NewReader(body))
	is.NoErr(err)
	defer func() { is.NoErr(answer.Body.Close()) }()
	is.Equal(answer.StatusCode, http.StatusBadRequest)
}
