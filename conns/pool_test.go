package conns_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"lemonstream.dev/lemonstream/conns"
	"lemonstream.dev/lemonstream/internal/standin"
)

// TestCallsThatGiveUpWaitingLeaveTheConnection lets calls wait for the only connection that
// there may be, and give up at any moment of it: before, while and after it is handed to them.
func TestCallsThatGiveUpWaitingLeaveTheConnection(t *testing.T) {
	is := is.New(t)
	server := standin.StartSilenced(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(200 * time.Microsecond)
		echo(w, r)
	}), 1)
	defer server.Close()
	gone := standin.StartSilenced(http.HandlerFunc(echo), 1)
	gone.Close()
	client := conns.NewClient(conns.Limits{
		PerAddress: 1,
		Kept:       1,
		Dial:       long,
		Idle:       long,
		Answer:     1 << 10,
	})
	var callers errgroup.Group
	for i := range 32 {
		callers.Go(func() error {
			for j := range 40 {
				for _, to := range []*standin.SilencedServer{server, gone} {
					one := call(to, "/x")
					one.Within = time.Duration(1+(i+j)%7) * 300 * time.Microsecond
					_, _ = client.Do(context.Background(), one)
				}
			}
			return nil
		})
	}
	is.NoErr(callers.Wait())
	answer, err := client.Do(context.Background(), call(server, "/last"))
	is.NoErr(err)
	is.Equal(string(answer.Body), "body/last")
}

// TestConnectionThatTheOtherSideClosedIsNotUsed covers a server that closes what is unused: an
// order that may not be sent twice finds out before anything of it has left.
func TestConnectionThatTheOtherSideClosedIsNotUsed(t *testing.T) {
	is := is.New(t)
	server := standin.StartSilenced(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/closes" {
			w.Header().Set("Connection", "close")
		}
		echo(w, r)
	}), 1)
	defer server.Close()
	client := newClient()
	for _, path := range []string{"/first", "/closes", "/after"} {
		answer, err := client.Do(context.Background(), call(server, path))
		is.NoErr(err)
		is.Equal(string(answer.Body), "body"+path)
	}
}
