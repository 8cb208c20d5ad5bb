package inflight_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"lemonstream.dev/lemonstream/clock"
	"lemonstream.dev/lemonstream/inflight"
)

// waiting answers once the work for a request is given up, or at once where the path
// asks for it.
func waiting(read chan<- struct{}) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/held" {
			read <- struct{}{}
			<-r.Context().Done()
			w.WriteHeader(http.StatusGatewayTimeout)
		}
	})
}

func serve(t *testing.T, read chan<- struct{}) (*inflight.Requests, *httptest.Server) {
	t.Helper()
	requests := inflight.New(clock.System())
	server := httptest.NewUnstartedServer(waiting(read))
	requests.Attach(server.Config)
	server.Start()
	t.Cleanup(server.Close)
	return requests, server
}

func TestHeldRequestIsAnsweredOnceItIsGivenUp(t *testing.T) {
	is := is.New(t)
	read := make(chan struct{})
	requests, server := serve(t, read)
	status := make(chan int, 1)
	time.AfterFunc(0, func() {
		response, err := http.Get(server.URL + "/held")
		if err != nil {
			status <- 0
			return
		}
		_ = response.Body.Close()
		status <- response.StatusCode
	})
	<-read
	held, _ := requests.Held()
	is.Equal(held, 1)
	requests.GiveUp()
	is.NoErr(server.Config.Shutdown(context.Background()))
	is.Equal(<-status, http.StatusGatewayTimeout)
	held, oldest := requests.Held()
	is.Equal(held, 0)
	is.Equal(oldest, time.Duration(0))
}

func TestAnswerOfLeavingProcessIsTheLastOnItsConnection(t *testing.T) {
	is := is.New(t)
	requests, server := serve(t, nil)
	closes := func() bool {
		response, err := http.Get(server.URL + "/")
		is.NoErr(err)
		is.NoErr(response.Body.Close())
		return response.Close
	}
	is.True(!closes())
	requests.Leave()
	is.True(closes())
}
